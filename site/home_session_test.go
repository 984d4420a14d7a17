package site

import (
	"context"
	"testing"
	"time"

	"masticbay/work"
)

// TestCallOfANewSessionIsNotAnsweredForTheOldOne guards against a job that runs for nobody, and
// then a double run: an entry that lost a home and found it again got the outcome of the call
// that it had given up.
func TestCallOfANewSessionIsNotAnsweredForTheOldOne(t *testing.T) {
	for _, firstRun := range []int{0, runNumberStride} {
		h := newHome(testEntry())
		hand := func(ctx context.Context, session uint64, firstRun int) work.Outcome {
			job := work.Job{ID: "j", Left: time.Minute, Steps: []work.Step{{Count: 1}}, Queue: work.Queue{MaxAttempts: 1}}
			out, _ := h.run(ctx, &RunArgs{Entry: "entry-2", Session: session, Call: session, Home: h.e.life, Job: job, FirstRun: firstRun})
			return out
		}
		first := make(chan work.Outcome, 1)
		go func() { first <- hand(t.Context(), 1, 0) }()
		for h.waits("j") == 0 {
			select {
			case out := <-first:
				t.Fatalf("the first call ended: %+v", out)
			case <-time.After(time.Millisecond):
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		out := hand(ctx, 2, firstRun)
		if ctx.Err() == nil {
			t.Errorf("first run %d: the call of the new session was answered at once: %+v", firstRun, out)
		}
		cancel()
		if out := <-first; out.State != work.Unknown {
			t.Errorf("first run %d: outcome of the call that was given up: %+v", firstRun, out)
		}
		h.close()
	}
}

// waits returns the number of calls that wait for a job.
func (h *home) waits(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiters[id])
}
