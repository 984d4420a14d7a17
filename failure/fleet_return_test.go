package failure

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"masticbay/platform"
	"masticbay/platform/standin"
	"masticbay/work"
)

// returnDelays is how long callers wait before they submit a job again.
var returnDelays = []time.Duration{0, 80 * time.Millisecond, 500 * time.Millisecond, retransmitDelay, 3 * time.Second}

// returnLimit is how long a caller that is back goes on submitting. Faults are over before.
const returnLimit = 6 * time.Second

// forReturns runs f for callers that are back after each delay at each entry, counted from the home.
func forReturns(t *testing.T, name string, f func(s *fleet, home, entry int, delay time.Duration)) {
	for _, delay := range returnDelays {
		for entry := range fleetEntries {
			t.Run(fmt.Sprintf("%s, back after %v at entry %d", name, delay, entry), func(t *testing.T) {
				runWithFleet(t, func(_ *testing.T, s *fleet) {
					home := s.home()
					f(s, home, home+entry, delay)
					s.describeRuns(lateJob + ".0.0.0")
				})
			})
		}
	}
}

// submitWithin submits lateJob with a deadline after left, and returns the answer's status; 0 if none.
func (s *fleet) submitWithin(ctx context.Context, entry int, left time.Duration) (status int) {
	return s.submitJobWithin(ctx, entry, lateJob, left)
}

// submitJobWithin is submitWithin for a job of another ID.
func (s *fleet) submitJobWithin(ctx context.Context, entry int, id string, left time.Duration) (status int) {
	caller := standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}, Timeout: left}
	step := work.Step{Count: 2, Room: work.Room{CPU: taskCPU}, Estimate: lateJobEstimate}
	reply, err := caller.Submit(ctx, s.frontAddress(entry), longQueue.Name, id, step)
	if err != nil {
		s.t.Logf("%s: no answer: %v", time.Now().Format("05.000"), err)
		return 0
	}
	s.t.Logf("%s: answer %d %s", time.Now().Format("05.000"), reply.Status, reply.State)
	return reply.Status
}

