package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// TestJobWhoseStartsWereRefusedCountsAsWaiting guards against a count of waiting jobs that leaves
// out those of which no task has begun, as their starts were refused.
func TestJobWhoseStartsWereRefusedCountsAsWaiting(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	h.restore("j", 1)
	want := func(n int, after string) {
		t.Helper()
		if got := h.c.Waiting()["q0"]; got != n {
			t.Errorf("%d jobs wait after %s, want %d", got, after, n)
		}
	}
	want(0, "the start")
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Refused, Reason: "unwell"})
	want(1, "its refusal")
	h.advanceConfirmed(time.Second)
	want(0, "the next start")
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][1], End: work.Failed})
	h.agents["a"] = work.Target{ID: "w-a", Born: 1, Service: "s", Draining: true}
	h.confirm("a", 1, nil)
	want(0, "a failed run")
}
