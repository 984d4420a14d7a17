package failure

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/work"
)

const (
	evacuateTime = 5 * time.Second // as in the users' settings
	actTime      = time.Second     // in which an evacuation must be acted on
)

// fleetDataCentre returns the data centre of a worker of the fleet, which has two.
func fleetDataCentre(worker int) string { return []string{"south", "west"}[worker%2] }

// startsIn returns how many runs started in a data centre after a time.
func (s *fleet) startsIn(dataCentre string, after time.Time) (n int) {
	for i, w := range s.workers {
		if fleetDataCentre(i) != dataCentre {
			continue
		}
		for _, r := range w.Journal() {
			if r.StartedAt.After(after) {
				n++
			}
		}
	}
	return n
}

// evacuate evacuates data centres and returns when the store has acknowledged the writes.
func (s *fleet) evacuate(dataCentres ...string) (ackedAt time.Time) {
	for _, name := range dataCentres {
		if err := s.store.Evacuate(name); err != nil {
			s.t.Error(err)
		}
	}
	return time.Now()
}

func (s *fleet) takeBack(dataCentre string) {
	if err := s.store.TakeBack(dataCentre); err != nil {
		s.t.Error(err)
	}
}

// loadMeanwhile puts load on the fleet while f runs, and returns when both have ended.
func (s *fleet) loadMeanwhile(duration time.Duration, f func()) {
	var callers sync.WaitGroup
	callers.Go(func() { s.load(duration, 0, 1, 2) })
	f()
	callers.Wait()
}

