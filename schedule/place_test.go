package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/work"
)

func TestUrgentQueueGoesFirst(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("busy", 0, 1, 60*time.Millisecond))
	h.submit(job("later", 2, 1, 60*time.Millisecond))
	h.submit(job("urgent", 0, 1, 60*time.Millisecond))
	h.endRun("a", h.starts["a"][0], work.Done, 60*time.Millisecond)
	if got := h.starts["a"][1].Task.Job; got != "urgent" {
		t.Errorf("%s was started first, want urgent", got)
	}
}

func TestLongTasksGetTheFastWorkerAndShortOnesTheSlow(t *testing.T) {
	h := newHarness(t)
	h.addAgent("slow", 4, "a")
	h.teachSlowness("slow", 2)
	h.addAgent("fast", 4, "b")
	h.starts = make(map[string][]work.Run)
	h.submit(job("short", 0, 1, 60*time.Millisecond)) // 120 ms on the slow one, in time for 156 ms
	h.wantStarts("slow", 1)
	h.submit(job("long", 0, 1, 900*time.Millisecond)) // 1800 ms on the slow one, too late for 1500 ms
	h.wantStarts("fast", 1)
}

func TestAgentOutOfContactGetsNoNewTasks(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	h.addAgent("b", 4)
	h.advance(cfg.SuspectAfter+20*time.Millisecond, "a")
	h.submit(job("j", 0, 4, 60*time.Millisecond))
	h.wantStarts("a", 0)
	h.wantStarts("b", 4)
}

// TestLongTaskWaitsForAFastWorker checks that a task waits when the only worker with
// free capacity is too slow for its objective.
func TestLongTaskWaitsForAFastWorker(t *testing.T) {
	h := newHarness(t)
	h.addAgent("slow", 4, "a")
	h.teachSlowness("slow", 2.2)
	h.addAgent("fast", 1, "b")
	h.starts = make(map[string][]work.Run)
	h.submit(job("first", 0, 1, 900*time.Millisecond))
	h.submit(job("second", 0, 1, 900*time.Millisecond))
	h.wantStarts("slow", 0)
	h.wantStarts("fast", 1)
	h.advance(200 * time.Millisecond)
	h.endRun("fast", h.starts["fast"][0], work.Done, 200*time.Millisecond)
	h.wantStarts("fast", 2)
}

func TestGangStartsCompleteOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 2)
	j := job("j", 0, 3, 60*time.Millisecond)
	j.Steps[0].Gang = true
	h.submit(j)
	h.wantStarts("a", 0)
	h.addAgent("b", 2)
	if n := len(h.starts["a"]) + len(h.starts["b"]); n != 3 {
		t.Errorf("%d starts, want 3", n)
	}
}

func TestLabelAndMaxPerOneAreRespected(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4, "x")
	h.addAgent("b", 4, "y")
	j := job("j", 0, 4, 60*time.Millisecond)
	j.Steps[0].Label, j.Steps[0].MaxPerOne = "x", 2
	h.submit(j)
	h.wantStarts("a", 2)
	h.wantStarts("b", 0)
}

// TestManyJobsOfOneRack covers many jobs whose data is on one rack. They wait for
// workers of that rack while they can be in time there, and the run times of those
// placed on another rack do not make its worker count as slow.
func TestManyJobsOfOneRack(t *testing.T) {
	h := newHarness(t)
	h.addAgent("near", 1, "a", "r1")
	h.addAgent("far", 8, "a", "r2")
	near := func(id string, est time.Duration) work.Job {
		j := job(id, 0, 1, est)
		j.Steps[0].Affinity = "r1"
		return j
	}
	h.submit(near("first", 300*time.Millisecond))
	h.submit(near("second", 300*time.Millisecond))
	h.wantStarts("near", 1)
	h.wantStarts("far", 0)
	h.advance(100 * time.Millisecond)
	h.endRun("near", h.starts["near"][0], work.Done, 100*time.Millisecond)
	h.wantStarts("near", 2)

	for i := range 60 {
		j := job("far"+strconv.Itoa(i), 0, 1, 100*time.Millisecond)
		j.Steps[0].Affinity, j.Steps[0].Label = "r1", "r2"
		h.submit(j)
		h.endRun("far", h.starts["far"][i], work.Done, 300*time.Millisecond)
	}
	before := len(h.starts["far"])
	h.submit(job("any", 0, 1, 100*time.Millisecond))
	h.wantStarts("far", before+1)
}
