package failure

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/work"
)

// The users' bounds on a configuration.
const (
	configApplyLimit = 2 * time.Second // from the store's acknowledgement until it is in force everywhere
	recoveryLimit    = 12 * time.Second
)

// versionQueue is a queue that only one version of the configuration has.
func versionQueue(version int) work.Queue {
	q := pingQueue
	q.Name = fmt.Sprint("v", version)
	return q
}

// inForce returns the version that an entry has in force, of those up to newest,
// or 0 if it does not answer.
func (s *fleet) inForce(c *http.Client, entry, newest int) int {
	for v := newest; v > 0; v-- {
		ctx, cancel := context.WithTimeout(s.ctx, 200*time.Millisecond)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://f%d/v%d/", entry, v), nil)
		if err != nil {
			cancel()
			s.t.Fatal(err)
		}
		r.Host = standin.Host
		rep, err := c.Do(r)
		cancel()
		if err != nil {
			return 0
		}
		_ = rep.Body.Close()
		if rep.StatusCode == http.StatusOK {
			return v
		}
	}
	return 0
}

// TestConfigurationIsInForceAndNeverReverts changes the configuration each three
// seconds while the store or an entry fails, and asks every entry all the time
// which version it serves.
func TestConfigurationIsInForceAndNeverReverts(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *fleet)
	}{
		{"nothing fails", func(*fleet) {}},
		{"watches hear nothing", func(s *fleet) { s.store.Set(standin.StoreFaults{Deaf: true}) }},
		{"store slow", func(s *fleet) { s.store.Set(standin.StoreFaults{Delay: 200 * time.Millisecond}) }},
		{"one entry is refused", func(s *fleet) { s.network.cut("e1", "store", true) }},
		{"home is refused", func(s *fleet) { s.network.cut(fmt.Sprint("e", s.home()), "store", true) }},
		{"open connections silent", func(s *fleet) { s.network.blackholeOpenConns() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(_ *testing.T, s *fleet) {
				time.AfterFunc(4*time.Second, func() { tc.fault(s) })
				s.checkConfigChanges(5)
				s.store.Set(standin.StoreFaults{})
			})
		})
	}
}

// checkConfigChanges writes versions, three seconds apart, and checks what the entries
// have in force meanwhile.
func (s *fleet) checkConfigChanges(versions int) {
	c := &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}
	seen := make([]int, fleetEntries)
	for v := 2; v < 2+versions; v++ {
		if err := s.store.PutConfig(v, pingQueue, longQueue, versionQueue(v)); err != nil {
			s.t.Fatal(err)
		}
		written := time.Now()
		for time.Since(written) < 3*time.Second {
			for i := range fleetEntries {
				asked := time.Since(written)
				have := s.inForce(c, i, v)
				if have > 0 && have < seen[i] {
					s.t.Errorf("entry %d: version %d in force after version %d", i, have, seen[i])
				}
				seen[i] = max(seen[i], have)
				if asked > configApplyLimit && have != v {
					s.t.Errorf("entry %d: version %d in force %s after version %d was written", i, have, asked, v)
					return
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// TestEntryStartedWithoutStoreHasNewestConfiguration: the store is down
// when an entry starts anew, and others have the configuration.
func TestEntryStartedWithoutStoreHasNewestConfiguration(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		c := &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}
		if err := s.store.PutConfig(2, pingQueue, longQueue, versionQueue(2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(configApplyLimit)
		s.store.Set(standin.StoreFaults{Down: true})
		s.entry(2).Kill()
		time.Sleep(time.Second)
		s.startEntry(2)
		time.Sleep(time.Second)
		if have := s.inForce(c, 2, 2); have != 2 {
			t.Errorf("version %d in force, want 2", have)
		}
		s.store.Set(standin.StoreFaults{})
	})
}

// TestAllProcessesRestart: all that is left is the store. Jobs that come after
// the users' bound are served.
func TestAllProcessesRestart(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		for i := range fleetEntries {
			s.entry(i).Kill()
		}
		for i := range fleetAgents {
			s.agent(i).Kill()
		}
		time.Sleep(1200 * time.Millisecond)
		for i := range fleetAgents {
			s.startAgent(i)
		}
		for i := range fleetEntries {
			s.startEntry(i)
		}
		time.Sleep(recoveryLimit)
		s.load(2*time.Second, 0, 1, 2)
		s.wantCompleted(1)
		s.wantOneHome()
	})
}