// comeBack submits lateJob after a delay, and at the next entry after each attempt that ran nothing. It
// checks that the job runs then.
func (s *fleet) comeBack(entry int, delay time.Duration) {
	s.t.Helper()
	time.Sleep(delay)
	again := time.Now()
	ctx, cancel := context.WithTimeout(s.ctx, returnLimit)
	defer cancel()
	for ; ctx.Err() == nil; entry++ {
		if s.submitWithin(ctx, entry, 8*time.Second) == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	if len(s.lateJobAgents()) == 0 && !standin.RanAfter(again, lateJob, s.workers[:]...) {
		s.t.Error("the job does not run for its caller")
	}
}

// loseLateJob injects a fault once lateJob runs.
func (s *fleet) loseLateJob(inject func()) {
	time.AfterFunc(100*time.Millisecond, func() {
		if len(s.lateJobAgents()) == 0 {
			s.t.Error("the job does not run")
		}
		inject()
	})
}

// TestRejectedTakeoverOverlapsResubmission guards against a double run: the next home of a job rejects
// it while the runs of the lost home go on, and takes the job for new when its caller is back.
func TestRejectedTakeoverOverlapsResubmission(t *testing.T) {
	for _, lost := range []struct {
		name   string
		inject func(s *fleet, home int)
		heal   func(s *fleet, home int)
	}{
		{"home killed", (*fleet).killEntry, (*fleet).startEntry},
		{"home cut off from the other entries", func(s *fleet, home int) { s.cutHomeFromEntries(home, 4*time.Second) }, func(*fleet, int) {}},
	} {
		forReturns(t, lost.name, func(s *fleet, home, entry int, delay time.Duration) {
			s.loseLateJob(func() {
				s.leaveStopsUnanswered()
				lost.inject(s, home)
			})
			if status := s.submitWithin(s.ctx, home+1, 900*time.Millisecond); status != http.StatusGatewayTimeout {
				s.t.Errorf("the takeover was answered with %d, want %d", status, http.StatusGatewayTimeout)
			}
			s.comeBack(entry, delay)
			lost.heal(s, home)
		})
	}
}

// TestWithdrawnJobOverlapsResubmission guards against a double run: a job is submitted at an entry that
// follows another home, while its former home, which stops, has not ended the runs that it withdrew.
func TestWithdrawnJobOverlapsResubmission(t *testing.T) {
	const leaves = 400 * time.Millisecond
	for _, stops := range []time.Duration{-20 * time.Millisecond, -5 * time.Millisecond, 5 * time.Millisecond, 40 * time.Millisecond} {
		for _, late := range []time.Duration{120 * time.Millisecond, 600 * time.Millisecond} {
			name := fmt.Sprintf("home stops %v after the caller leaves, runs end %v late", stops, late)
			forReturns(t, name, func(s *fleet, home, entry int, delay time.Duration) {
				for _, w := range s.workers {
					w.SetFaults(standin.WorkerFaults{StopsUnanswered: true, ExecuteAfter: late})
				}
				var stopped sync.WaitGroup
				stopped.Go(func() {
					time.Sleep(leaves + stops)
					s.stopEntry(home)
				})
				ctx, cancel := context.WithTimeout(s.ctx, leaves)
				defer cancel()
				s.loseLateJob(func() {})
				s.submitWithin(ctx, home+1, 8*time.Second)
				s.comeBack(entry, delay)
				stopped.Wait()
			})
		}
	}
}

// TestLossOfEntryAndHomeOverlapsResubmission guards against a double run: the entry of a job and its home
// are lost together, and its caller is back before its runs have ended.
func TestLossOfEntryAndHomeOverlapsResubmission(t *testing.T) {
	const downtime = 50 * time.Millisecond
	for _, lost := range []struct {
		name string
		n    int // number of entries, from the home on
	}{{"home", 1}, {"entry and home", 2}, {"all entries", fleetEntries}} {
		for _, stops := range []string{"in time", "late"} {
			name := fmt.Sprintf("%s killed, stops %s", lost.name, stops)
			forReturns(t, name, func(s *fleet, home, entry int, delay time.Duration) {
				s.loseLateJob(func() {
					if stops == "late" {
						s.leaveStopsUnanswered()
					}
					for i := range lost.n {
						s.killEntry((home + i) % fleetEntries)
						time.AfterFunc(downtime, func() { s.startEntry((home + i) % fleetEntries) })
					}
				})
				s.submitWithin(s.ctx, home+min(lost.n-1, 1), 8*time.Second)
				s.comeBack(entry, delay)
			})
		}
	}
}

// agentsSettleTime is longer than agents announce themselves often after their start.
const agentsSettleTime = 12 * time.Second

// TestAgentThatRestartsOverlapsResubmission guards against a double run: all entries restart, an agent that
// was lost before restarts too, and the next home knows only this agent as the caller is back.
func TestAgentThatRestartsOverlapsResubmission(t *testing.T) {
	for _, downtime := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond} {
		forReturns(t, fmt.Sprint("all entries killed for ", downtime), func(s *fleet, home, entry int, delay time.Duration) {
			time.Sleep(agentsSettleTime)
			s.killAgent(0)
			time.Sleep(time.Second)
			s.loseLateJob(func() {
				time.AfterFunc(downtime+10*time.Millisecond, func() { s.startAgent(0) })
				s.restartEntries(downtime)
			})
			s.submitWithin(s.ctx, home+1, 8*time.Second)
			s.comeBack(entry, delay)
		})
	}
}

// TestAgentThatJoinsCellsOverlapsResubmission guards against a double run: an agent joins while the site has
// several cells, and all entries restart. The next home is alone at first.
func TestAgentThatJoinsCellsOverlapsResubmission(t *testing.T) {
	for _, downtime := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		for entry := range fleetEntries {
			t.Run(fmt.Sprintf("entries killed for %v, back at entry %d", downtime, entry), func(t *testing.T) {
				runWithCells(t, fleetAgents/2, func(_ *testing.T, s *fleet) {
					s.killAgent(2)
					s.killAgent(3)
					time.Sleep(75 * time.Second) // until they are no longer registered
					s.startAgent(2)
					time.Sleep(agentsSettleTime)
					s.startAgent(3)
					time.Sleep(agentsSettleTime)
					s.loseLateJob(func() { s.restartEntries(downtime) })
					s.submitWithin(s.ctx, entry, 8*time.Second)
					s.comeBack(0, 0)
				})
			})
		}
	}
}

// TestAgentThatJoinsWithoutTheStoreOverlapsResubmission guards against a double run: agents join while the
// store is down, and all entries restart as it is back.
func TestAgentThatJoinsWithoutTheStoreOverlapsResubmission(t *testing.T) {
	if !*runKnownRed {
		t.Skip("KNOWN-RED.txt, 38")
	}
	for _, downtime := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		for _, delay := range []time.Duration{0, 80 * time.Millisecond} {
			t.Run(fmt.Sprintf("entries killed for %v, back after %v", downtime, delay), func(t *testing.T) {
				runWithFleet(t, func(_ *testing.T, s *fleet) {
					for i := 1; i < fleetAgents; i++ {
						s.killAgent(i)
					}
					time.Sleep(75 * time.Second) // until they are no longer registered
					s.store.SetFaults(standin.StoreFaults{Down: true})
					for i := 1; i < fleetAgents; i++ {
						s.startAgent(i)
					}
					time.Sleep(agentsSettleTime)
					s.loseLateJob(func() {
						s.restartEntries(downtime)
						s.store.SetFaults(standin.StoreFaults{})
					})
					s.submitWithin(s.ctx, 1, 8*time.Second)
					s.comeBack(0, delay)
				})
			})
		}
	}
}

