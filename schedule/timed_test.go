package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// advanceConfirmed lets time go on while the agents confirm the tenure.
func (d *harness) advanceConfirmed(span time.Duration) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(10 * time.Millisecond)
		for a := range d.agents {
			d.confirm(a, 1, nil)
		}
		d.c.Tick(d.now)
		d.collect()
	}
}

func (d *harness) restoreStored(j work.Job) {
	j.Stored = true
	d.c.Restore(d.now, j, 0, nil, nil)
	d.collect()
}

func TestOccurrencesStartAtTheirTimes(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 10*time.Millisecond)
	j.Times, j.First, j.Every = 2, d.now.Add(time.Second), time.Second
	d.restoreStored(j)
	d.advanceConfirmed(990 * time.Millisecond)
	d.wantStarts("a", 0)
	d.advanceConfirmed(20 * time.Millisecond)
	d.wantStarts("a", 1)
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][0], End: work.Done})
	if _, over := d.outcomes["j"]; over {
		t.Error("ended after the first of two occurrences")
	}
	d.advanceConfirmed(time.Second)
	d.wantStarts("a", 2)
	if r := d.starts["a"][1]; r.Task.Occurrence != 1 || r.Task.Step != 0 {
		t.Errorf("second start %v", r)
	}
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][1], End: work.Done})
	d.wantOutcome("j", work.Completed)
}

func TestOccurrencesKeepTheOrderOfTheirSteps(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 10*time.Millisecond)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	j.Times, j.First, j.Every = 2, d.now, time.Second
	d.restoreStored(j)
	d.advanceConfirmed(1100 * time.Millisecond) // both occurrences have begun, and no first step is done
	d.wantStarts("a", 2)
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][1], End: work.Done})
	if got := d.starts["a"]; len(got) != 3 || got[2].Task.Occurrence != 1 || got[2].Task.Step != 1 {
		t.Errorf("starts %v", got)
	}
}

func TestLastingTasksStartAgainHoweverTheyEnd(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 0)
	j.Lasts = true
	d.restoreStored(j)
	for i, end := range []work.End{work.Done, work.Failed, work.Failed, work.Failed, work.Lapsed} {
		d.advanceConfirmed(2 * time.Second) // also past the quarantine of the only worker
		d.wantStarts("a", i+1)
		d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][i], End: end})
	}
	if _, over := d.outcomes["j"]; over || len(d.stops["a"]) != 0 {
		t.Errorf("ended %t, stops %v", over, d.stops)
	}
	d.advanceConfirmed(time.Minute)
	d.c.Cancel(d.now, "j")
	d.collect()
	if len(d.stops["a"]) != 1 {
		t.Errorf("stops after the cancellation: %v", d.stops)
	}
}

func TestLastingTasksLeaveADrainingWorker(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 0)
	j.Lasts = true
	d.restoreStored(j)
	d.addAgent("b", 4)
	d.setTenure(1)
	a := d.agents["a"]
	a.Draining = true
	d.agents["a"] = a
	d.confirm("b", 1, nil)
	d.confirm("a", 1, nil)
	if len(d.stops["a"]) != 1 {
		t.Fatalf("stops %v", d.stops)
	}
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][0], End: work.Stopped})
	d.wantStarts("b", 1)
}

func TestFailuresOfAnOccurrenceAreRestored(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, 10*time.Millisecond)
	j.Times, j.First, j.Every, j.Stored = 2, d.now.Add(-time.Second), time.Second, true
	second := work.TaskRef{Job: "j", Occurrence: 1}
	d.c.Restore(d.now, j, 0, [][]int{{0}, nil}, map[work.TaskRef]int{second: j.Queue.MaxAttempts - 1})
	d.collect()
	d.wantStarts("a", 1)
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][0], End: work.Failed})
	d.wantOutcome("j", work.JobFailed)
}

func TestTaskResumesFromItsCheckpoint(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	j := job("j", 0, 1, time.Second)
	j.Steps[0].Checkpoint = true
	d.restoreStored(j)
	d.now = d.now.Add(time.Millisecond)
	d.c.Report(d.now, "a", &schedule.Report{Life: "1", Target: d.agents["a"], Ready: true, Settled: true, Epoch: 1,
		Events: []schedule.Event{{Seq: 1, Run: d.starts["a"][0], End: work.Lapsed, Checkpoint: "c1", Stored: true}}})
	decisions := d.c.Take()
	if got := decisions.Starts["a"]; len(got) != 1 || got[0].Checkpoint != "c1" {
		t.Errorf("starts %+v", got)
	}
}
