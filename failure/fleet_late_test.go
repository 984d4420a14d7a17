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

// lateJob is the ID of a job whose run takes 4.9 s.
const lateJob = "a000000000000001"

// lateJobEstimate is far below the run time of lateJob.
const lateJobEstimate = 450 * time.Millisecond

// failoverTime is less than an entry takes to notice that a home is cut off.
const failoverTime = 200 * time.Millisecond

// TestLateRunsEndBeforeTheNextHomeStartsThem cuts off the home, which stays in contact
// with the agents, while a job runs for far longer than estimated. The entry hands the
// job to the next home, and the runs of the previous one must have ended by then.
func TestLateRunsEndBeforeTheNextHomeStartsThem(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		home := s.home()
		caller := standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}, Timeout: 8 * time.Second}
		step := work.Step{Count: 2, Room: work.Room{CPU: taskCPU}, Estimate: lateJobEstimate}
		done := make(chan struct{})
		go func() {
			defer close(done)
			ctx, cancel := context.WithTimeout(s.ctx, 8*time.Second)
			defer cancel()
			if _, err := caller.Submit(ctx, s.frontAddress(home+1), longQueue.Name, lateJob, step); err != nil {
				t.Logf("the caller got no answer: %v", err)
			}
		}()
		time.Sleep(100 * time.Millisecond)
		cutAt := time.Now()
		for i := range fleetEntries {
			s.cutFor(fmt.Sprint("e", home), fmt.Sprint("e", i), 4*time.Second)
		}
		<-done
		if !standin.RanAfter(cutAt.Add(failoverTime), lateJob, s.workers[:]...) {
			t.Error("the next home has not run the job")
		}
	})
}
