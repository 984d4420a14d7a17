package schedule_test

import (
	"strings"
	"testing"
	"time"

	"masticbay/evacuation"
	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// addAgentIn adds an agent whose worker is in a data centre.
func (h *harness) addAgentIn(dataCentre, name string, slots int, labels ...string) {
	h.agents[name] = work.Target{ID: "w-" + name, Born: 1, Service: "s", Zone: dataCentre, Labels: labels, Capacity: work.Room{CPU: 10 * slots}}
	h.report(name)
}

func (h *harness) evacuate(revision uint64, dataCentres ...string) {
	h.c.SetEvacuated(h.now, evacuation.New(revision, dataCentres))
	h.collect()
}

// TestNoTaskIsPlacedInAnEvacuatedDataCentre guards against starts in an evacuated data
// centre, with two of them, one after the other returned to service.
func TestNoTaskIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	for _, dc := range []string{"a", "b", "c"} {
		h.addAgentIn(dc, dc, 4)
	}
	h.advance(time.Second)
	h.evacuate(1, "a", "b")
	h.submit(job("1", 0, 6, 100*time.Millisecond))
	h.wantStarts("a", 0)
	h.wantStarts("b", 0)
	h.wantStarts("c", 4)
	h.evacuate(2, "b")
	h.wantStarts("a", 2)
	h.wantStarts("b", 0)
}

// TestRunsInAnEvacuatedDataCentreEndInPlace guards against runs that are stopped, and lost,
// because their data centre is evacuated.
func TestRunsInAnEvacuatedDataCentreEndInPlace(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("a", "a", 4)
	h.submit(job("1", 0, 1, 100*time.Millisecond))
	h.addAgentIn("b", "b", 4)
	h.evacuate(1, "a")
	h.advance(50 * time.Millisecond)
	if n := len(h.stops["a"]); n != 0 {
		t.Errorf("%d runs stopped", n)
	}
	h.endRun("a", h.starts["a"][0], work.Done, 100*time.Millisecond)
	h.wantOutcome("1", work.Completed)
}

// TestJobsThatWaitForEvacuatedWorkersAreMovedAtOnce guards against jobs that go on waiting
// for free capacity in an evacuated data centre while another has some.
func TestJobsThatWaitForEvacuatedWorkersAreMovedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("slow", "b", 4, "slow")
	h.teachSlowness("b", 2.2)
	h.addAgentIn("fast", "a", 1, "fast")
	h.starts = make(map[string][]work.Run)
	h.submit(job("1", 0, 1, 900*time.Millisecond))
	h.submit(job("2", 0, 1, 900*time.Millisecond)) // is late on b, and waits for a
	h.wantStarts("a", 1)
	h.wantStarts("b", 0)
	h.evacuate(1, "fast")
	h.wantStarts("b", 1)
}

// TestAllEvacuatedRejectsAtOnce guards against jobs that are held until their objective
// although no worker can run them.
func TestAllEvacuatedRejectsAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("a", "a", 1)
	h.addAgentIn("b", "b", 1)
	h.advance(time.Second)
	h.submit(job("run", 0, 2, 100*time.Millisecond))
	h.submit(job("waits", 0, 1, 100*time.Millisecond))
	h.evacuate(1, "a", "b")
	h.wantOutcome("waits", work.Rejected)
	h.submit(job("new", 0, 1, 100*time.Millisecond))
	h.wantOutcome("new", work.Rejected)
	if out := h.outcomes["new"]; !strings.Contains(out.Reason, "evacuated") || out.RetryAfter <= 0 {
		t.Errorf("rejected with reason %q, retry after %v", out.Reason, out.RetryAfter)
	}
	if _, answered := h.outcomes["run"]; answered {
		t.Error("a job that runs was answered")
	}
	stored := job("stored", 0, 1, 100*time.Millisecond)
	stored.Stored = true
	if reason, _ := h.c.Admit(h.now, &stored); reason == "" {
		t.Error("a job is stored although all is evacuated")
	}
	h.evacuate(2)
	h.submit(job("later", 0, 1, 100*time.Millisecond))
	if h.outcomes["later"].State == work.Rejected {
		t.Error("rejected after the return to service")
	}
}

// TestAJobOfAnEvacuatedLabelIsRejectedAtOnce guards against a job that waits for workers
// with a label which are all evacuated while workers without it are not.
func TestAJobOfAnEvacuatedLabelIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("a", "a", 1, "gold")
	h.addAgentIn("b", "b", 1)
	h.advance(time.Second)
	h.evacuate(1, "a")
	j := job("1", 0, 1, 100*time.Millisecond)
	j.Steps[0].Label = "gold"
	h.submit(j)
	h.wantOutcome("1", work.Rejected)
}

