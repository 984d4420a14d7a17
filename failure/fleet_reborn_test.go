package failure

import (
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
	for _, w := range s.workers {
		w.Reborn("", time.Minute)
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
			s.agent(i).Kill()
			s.workers[i].Reborn("", time.Second)
		}
		time.Sleep(300 * time.Millisecond)
		for _, i := range restarted {
			s.startAgent(i)
		}
		<-done
	})
}
