package failure

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"masticbay/platform/standin"
)

// wantCompleted checks that at least a share of the jobs completed.
func (s *fleet) wantCompleted(minShare float64) {
	s.t.Helper()
	answered, completed, rejected := s.counts()
	s.t.Logf("%d answered, %d completed, %d rejected, %d requests unanswered", answered, completed, rejected, s.unanswered)
	if float64(completed) < minShare*float64(answered+s.unanswered) || answered == 0 {
		s.t.Errorf("%d of %d jobs completed, want %.0f%%", completed, answered+s.unanswered, 100*minShare)
	}
}

func TestFleetWithoutFaults(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		s.load(4*time.Second, 0, 1, 2)
		s.wantCompleted(1)
	})
}

// fleetFault is one kind of temporary failure.
type fleetFault struct {
	name     string
	minShare float64 // share of the requests that must still complete
	inject   func(s *fleet)
}

var fleetFaults = []fleetFault{
	{"home killed", 0.85, func(s *fleet) {
		h := s.home()
		s.entry(h).Kill()
		time.Sleep(time.Second)
		s.startEntry(h)
	}},
	{"home paused", 0.6, func(s *fleet) { s.pauseFor(fmt.Sprint("e", s.home()), 2*time.Second) }},
	{"home cut off from the other entries", 0.85, func(s *fleet) {
		h := s.home()
		for i := range fleetEntries {
			s.cutFor(fmt.Sprint("e", h), fmt.Sprint("e", i), 2*time.Second)
		}
		time.Sleep(2 * time.Second)
	}},
	{"answers of the home cut off", 0.85, func(s *fleet) {
		h := s.home()
		for i := range fleetEntries {
			s.network.cut(fmt.Sprint("e", h), fmt.Sprint("e", i), true)
		}
		time.Sleep(2 * time.Second)
		for i := range fleetEntries {
			s.network.cut(fmt.Sprint("e", h), fmt.Sprint("e", i), false)
		}
	}},
	{"agent killed", 0.85, func(s *fleet) {
		s.agent(1).Kill()
		time.Sleep(500 * time.Millisecond)
		s.startAgent(1)
	}},
	{"agent cut off from the home", 0.85, func(s *fleet) {
		s.cutFor(fmt.Sprint("e", s.home()), "a1", 3*time.Second)
		time.Sleep(3 * time.Second)
	}},
	{"agent cut off from its worker", 0.85, func(s *fleet) {
		s.cutFor("a1", "w1", 3*time.Second)
		time.Sleep(3 * time.Second)
	}},
	{"worker crashes", 0.85, func(s *fleet) { s.workers[1].Crash() }},
	{"worker stalls", 0.85, func(s *fleet) {
		s.workers[1].SetFaults(standin.WorkerFaults{Stalled: true})
		time.Sleep(3 * time.Second)
		s.workers[1].SetFaults(standin.WorkerFaults{})
	}},
	{"worker fails all runs", 0.99, func(s *fleet) {
		s.workers[1].SetFaults(standin.WorkerFaults{Failing: true})
		time.Sleep(3 * time.Second)
		s.workers[1].SetFaults(standin.WorkerFaults{})
	}},
	{"worker restarts every second", 0.85, func(s *fleet) {
		for range 4 {
			s.workers[1].Crash()
			time.Sleep(time.Second)
		}
	}},
	{"orders late", 0.85, func(s *fleet) { s.leaveOrdersUnanswered(3 * time.Second) }},
	{"orders never carried out", 0.85, func(s *fleet) { s.leaveOrdersUnanswered(0) }},
	{"stops late", 0.85, func(s *fleet) { s.delayStops(3*time.Second, 2500*time.Millisecond) }},
	{"entries refuse the home", 0.85, func(s *fleet) {
		s.refuseHome(s.home(), 2*time.Second)
		time.Sleep(2 * time.Second)
	}},
	{"open connections silent", 0.85, func(s *fleet) { s.network.blackholeOpenConns() }},
	{"connections of the home reset", 0.99, func(s *fleet) {
		for range 3 {
			s.network.resetConns(fmt.Sprint("e", s.home()))
			time.Sleep(700 * time.Millisecond)
		}
	}},
	{"store down", 1, func(s *fleet) {
		s.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(3 * time.Second)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"entry leaves", 1, func(s *fleet) {
		h := s.home()
		time.AfterFunc(2*time.Second, func() { s.setInRotation(h, false) })
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := s.entry(h).Stop(ctx); err != nil {
			s.t.Error(err)
		}
		s.startEntry(h)
		s.setInRotation(h, true)
	}},
	{"worker removed after notice", 0.99, func(s *fleet) {
		s.workers[1].DrainFor(1600 * time.Millisecond)
		time.Sleep(1600 * time.Millisecond)
		s.network.refuse("a1", "w1", true)
	}},
	{"worker removed without notice", 0.85, func(s *fleet) {
		s.workers[1].DrainFor(0)
		s.network.refuse("a1", "w1", true)
		time.Sleep(4 * time.Second)
		s.workers[1].Return()
		s.network.refuse("a1", "w1", false)
	}},
	{"worker drains", 1, func(s *fleet) { s.workers[1].Drain() }},
}

// TestFleetUnderFaults loads all entries while one fault is injected. The
// invariants must hold in every case, and most jobs must complete.
func TestFleetUnderFaults(t *testing.T) {
	for _, tc := range fleetFaults {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(_ *testing.T, s *fleet) {
				done := make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(time.Second)
					tc.inject(s)
				}()
				s.load(6*time.Second, 0, 1, 2)
				<-done
				s.wantCompleted(tc.minShare)
				s.wantOneHome()
			})
		})
	}
}

