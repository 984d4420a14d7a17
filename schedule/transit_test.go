package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// reportTransit reports a change of a run with regard to its starts in transit.
func (h *harness) reportTransit(agent string, version uint64, tr schedule.TransitRun) {
	h.c.Report(h.now, agent, &schedule.Report{
		Life: "1", Target: h.agents[agent], Ready: true, Settled: true, TransitVersion: version, Transits: []schedule.TransitRun{tr},
	})
	h.collect()
}

// TestRunInTransitTakesRoom guards against jobs that are refused or late for the room of a run that waits
// until a start of it can not be carried out any more, and against a second run in its place.
func TestRunInTransitTakesRoom(t *testing.T) {
	for _, end := range []work.End{work.Refused, work.Done} {
		h := newHarness(t)
		h.addAgent("a", 1)
		h.submit(job("j1", 0, 1, 100*time.Millisecond))
		h.wantStarts("a", 1)
		waits := h.starts["a"][0]
		h.submit(job("j2", 0, 1, 100*time.Millisecond))
		h.wantStarts("a", 1)
		h.reportTransit("a", 1, schedule.TransitRun{Run: waits, Idle: true, Left: 12 * time.Second})
		h.wantStarts("a", 2)
		if v := h.c.TransitVersion("a"); v != 1 {
			t.Errorf("version %d is asked for, want 1", v)
		}
		h.advance(time.Second)
		if stops := h.stops["a"]; len(stops) > 0 && stops[0] == waits {
			t.Errorf("%v is stopped as overdue while it waits", waits)
		}
		h.endRun("a", h.starts["a"][1], work.Done, 100*time.Millisecond)
		h.wantOutcome("j2", work.Completed)
		if agent, last := h.lastStart(waits.Task); agent != "a" || last != waits {
			t.Errorf("%v starts at %s while %v may be carried out", last, agent, waits)
		}
		h.reportTransit("a", 2, schedule.TransitRun{Run: waits}) // the next incarnation has begun it
		h.submit(job("j3", 0, 1, 100*time.Millisecond))
		h.wantStarts("a", 2)
		h.report("a", schedule.Event{Run: waits, End: end, Reason: worker.NoAnswer})
		h.advance(50 * time.Millisecond)
		h.wantStarts("a", 3)
	}
}

// TestLostAgentEndsItsTransits guards against a second run: an agent reports that a start may still be carried out,
// and is lost or restarts, so its home takes the run for lost and starts the task elsewhere.
func TestLostAgentEndsItsTransits(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		for _, idle := range []bool{false, true} {
			h := newHarness(t)
			h.addAgent("a", 1)
			j := job("j", 0, 1, 100*time.Millisecond)
			j.Left, j.Queue.Target = time.Minute, time.Minute
			h.submit(j)
			h.addAgent("b", 1)
			first := h.starts["a"][0]
			h.reportTransit("a", 1, schedule.TransitRun{Run: first, Idle: idle, Left: 11 * time.Second})
			lostAt := h.now
			if restarts {
				h.c.Report(h.now, "a", &schedule.Report{Life: "2", Target: h.agents["a"], Settled: true})
				h.collect()
			}
			h.advance(cfg.TransitTime-10*time.Millisecond, "a")
			if agent, last := h.lastStart(first.Task); last != first {
				t.Fatalf("restarts %t: %v starts at %s %v after the loss", restarts, last, agent, h.now.Sub(lostAt))
			}
			h.advance(50*time.Millisecond, "a")
			if agent, last := h.lastStart(first.Task); agent != "b" || last == first {
				t.Errorf("restarts %t: the task does not start again", restarts)
			}
		}
	}
}

// TestDroppedTransitFreesRoomTwice guards against a worker that gets more than it has room for, after its home
// has lost the ledger while a run waits.
func TestDroppedTransitFreesRoomTwice(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.setTenure(2)
	h.confirm("a", 2, nil)
	h.restore("j", 1)
	h.wantStarts("a", 1)
	h.reportTransit("a", 1, schedule.TransitRun{Run: h.starts["a"][0], Idle: true, Left: 11 * time.Second})
	h.c.SetTenure(h.now, schedule.Tenure{})
	h.submit(job("j1", 0, 1, 100*time.Millisecond))
	h.submit(job("j2", 0, 1, 100*time.Millisecond))
	h.wantStarts("a", 2)
}
