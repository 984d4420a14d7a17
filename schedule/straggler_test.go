package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// reportSlow tells that runs at an agent will take a multiple of what was expected.
func (d *harness) reportSlow(agent string, took time.Duration, runs ...work.Run) {
	r := &schedule.Report{Life: "1", Target: d.agents[agent], Ready: true, Settled: true}
	for _, run := range runs {
		r.Slow = append(r.Slow, schedule.Projection{Run: run, Took: took})
	}
	d.c.Report(d.now, agent, r)
	d.collect()
}

// TestWorkerThatTurnsSlow: runs of several jobs go far slower than expected. The
// worker gets nothing that would be late there, and what can be in time
// elsewhere is moved.
func TestWorkerThatTurnsSlow(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 2)
	d.submit(job("j1", 0, 1, 200*time.Millisecond))
	d.submit(job("j2", 0, 1, 200*time.Millisecond))
	d.wantStarts("a", 2)
	d.addAgent("b", 2)
	d.advance(40 * time.Millisecond)
	d.reportSlow("a", 1300*time.Millisecond, d.starts["a"]...)
	if n := len(d.stops["a"]); n != 2 {
		t.Fatalf("%d runs were stopped, want 2", n)
	}
	for _, r := range d.starts["a"] {
		d.endRun("a", r, work.Stopped, 90*time.Millisecond)
	}
	d.wantStarts("b", 2)
	d.submit(job("j3", 0, 1, 200*time.Millisecond))
	d.wantStarts("a", 2)
}

// TestSlowWorkerIsTriedAgain: nothing has been seen of its slowness for a while.
func TestSlowWorkerIsTriedAgain(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 2)
	d.submit(job("j1", 0, 1, 200*time.Millisecond))
	d.submit(job("j2", 0, 1, 200*time.Millisecond))
	d.reportSlow("a", 1300*time.Millisecond, d.starts["a"]...)
	for _, r := range d.starts["a"] {
		d.endRun("a", r, work.Done, 1300*time.Millisecond)
	}
	d.advance(2 * time.Second)
	d.addAgent("b", 2)
	d.submit(job("j3", 0, 2, 2*time.Second))
	d.submit(job("j4", 0, 2, 2*time.Second))
	d.wantStarts("a", 4)
}

// TestWrongEstimatesAmongManyEnds: what is left of the runs are those with wrong
// estimates, but many others have ended as expected meanwhile.
func TestWrongEstimatesAmongManyEnds(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 8)
	for i := range 8 {
		d.submit(job("j"+strconv.Itoa(i), 0, 1, 100*time.Millisecond))
	}
	d.addAgent("b", 8)
	d.advance(100 * time.Millisecond)
	for _, r := range d.starts["a"][2:] {
		d.endRun("a", r, work.Done, 100*time.Millisecond)
	}
	d.reportSlow("a", 300*time.Millisecond, d.starts["a"][:2]...)
	if n := len(d.stops["a"]); n != 0 {
		t.Errorf("%d runs were stopped, want none", n)
	}
}

// TestWrongEstimateIsNotASlowWorker: the tasks of one job take far longer than
// estimated, others do not.
func TestWrongEstimateIsNotASlowWorker(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 4)
	d.submit(job("j1", 0, 2, 200*time.Millisecond))
	d.submit(job("j2", 0, 1, 200*time.Millisecond))
	d.addAgent("b", 4)
	d.advance(80 * time.Millisecond)
	d.reportSlow("a", 600*time.Millisecond, d.starts["a"][0], d.starts["a"][1])
	if n := len(d.stops["a"]); n != 0 {
		t.Errorf("%d runs were stopped, want none", n)
	}
}