// TestDividedFleetUnderFaults is TestFleetUnderFaults on a fleet whose agents are
// divided into two cells, each with a home of its own.
func TestDividedFleetUnderFaults(t *testing.T) {
	for _, tc := range fleetFaults {
		t.Run(tc.name, func(t *testing.T) {
			runWithCells(t, fleetAgents/2, func(_ *testing.T, s *fleet) {
				s.wantCells(2)
				done := make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(time.Second)
					tc.inject(s)
				}()
				s.load(6*time.Second, 0, 1, 2)
				<-done
				s.wantCompleted(tc.minShare)
				s.wantOneHome()
				s.wantCells(2)
			})
		})
	}
}

// wantCells checks that all entries agree on the homes of the cells.
func (s *fleet) wantCells(n int) {
	s.t.Helper()
	homes := s.entry(0).CellHomes()
	if len(homes) != n {
		s.t.Errorf("%d homes of cells, want %d", len(homes), n)
	}
	for i := range fleetEntries {
		if other := s.entry(i).CellHomes(); !slices.Equal(other, homes) {
			s.t.Errorf("entry %d sees the homes %v, entry 0 %v", i, other, homes)
		}
	}
}

// TestLeavingEntryAnswersEveryCaller keeps sending requests to an entry that
// stops, as the load balancer does when too few other entries of the data centre
// are left. No request may lose its connection without an answer.
func TestLeavingEntryAnswersEveryCaller(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		leaving := (s.home() + 1) % fleetEntries
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), 5600*time.Millisecond)
			defer cancel()
			if err := s.entry(leaving).Stop(ctx); err != nil {
				t.Errorf("planned stop: %v", err)
			}
			s.startEntry(leaving)
		}()
		s.load(8*time.Second, 0, 1, 2)
		<-stopped
		if s.brokenConns > 0 {
			t.Errorf("%d requests lost their connection without an answer", s.brokenConns)
		}
	})
}

// wantOneHome checks that exactly one entry is home 2 s after the fault.
func (s *fleet) wantOneHome() {
	s.t.Helper()
	time.Sleep(2 * time.Second)
	homes := 0
	for i := range fleetEntries {
		if s.entry(i).IsHome() {
			homes++
		}
	}
	if homes != 1 {
		s.t.Errorf("%d entries are home, want 1", homes)
	}
}

func (s *fleet) pauseFor(host string, duration time.Duration) {
	s.network.pause(host, true)
	time.Sleep(duration)
	s.network.pause(host, false)
}

// cutFor cuts both directions between two hosts and restores them after duration.
func (s *fleet) cutFor(a, b string, duration time.Duration) {
	s.network.cut(a, b, true)
	s.network.cut(b, a, true)
	time.AfterFunc(duration, func() {
		s.network.cut(a, b, false)
		s.network.cut(b, a, false)
	})
}

// leaveOrdersUnanswered makes each worker leave every twelfth order unanswered
// for 3 s and execute it after a delay, or never if the delay is 0.
func (s *fleet) leaveOrdersUnanswered(executeAfter time.Duration) {
	for _, w := range s.workers {
		w.SetFaults(standin.WorkerFaults{Unanswered: func(n int) bool { return n%12 == 0 }, ExecuteAfter: executeAfter})
	}
	time.Sleep(3 * time.Second)
	for _, w := range s.workers {
		w.SetFaults(standin.WorkerFaults{})
	}
}

// delayStops makes all workers leave the orders to stop a run unanswered for a while
// and execute each of them after a delay.
func (s *fleet) delayStops(duration, executeAfter time.Duration) {
	for _, w := range s.workers {
		w.SetFaults(standin.WorkerFaults{StopsUnanswered: true, ExecuteAfter: executeAfter})
	}
	time.Sleep(duration)
	for _, w := range s.workers {
		w.SetFaults(standin.WorkerFaults{})
	}
}

// TestCellWithoutWorkersHandsJobsOn kills all agents but one, so that a cell has none.
// Its home must hand jobs to the other cell at once.
func TestCellWithoutWorkersHandsJobsOn(t *testing.T) {
	runWithCells(t, fleetAgents/2, func(t *testing.T, s *fleet) {
		for i := range fleetAgents - 1 {
			s.agent(i).Kill()
		}
		time.Sleep(time.Second)
		for i := range 8 {
			submittedAt := time.Now()
			s.submit(i%fleetEntries, pingQueue, fmt.Sprintf("1%015x", i), 1)
			if took, limit := time.Since(submittedAt), pingQueue.Objective(100*time.Millisecond); took > limit {
				t.Errorf("answer to job %d after %v, want it within %v", i, took, limit)
			}
		}
		s.wantCompleted(1)
		for i := range fleetAgents - 1 {
			s.startAgent(i)
		}
	})
}
