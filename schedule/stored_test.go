package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// setTenure gives the home a tenure over the agents; the previous ones have to
// confirm it.
func (h *harness) setTenure(epoch uint64, previous ...string) {
	t := schedule.Tenure{Epoch: epoch, Until: h.now.Add(time.Hour), Agents: make(map[string]bool), PreviousAgents: previous}
	if len(previous) > 0 {
		t.LeasesEndAt = h.now.Add(6 * time.Second)
	}
	for a := range h.agents {
		t.Agents[a] = true
	}
	h.c.SetTenure(h.now, t)
	h.collect()
}

// confirm lets an agent confirm a tenure and report its inherited runs and events.
func (h *harness) confirm(name string, epoch uint64, kept []schedule.Kept, events ...schedule.Event) {
	for i := range events {
		h.seq[name]++
		events[i].Seq, events[i].Stored = h.seq[name], true
	}
	h.reportAgain(name, epoch, true, kept, events...)
}

// reportAgain lets an agent report events that keep their sequence numbers.
func (h *harness) reportAgain(name string, epoch uint64, asked bool, kept []schedule.Kept, events ...schedule.Event) {
	h.c.Report(h.now, name, &schedule.Report{Life: "1", Target: h.agents[name], Ready: true, Settled: true, Epoch: epoch, Asked: asked, Kept: kept, Events: events})
	h.collect()
}

func (h *harness) restore(id string, tasks int, done ...int) {
	j := job(id, 0, tasks, 100*time.Millisecond)
	j.Stored = true
	h.c.Restore(h.now, j, 1000, [][]int{done}, schedule.Failures{})
	h.collect()
}

func run(id string, index, number int) work.Run {
	return work.Run{Task: work.TaskRef{Job: id, Index: index}, Number: number}
}

// newInheritingHarness has agents that may have runs of a previous home.
func newInheritingHarness(t *testing.T, agents ...string) *harness {
	h := newHarness(t)
	for _, a := range agents {
		h.addAgent(a, 4)
	}
	h.setTenure(2, agents...)
	return h
}

// newTenureHarness has agents with a number of slots that have confirmed the tenure.
func newTenureHarness(t *testing.T, slots int, agents ...string) *harness {
	h := newHarness(t)
	for _, a := range agents {
		h.addAgent(a, slots)
	}
	h.setTenure(1)
	for _, a := range agents {
		h.confirm(a, 1, nil)
	}
	return h
}

func TestStoredJobWaitsForPreviousAgents(t *testing.T) {
	h := newInheritingHarness(t, "a", "b")
	h.restore("j", 1)
	h.confirm("a", 2, nil)
	h.wantStarts("a", 0)
	h.confirm("b", 2, nil)
	if len(h.starts["a"])+len(h.starts["b"]) != 1 {
		t.Errorf("starts %v, want one", h.starts)
	}
}

func TestStoredJobStartsWithoutALostAgentOnceItsLeasesEnded(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	h.setTenure(2, "a", "gone")
	h.wantStartOnceLeasesEnded("a")
}

// wantStartOnceLeasesEnded checks that an agent gets no task before the leases of the previous
// home have expired.
func (h *harness) wantStartOnceLeasesEnded(agent string) {
	h.t.Helper()
	h.restore("j", 1)
	h.confirm(agent, 2, nil)
	h.wantStarts(agent, 0)
	h.now = h.now.Add(6*time.Second + time.Millisecond)
	h.confirm(agent, 2, nil)
	h.c.Tick(h.now)
	h.collect()
	h.wantStarts(agent, 1)
}

func TestRunsOfThePreviousHomeAreAdopted(t *testing.T) {
	h := newInheritingHarness(t, "a")
	h.restore("j", 3, 0)
	h.confirm("a", 2, []schedule.Kept{{Run: run("j", 1, 5)}}, schedule.Event{Run: run("j", 2, 5), End: work.Done})
	h.wantStarts("a", 0)
	h.confirm("a", 2, nil, schedule.Event{Run: run("j", 1, 5), End: work.Done})
	h.wantOutcome("j", work.Completed)
}

func TestRunsOfUnknownJobsAreStopped(t *testing.T) {
	h := newInheritingHarness(t, "a")
	h.confirm("a", 2, []schedule.Kept{{Run: run("cancelled", 0, 5)}})
	if len(h.stops["a"]) != 1 {
		t.Errorf("stops %v, want one at a", h.stops)
	}
}

