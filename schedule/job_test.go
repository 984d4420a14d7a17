package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

func TestJobCompletesWithItsLastTask(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	h.submit(job("j", 0, 2, 60*time.Millisecond))
	h.wantStarts("a", 2)
	h.endRun("a", h.starts["a"][0], work.Done, 60*time.Millisecond)
	h.wantOutcome("j", "")
	h.endRun("a", h.starts["a"][1], work.Done, 60*time.Millisecond)
	h.wantOutcome("j", work.Completed)
}

func TestJobThatCannotEndInTimeIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.advance(500 * time.Millisecond)
	h.submit(job("busy", 0, 1, time.Second))
	for i := range 8 {
		h.submit(job("wait"+strconv.Itoa(i), 0, 1, time.Second))
	}
	h.wantOutcome("wait7", work.Rejected)
	if h.outcomes["wait7"].RetryAfter < time.Second {
		t.Errorf("retry after %v, want at least 1s", h.outcomes["wait7"].RetryAfter)
	}
	h.wantOutcome("wait0", "")
}

func TestWithdrawnJobIsStoppedAndItsCapacityFreed(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 900*time.Millisecond))
	h.submit(job("next", 0, 1, 60*time.Millisecond))
	h.c.Withdraw(h.now, "j")
	h.collect()
	if len(h.stops["a"]) != 1 {
		t.Fatalf("stops %v, want one at a", h.stops)
	}
	h.wantStarts("a", 1)
	h.endRun("a", h.starts["a"][0], work.Stopped, time.Millisecond)
	h.wantStarts("a", 2)
}

func TestJobSubmittedAgainIsTheSameJob(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	h.submit(job("j", 0, 1, 900*time.Millisecond))
	h.submit(job("j", 0, 1, 900*time.Millisecond))
	h.wantStarts("a", 1)
	h.c.Withdraw(h.now, "j")
	h.submit(job("j", 0, 1, 900*time.Millisecond))
	h.wantStarts("a", 1)
	h.endRun("a", h.starts["a"][0], work.Stopped, time.Millisecond)
	h.wantStarts("a", 2)
}

func TestStepsFollowOneAnother(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	j := job("j", 0, 2, 60*time.Millisecond)
	j.Steps = append(j.Steps, work.Step{Count: 1, Room: work.Room{CPU: 10}, Estimate: 60 * time.Millisecond, After: []int{0}})
	h.submit(j)
	h.wantStarts("a", 2)
	h.endRun("a", h.starts["a"][0], work.Done, 60*time.Millisecond)
	h.wantStarts("a", 2)
	h.endRun("a", h.starts["a"][1], work.Done, 60*time.Millisecond)
	h.wantStarts("a", 3)
}

// TestJobThatMayHaveRunEndsAsUnknown guards against a wrong rejection: the caller of
// a job is lost after a task has run, and the job is submitted again too late. Its
// outcome has to be unknown.
func TestJobThatMayHaveRunEndsAsUnknown(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 100*time.Millisecond))
	h.c.Withdraw(h.now, "j")
	h.collect()
	h.endRun("a", h.starts["a"][0], work.Stopped, time.Millisecond)
	late := job("j", 0, 1, 100*time.Millisecond)
	late.Left = time.Millisecond
	h.submit(late)
	h.wantOutcome("j", work.Unknown)
}

// TestRunsOfAJobSubmittedAgainAreRefused guards against starts that workers refuse because an earlier run
// of the task, before the job was answered without a result, had the same number or a higher one.
func TestRunsOfAJobSubmittedAgainAreRefused(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.c.TakeOver(h.now, job("j", 0, 1, 900*time.Millisecond), schedule.Handover{RunNumberBase: 1000, Complete: true, RunsEndAt: h.now.Add(time.Second)})
	h.collect()
	for _, seal := range h.seals["a"] {
		h.report("a", schedule.Event{Run: work.Run{Task: work.TaskRef{Job: seal.Job}, Number: seal.UpTo}, End: work.Sealed})
	}
	for n := range 3 {
		h.wantStarts("a", n+1)
		if got, want := h.starts["a"][n].Number, 1001+n; got != want {
			t.Errorf("submission %d: run %d, want %d", n, got, want)
		}
		h.c.Withdraw(h.now, "j")
		h.collect()
		h.endRun("a", h.starts["a"][n], work.Stopped, time.Millisecond)
		h.submit(job("j", 0, 1, 900*time.Millisecond))
	}
}
