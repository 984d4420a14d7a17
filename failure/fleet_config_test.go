package failure

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/work"
)

// The users' bounds on changes of the configuration and on recovery.
const (
	configApplyLimit = 2 * time.Second  // from the store's acknowledgement until the change is in force at every entry
	recoveryLimit    = 12 * time.Second // from a restart of all processes until jobs are served
)

// versionQueue is a queue that only one version of the configuration has.
func versionQueue(version int) work.Queue {
	q := pingQueue
	q.Name = fmt.Sprint("v", version)
	return q
}

// versionInForce returns the newest version, up to the given one, that an entry has in
// force, or 0 if the entry does not answer.
func (s *fleet) versionInForce(c *http.Client, entry, newest int) int {
	for v := newest; v > 0; v-- {
		ctx, cancel := context.WithTimeout(s.ctx, 200*time.Millisecond)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://f%d/v%d/", entry, v), nil)
		if err != nil {
			cancel()
			s.t.Fatal(err)
		}
		r.Host = standin.Host
		reply, err := c.Do(r)
		cancel()
		if err != nil {
			return 0
		}
		_ = reply.Body.Close()
		if reply.StatusCode == http.StatusOK {
			return v
		}
	}
	return 0
}

// TestConfigurationIsInForceAndNeverReverts changes the configuration every three
// seconds while the store or a connection fails, and keeps asking every entry
// which version it has in force.
func TestConfigurationIsInForceAndNeverReverts(t *testing.T) {
	cases := []struct {
		name   string
		inject func(s *fleet)
	}{
		{"nothing fails", func(*fleet) {}},
		{"watches hear nothing", func(s *fleet) { s.store.SetFaults(standin.StoreFaults{DropWatchEvents: true}) }},
		{"store slow", func(s *fleet) { s.store.SetFaults(standin.StoreFaults{Delay: 200 * time.Millisecond}) }},
		{"one entry is refused", func(s *fleet) { s.network.cut("e1", "store", true) }},
		{"home is refused", func(s *fleet) { s.network.cut(fmt.Sprint("e", s.home()), "store", true) }},
		{"open connections silent", func(s *fleet) { s.network.blackholeOpenConns() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(_ *testing.T, s *fleet) {
				time.AfterFunc(4*time.Second, func() { tc.inject(s) })
				s.checkConfigChanges(5)
				s.store.SetFaults(standin.StoreFaults{})
			})
		})
	}
}

// checkConfigChanges writes versions three seconds apart, and meanwhile checks
// which version each entry has in force.
func (s *fleet) checkConfigChanges(versions int) {
	c := &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}
	highest := make([]int, fleetEntries)
	for v := 2; v < 2+versions; v++ {
		if err := s.store.PutConfig(v, pingQueue, longQueue, versionQueue(v)); err != nil {
			s.t.Fatal(err)
		}
		written := time.Now()
		for time.Since(written) < 3*time.Second {
			for i := range fleetEntries {
				elapsed := time.Since(written)
				current := s.versionInForce(c, i, v)
				if current > 0 && current < highest[i] {
					s.t.Errorf("entry %d: version %d in force after version %d", i, current, highest[i])
				}
				highest[i] = max(highest[i], current)
				if elapsed > configApplyLimit && current != v {
					s.t.Errorf("entry %d: version %d in force %s after version %d was written", i, current, elapsed, v)
					return
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// TestEntryStartedWithoutStoreHasNewestConfiguration restarts an entry while the
// store is down: it must get the newest configuration from the other entries.
func TestEntryStartedWithoutStoreHasNewestConfiguration(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		c := &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}
		if err := s.store.PutConfig(2, pingQueue, longQueue, versionQueue(2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(configApplyLimit)
		s.store.SetFaults(standin.StoreFaults{Down: true})
		s.entry(2).Kill()
		time.Sleep(time.Second)
		s.startEntry(2)
		time.Sleep(time.Second)
		if current := s.versionInForce(c, 2, 2); current != 2 {
			t.Errorf("version %d in force, want 2", current)
		}
		s.store.SetFaults(standin.StoreFaults{})
	})
}

// TestAllProcessesRestart kills all entries and agents, so that only the store
// keeps its state. Jobs submitted after the users' recovery bound must complete.
func TestAllProcessesRestart(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		s.restartAll(1200 * time.Millisecond)
		time.Sleep(recoveryLimit)
		s.load(2*time.Second, 0, 1, 2)
		s.wantCompleted(1)
		s.wantOneHome()
	})
}

// TestJobsAreInTimeRightAfterARestart submits a job to each entry as soon as it
// listens. The jobs must complete within their objective, although the entries have to
// read the configuration, find a home and get to know the agents first.
func TestJobsAreInTimeRightAfterARestart(t *testing.T) {
	for _, cellSize := range []int{0, fleetAgents / 2} {
		runWithCells(t, cellSize, func(t *testing.T, s *fleet) {
			// The workers list the ends of runs that the agents have not seen.
			var callers sync.WaitGroup
			for i := range 12 {
				callers.Go(func() {
					c := s.caller()
					step := work.Step{Count: 2, Room: work.Room{CPU: taskCPU}, Estimate: 900 * time.Millisecond}
					if _, err := c.Submit(s.ctx, s.frontAddress(i), longQueue.Name, fmt.Sprintf("9%015x", i), step); err == nil {
						t.Error("a job was answered by a process that was killed")
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			s.restartAll(1200 * time.Millisecond)
			for i := range fleetEntries {
				callers.Go(func() {
					submittedAt := time.Now()
					s.submit(i, pingQueue, fmt.Sprintf("1%015x", i), 4)
					if took := time.Since(submittedAt); took > pingQueue.Objective(100*time.Millisecond) {
						t.Errorf("answer of entry %d after %v, want it within %v", i, took, pingQueue.Objective(100*time.Millisecond))
					}
				})
			}
			callers.Wait()
			s.wantCompleted(1)
		})
	}
}

// TestFirstJobsWaitForHeartbeats restarts everything half a second before the next heartbeats
// of the workers, without which no agent knows its worker. It guards against jobs that are
// rejected or lost until then, although they can end before their cutoff.
func TestFirstJobsWaitForHeartbeats(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		time.Sleep(100 * time.Millisecond)
		s.restartAll(400 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		s.load(time.Second, 0, 1, 2)
		s.wantCompleted(1)
	})
}

// TestEntriesThatStartTogetherAgreeOnOneHome starts all entries within a few
// milliseconds. No two of them may act as home.
func TestEntriesThatStartTogetherAgreeOnOneHome(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		for i := range fleetEntries {
			s.entry(i).Kill()
		}
		time.Sleep(1200 * time.Millisecond)
		for i := range fleetEntries {
			s.startEntry(i)
			time.Sleep(3 * time.Millisecond)
		}
		for range 40 {
			var homes []int
			for i := range fleetEntries {
				if s.entry(i).IsHome() {
					homes = append(homes, i)
				}
			}
			if len(homes) > 1 {
				t.Errorf("entries %v are home at the same time", homes)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		s.wantOneHome()
	})
}
