package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

func TestTaskThatFailedIsTriedElsewhere(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.submit(job("j", 0, 1, 60*time.Millisecond))
	d.addAgent("b", 1)
	d.endRun("a", d.starts["a"][0], work.Failed, time.Millisecond)
	d.wantStarts("b", 1)
	if r := d.starts["b"][0]; r.Number != 2 {
		t.Errorf("run number %d", r.Number)
	}
	d.endRun("b", d.starts["b"][0], work.Failed, time.Millisecond)
	d.wantOutcome("j", work.JobFailed)
}

func TestRunThatWasRefusedIsNoAttempt(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.submit(job("j", 0, 1, 60*time.Millisecond))
	for i := range 5 {
		d.report("a", schedule.Event{Run: d.starts["a"][i], End: work.Refused, Reason: "noRoom"})
		d.advance(50 * time.Millisecond)
	}
	d.wantOutcome("j", "")
	d.wantStarts("a", 6)
}

// TestLostAgentsRunsStartAgainAfterTheLeases: not before both leases are over.
func TestLostAgentsRunsStartAgainAfterTheLeases(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	j := job("j", 0, 1, 900*time.Millisecond)
	d.submit(j)
	d.addAgent("b", 1)
	d.advance(cfg.Lost, "a")
	d.wantStarts("b", 0)
	d.advance(20*time.Millisecond, "a")
	d.wantStarts("b", 1)
}

func TestStalledRunIsStoppedAndTriedElsewhere(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.submit(job("j", 0, 1, 60*time.Millisecond))
	d.addAgent("b", 1)
	d.c.Report(d.now, "a", &schedule.Report{Life: "1", Target: d.agents["a"], Ready: true, Settled: true, Idle: d.starts["a"]})
	d.collect()
	if len(d.stops["a"]) != 1 {
		t.Fatalf("stops %v", d.stops)
	}
	d.wantStarts("b", 0)
	d.endRun("a", d.starts["a"][0], work.Stopped, 400*time.Millisecond)
	d.wantStarts("b", 1)
}

// TestSlowRunIsGivenUpInTheEnd: far beyond what a wrong estimate explains.
func TestSlowRunIsGivenUpInTheEnd(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.submit(job("j", 0, 1, 100*time.Millisecond))
	d.advance(800 * time.Millisecond)
	if len(d.stops["a"]) != 0 {
		t.Fatal("given up although the estimate may be wrong by that much")
	}
	d.advance(450 * time.Millisecond)
	if len(d.stops["a"]) != 1 {
		t.Errorf("stops %v", d.stops)
	}
}

func TestWorkerWithConsecutiveFailuresIsQuarantined(t *testing.T) {
	d := newHarness(t)
	d.addAgent("a", 1)
	d.addAgent("b", 8)
	for i := range 2 {
		j := job("j"+strconv.Itoa(i), 0, 1, 60*time.Millisecond)
		j.Steps[0].Label = ""
		d.c.Submit(d.now, j, 0)
		d.collect()
		for _, a := range []string{"a", "b"} {
			for _, r := range d.starts[a] {
				if r.Task.Job == j.ID && r.Number == 1 {
					d.endRun(a, r, work.Failed, time.Millisecond)
				}
			}
		}
	}
	before := len(d.starts["b"])
	d.submit(job("after", 0, 1, 60*time.Millisecond))
	if len(d.starts["b"]) != before {
		t.Error("a worker on which runs failed one after the other got another one")
	}
}