// TestReportedTaskThatDoesNotExistIsStopped guards against an agent whose malformed
// report ends the process of the home.
func TestReportedTaskThatDoesNotExistIsStopped(t *testing.T) {
	h := newInheritingHarness(t, "a")
	h.restore("j", 3, 0)
	missing := run("j", 99, 5)
	step := run("j", 0, 5)
	step.Task.Step = 7
	h.confirm("a", 2, []schedule.Kept{{Run: missing}, {Run: step}}, schedule.Event{Run: run("j", -1, 5), End: work.Done})
	if len(h.stops["a"]) != 2 {
		t.Errorf("stops %v, want two at a", h.stops)
	}
}

func TestRunEndIsAcknowledgedOnceCommitted(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	h.restore("j", 1)
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Done})
	if got := h.c.Acked("a"); got != 0 {
		t.Fatalf("acknowledged %d before the end was committed, want 0", got)
	}
	h.c.EventCommitted("a", "1", 1)
	if got := h.c.Acked("a"); got != 1 {
		t.Errorf("acknowledged %d after the end was committed, want 1", got)
	}
}

// TestDeposedHomeLeavesRunEndsToItsSuccessor checks that a home that has lost its
// tenure does not acknowledge ends that it can not commit.
func TestDeposedHomeLeavesRunEndsToItsSuccessor(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	h.restore("j", 2)
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Done})
	h.setTenure(0)
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][1], End: work.Done})
	if got := h.c.Acked("a"); got != 0 {
		t.Fatalf("acknowledged %d without a tenure, want 0", got)
	}
	h.confirm("a", 2, nil)
	if got := h.c.Acked("a"); got != 2 {
		t.Errorf("acknowledged %d after the agent had a later home, want 2", got)
	}
}

func TestLateStoredJobsComeAfterThoseInTime(t *testing.T) {
	h := newTenureHarness(t, 1, "a")
	h.restore("runs", 1)
	h.restore("late", 1)
	h.advance(2 * time.Second)
	h.confirm("a", 1, nil)
	h.restore("young", 1)
	h.confirm("a", 1, nil, schedule.Event{Run: h.starts["a"][0], End: work.Done})
	if got := h.starts["a"][len(h.starts["a"])-1].Task.Job; got != "young" {
		t.Errorf("%s started first, want young", got)
	}
	if _, rejected := h.outcomes["late"]; rejected {
		t.Error("a stored job was rejected")
	}
}

func TestCancelledJobIsStopped(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	h.restore("j", 2)
	h.c.Cancel(h.now, "j")
	h.collect()
	if len(h.stops["a"]) != 2 {
		t.Errorf("stops %v, want two at a", h.stops)
	}
}

// TestEndsOfLaterStepsMayArriveFirst checks that agents may report in any order the
// ends that a previous home could not commit.
func TestEndsOfLaterStepsMayArriveFirst(t *testing.T) {
	h := newInheritingHarness(t, "a", "b")
	j := job("j", 0, 1, 100*time.Millisecond)
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	h.restoreStored(j)
	second := work.Run{Task: work.TaskRef{Job: "j", Step: 1}, Number: 5}
	h.confirm("a", 2, nil, schedule.Event{Run: second, End: work.Done})
	h.confirm("b", 2, nil, schedule.Event{Run: run("j", 0, 5), End: work.Done})
	h.wantOutcome("j", work.Completed)
	if len(h.starts) != 0 {
		t.Errorf("starts %v, want none", h.starts)
	}
}

// TestReportWithoutInheritedRunsDoesNotConfirm covers an exchange that begins before
// the agent learns of the tenure and ends after that.
func TestReportWithoutInheritedRunsDoesNotConfirm(t *testing.T) {
	h := newInheritingHarness(t, "a")
	h.restore("j", 1)
	h.c.Report(h.now, "a", &schedule.Report{Life: "1", Target: h.agents["a"], Ready: true, Settled: true, Epoch: 2})
	h.collect()
	h.wantStarts("a", 0)
	h.confirm("a", 2, []schedule.Kept{{Run: run("j", 0, 5)}})
	h.wantStarts("a", 0)
}

// TestUnknownPreviousAgentsDelayStarts guards against a double run: the list of the agents that
// the previous home had is lost.
func TestUnknownPreviousAgentsDelayStarts(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	h.c.SetTenure(h.now, schedule.Tenure{Epoch: 2, Until: h.now.Add(time.Hour), Agents: map[string]bool{"a": true}, PreviousUnknown: true, LeasesEndAt: h.now.Add(6 * time.Second)})
	h.wantStartOnceLeasesEnded("a")
}