// TestASilentWorkerIsNotEvacuated guards against rejections at once while a worker that is
// not evacuated is out of contact for a moment.
func TestASilentWorkerIsNotEvacuated(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("a", "a", 1)
	h.addAgentIn("b", "b", 1)
	h.advance(time.Second)
	h.evacuate(1, "a")
	h.advance(600*time.Millisecond, "b")
	h.submit(job("1", 0, 1, 400*time.Millisecond))
	if out, answered := h.outcomes["1"]; answered {
		t.Errorf("answered as %s: %s", out.State, out.Reason)
	}
	h.report("b")
	h.wantStarts("b", 1)
}

// TestEvacuatedCapacityDoesNotCount guards against jobs that are admitted, or a wait that is
// reported, as if evacuated workers took part.
func TestEvacuatedCapacityDoesNotCount(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("a", "a", 9)
	h.addAgentIn("b", "b", 1)
	h.advance(time.Second)
	h.submit(job("1", 0, 30, 100*time.Millisecond))
	before := h.c.Delay(h.now)
	h.evacuate(1, "a")
	if after := h.c.Delay(h.now); after < 5*before {
		t.Errorf("delay %v, and %v before the evacuation of nine tenths", after, before)
	}
	large := job("2", 0, 1, 100*time.Millisecond)
	large.Steps[0].Room = work.Room{CPU: 50}
	h.submit(large)
	h.wantOutcome("2", work.Rejected)
}

// TestEvacuatedRefusalIsNoFailure guards against a task that waits, or a worker that counts as
// failing, because the agent learned of the evacuation before the home.
func TestEvacuatedRefusalIsNoFailure(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("a", "a", 2)
	h.submit(job("1", 0, 2, 100*time.Millisecond))
	h.addAgentIn("b", "b", 2)
	h.seq["a"] += 2
	h.c.Report(h.now, "a", &schedule.Report{Life: "1", Target: h.agents["a"], Ready: true, Settled: true, Evacuated: true, Events: []schedule.Event{
		{Seq: 1, Run: h.starts["a"][0], End: work.Refused, Reason: worker.Evacuated},
		{Seq: 2, Run: h.starts["a"][1], End: work.Refused, Reason: worker.Evacuated},
	}})
	h.collect()
	h.wantStarts("a", 2)
	h.wantStarts("b", 2)
	h.report("a") // in service again
	h.submit(job("2", 0, 2, 100*time.Millisecond))
	h.wantStarts("a", 4)
}

// TestLastingTasksLeaveAnEvacuatedDataCentre guards against tasks without an end that stay
// in an evacuated data centre, and against their loss while no other worker is free.
func TestLastingTasksLeaveAnEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	h.addAgentIn("a", "a", 1)
	h.addAgentIn("b", "b", 1)
	h.c.SetTenure(h.now, schedule.Tenure{Epoch: 1, Until: h.now.Add(time.Hour), Agents: map[string]bool{"a": true, "b": true}})
	for name := range h.agents {
		h.c.Report(h.now, name, &schedule.Report{Life: "1", Target: h.agents[name], Ready: true, Settled: true, Epoch: 1, Asked: true})
	}
	j := job("1", 0, 2, time.Second)
	j.Stored, j.Lasts = true, true
	h.c.Restore(h.now, j, 0, nil, schedule.Failures{})
	h.collect()
	h.wantStarts("a", 1)
	h.wantStarts("b", 1)
	h.evacuate(1, "a")
	if n := len(h.stops["a"]); n != 0 {
		t.Errorf("%d runs stopped while no other worker is free", n)
	}
	h.agents["b"] = work.Target{ID: "w-b", Born: 1, Service: "s", Zone: "b", Capacity: work.Room{CPU: 20}}
	h.c.Report(h.now, "b", &schedule.Report{Life: "1", Target: h.agents["b"], Ready: true, Settled: true, Epoch: 1})
	h.c.Report(h.now, "a", &schedule.Report{Life: "1", Target: h.agents["a"], Ready: true, Settled: true, Epoch: 1})
	h.collect()
	if n := len(h.stops["a"]); n != 1 {
		t.Fatalf("%d runs stopped, want 1", n)
	}
}

// TestPlacementWaitsForTheEvacuatedDataCentres guards against starts in an evacuated data
// centre by a home that has just started.
func TestPlacementWaitsForTheEvacuatedDataCentres(t *testing.T) {
	h := newHarness(t)
	h.c.HoldPlacement()
	h.addAgentIn("a", "a", 2)
	h.addAgentIn("b", "b", 2)
	h.submit(job("1", 0, 1, 100*time.Millisecond))
	h.advance(100 * time.Millisecond)
	h.wantStarts("a", 0)
	h.wantStarts("b", 0)
	h.evacuate(1, "a")
	h.wantStarts("b", 1)
}
