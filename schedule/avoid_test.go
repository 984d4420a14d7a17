package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// TestLastingTaskIsNotKeptFromItsOnlyWorkers guards against a lasting task that never runs again
// after it has failed on all workers that can run it.
func TestLastingTaskIsNotKeptFromItsOnlyWorkers(t *testing.T) {
	for name, tc := range map[string]struct {
		label string
		fill  int // CPU of another lasting task, which fills worker b
	}{"label": {"x", 0}, "room": {"", 40}} {
		h := newHarness(t)
		h.addAgent("a", 4, "x")
		h.addAgent("b", 4)
		h.setTenure(1)
		h.confirm("a", 1, nil)
		if tc.fill > 0 {
			h.agents["a"] = work.Target{ID: "w-a", Born: 1, Service: "s", Draining: true}
		}
		h.confirm("a", 1, nil)
		h.confirm("b", 1, nil)
		if tc.fill > 0 {
			fill := job("fill", 0, 1, 0)
			fill.Lasts, fill.Steps[0].Room.CPU = true, tc.fill
			h.restoreStored(fill)
			h.wantStarts("b", 1)
			h.agents["a"] = work.Target{ID: "w-a", Born: 1, Service: "s", Labels: []string{"x"}, Capacity: work.Room{CPU: 40}}
			h.confirm("a", 1, nil)
		}
		j := job("j", 0, 1, 0)
		j.Lasts, j.Steps[0].Label = true, tc.label
		h.restoreStored(j)
		h.wantStarts("a", 1)
		h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Failed})
		h.advanceConfirmed(3 * time.Second)
		if n := len(h.starts["a"]); n != 2 {
			t.Errorf("%s: %d starts, want 2", name, n)
		}
	}
}

// TestFailedTaskAvoidsItsWorker checks that a task goes to another worker that can run it.
func TestFailedTaskAvoidsItsWorker(t *testing.T) {
	h := newTenureHarness(t, 4, "a", "b")
	j := job("j", 0, 1, 0)
	j.Lasts = true
	h.restoreStored(j)
	first, other := "a", "b"
	if len(h.starts["a"]) == 0 {
		first, other = other, first
	}
	h.confirm(first, 1, nil, schedule.Event{Run: h.starts[first][0], End: work.Failed})
	h.advanceConfirmed(time.Second)
	h.wantStarts(first, 1)
	h.wantStarts(other, 1)
}

// TestLastingTaskThatFailedTwiceWaitsForWorkersAtTheirLimit guards against a task that waits for
// workers which have as many tasks of its step as they may, while those where it failed are idle.
func TestLastingTaskThatFailedTwiceWaitsForWorkersAtTheirLimit(t *testing.T) {
	h := newTenureHarness(t, 4, "a", "b", "c")
	j := job("j", 0, 2, 0)
	j.Lasts, j.Steps[0].MaxPerOne = true, 1
	h.restoreStored(j)
	for range 2 {
		agent, r := h.lastStart(run("j", 0, 0).Task)
		h.confirm(agent, 1, nil, schedule.Event{Run: r, End: work.Failed})
		h.advanceConfirmed(3 * time.Second)
	}
	if _, r := h.lastStart(run("j", 0, 0).Task); r.Number != 3 {
		t.Errorf("last start %s, want the third", r)
	}
}

// TestFailedTaskWaitsForWorkerThatIsFullForGood guards against a job that failed once and then
// waits for a worker that is full of tasks that last.
func TestFailedTaskWaitsForWorkerThatIsFullForGood(t *testing.T) {
	h := newTenureHarness(t, 4, "a", "b")
	h.restore("j", 1)
	first, r := h.lastStart(run("j", 0, 0).Task)
	fill := job("fill", 0, 1, 0)
	fill.Lasts, fill.Steps[0].Room.CPU = true, 40
	h.restoreStored(fill)
	h.confirm(first, 1, nil, schedule.Event{Run: r, End: work.Failed})
	h.advanceConfirmed(3 * time.Second)
	h.wantStarts(first, 2)
}

// TestFailedTaskWaitsForBusyWorker guards against a job that failed once and then waits for as long
// as other runs take.
func TestFailedTaskWaitsForBusyWorker(t *testing.T) {
	h := newTenureHarness(t, 4, "a", "b")
	h.restore("j", 1)
	first, r := h.lastStart(run("j", 0, 0).Task)
	busy := job("busy", 0, 1, time.Hour)
	busy.Steps[0].Room.CPU = 40
	h.restoreStored(busy)
	h.confirm(first, 1, nil, schedule.Event{Run: r, End: work.Failed})
	h.advanceConfirmed(time.Second)
	h.wantStarts(first, 1)
	h.advanceConfirmed(2 * time.Second)
	h.wantStarts(first, 2)
}
