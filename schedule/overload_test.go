package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// newSheddingHarness returns a harness whose home applies the rules for overload.
func newSheddingHarness(t *testing.T) *harness {
	h := newHarness(t)
	shedding := cfg
	shedding.ShedLoad = true
	h.c = schedule.NewCore(shedding)
	return h
}

// newRankedHarness returns a harness with a worker, past its start-up time, whose service has
// two queues of different priority.
func newRankedHarness(t *testing.T, slots int) *harness {
	h := newSheddingHarness(t)
	h.addAgent("a", slots)
	h.advance(500 * time.Millisecond)
	for priority := range 2 {
		h.submit(job("first"+strconv.Itoa(priority), priority, 1, time.Millisecond))
		h.endRun("a", h.starts["a"][priority], work.Done, time.Millisecond)
	}
	h.starts = make(map[string][]work.Run)
	return h
}

// TestJobThatWouldWaitTooLongIsRejectedAtOnce guards against a queue in which all jobs are
// late: a job was only rejected if it could not end before its cutoff, three times its
// objective.
func TestJobThatWouldWaitTooLongIsRejectedAtOnce(t *testing.T) {
	h := newRankedHarness(t, 2)
	for i := range 4 {
		h.submit(job("j"+strconv.Itoa(i), 1, 1, time.Second))
	}
	h.wantStarts("a", 2)
	h.wantOutcome("j2", "")            // nothing waits before it
	h.wantOutcome("j3", work.Rejected) // it would wait for 0.5 s of the 0.66 s that it has left
	if h.outcomes["j3"].RetryAfter < 500*time.Millisecond {
		t.Errorf("retry after %v, want at least the wait of 500ms", h.outcomes["j3"].RetryAfter)
	}
}

// TestOnePriorityIsServedAsBefore guards the rule that the policy only applies to services
// whose queues differ in priority.
func TestOnePriorityIsServedAsBefore(t *testing.T) {
	h := newSheddingHarness(t)
	h.addAgent("a", 2)
	h.advance(500 * time.Millisecond)
	for i := range 4 {
		h.submit(job("j"+strconv.Itoa(i), 1, 1, time.Second))
	}
	h.wantOutcome("j3", "")
}

// TestQueueOfLowestPriorityGetsItsGuarantee guards against starvation: a queue of a higher
// priority that always has jobs waiting took all of the capacity.
func TestQueueOfLowestPriorityGetsItsGuarantee(t *testing.T) {
	h := newSheddingHarness(t)
	h.addAgent("a", 10) // its start-up time lets all of the jobs wait
	for i := range 40 {
		h.submit(job("high"+strconv.Itoa(i), 0, 1, 200*time.Millisecond))
		h.submit(job("low"+strconv.Itoa(i), 1, 1, 200*time.Millisecond))
	}
	h.advance(20 * time.Millisecond)
	for _, r := range h.starts["a"][:10] {
		h.endRun("a", r, work.Done, 200*time.Millisecond)
	}
	low := 0
	for _, r := range h.starts["a"][10:20] {
		if r.Task.Job[:3] == "low" {
			low++
		}
	}
	if low < 3 || low > 5 {
		t.Errorf("%d of 10 starts for the queue of the lower priority, want about 4: 0.8 of its half", low)
	}
}

// TestLateJobWaitsBehindOneThatCanBeInTime guards against a job that can only be late taking
// the capacity of one that would be in time, by its priority.
func TestLateJobWaitsBehindOneThatCanBeInTime(t *testing.T) {
	h := newSheddingHarness(t)
	h.addAgent("a", 1)
	h.submit(job("busy", 0, 1, 300*time.Millisecond))
	h.submit(job("late", 0, 1, 60*time.Millisecond)) // objective 156 ms
	h.submit(job("inTime", 1, 1, 900*time.Millisecond))
	h.advance(200 * time.Millisecond)
	h.endRun("a", h.starts["a"][0], work.Done, 200*time.Millisecond)
	h.wantStarts("a", 2)
	if got := h.starts["a"][1].Task.Job; got != "inTime" {
		t.Errorf("%s was started first, want inTime", got)
	}
	h.endRun("a", h.starts["a"][1], work.Done, 100*time.Millisecond)
	h.wantStarts("a", 3) // the late job is still served
}

