package schedule_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"masticbay/work"
)

// nearJob returns a job whose task has an affinity to a rack.
func nearJob(id string, priority int, est time.Duration, rack string) work.Job {
	j := job(id, priority, 1, est)
	j.Steps[0].Affinity = rack
	return j
}

// TestTaskWithAffinityRunsOutsideItsRackOnAFastWorker guards against a task that runs
// outside its rack at three times the work, since a fast worker there counts as a slow one
// that still meets the objective.
func TestTaskWithAffinityRunsOutsideItsRackOnAFastWorker(t *testing.T) {
	h := newHarness(t)
	h.addAgent("far", 8, "b", "r2")
	h.teachSlowness("far", 0.5) // 1.5 outside the rack, in time for 1.6
	h.addAgent("near", 8, "a", "r1")
	h.starts = make(map[string][]work.Run)
	h.submit(nearJob("j", 0, 100*time.Millisecond, "r1"))
	h.wantStarts("near", 1)
	h.wantStarts("far", 0)
}

// TestOtherTasksFillAWantedRack guards against tasks without an affinity that fill a rack
// which others want, while there is capacity elsewhere, and against one that waits since
// the only free capacity is on such a rack.
func TestOtherTasksFillAWantedRack(t *testing.T) {
	h := newHarness(t)
	h.addAgent("wanted", 20, "a", "r1")
	h.addAgent("other", 4, "a", "r2")
	for i := range 20 { // work for 2 s of the rack
		h.submit(nearJob("near"+strconv.Itoa(i), 0, 2*time.Second, "r1"))
		h.endRun("wanted", h.starts["wanted"][i], work.Done, 2*time.Second)
	}
	h.wantStarts("wanted", 20)
	for i := range 4 {
		h.submit(job("any"+strconv.Itoa(i), 0, 1, time.Second))
	}
	h.wantStarts("other", 4)
	h.submit(job("last", 0, 1, time.Second))
	h.wantStarts("wanted", 21)
	h.advance(10 * time.Second) // the demand is forgotten
	for _, r := range h.starts["other"] {
		h.endRun("other", r, work.Done, time.Second)
	}
	h.submit(job("later", 0, 1, time.Second))
	h.wantStarts("wanted", 22)
}

// TestWaitForAFullRack guards against a task that leaves a rack which has capacity soon,
// and against one that waits for a rack for longer than it takes elsewhere.
func TestWaitForAFullRack(t *testing.T) {
	for name, tc := range map[string]struct {
		busy time.Duration // estimate of the run that fills the rack
		far  int           // starts outside the rack
	}{"soon": {100 * time.Millisecond, 0}, "late": {3 * time.Second, 1}} {
		h := newHarness(t)
		h.addAgent("near", 1, "a", "r1")
		h.addAgent("far", 8, "a", "r2")
		h.submit(nearJob("busy", 0, tc.busy, "r1"))
		h.wantStarts("near", 1)
		h.submit(nearJob("j", 0, 400*time.Millisecond, "r1"))
		t.Log(name)
		h.wantStarts("far", tc.far)
	}
}

// TestUrgentDemandTakesTheRack guards against a task of a low priority that waits for a
// rack of which urgent jobs take all that becomes free.
func TestUrgentDemandTakesTheRack(t *testing.T) {
	for name, tc := range map[string]struct {
		urgent int // jobs in the last second
		far    int // starts of the other queue outside the rack
	}{"idle": {1, 0}, "busy": {40, 1}} {
		h := newHarness(t)
		h.addAgent("near", 1, "a", "r1")
		h.addAgent("far", 1, "a", "r2")
		for i := range tc.urgent {
			h.submit(nearJob("urgent"+strconv.Itoa(i), 0, 100*time.Millisecond, "r1"))
			h.endRun("near", h.starts["near"][i], work.Done, 100*time.Millisecond)
		}
		h.submit(nearJob("busy", 1, 100*time.Millisecond, "r1"))
		h.submit(nearJob("low", 1, 200*time.Millisecond, "r1"))
		t.Log(name)
		h.wantStarts("far", tc.far)
	}
}

// TestRackWithoutUsableWorkersIsNotWaitedFor guards against a task that waits for a rack
// whose workers are out of contact.
func TestRackWithoutUsableWorkersIsNotWaitedFor(t *testing.T) {
	h := newHarness(t)
	h.addAgent("near", 1, "a", "r1")
	h.addAgent("far", 8, "a", "r2")
	h.submit(nearJob("first", 0, 100*time.Millisecond, "r1"))
	h.advance(cfg.SuspectAfter+20*time.Millisecond, "near")
	h.submit(nearJob("second", 0, 100*time.Millisecond, "r1"))
	h.wantStarts("far", 1)
}

// TestLastingTaskWaitsForRackThatIsFullForGood guards against a task that waits for its rack, where
// only tasks without end run, while other workers are idle.
func TestLastingTaskWaitsForRackThatIsFullForGood(t *testing.T) {
	h := newTenureHarness(t, 8, "far")
	h.addAgent("near", 1, "a", "r1")
	h.setTenure(1)
	h.confirm("near", 1, nil)
	for i := range 2 {
		j := nearJob("lasting"+strconv.Itoa(i), 0, time.Second, "r1")
		j.Lasts = true
		h.restoreStored(j)
		h.submit(nearJob("short"+strconv.Itoa(i), 0, 50*time.Millisecond, "r1")) // the rack is wanted
	}
	h.wantStarts("near", 1)
	far := h.starts["far"]
	h.advanceConfirmed(time.Second)
	if !slices.Contains(h.starts["far"], run("lasting1", 0, 1)) {
		t.Errorf("starts %v, at once %v; want lasting1", h.starts, far)
	}
}
