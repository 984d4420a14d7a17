package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// advanceConfirmed moves time on while all agents confirm the tenure.
func (h *harness) advanceConfirmed(span time.Duration) {
	for end := h.now.Add(span); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		for a := range h.agents {
			h.confirm(a, 1, nil)
		}
		h.c.Tick(h.now)
		h.collect()
	}
}

func (h *harness) restoreStored(j work.Job) {
	j.Stored = true
	h.c.Restore(h.now, j, 0, nil, schedule.Failures{})
	h.collect()
}

func TestOccurrencesStartAtTheirTimes(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 10*time.Millisecond)
	j.Times, j.First, j.Every = 2, h.now.Add(time.Second), time.Second
	h.restoreStored(j)
	h.advanceConfirmed(990 * time.Millisecond)
	h.wantStarts("a", 0)
	h.advanceConfirmed(20 * time.Millisecond)
	h.wantStarts("a", 1)
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Done})
	if _, ended := h.outcomes["j"]; ended {
		t.Error("ended after the first of two occurrences")
	}
	h.advanceConfirmed(time.Second)
	h.wantStarts("a", 2)
	if r := h.starts["a"][1]; r.Task.Occurrence != 1 || r.Task.Step != 0 {
		t.Errorf("second start %v, want step 0 of occurrence 1", r)
	}
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][1], End: work.Done})
	h.wantOutcome("j", work.Completed)
}

func TestOccurrencesKeepTheOrderOfTheirSteps(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 10*time.Millisecond)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	j.Times, j.First, j.Every = 2, h.now, time.Second
	h.restoreStored(j)
	h.advanceConfirmed(1100 * time.Millisecond) // both occurrences have begun, and no first step is done
	h.wantStarts("a", 2)
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][1], End: work.Done})
	if got := h.starts["a"]; len(got) != 3 || got[2].Task.Occurrence != 1 || got[2].Task.Step != 1 {
		t.Errorf("starts %v, want three, the last of step 1 in occurrence 1", got)
	}
}

func TestLastingTasksStartAgainHoweverTheyEnd(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 0)
	j.Lasts = true
	h.restoreStored(j)
	for i, end := range []work.End{work.Done, work.Failed, work.Failed, work.Failed, work.Lapsed} {
		h.advanceConfirmed(2 * time.Second) // also past the quarantine of the only worker
		h.wantStarts("a", i+1)
		h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][i], End: end})
	}
	if _, ended := h.outcomes["j"]; ended || len(h.stops["a"]) != 0 {
		t.Errorf("job ended: %t, stops %v; want neither", ended, h.stops)
	}
	h.advanceConfirmed(time.Minute)
	h.c.Cancel(h.now, "j")
	h.collect()
	if len(h.stops["a"]) != 1 {
		t.Errorf("stops after the cancellation %v, want one at a", h.stops)
	}
}

func TestLastingTasksLeaveADrainingWorker(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 0)
	j.Lasts = true
	h.restoreStored(j)
	h.addAgent("b", 4)
	h.setTenure(1)
	a := h.agents["a"]
	a.Draining = true
	h.agents["a"] = a
	h.confirm("b", 1, nil)
	h.confirm("a", 1, nil)
	if len(h.stops["a"]) != 1 {
		t.Fatalf("stops %v, want one at a", h.stops)
	}
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Stopped})
	h.wantStarts("b", 1)
}

func TestFailuresOfAnOccurrenceAreRestored(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 10*time.Millisecond)
	j.Times, j.First, j.Every, j.Stored = 2, h.now.Add(-time.Second), time.Second, true
	second := work.TaskRef{Job: "j", Occurrence: 1}
	h.c.Restore(h.now, j, 0, [][]int{{0}, nil}, schedule.Failures{Count: map[work.TaskRef]int{second: j.Queue.MaxAttempts - 1}})
	h.collect()
	h.wantStarts("a", 1)
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Failed})
	h.wantOutcome("j", work.JobFailed)
}

func TestTaskResumesFromItsCheckpoint(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, time.Second)
	j.Steps[0].Checkpoint = true
	h.restoreStored(j)
	h.now = h.now.Add(time.Millisecond)
	h.c.Report(h.now, "a", &schedule.Report{Life: "1", Target: h.agents["a"], Ready: true, Settled: true, Epoch: 1,
		Events: []schedule.Event{{Seq: 1, Run: h.starts["a"][0], End: work.Lapsed, Checkpoint: "c1", Stored: true}}})
	decisions := h.c.Take()
	if got := decisions.Starts["a"]; len(got) != 1 || got[0].Checkpoint != "c1" {
		t.Errorf("starts %+v, want one from checkpoint c1", got)
	}
}
