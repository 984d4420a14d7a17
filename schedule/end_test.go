package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

func TestTaskThatFailedIsTriedElsewhere(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 60*time.Millisecond))
	h.addAgent("b", 1)
	h.endRun("a", h.starts["a"][0], work.Failed, time.Millisecond)
	h.wantStarts("b", 1)
	if r := h.starts["b"][0]; r.Number != 2 {
		t.Errorf("run number %d, want 2", r.Number)
	}
	h.endRun("b", h.starts["b"][0], work.Failed, time.Millisecond)
	h.wantOutcome("j", work.JobFailed)
}

func TestRefusedStartIsNoAttempt(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 60*time.Millisecond))
	for i := range 5 {
		h.report("a", schedule.Event{Run: h.starts["a"][i], End: work.Refused, Reason: "noRoom"})
		h.advance(50 * time.Millisecond)
	}
	h.wantOutcome("j", "")
	h.wantStarts("a", 6)
}

// TestRunsOfALostAgentRestartAfterTheirLeases checks that a task does not start again
// before both leases of its run have expired.
func TestRunsOfALostAgentRestartAfterTheirLeases(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	j := job("j", 0, 1, 900*time.Millisecond)
	h.submit(j)
	h.addAgent("b", 1)
	h.advance(cfg.RunsLostAfter, "a")
	h.wantStarts("b", 0)
	h.advance(20*time.Millisecond, "a")
	h.wantStarts("b", 1)
}

func TestStalledRunIsStoppedAndTriedElsewhere(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 60*time.Millisecond))
	h.addAgent("b", 1)
	h.c.Report(h.now, "a", &schedule.Report{Life: "1", Target: h.agents["a"], Ready: true, Settled: true, Idle: h.starts["a"]})
	h.collect()
	if len(h.stops["a"]) != 1 {
		t.Fatalf("stops %v, want one at a", h.stops)
	}
	h.wantStarts("b", 0)
	h.endRun("a", h.starts["a"][0], work.Stopped, 400*time.Millisecond)
	h.wantStarts("b", 1)
}

// TestRunFarBeyondItsEstimateIsAbandoned checks that a run is abandoned only when it
// takes far longer than a wrong estimate explains.
func TestRunFarBeyondItsEstimateIsAbandoned(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 100*time.Millisecond))
	h.advance(800 * time.Millisecond)
	if len(h.stops["a"]) != 0 {
		t.Fatal("the run was stopped although its estimate may be wrong by that much")
	}
	h.advance(450 * time.Millisecond)
	if len(h.stops["a"]) != 1 {
		t.Errorf("stops %v, want one at a", h.stops)
	}
}

// TestWorkerWithConsecutiveFailuresIsEjected guards against a worker that fails all it starts
// and gets further tasks, since it has the most free capacity.
func TestWorkerWithConsecutiveFailuresIsEjected(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 8)
	h.addAgent("b", 8)
	for i := range 2 {
		h.submit(job("j"+strconv.Itoa(i), 0, 1, 60*time.Millisecond))
		r := h.starts["a"][len(h.starts["a"])-1]
		if r.Task.Job != "j"+strconv.Itoa(i) || r.Number != 1 {
			t.Fatalf("last start at a is %v", r)
		}
		h.endRun("a", r, work.Failed, time.Millisecond)
	}
	h.wantStarts("b", 2)
	for i := range 4 {
		h.submit(job("after"+strconv.Itoa(i), 0, 1, 60*time.Millisecond))
	}
	h.wantStarts("a", 2)
	h.wantStarts("b", 6)
}