// TestFailureThatTheLedgerHasCountsTwice guards against a job that fails after one of two attempts,
// since its home was lost between the commit of the failure and its acknowledgement.
func TestFailureThatTheLedgerHasCountsTwice(t *testing.T) {
	for number, want := range map[int]work.State{5: "", 6: work.JobFailed} {
		h := newInheritingHarness(t, "a")
		j := job("j", 0, 1, 100*time.Millisecond) // of a queue with two attempts
		j.Stored = true
		task := run("j", 0, 5).Task
		h.c.Restore(h.now, j, 1000, nil, schedule.Failures{Count: map[work.TaskRef]int{task: 1}, Runs: map[work.TaskRef][]int{task: {5}}})
		h.confirm("a", 2, nil, schedule.Event{Run: run("j", 0, number), End: work.Failed})
		h.wantOutcome("j", want)
		if want == "" && h.c.Acked("a") != 1 {
			t.Error("the event that the ledger has is not acknowledged")
		}
	}
}

// TestEndsRunAgainAfterTheLedgerIsBack guards against a task that runs again although it has
// ended, since its home lost the ledger before the end was committed and took it back from a
// holder that the agent never met.
func TestEndsRunAgainAfterTheLedgerIsBack(t *testing.T) {
	for name, reportedEarly := range map[string]bool{"reported on confirmation": false, "reported before": true} {
		t.Run(name, func(t *testing.T) {
			h := newTenureHarness(t, 4, "a")
			h.restore("j", 1)
			done := schedule.Event{Run: h.starts["a"][0], End: work.Done, Seq: 1, Stored: true}
			h.reportAgain("a", 1, false, nil, done)
			h.setTenure(0)
			h.setTenure(3, "a")
			h.outcomes = make(map[string]work.Outcome)
			h.restore("j", 1) // the ledger does not have the end
			if reportedEarly {
				h.reportAgain("a", 3, false, nil, done)
			}
			h.reportAgain("a", 3, true, nil, done)
			h.wantOutcome("j", work.Completed)
			h.wantStarts("a", 1)
			if got := h.c.Acked("a"); got != 0 {
				t.Errorf("acknowledged %d before the end was committed, want 0", got)
			}
			h.c.EventCommitted("a", "1", done.Seq)
			if got := h.c.Acked("a"); got != done.Seq {
				t.Errorf("acknowledged %d after the end was committed, want %d", got, done.Seq)
			}
		})
	}
}

// TestFailuresBeforeTheLedgerWasLostAreForgotten guards against a start beyond the attempts of a
// task, since a failure was reported to its home before that lost the ledger and took it back.
func TestFailuresBeforeTheLedgerWasLostAreForgotten(t *testing.T) {
	h := newTenureHarness(t, 4, "a")
	h.restore("j", 1) // of a queue with two attempts
	failed := schedule.Event{Run: h.starts["a"][0], End: work.Failed, Seq: 1, Stored: true}
	h.reportAgain("a", 1, false, nil, failed)
	second := h.starts["a"][1]
	h.setTenure(0)
	h.setTenure(3, "a")
	h.restore("j", 1)
	h.reportAgain("a", 3, true, []schedule.Kept{{Run: second}}, failed)
	h.reportAgain("a", 3, false, nil, failed, schedule.Event{Run: second, End: work.Failed, Seq: 2, Stored: true})
	h.wantOutcome("j", work.JobFailed)
	h.wantStarts("a", 2)
	if got := h.c.Acked("a"); got != 0 {
		t.Errorf("acknowledged %d before the failures were committed, want 0", got)
	}
}

// TestFailureIsForgottenWithItsHome guards against a start beyond the attempts of a task: its home
// was killed before it had committed a failure, and the next one adopts the run after it.
func TestFailureIsForgottenWithItsHome(t *testing.T) {
	h := newInheritingHarness(t, "a", "b")
	h.restore("j", 1) // of a queue with two attempts
	h.confirm("a", 2, nil, schedule.Event{Run: run("j", 0, 5), End: work.Failed})
	h.confirm("b", 2, []schedule.Kept{{Run: run("j", 0, 6)}})
	h.confirm("b", 2, nil, schedule.Event{Run: run("j", 0, 6), End: work.Failed})
	h.wantOutcome("j", work.JobFailed)

	h = newInheritingHarness(t, "a", "b")
	h.restore("j", 1)
	h.confirm("b", 2, []schedule.Kept{{Run: run("j", 0, 6)}})
	h.confirm("a", 2, nil, schedule.Event{Run: run("j", 0, 5), End: work.Failed})
	h.reportAgain("a", 2, false, nil, schedule.Event{Run: run("j", 0, 5), End: work.Failed, Seq: 1, Stored: true})
	h.wantOutcome("j", "")
	h.confirm("b", 2, nil, schedule.Event{Run: run("j", 0, 6), End: work.Failed})
	h.wantOutcome("j", work.JobFailed)
	if len(h.starts) != 0 {
		t.Errorf("starts %v beyond the attempts, want none", h.starts)
	}
}
