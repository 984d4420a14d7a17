package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/work"
)

func TestJobCompletesWithItsLastTask(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 4)
	d.submit(job("j", 0, 2, 60*time.Millisecond))
	d.wantStarts("a", 2)
	d.endRun("a", d.starts["a"][0], work.Done, 60*time.Millisecond)
	d.wantOutcome("j", "")
	d.endRun("a", d.starts["a"][1], work.Done, 60*time.Millisecond)
	d.wantOutcome("j", work.Completed)
}

func TestJobThatCannotEndInTimeIsRejectedAtOnce(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.advance(500 * time.Millisecond)
	d.submit(job("busy", 0, 1, time.Second))
	for i := range 8 {
		d.submit(job("wait"+strconv.Itoa(i), 0, 1, time.Second))
	}
	d.wantOutcome("wait7", work.Rejected)
	if d.outcomes["wait7"].RetryAfter < time.Second {
		t.Errorf("come back after %v", d.outcomes["wait7"].RetryAfter)
	}
	d.wantOutcome("wait0", "")
}

func TestWithdrawnJobIsStoppedAndItsRoomFreed(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.submit(job("next", 0, 1, 60*time.Millisecond))
	d.c.Withdraw(d.now, "j")
	d.collect()
	if len(d.stops["a"]) != 1 {
		t.Fatalf("stops %v", d.stops)
	}
	d.wantStarts("a", 1)
	d.endRun("a", d.starts["a"][0], work.Stopped, time.Millisecond)
	d.wantStarts("a", 2)
}

func TestJobSubmittedAgainIsTheSameJob(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 4)
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.wantStarts("a", 1)
	d.c.Withdraw(d.now, "j")
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.wantStarts("a", 1)
	d.endRun("a", d.starts["a"][0], work.Stopped, time.Millisecond)
	d.wantStarts("a", 2)
}

func TestStepsFollowOneAnother(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 4)
	j := job("j", 0, 2, 60*time.Millisecond)
	j.Steps = append(j.Steps, work.Step{Count: 1, Room: work.Room{CPU: 10}, Estimate: 60 * time.Millisecond, After: []int{0}})
	d.submit(j)
	d.wantStarts("a", 2)
	d.endRun("a", d.starts["a"][0], work.Done, 60*time.Millisecond)
	d.wantStarts("a", 2)
	d.endRun("a", d.starts["a"][1], work.Done, 60*time.Millisecond)
	d.wantStarts("a", 3)
}

// TestJobThatRanIsNotSaidToHaveNotRun: its caller was lost after some of it had
// run; what comes again is rejected by a home that knows of that.
func TestJobThatRanIsNotSaidToHaveNotRun(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.submit(job("j", 0, 1, 100*time.Millisecond))
	d.c.Withdraw(d.now, "j")
	d.collect()
	d.endRun("a", d.starts["a"][0], work.Stopped, time.Millisecond)
	late := job("j", 0, 1, 100*time.Millisecond)
	late.Left = time.Millisecond
	d.submit(late)
	d.wantOutcome("j", work.Unknown)
}
