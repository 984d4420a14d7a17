package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/work"
)

// teachTail lets runs of queue q0 end at an agent, one in 20 of which takes 7 times as long.
func (h *harness) teachTail(agent string) {
	est := 100 * time.Millisecond
	for i := range 400 {
		h.submit(job("tail"+strconv.Itoa(i), 0, 1, est))
		took := est
		if i%20 == 10 {
			took = 7 * est
		}
		h.endRun(agent, h.starts[agent][i], work.Done, took)
	}
	h.advance(time.Second) // no end is recent any more
	h.starts = make(map[string][]work.Run)
}

// submitRuns submits jobs of one task, and checks that all start at an agent.
func (h *harness) submitRuns(agent string, n int) {
	for i := range n {
		h.submit(job("j"+strconv.Itoa(i), 0, 1, 100*time.Millisecond))
	}
	h.wantStarts(agent, n)
}

// TestTailTasksAreTakenForASlowWorker guards against runs in their tail that are stopped
// and started again elsewhere, since two of them make their worker count as slow.
func TestTailTasksAreTakenForASlowWorker(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 8)
	h.teachTail("a")
	h.submitRuns("a", 4)
	h.addAgent("b", 8)
	h.advance(100 * time.Millisecond)
	h.reportSlow("a", 700*time.Millisecond, h.starts["a"][:2]...)
	if n := len(h.stops["a"]); n != 0 {
		t.Errorf("%d runs were stopped, want none", n)
	}
}

// TestSlowWorkerIsTakenForATail guards against a slow worker that keeps its runs, since
// its queue has a tail.
func TestSlowWorkerIsTakenForATail(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 8)
	h.teachTail("a")
	h.submitRuns("a", 8)
	h.addAgent("b", 8)
	h.advance(100 * time.Millisecond)
	h.reportSlow("a", 700*time.Millisecond, h.starts["a"]...)
	if n := len(h.stops["a"]); n != 8 {
		t.Errorf("%d runs were stopped, want 8", n)
	}
}

// TestTailTaskOnASlowWorkerIsMoved guards against a run that is stopped for nothing: most
// of its time is its own work, which it would take with it.
func TestTailTaskOnASlowWorkerIsMoved(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 3)
	h.submitRuns("a", 3)
	h.addAgent("b", 8)
	h.advance(200 * time.Millisecond)
	const own = 4 // times the work of the others
	r := slowReport(h, "a", 260*time.Millisecond)
	r.Slow[2].Took *= own
	h.c.Report(h.now, "a", r)
	h.collect()
	for _, run := range h.stops["a"] {
		if run == h.starts["a"][2] {
			t.Error("a run of 1,040 ms was stopped after 200 ms, to run for 400 ms elsewhere")
		}
	}
}

// TestRunInItsTailIsAbandoned guards against a run of a queue with a tail that is stopped
// as overdue and begins anew.
func TestRunInItsTailIsAbandoned(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 8)
	h.teachTail("a")
	h.submitRuns("a", 1)
	h.advance(1500 * time.Millisecond) // 13 to 15 times the expected time
	if n := len(h.stops["a"]); n != 0 {
		t.Errorf("%d runs were stopped, want none", n)
	}
	h.advance(2 * time.Second)
	if n := len(h.stops["a"]); n != 1 {
		t.Errorf("%d runs were stopped after 35 times the expected time, want 1", n)
	}
}

// TestTailMakesAWorkerSlow guards against a worker that counts as slower than another one
// of the same speed, since a few of its runs were in their tail.
func TestTailMakesAWorkerSlow(t *testing.T) {
	h := newHarness(t)
	const tailRuns = 4
	est := 100 * time.Millisecond
	for _, agent := range []string{"a", "b"} {
		h.addAgent(agent, 1, agent)
		for i := range 60 {
			j := job(agent+strconv.Itoa(i), 0, 1, est)
			j.Steps[0].Label = agent
			h.submit(j)
			took := est
			if agent == "a" && i >= 60-tailRuns {
				took = 7 * est
			}
			h.endRun(agent, h.starts[agent][i], work.Done, took)
		}
	}
	// The workers are as fast within a fifth, so the one with more capacity gets the task.
	h.addAgent("b", 4, "b")
	h.starts = make(map[string][]work.Run)
	h.submit(job("j", 0, 1, est))
	h.wantStarts("b", 1)
}
