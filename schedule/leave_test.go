package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// reportLeave reports that the worker of an agent is draining and leaves.
func (h *harness) reportLeave(agent string, left time.Duration) {
	t := h.agents[agent]
	t.Draining = true
	h.agents[agent] = t
	h.c.Report(h.now, agent, &schedule.Report{Life: "1", Target: t, Ready: true, Settled: true, KnowsLeave: true, LeavesIn: left})
	h.collect()
}

// TestRunsOnALeavingWorkerAreMoved guards against runs that are lost with a worker which has
// announced its removal, and against runs that are stopped although they end there in time,
// or end in time nowhere else.
func TestRunsOnALeavingWorkerAreMoved(t *testing.T) {
	for _, tc := range []struct {
		name      string
		estimate  time.Duration
		left      time.Duration
		slots     int // of the other worker
		ran       time.Duration
		wantStops int
	}{
		{"ends there", 900 * time.Millisecond, 2 * time.Second, 4, 0, 0},
		{"ends there since it has run for a while", 900 * time.Millisecond, 700 * time.Millisecond, 4, 250 * time.Millisecond, 0},
		{"in time elsewhere", 900 * time.Millisecond, 600 * time.Millisecond, 4, 100 * time.Millisecond, 2},
		{"room for one", 900 * time.Millisecond, 600 * time.Millisecond, 1, 100 * time.Millisecond, 1},
		{"no other worker", 900 * time.Millisecond, 600 * time.Millisecond, 0, 100 * time.Millisecond, 0},
		{"late elsewhere, may end here", 900 * time.Millisecond, 100 * time.Millisecond, 4, 700 * time.Millisecond, 0},
		{"late elsewhere, does not end here", 900 * time.Millisecond, 20 * time.Millisecond, 4, 700 * time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.addAgent("a", 4)
			j := job("j", 2, 2, tc.estimate)
			j.Left = 1500 * time.Millisecond
			h.submit(j)
			h.wantStarts("a", 2)
			if tc.slots > 0 {
				h.addAgent("b", tc.slots)
			}
			h.advance(tc.ran)
			h.reportLeave("a", tc.left)
			if got := len(h.stops["a"]); got != tc.wantStops {
				t.Fatalf("%d stops, want %d", got, tc.wantStops)
			}
			h.reportLeave("a", tc.left)
			if got := len(h.stops["a"]); got != tc.wantStops {
				t.Errorf("%d stops after another report, want %d", got, tc.wantStops)
			}
			for _, r := range h.stops["a"] {
				h.endRun("a", r, work.Stopped, tc.ran)
			}
			h.wantStarts("b", tc.wantStops)
		})
	}
}
