package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/work"
)

func TestUrgentQueueGoesFirst(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.submit(job("busy", 0, 1, 60*time.Millisecond))
	d.submit(job("later", 2, 1, 60*time.Millisecond))
	d.submit(job("urgent", 0, 1, 60*time.Millisecond))
	d.endRun("a", d.starts["a"][0], work.Done, 60*time.Millisecond)
	if got := d.starts["a"][1].Task.Job; got != "urgent" {
		t.Errorf("%s was started first", got)
	}
}

func TestLongTasksGetTheFastWorkerAndShortOnesTheSlow(t *testing.T) {
	d := newHarness(t)
	d.addAgent("slow", 4, "a")
	d.teachSlowness("slow", 2)
	d.addAgent("fast", 4, "b")
	d.starts = make(map[string][]work.Run)
	d.submit(job("short", 0, 1, 60*time.Millisecond)) // 120 ms on the slow one, in time for 156 ms
	d.wantStarts("slow", 1)
	d.submit(job("long", 0, 1, 900*time.Millisecond)) // 1800 ms on the slow one, too late for 1500 ms
	d.wantStarts("fast", 1)
}

func TestAgentOutOfContactGetsNoNewTasks(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 4)
	d.addAgent("b", 4)
	d.advance(cfg.Suspect+20*time.Millisecond, "a")
	d.submit(job("j", 0, 4, 60*time.Millisecond))
	d.wantStarts("a", 0)
	d.wantStarts("b", 4)
}

// TestLongTaskWaitsForAFastWorker: a slow one with room could not be in time.
func TestLongTaskWaitsForAFastWorker(t *testing.T) {
	d := newHarness(t)
	d.addAgent("slow", 4, "a")
	d.teachSlowness("slow", 2.2)
	d.addAgent("fast", 1, "b")
	d.starts = make(map[string][]work.Run)
	d.submit(job("first", 0, 1, 900*time.Millisecond))
	d.submit(job("second", 0, 1, 900*time.Millisecond))
	d.wantStarts("slow", 0)
	d.wantStarts("fast", 1)
	d.advance(200 * time.Millisecond)
	d.endRun("fast", d.starts["fast"][0], work.Done, 200*time.Millisecond)
	d.wantStarts("fast", 2)
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 2)
	j := job("j", 0, 3, 60*time.Millisecond)
	j.Steps[0].Gang = true
	d.submit(j)
	d.wantStarts("a", 0)
	d.addAgent("b", 2)
	if n := len(d.starts["a"]) + len(d.starts["b"]); n != 3 {
		t.Errorf("%d starts, want 3", n)
	}
}

func TestLabelAndMostOnOneWorkerAreKept(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 4, "x")
	d.addAgent("b", 4, "y")
	j := job("j", 0, 4, 60*time.Millisecond)
	j.Steps[0].Label, j.Steps[0].MaxPerOne = "x", 2
	d.submit(j)
	d.wantStarts("a", 2)
	d.wantStarts("b", 0)
}

// TestManyJobsOfOneRack: what answers a rush of jobs whose data is on one rack.
// They wait for workers of that rack while they can be in time there, and what
// runs elsewhere does not make a worker count as slow.
func TestManyJobsOfOneRack(t *testing.T) {
	d := newHarness(t)
	d.addAgent("near", 1, "a", "r1")
	d.addAgent("far", 8, "a", "r2")
	near := func(id string, est time.Duration) work.Job {
		j := job(id, 0, 1, est)
		j.Steps[0].Affinity = "r1"
		return j
	}
	d.submit(near("first", 300*time.Millisecond))
	d.submit(near("second", 300*time.Millisecond))
	d.wantStarts("near", 1)
	d.wantStarts("far", 0)
	d.advance(100 * time.Millisecond)
	d.endRun("near", d.starts["near"][0], work.Done, 100*time.Millisecond)
	d.wantStarts("near", 2)

	for i := range 60 {
		j := job("far"+strconv.Itoa(i), 0, 1, 100*time.Millisecond)
		j.Steps[0].Affinity, j.Steps[0].Label = "r1", "r2"
		d.submit(j)
		d.endRun("far", d.starts["far"][i], work.Done, 300*time.Millisecond)
	}
	before := len(d.starts["far"])
	d.submit(job("any", 0, 1, 100*time.Millisecond))
	d.wantStarts("far", before+1)
}
