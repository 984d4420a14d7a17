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

// submitUntilAnswered submits a job whose run takes 4.9 s, and again to the next entry after each
// attempt without an answer or with a gateway timeout, as callers do.
func (s *fleet) submitUntilAnswered(entry int, id string, until time.Time) {
	caller := standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}, Timeout: 8 * time.Second}
	step := work.Step{Count: 2, Room: work.Room{CPU: taskCPU}, Estimate: lateJobEstimate}
	ctx, cancel := context.WithDeadline(s.ctx, until.Add(3*time.Second))
	defer cancel()
	for attempt := entry; time.Now().Before(until); attempt++ {
		reply, err := caller.Submit(ctx, s.frontAddress(attempt), longQueue.Name, id, step)
		if err == nil && reply.Status != http.StatusGatewayTimeout && reply.Status != http.StatusServiceUnavailable {
			return
		}
		time.Sleep(retransmitDelay)
	}
}

// TestHomeCutOffForAMomentRunsJobsForNobody guards against a double run: an entry hands a job again
// to the home that had it, which then has it without a call that could be withdrawn. It depends on
// which message of the entry arrives first, so several moments are played.
func TestHomeCutOffForAMomentRunsJobsForNobody(t *testing.T) {
	for _, at := range []time.Duration{1170 * time.Millisecond, 1180 * time.Millisecond} {
		for _, duration := range []time.Duration{387 * time.Millisecond, 391 * time.Millisecond, 395 * time.Millisecond, 399 * time.Millisecond} {
			for range 3 {
				t.Run(fmt.Sprint("after ", at, " for ", duration), func(t *testing.T) {
					runWithFleet(t, func(_ *testing.T, s *fleet) {
						var callers sync.WaitGroup
						until := time.Now().Add(5 * time.Second)
						for k := range 6 {
							callers.Go(func() { s.submitUntilAnswered(k%fleetEntries, fmt.Sprintf("a%015x", k), until) })
						}
						time.Sleep(500*time.Millisecond + at)
						s.cutHomeFromEntries(s.home(), duration)
						callers.Wait()
					})
				})
			}
		}
	}
}
