package failure

import (
	"fmt"
	"testing"
	"time"

	"masticbay/platform/standin"
)

// TestJobsGoOnWhenConnectionsOfTheHomeAreReset resets the connections of the home while
// a job of another entry runs there. The home still has the job, so the job must not
// start again, and must be answered within its objective.
func TestJobsGoOnWhenConnectionsOfTheHomeAreReset(t *testing.T) {
	for _, resetAfter := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(resetAfter.String(), func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, s *fleet) {
				home := s.home()
				submittedAt := time.Now()
				time.AfterFunc(resetAfter, func() { s.network.resetConns(fmt.Sprint("e", home)) })
				s.submit(home+1, longQueue, "9000000000000001", 2)
				if took := time.Since(submittedAt); took > longQueue.Objective(900*time.Millisecond) {
					t.Errorf("answer after %v, want it within %v", took, longQueue.Objective(900*time.Millisecond))
				}
				s.wantCompleted(1)
				if standin.RanAfter(submittedAt.Add(100*time.Millisecond), "9000000000000001", s.workers[:]...) {
					t.Error("tasks of the job were started again")
				}
			})
		})
	}
}
