package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// reportUndescribed reports an agent in contact that has had no heartbeat of its worker.
func (h *harness) reportUndescribed(names ...string) {
	for _, name := range names {
		h.c.Report(h.now, name, &schedule.Report{Life: "1", Settled: true})
	}
	h.collect()
}

// TestJobsWaitForHeartbeatsAfterARestart guards against jobs that are rejected after a restart
// of all processes, although they can end before their cutoff on workers whose heartbeats are
// due, and against jobs that wait for heartbeats beyond that.
func TestJobsWaitForHeartbeatsAfterARestart(t *testing.T) {
	for wait, want := range map[time.Duration]work.State{300 * time.Millisecond: work.Completed, 600 * time.Millisecond: work.Rejected} {
		h := newHarness(t)
		h.reportUndescribed("a", "b")
		h.submit(job("j", 0, 1, 60*time.Millisecond))
		for end := h.now.Add(wait); h.now.Before(end); {
			h.now = h.now.Add(10 * time.Millisecond)
			h.reportUndescribed("a", "b")
			h.c.Tick(h.now)
			h.collect()
		}
		h.addAgent("a", 4)
		for _, r := range h.starts["a"] {
			h.endRun("a", r, work.Done, 60*time.Millisecond)
		}
		h.wantOutcome("j", want)
	}
}

// TestLoadIsNotRejectedForWorkersThatAreDue guards against rejections for the work that waits
// while few of the workers have described themselves after a restart, and against jobs that
// are held in an overload because one agent of many has restarted.
func TestLoadIsNotRejectedForWorkersThatAreDue(t *testing.T) {
	for undescribed, wantRejected := range map[int]bool{7: false, 1: true} {
		h := newHarness(t)
		for i := range 8 - undescribed {
			h.addAgent("d"+strconv.Itoa(i), 1)
		}
		report := func() {
			for i := range undescribed {
				h.reportUndescribed("u" + strconv.Itoa(i))
			}
		}
		h.advance(500 * time.Millisecond)
		report()
		h.advance(450 * time.Millisecond)
		report()
		for i := range 8 * (8 - undescribed) {
			h.submit(job("j"+strconv.Itoa(i), 0, 1, 100*time.Millisecond))
		}
		rejected := 0
		for _, out := range h.outcomes {
			if out.State == work.Rejected {
				rejected++
			}
		}
		if (rejected > 0) != wantRejected {
			t.Errorf("%d undescribed: %d rejected", undescribed, rejected)
		}
	}
}
