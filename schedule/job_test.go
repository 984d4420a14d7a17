package schedule_test

import (
	"strconv"
	"testing"
	"time"

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