// TestNoStartInAnEvacuatedDataCentre guards against starts in an evacuated data centre while
// the store, a connection or the home fails.
func TestNoStartInAnEvacuatedDataCentre(t *testing.T) {
	refuse := func(s *fleet, role string, n int) {
		for i := range n {
			s.network.cut(fmt.Sprint(role, i), "store", true)
		}
	}
	for _, tc := range []struct {
		name   string
		limit  time.Duration // after which there must be no starts
		inject func(s *fleet)
		after  func(s *fleet) // right after the evacuation
	}{
		{name: "nothing fails", limit: 100 * time.Millisecond},
		{name: "watches hear nothing", limit: actTime, inject: func(s *fleet) { s.store.SetFaults(standin.StoreFaults{DropWatchEvents: true}) }},
		{name: "history is gone", limit: actTime, inject: func(s *fleet) { s.store.SetFaults(standin.StoreFaults{HistoryGone: true}) }},
		{name: "store slow", limit: actTime, inject: func(s *fleet) { s.store.SetFaults(standin.StoreFaults{Delay: 200 * time.Millisecond}) }},
		{name: "home is refused", limit: actTime, inject: func(s *fleet) { s.network.cut(fmt.Sprint("e", s.home()), "store", true) }},
		{name: "only agents reach the store", limit: actTime, inject: func(s *fleet) { refuse(s, "e", fleetEntries) }},
		{name: "only entries reach the store", limit: actTime, inject: func(s *fleet) { refuse(s, "a", fleetAgents) }},
		{name: "open connections silent", limit: evacuateTime, inject: func(s *fleet) { s.network.blackholeOpenConns() }},
		{name: "connections to the store reset", limit: actTime, inject: func(s *fleet) { s.network.resetConns("store") }},
		{name: "store down for a while", limit: evacuateTime, inject: func(s *fleet) { s.store.SetFaults(standin.StoreFaults{Down: true}) },
			after: func(s *fleet) {
				time.Sleep(2 * time.Second)
				s.store.SetFaults(standin.StoreFaults{})
			}},
		{name: "home killed", limit: actTime, after: func(s *fleet) {
			home := s.home()
			s.entry(home).Kill()
			s.startEntry(home)
		}},
		{name: "an agent starts anew", limit: actTime, after: func(s *fleet) {
			s.agent(0).Kill()
			s.startAgent(0)
		}},
		{name: "orders carried out late", limit: actTime, inject: func(s *fleet) { s.goroutines.Go(func() { s.leaveOrdersUnanswered(4 * time.Second) }) }},
		{name: "malformed keys", limit: 100 * time.Millisecond, inject: func(s *fleet) { s.evacuate("", "a/b", "north\x00", strings.Repeat("x", 5000)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWith(t, 0, evacuateTime, func(t *testing.T, s *fleet) {
				s.loadMeanwhile(12*time.Second, func() {
					time.Sleep(time.Second)
					if tc.inject != nil {
						tc.inject(s)
					}
					time.Sleep(time.Second)
					before := s.startsIn("south", time.Time{})
					ackedAt := s.evacuate("south")
					if tc.after != nil {
						tc.after(s)
					}
					time.Sleep(time.Until(ackedAt.Add(9 * time.Second)))
					if n := s.startsIn("south", ackedAt.Add(tc.limit)); n > 0 || before == 0 {
						t.Errorf("%d starts later than %v after the evacuation, %d before it", n, tc.limit, before)
					}
					s.store.SetFaults(standin.StoreFaults{})
					takenBackAt := time.Now()
					s.takeBack("south")
					time.Sleep(2 * time.Second)
					if s.startsIn("south", takenBackAt) == 0 && !strings.Contains(tc.name, "reach") {
						t.Error("no start within 2 s after the return to service")
					}
				})
			})
		})
	}
}

// TestTwoDataCentresEvacuated guards against an evacuation that replaces the one before, and
// against jobs that are held when all data centres are evacuated: they are rejected at once,
// and nothing of them runs.
func TestTwoDataCentresEvacuated(t *testing.T) {
	runWith(t, 0, evacuateTime, func(t *testing.T, s *fleet) {
		s.loadMeanwhile(6*time.Second, func() {
			time.Sleep(time.Second)
			s.evacuate("south")
			time.Sleep(500 * time.Millisecond)
			ackedAt := s.evacuate("west")
			time.Sleep(2 * time.Second)
			for _, dc := range []string{"south", "west"} {
				if n := s.startsIn(dc, ackedAt.Add(100*time.Millisecond)); n > 0 {
					t.Errorf("%d starts in %s while all is evacuated", n, dc)
				}
			}
			submittedAt := time.Now()
			s.submit(0, pingQueue, "1fffffffffffffff", 4)
			if took := time.Since(submittedAt); took > 50*time.Millisecond || s.replies["1fffffffffffffff"].Status != http.StatusServiceUnavailable {
				t.Errorf("status %d after %v, want a rejection at once", s.replies["1fffffffffffffff"].Status, took)
			}
			s.takeBack("south")
			time.Sleep(time.Second)
			if s.startsIn("south", submittedAt) == 0 || s.startsIn("west", submittedAt) > 0 {
				t.Errorf("%d starts in the data centre returned to service, %d in the other", s.startsIn("south", submittedAt), s.startsIn("west", submittedAt))
			}
		})
	})
}

// TestEvacuationHoldsWithoutTheStore guards against a data centre that is returned to service
// because the store is not reached.
func TestEvacuationHoldsWithoutTheStore(t *testing.T) {
	runWith(t, 0, evacuateTime, func(t *testing.T, s *fleet) {
		s.loadMeanwhile(14*time.Second, func() {
			ackedAt := s.evacuate("south")
			time.Sleep(2 * time.Second)
			s.store.SetFaults(standin.StoreFaults{Down: true})
			s.takeBack("south") // no process can know
			time.Sleep(8 * time.Second)
			if n := s.startsIn("south", ackedAt.Add(actTime)); n > 0 {
				t.Errorf("%d starts in an evacuated data centre while the store is down", n)
			}
			s.store.SetFaults(standin.StoreFaults{})
			time.Sleep(3 * time.Second)
			if s.startsIn("south", ackedAt.Add(actTime)) == 0 {
				t.Error("no start 3 s after the store is back")
			}
		})
	})
}

// TestRestartDuringAnEvacuation guards against starts in an evacuated data centre by
// processes that have just started, and against processes that wait for a store which does
// not answer.
func TestRestartDuringAnEvacuation(t *testing.T) {
	for name, faults := range map[string]standin.StoreFaults{"store answers": {}, "store down": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			runWith(t, 0, evacuateTime, func(t *testing.T, s *fleet) {
				if _, ok := s.submitOnce(0, "1eeeeeeeeeeeeee1"); !ok {
					t.Fatal("job before not completed")
				}
				ackedAt := s.evacuate("south")
				time.Sleep(time.Second)
				for i := range fleetAgents {
					s.agent(i).Kill()
					s.startAgent(i)
				}
				entry := (s.home() + 1) % fleetEntries // this one goes on, and knows the configuration
				s.store.SetFaults(faults)
				for i := range fleetEntries {
					if i != entry {
						s.entry(i).Kill()
						s.startEntry(i)
					}
				}
				s.loadMeanwhile(4*time.Second, func() {})
				if n := s.startsIn("south", ackedAt.Add(actTime)); n > 0 {
					t.Errorf("%d starts in the evacuated data centre", n)
				}
				if s.startsIn("west", ackedAt.Add(actTime)) == 0 {
					t.Error("no start in the other data centre")
				}
				s.store.SetFaults(standin.StoreFaults{})
			})
		})
	}
}