// TestRetriesAreSpread guards against rejected jobs that all return in the same moment.
func TestRetriesAreSpread(t *testing.T) {
	h := newRankedHarness(t, 1)
	for i := range 40 {
		h.submit(job("j"+strconv.Itoa(i), 1, 1, time.Second))
	}
	shortest, longest := time.Hour, time.Duration(0)
	for i := 2; i < 40; i++ {
		h.wantOutcome("j"+strconv.Itoa(i), work.Rejected)
		retry := h.outcomes["j"+strconv.Itoa(i)].RetryAfter
		shortest, longest = min(shortest, retry), max(longest, retry)
	}
	if shortest < time.Second || longest-shortest < time.Second {
		t.Errorf("retries after %v to %v, want a spread of at least a second after the wait of 1s", shortest, longest)
	}
}

// TestWaitingJobsOfOneRackDoNotHoldBackOthers guards the bound on offers in a pass over the
// waiting jobs: many jobs of one rack that do not take the free capacity must not keep it
// from jobs that do.
func TestWaitingJobsOfOneRackDoNotHoldBackOthers(t *testing.T) {
	h := newSheddingHarness(t)
	h.addAgent("near", 1, "a", "r1")
	h.addAgent("far", 2, "a", "r2")
	for i := range 60 {
		j := job("near"+strconv.Itoa(i), 0, 1, 300*time.Millisecond)
		j.Steps[0].Label = "r1"
		h.submit(j)
	}
	h.submit(job("any", 0, 1, 300*time.Millisecond))
	h.wantStarts("far", 1)
}

// TestJobsWithoutWorkersAreNotRejectedForTheLoad guards against rejections after the loss of
// all workers, which return soon: there is no capacity then, and any demand exceeds it.
func TestJobsWithoutWorkersAreNotRejectedForTheLoad(t *testing.T) {
	h := newRankedHarness(t, 2)
	h.advance(cfg.SuspectAfter+20*time.Millisecond, "a")
	for i := range 4 {
		h.submit(job("j"+strconv.Itoa(i), i%2, 1, time.Second))
	}
	for i := range 4 {
		h.wantOutcome("j"+strconv.Itoa(i), "")
	}
}

// TestJobsThatAvoidAWorkerDoNotHoldBackOthers guards the same bound against jobs that do not
// take the free capacity for a reason of their own: a run of each has failed there.
func TestJobsThatAvoidAWorkerDoNotHoldBackOthers(t *testing.T) {
	h := newSheddingHarness(t)
	h.addAgent("bad", 50)
	for i := range 50 {
		h.submit(job("j"+strconv.Itoa(i), 0, 1, 300*time.Millisecond))
	}
	h.addAgent("full", 1)
	h.submit(job("busy", 0, 1, 300*time.Millisecond))
	for _, r := range h.starts["bad"] {
		h.endRun("bad", r, work.Failed, time.Millisecond)
	}
	h.wantStarts("full", 1)
	h.advance(1600 * time.Millisecond) // the quarantine of the worker ends
	before := len(h.starts["bad"])
	h.submit(job("new", 0, 1, 300*time.Millisecond))
	h.wantStarts("bad", before+1)
}

// TestLoadIsShedOnlyWhereTurnedOn guards sites that count the share of jobs that are served:
// there a late answer is better than a rejection.
func TestLoadIsShedOnlyWhereTurnedOn(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 2)
	h.advance(500 * time.Millisecond)
	for priority := range 2 {
		h.submit(job("first"+strconv.Itoa(priority), priority, 1, time.Millisecond))
	}
	for i := range 8 {
		h.submit(job("j"+strconv.Itoa(i), 1, 1, time.Second))
	}
	h.wantOutcome("j7", "")
}
