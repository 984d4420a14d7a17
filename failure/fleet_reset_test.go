package failure

import (
	"fmt"
	"testing"
	"time"

	"masticbay/platform/standin"
)

// TestJobsGoOnWhenConnectionsOfTheHomeAreLost resets or silences the connections of
// the home while a job of another entry runs there. The home still has the job, so the
// job must not start again, and must be answered within its objective.
func TestJobsGoOnWhenConnectionsOfTheHomeAreLost(t *testing.T) {
	for _, tc := range []struct {
		name   string
		after  time.Duration
		inject func(s *fleet, home int)
	}{
		{"reset while the job runs", 300 * time.Millisecond, func(s *fleet, home int) { s.network.resetConns(fmt.Sprint("e", home)) }},
		{"reset when the job ends", 900 * time.Millisecond, func(s *fleet, home int) { s.network.resetConns(fmt.Sprint("e", home)) }},
		{"silent", 300 * time.Millisecond, func(s *fleet, home int) { s.network.silence(fmt.Sprint("e", home)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, s *fleet) {
				home := s.home()
				submittedAt := time.Now()
				time.AfterFunc(tc.after, func() { tc.inject(s, home) })
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