// submitOnce submits a job and reports whether it was completed, and after which time.
func (s *fleet) submitOnce(entry int, id string) (took time.Duration, ok bool) {
	startedAt := time.Now()
	s.submit(entry, pingQueue, id, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(startedAt), s.replies[id].State == work.Completed
}

// TestStoreThatDoesNotAnswerDelaysNoStart guards against a restarted site that starts no
// task because the store does not answer.
func TestStoreThatDoesNotAnswerDelaysNoStart(t *testing.T) {
	runWith(t, 0, evacuateTime, func(t *testing.T, s *fleet) {
		s.store.SetFaults(standin.StoreFaults{Down: true})
		keep := (s.home() + 1) % fleetEntries // knows the configuration and no evacuation
		for i := range fleetEntries {
			if i != keep {
				s.entry(i).Kill()
				s.startEntry(i)
			}
		}
		time.Sleep(2 * time.Second)
		if took, ok := s.submitOnce(keep, "1eeeeeeeeeeeeee1"); !ok || took > 500*time.Millisecond {
			t.Errorf("job completed: %t, after %v", ok, took)
		}
	})
}

// countEvacuationCalls counts the calls of the store about evacuations, by caller.
func (s *fleet) countEvacuationCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Query().Get("prefix"), "evacuate") {
			s.mu.Lock()
			s.evacuationCalls[r.RemoteAddr]++
			s.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// TestAgentsCallTheStoreRarely guards against the price of calls by agents, of which there are
// hundreds, also while watches fail.
func TestAgentsCallTheStoreRarely(t *testing.T) {
	for name, faults := range map[string]standin.StoreFaults{
		"nothing fails": {}, "watches hear nothing": {DropWatchEvents: true}, "history is gone": {HistoryGone: true}, "store down": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			runWith(t, 0, evacuateTime, func(t *testing.T, s *fleet) {
				s.store.SetFaults(faults)
				s.mu.Lock()
				clear(s.evacuationCalls)
				s.mu.Unlock()
				time.Sleep(2 * time.Minute)
				s.mu.Lock()
				t.Log(s.evacuationCalls)
				for i := range fleetAgents {
					if n := s.evacuationCalls[fmt.Sprint("a", i)]; n > 12 || n == 0 {
						t.Errorf("agent %d made %d calls in 2 minutes, want at most one in 10 s", i, n)
					}
				}
				s.mu.Unlock()
				s.store.SetFaults(standin.StoreFaults{})
			})
		})
	}
}

// TestEvacuationIsOffByDefault guards against changes on platforms without evacuations: no
// read of the keys, and starts as before.
func TestEvacuationIsOffByDefault(t *testing.T) {
	runWith(t, 0, 0, func(t *testing.T, s *fleet) {
		s.loadMeanwhile(4*time.Second, func() {
			time.Sleep(time.Second)
			ackedAt := s.evacuate("south")
			time.Sleep(2 * time.Second)
			if s.startsIn("south", ackedAt.Add(actTime)) == 0 {
				t.Error("no start in a data centre although the platform does not evacuate")
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.evacuationCalls) > 0 {
				t.Errorf("calls of the store about evacuations: %v", s.evacuationCalls)
			}
		})
	})
}

// TestEvacuationOfADividedSite guards against a cell whose home learns of an evacuation late.
func TestEvacuationOfADividedSite(t *testing.T) {
	runWith(t, fleetAgents/2, evacuateTime, func(t *testing.T, s *fleet) {
		s.loadMeanwhile(6*time.Second, func() {
			time.Sleep(2 * time.Second)
			ackedAt := s.evacuate("south")
			time.Sleep(3 * time.Second)
			if n := s.startsIn("south", ackedAt.Add(100*time.Millisecond)); n > 0 {
				t.Errorf("%d starts in the evacuated data centre", n)
			}
		})
	})
}
