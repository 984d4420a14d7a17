package failure

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticbay/platform/standin"
)

// delayFirstStarts makes each worker leave its next start unanswered and carry it out at a time.
func (s *fleet) delayFirstStarts(at time.Time) {
	for _, w := range s.workers {
		delayed := false
		w.SetFaults(standin.WorkerFaults{Late: func(kind standin.OrderKind) time.Duration {
			if kind != standin.OrderStart || delayed {
				return 0
			}
			delayed = true
			return time.Until(at)
		}})
	}
}

// setClocks restarts the workers with clocks that show more than those of later incarnations.
func (s *fleet) setClocks() {
	for i := range s.workers {
		s.reborn(i, "", time.Minute)
	}
	time.Sleep(time.Second)
}

// idleAgents returns the agents whose workers do not run lateJob, which must run elsewhere.
func (s *fleet) idleAgents() (agents []int) {
	busy := s.lateJobAgents()
	if len(busy) == 0 {
		s.t.Fatal("the job does not run")
	}
	for i := range fleetAgents {
		if !slices.Contains(busy, i) {
			agents = append(agents, i)
		}
	}
	return agents
}

// TestLateStartAfterRestartOfAgentAndWorker guards against a double run: a start that got no
// answer is carried out by the next incarnation of its worker, whose agent has restarted with it
// and has lower tokens.
func TestLateStartAfterRestartOfAgentAndWorker(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		s.setClocks()
		s.delayFirstStarts(time.Now().Add(2500 * time.Millisecond))
		done := s.submitLate(s.home()+1, 8*time.Second)
		time.Sleep(1500 * time.Millisecond)
		restarted := s.idleAgents()
		for _, i := range restarted {
			s.killAgent(i)
			s.reborn(i, "", time.Second)
		}
		time.Sleep(300 * time.Millisecond)
		for _, i := range restarted {
			s.startAgent(i)
		}
		<-done
	})
}

// TestLateStartAfterRestartOfWorker guards against a double run: a start that got no answer is
// carried out by the next incarnation of its worker, which has seen no token of its agent yet.
func TestLateStartAfterRestartOfWorker(t *testing.T) {
	testLateStartAfterRestart(t, func(i int) (newID string) { return fmt.Sprint("reborn", i) })
}

// TestLateStartAfterRestartUnderTheSameID is TestLateStartAfterRestartOfWorker for workers that
// return under the ID that the late start names.
func TestLateStartAfterRestartUnderTheSameID(t *testing.T) {
	testLateStartAfterRestart(t, func(int) (newID string) { return "" })
}

// testLateStartAfterRestart restarts workers while a poll to them is due later than a start that
// they have left unanswered.
func testLateStartAfterRestart(t *testing.T, newID func(worker int) string) {
	for _, tc := range []struct {
		name   string
		inject func(s *fleet, i int)
	}{
		{"polls get no answer", func(s *fleet, i int) {
			s.workers[i].SetFaults(standin.WorkerFaults{Late: func(kind standin.OrderKind) time.Duration {
				if kind != standin.OrderHold {
					return 0
				}
				return 3 * time.Second
			}})
			time.AfterFunc(300*time.Millisecond, func() { s.workers[i].SetFaults(standin.WorkerFaults{}) })
		}},
		{"cut off from its agent", func(s *fleet, i int) { s.cutWorker(i, 300*time.Millisecond) }},
		{"the next poll is not sent yet", func(*fleet, int) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(_ *testing.T, s *fleet) {
				s.setClocks()
				s.delayFirstStarts(time.Now().Add(1510 * time.Millisecond))
				done := s.submitLate(s.home()+1, 8*time.Second)
				time.Sleep(1500 * time.Millisecond)
				for _, i := range s.idleAgents() {
					tc.inject(s, i)
					s.reborn(i, newID(i), time.Second)
				}
				<-done
			})
		})
	}
}

// cutWorker cuts a worker off from its agent, in both directions.
func (s *fleet) cutWorker(i int, duration time.Duration) {
	w, agent, control := fmt.Sprint("w", i), fmt.Sprint("a", i), fmt.Sprint("c", i)
	s.cutFor(w, agent, duration)
	s.cutFor(w, control, duration)
}

// reborn starts another incarnation of a worker, to which no connection of the earlier one leads.
func (s *fleet) reborn(i int, id string, clockStart time.Duration) {
	s.network.resetConns(fmt.Sprint("w", i))
	s.workers[i].Reborn(id, clockStart)
}

// TestLatePollAfterRestartExtendsLease guards against a double run: a poll of a former agent, of which
// the present one does not know, extends the lease of its worker's next incarnation, so that a run
// goes on after its agent has reported that it has lapsed.
func TestLatePollAfterRestartExtendsLease(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		s.setClocks()
		for _, w := range s.workers {
			late := time.Now().Add(2400 * time.Millisecond)
			w.SetFaults(standin.WorkerFaults{Late: func(standin.OrderKind) time.Duration { return max(time.Until(late), 0) }})
		}
		time.Sleep(50 * time.Millisecond)
		for i := range fleetAgents {
			s.killAgent(i)
			s.workers[i].SetFaults(standin.WorkerFaults{})
			s.reborn(i, "", time.Second)
			s.startAgent(i)
		}
		time.Sleep(1450 * time.Millisecond)
		done := s.submitLate(s.home()+1, 8*time.Second)
		time.Sleep(400 * time.Millisecond)
		for _, i := range s.lateJobAgents() {
			s.workers[i].SetFaults(standin.WorkerFaults{Late: func(standin.OrderKind) time.Duration { return 4 * time.Second }})
			time.AfterFunc(1200*time.Millisecond, func() { s.workers[i].SetFaults(standin.WorkerFaults{}) })
		}
		<-done
		s.describeRuns(lateJob + ".0.0.0")
	})
}
