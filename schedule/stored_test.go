package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// setTenure gives the home a tenure over the agents; those of former have to confirm it.
func (d *harness) setTenure(epoch uint64, former ...string) {
	t := schedule.Tenure{Epoch: epoch, Until: d.now.Add(time.Hour), Agents: make(map[string]bool), Former: former}
	if len(former) > 0 {
		t.Clear = d.now.Add(6 * time.Second)
	}
	for a := range d.agents {
		t.Agents[a] = true
	}
	d.c.Hold(d.now, t)
	d.collect()
}

// confirm lets an agent confirm a tenure and tell what it keeps.
func (d *harness) confirm(name string, epoch uint64, kept []schedule.Kept, events ...schedule.Event) {
	for i := range events {
		d.seq[name]++
		events[i].Seq, events[i].Stored = d.seq[name], true
	}
	d.c.Report(d.now, name, &schedule.Report{Life: "1", Target: d.agents[name], Ready: true, Settled: true, Epoch: epoch, Asked: true, Kept: kept, Events: events})
	d.collect()
}

func (d *harness) restore(id string, tasks int, done ...int) {
	j := job(id, 0, tasks, 100*time.Millisecond)
	j.Stored = true
	d.c.Restore(d.now, j, 1000, [][]int{done}, nil)
	d.collect()
}

func run(id string, index, number int) work.Run {
	return work.Run{Task: work.TaskRef{Job: id, Index: index}, Number: number}
}

// newInheritingHarness has agents that may run tasks of a former home.
func newInheritingHarness(t *testing.T, agents ...string) *harness {
	d := newHarness(t)
	for _, a := range agents {
		d.addAgent(a, 4)
	}
	d.setTenure(2, agents...)
	return d
}

// newTenureHarness has agents with some room that obey the home for stored jobs.
func newTenureHarness(t *testing.T, room int, agents ...string) *harness {
	d := newHarness(t)
	for _, a := range agents {
		d.addAgent(a, room)
	}
	d.setTenure(1)
	for _, a := range agents {
		d.confirm(a, 1, nil)
	}
	return d
}

func TestStoredJobWaitsForPreviousAgents(t *testing.T) {
	d := newInheritingHarness(t, "a", "b")
	d.restore("j", 1)
	d.confirm("a", 2, nil)
	d.wantStarts("a", 0)
	d.confirm("b", 2, nil)
	if len(d.starts["a"])+len(d.starts["b"]) != 1 {
		t.Errorf("starts %v", d.starts)
	}
}

func TestStoredJobStartsWithoutALostAgentOnceItsLeasesEnded(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 4)
	d.setTenure(2, "a", "gone")
	d.restore("j", 1)
	d.confirm("a", 2, nil)
	d.wantStarts("a", 0)
	d.now = d.now.Add(6*time.Second + time.Millisecond)
	d.confirm("a", 2, nil)
	d.c.Tick(d.now)
	d.collect()
	d.wantStarts("a", 1)
}

func TestRunsOfThePreviousHomeAreAdopted(t *testing.T) {
	d := newInheritingHarness(t, "a")
	d.restore("j", 3, 0)
	d.confirm("a", 2, []schedule.Kept{{Run: run("j", 1, 5)}}, schedule.Event{Run: run("j", 2, 5), End: work.Done})
	d.wantStarts("a", 0)
	d.confirm("a", 2, nil, schedule.Event{Run: run("j", 1, 5), End: work.Done})
	d.wantOutcome("j", work.Completed)
}

func TestRunsOfUnknownJobsAreStopped(t *testing.T) {
	d := newInheritingHarness(t, "a")
	d.confirm("a", 2, []schedule.Kept{{Run: run("cancelled", 0, 5)}})
	if len(d.stops["a"]) != 1 {
		t.Errorf("stops %v", d.stops)
	}
}

func TestRunEndIsAcknowledgedOnceCommitted(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	d.restore("j", 1)
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][0], End: work.Done})
	if got := d.c.Acked("a"); got != 0 {
		t.Fatalf("acknowledged %d before it was saved", got)
	}
	d.c.Saved("a", "1", 1)
	if got := d.c.Acked("a"); got != 1 {
		t.Errorf("acknowledged %d after it was saved", got)
	}
}

// TestDeposedHomeLeavesRunEndsToItsSuccessor: it must not acknowledge what it can not save.
func TestDeposedHomeLeavesRunEndsToItsSuccessor(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	d.restore("j", 2)
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][0], End: work.Done})
	d.setTenure(0)
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][1], End: work.Done})
	if got := d.c.Acked("a"); got != 0 {
		t.Fatalf("acknowledged %d", got)
	}
	d.confirm("a", 2, nil)
	if got := d.c.Acked("a"); got != 2 {
		t.Errorf("acknowledged %d after the agent had a later home", got)
	}
}

func TestLateStoredJobsComeAfterThoseInTime(t *testing.T) {
	d := newTenureHarness(t, 1, "a")
	d.restore("runs", 1)
	d.restore("late", 1)
	d.advance(2 * time.Second)
	d.confirm("a", 1, nil)
	d.restore("young", 1)
	d.confirm("a", 1, nil, schedule.Event{Run: d.starts["a"][0], End: work.Done})
	if got := d.starts["a"][len(d.starts["a"])-1].Task.Job; got != "young" {
		t.Errorf("%s started first", got)
	}
	if _, rejected := d.outcomes["late"]; rejected {
		t.Error("a stored job was given up")
	}
}

func TestCancelledJobIsStopped(t *testing.T) {
	d := newTenureHarness(t, 4, "a")
	d.restore("j", 2)
	d.c.Cancel(d.now, "j")
	d.collect()
	if len(d.stops["a"]) != 2 {
		t.Errorf("stops %v", d.stops)
	}
}

// TestEndsOfLaterStepsAreTakenBeforeThoseOfEarlierOnes: agents tell in any order what
// a former home could not save.
func TestEndsOfLaterStepsAreTakenBeforeThoseOfEarlierOnes(t *testing.T) {
	d := newInheritingHarness(t, "a", "b")
	j := job("j", 0, 1, 100*time.Millisecond)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	d.restoreStored(j)
	second := work.Run{Task: work.TaskRef{Job: "j", Step: 1}, Number: 5}
	d.confirm("a", 2, nil, schedule.Event{Run: second, End: work.Done})
	d.confirm("b", 2, nil, schedule.Event{Run: run("j", 0, 5), End: work.Done})
	d.wantOutcome("j", work.Completed)
	if len(d.starts) != 0 {
		t.Errorf("starts %v", d.starts)
	}
}

// TestReplyThatWasNotAskedForRunsConfirmsNothing: an exchange that began before the
// agent heard of the tenure may end after it did.
func TestReplyThatWasNotAskedForRunsConfirmsNothing(t *testing.T) {
	d := newInheritingHarness(t, "a")
	d.restore("j", 1)
	d.c.Report(d.now, "a", &schedule.Report{Life: "1", Target: d.agents["a"], Ready: true, Settled: true, Epoch: 2})
	d.collect()
	d.wantStarts("a", 0)
	d.confirm("a", 2, []schedule.Kept{{Run: run("j", 0, 5)}})
	d.wantStarts("a", 0)
}
