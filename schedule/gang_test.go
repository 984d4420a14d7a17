package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// gangJob returns a job whose tasks work only together.
func gangJob(id string, tasks int) work.Job {
	j := job(id, 0, tasks, 100*time.Millisecond)
	j.Stored, j.Steps[0].Gang = true, true
	return j
}

// TestGangOfWhichOneEndIsLostNeverEnds guards against a gang that is never placed again, since the
// end of one of its tasks, which ended as done together, got lost with its agent.
func TestGangOfWhichOneEndIsLostNeverEnds(t *testing.T) {
	for _, lapsesFirst := range []bool{false, true} {
		h := newTenureHarness(t, 1, "a", "b", "c")
		h.restoreStored(gangJob("j", 3))
		h.wantStarts("a", 1)
		h.wantStarts("b", 1)
		h.wantStarts("c", 1)
		done := func(agent string) {
			h.confirm(agent, 1, nil, schedule.Event{Run: h.starts[agent][0], End: work.Done})
		}
		if !lapsesFirst {
			done("a")
		}
		h.confirm("c", 1, nil, schedule.Event{Run: h.starts["c"][0], End: work.Lapsed})
		done("a")
		done("b")
		h.wantOutcome("j", work.Completed)
		h.advanceConfirmed(time.Second)
		if n := len(h.starts["a"]) + len(h.starts["b"]) + len(h.starts["c"]); n != 3 {
			t.Errorf("lapse first %t: %d starts, want 3", lapsesFirst, n)
		}
		if waiting, running := h.c.Load(); waiting != 0 || running != 0 {
			t.Errorf("lapse first %t: %d waiting, %d running", lapsesFirst, waiting, running)
		}
	}
}

// TestRestoredGangIsDoneOnceOneOfItsTasksIs guards against a gang that the next home never places,
// since the ledger has the ends of some of its tasks.
func TestRestoredGangIsDoneOnceOneOfItsTasksIs(t *testing.T) {
	h := newTenureHarness(t, 3, "a")
	h.c.Restore(h.now, gangJob("j", 3), 1000, [][]int{{1, 1}}, schedule.Failures{})
	h.collect()
	h.wantOutcome("j", work.Completed)
	h.wantStarts("a", 0)
}

// TestGangExceedsMaxPerOne guards against a gang of which a worker gets more tasks than it may.
func TestGangExceedsMaxPerOne(t *testing.T) {
	h := newTenureHarness(t, 8, "a", "b")
	j := gangJob("j", 3)
	j.Steps[0].MaxPerOne = 1
	h.restoreStored(j)
	h.advanceConfirmed(time.Second)
	h.wantStarts("a", 0)
	h.wantStarts("b", 0)
	h.addAgent("c", 8)
	h.setTenure(1)
	h.advanceConfirmed(time.Second)
	for _, agent := range []string{"a", "b", "c"} {
		h.wantStarts(agent, 1)
	}
}
