package site

import (
	"context"
	"testing"
	"time"

	"masticbay/work"
)

// TestWithdrawalOvertakesItsJob guards against a job that runs for nobody: its withdrawal arrives
// before the message that hands it over.
func TestWithdrawalOvertakesItsJob(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	handOver := func(call uint64) (moved bool) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		job := work.Job{ID: "j", Left: time.Second, Steps: []work.Step{{Count: 1}}, Queue: work.Queue{MaxAttempts: 1}}
		_, moved = h.run(ctx, &RunArgs{Entry: "entry-2", Call: call, Home: h.e.life, Job: job})
		return moved
	}
	h.withdraw(entrySession{"entry-2", 0}, "j", 5)
	if !handOver(5) {
		t.Error("the home took a job that was withdrawn")
	}
	if handOver(6) {
		t.Error("the home did not take the job that was submitted again")
	}
}

// TestWithdrawalEndsALaterCall guards against a caller without an outcome: the withdrawal of an
// earlier call for the same job ended its call.
func TestWithdrawalEndsALaterCall(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	w := &waiter{entry: entrySession{"entry-2", 0}, call: 6, done: make(chan work.Outcome, 1)}
	h.waiters["j"] = []*waiter{w}
	h.withdraw(w.entry, "j", 5)
	if len(h.waiters["j"]) != 1 {
		t.Error("the later call was ended")
	}
	h.withdraw(w.entry, "j", 6)
	if len(h.waiters["j"]) != 0 {
		t.Error("the call was not ended")
	}
}