// restartEntries kills all entries and starts them after a time.
func (s *fleet) restartEntries(downtime time.Duration) {
	for i := range fleetEntries {
		s.killEntry(i)
		time.AfterFunc(downtime, func() { s.startEntry(i) })
	}
}

// TestNewSiteDelaysItsFirstJob guards against a site without former homes that waits for their runs.
func TestNewSiteDelaysItsFirstJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleet(t, 0, 0)
		time.AfterFunc(500*time.Millisecond, func() {
			if len(s.lateJobAgents()) == 0 {
				t.Error("the job does not run")
			}
		})
		s.submitWithin(s.ctx, 0, 8*time.Second)
		s.checkInvariants()
		s.close()
	})
}

// TestHomeThatIsPassedOverStaysReady guards against an entry that takes jobs and can start none: it is cut off
// from the others, and the agents follow their home.
func TestHomeThatIsPassedOverStaysReady(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		home := s.home()
		wantReady := func(want int) {
			t.Helper()
			if got := s.readiness(home); got != want {
				t.Errorf("ready: %d, want %d", got, want)
			}
		}
		wantReady(http.StatusOK)
		s.cutHomeFromEntries(home, 4*time.Second)
		time.Sleep(2 * time.Second)
		wantReady(http.StatusServiceUnavailable)
		submittedAt := time.Now()
		if status := s.submitWithin(s.ctx, home, 8*time.Second); status != http.StatusServiceUnavailable || time.Since(submittedAt) > 50*time.Millisecond {
			t.Errorf("answer %d after %v, want %d at once", status, time.Since(submittedAt), http.StatusServiceUnavailable)
		}
		time.Sleep(3 * time.Second)
		wantReady(http.StatusOK)
	})
}

// readiness returns the status of an entry's readiness page.
func (s *fleet) readiness(entry int) int {
	client := &http.Client{Transport: &http.Transport{DialContext: s.dial("balancer"), DisableKeepAlives: true}}
	reply, err := client.Get(fmt.Sprintf("http://r%d%s", entry, platform.ReadyPath))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = reply.Body.Close()
	return reply.StatusCode
}

// TestEntryThatRunsNoJobsIsReady guards against an entry that a balancer prefers as it rejects jobs at once: an
// entry that is cut off from the others elects itself, and all agents or one of them follow it.
func TestEntryThatRunsNoJobsIsReady(t *testing.T) {
	if !*runKnownRed {
		t.Skip("KNOWN-RED.txt, 39")
	}
	for _, cutAgents := range []int{0, fleetAgents - 1} {
		t.Run(fmt.Sprintf("%d agents cut off", cutAgents), func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, s *fleet) {
				const duration = 10 * time.Second
				isolated := (s.home() + 1) % fleetEntries
				s.cutHomeFromEntries(isolated, duration)
				for a := fleetAgents - cutAgents; a < fleetAgents; a++ {
					s.cutFor(fmt.Sprint("a", a), fmt.Sprint("e", isolated), duration)
				}
				time.Sleep(4 * time.Second)
				for e := range fleetEntries {
					if _, ok := s.submitOnce(e, fmt.Sprintf("a%015x", e)); !ok && s.readiness(e) == http.StatusOK {
						t.Errorf("entry %d is ready, and does not run jobs", e)
					}
				}
				time.Sleep(duration)
			})
		})
	}
}

// TestPartitionOverlapsResubmission guards against a double run: a home and the agents of a job are cut off from
// the others, and the caller of the job submits it on the other side.
func TestPartitionOverlapsResubmission(t *testing.T) {
	if !*runKnownRed {
		t.Skip("KNOWN-RED.txt, 36")
	}
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		const duration = 4 * time.Second
		home := s.home()
		done := s.submitLateFrom("caller1", home, 200*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		s.network.vanish("caller1")
		<-done
		agents := s.lateJobAgents()
		s.cutHomeFromEntries(home, duration)
		for a := range fleetAgents {
			for e := range fleetEntries {
				if slices.Contains(agents, a) != (e == home) {
					s.cutFor(fmt.Sprint("a", a), fmt.Sprint("e", e), duration)
				}
			}
		}
		time.Sleep(2 * time.Second)
		<-s.submitLate(home+1, 2*time.Second)
		s.describeRuns(lateJob + ".0.0.0")
		time.Sleep(duration)
	})
}
