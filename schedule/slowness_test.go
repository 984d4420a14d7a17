package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// TestWorkerThatWasFastStaysIdle guards against a worker that gets no task because the few runs before it
// was out of service were faster than expected.
func TestWorkerThatWasFastStaysIdle(t *testing.T) {
	h := newHarness(t)
	h.addAgent("back", 8)
	h.teachSlowness("back", 0.4)
	out := h.agents["back"]
	delete(h.agents, "back")
	h.c.Report(h.now, "back", &schedule.Report{Life: "1", Target: out, Settled: true})
	h.addAgent("busy", 8)
	for i := range 120 {
		h.submit(job("j"+strconv.Itoa(i), 0, 1, 100*time.Millisecond))
		h.advance(100 * time.Millisecond)
		if starts := h.starts["busy"]; len(starts) > i {
			h.endRun("busy", starts[i], work.Done, 100*time.Millisecond)
		}
	}
	h.wantStarts("busy", 120)
	before := len(h.starts["back"])
	h.agents["back"] = out
	h.report("back")
	h.submit(job("k1", 0, 1, 100*time.Millisecond))
	h.submit(job("k2", 0, 1, 100*time.Millisecond))
	if n := len(h.starts["back"]) - before; n != 1 {
		t.Errorf("%d of 2 tasks were started at the worker that is back, want 1", n)
	}
}
