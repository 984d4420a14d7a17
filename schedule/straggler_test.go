package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// slowReport returns a report of an agent with all its runs as slow.
func slowReport(h *harness, agent string, took time.Duration) *schedule.Report {
	r := &schedule.Report{Life: "1", Target: h.agents[agent], Ready: true, Settled: true}
	for _, run := range h.starts[agent] {
		r.Slow = append(r.Slow, schedule.Projection{Run: run, Took: took})
	}
	return r
}

// reportSlow reports runs at an agent as slow, with a projected run time.
func (h *harness) reportSlow(agent string, took time.Duration, runs ...work.Run) {
	r := &schedule.Report{Life: "1", Target: h.agents[agent], Ready: true, Settled: true}
	for _, run := range runs {
		r.Slow = append(r.Slow, schedule.Projection{Run: run, Took: took})
	}
	h.c.Report(h.now, agent, r)
	h.collect()
}

// TestRunsOfASlowWorkerAreMoved covers a worker where runs of several jobs are far
// slower than expected: it gets no task that would be late there, and runs that can
// be in time on another worker are moved.
func TestRunsOfASlowWorkerAreMoved(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 2)
	h.submit(job("j1", 0, 1, 200*time.Millisecond))
	h.submit(job("j2", 0, 1, 200*time.Millisecond))
	h.wantStarts("a", 2)
	h.addAgent("b", 2)
	h.advance(40 * time.Millisecond)
	h.reportSlow("a", 1300*time.Millisecond, h.starts["a"]...)
	if n := len(h.stops["a"]); n != 2 {
		t.Fatalf("%d runs were stopped, want 2", n)
	}
	for _, r := range h.starts["a"] {
		h.endRun("a", r, work.Stopped, 90*time.Millisecond)
	}
	h.wantStarts("b", 2)
	h.submit(job("j3", 0, 1, 200*time.Millisecond))
	h.wantStarts("a", 2)
}

// TestSlowdownOfAWorkerExpires checks that the slowdown of a worker expires when it is
// no longer observed.
func TestSlowdownOfAWorkerExpires(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 2)
	h.submit(job("j1", 0, 1, 200*time.Millisecond))
	h.submit(job("j2", 0, 1, 200*time.Millisecond))
	h.reportSlow("a", 1300*time.Millisecond, h.starts["a"]...)
	for _, r := range h.starts["a"] {
		h.endRun("a", r, work.Done, 1300*time.Millisecond)
	}
	h.advance(2 * time.Second)
	h.addAgent("b", 2)
	h.submit(job("j3", 0, 2, 2*time.Second))
	h.submit(job("j4", 0, 2, 2*time.Second))
	h.wantStarts("a", 4)
}

// TestWrongEstimatesAmongManyEnds checks that a worker does not count as slow when
// only the runs with wrong estimates remain and many others have ended as expected.
func TestWrongEstimatesAmongManyEnds(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 8)
	for i := range 8 {
		h.submit(job("j"+strconv.Itoa(i), 0, 1, 100*time.Millisecond))
	}
	h.addAgent("b", 8)
	h.advance(100 * time.Millisecond)
	for _, r := range h.starts["a"][2:] {
		h.endRun("a", r, work.Done, 100*time.Millisecond)
	}
	h.reportSlow("a", 300*time.Millisecond, h.starts["a"][:2]...)
	if n := len(h.stops["a"]); n != 0 {
		t.Errorf("%d runs were stopped, want none", n)
	}
}

// TestWrongEstimateIsNotASlowWorker checks that a worker does not count as slow when
// only the tasks of one job take far longer than estimated.
func TestWrongEstimateIsNotASlowWorker(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	h.submit(job("j1", 0, 2, 200*time.Millisecond))
	h.submit(job("j2", 0, 1, 200*time.Millisecond))
	h.addAgent("b", 4)
	h.advance(80 * time.Millisecond)
	h.reportSlow("a", 600*time.Millisecond, h.starts["a"][0], h.starts["a"][1])
	if n := len(h.stops["a"]); n != 0 {
		t.Errorf("%d runs were stopped, want none", n)
	}
}
