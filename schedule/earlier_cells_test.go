package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// awaitHome has the jobs of the given IDs wait for home e1.
func (h *harness) awaitHome(ids ...string) {
	h.c.AwaitHome(h.now, "e1", h.now.Add(time.Second), func(id string) bool {
		for _, i := range ids {
			if i == id {
				return true
			}
		}
		return false
	})
}

// listAskedAt is list for an exchange that began at a time.
func (h *harness) listAskedAt(agent string, askedAt time.Time, runs map[string]int) {
	h.c.Report(h.now, agent, &schedule.Report{Life: "1", Target: h.agents[agent], Ready: true, Settled: true, RunsOfOthers: runs, Follows: true, ListsAllRuns: true, AskedAt: askedAt})
	h.collect()
}

// TestJobOfAnotherHomeOverlapsResubmission guards against a double run: the homes of the cells change, and a
// job is submitted at its new home before the old one has listed it. Other jobs do not wait.
func TestJobOfAnotherHomeOverlapsResubmission(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 2)
	asked := h.now
	h.advance(10 * time.Millisecond)
	h.awaitHome("j")
	h.submit(job("j", 0, 1, time.Second))
	h.submit(job("other", 0, 1, time.Second))
	h.wantStarts("a", 1)
	h.c.HomeListed(h.now, asked, "e1")
	h.collect()
	h.wantStarts("a", 1)
	h.c.HomeListed(h.now, h.now, "e1")
	h.collect()
	h.wantStarts("a", 2)
}

// TestRunOfALostHomeOverlapsResubmission guards against a double run: a home of another cell is lost, and a
// job of it is submitted again while an agent runs it.
func TestRunOfALostHomeOverlapsResubmission(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.addAgent("b", 1)
	h.awaitHome("j")
	h.advance(10 * time.Millisecond)
	h.c.HomeLost(h.now, "e1", []string{"a", "b"}, h.now.Add(time.Second))
	h.submit(job("j", 0, 1, time.Second))
	h.listAskedAt("a", h.now, nil)
	h.listAskedAt("b", h.now.Add(-time.Millisecond), map[string]int{"j": 1})
	if n := h.numStarts(); n != 0 || !h.c.AwaitsLostHomes() || !h.c.AwaitsAgent("b") {
		t.Fatalf("%d starts, while an agent has listed no runs since the loss", n)
	}
	h.listAskedAt("b", h.now, map[string]int{"j": 1})
	if n := h.numStarts(); n != 0 || len(h.seals["b"]) != 1 || h.c.AwaitsLostHomes() {
		t.Fatalf("%d starts, seals %v; want the job sealed at b", n, h.seals)
	}
	h.report("b", schedule.Event{Run: work.Run{Task: work.TaskRef{Job: "j"}, Number: 1}, End: work.Sealed})
	if n := h.numStarts(); n != 1 {
		t.Errorf("%d starts after the seal, want 1", n)
	}
}

func TestLostHomeIsAwaitedUntilItsLeasesExpire(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.awaitHome("j", "short")
	h.c.HomeLost(h.now, "e1", nil, h.now.Add(time.Second))
	h.submit(job("j", 0, 1, time.Second))
	h.submit(job("short", 0, 1, 50*time.Millisecond))
	h.wantOutcome("short", work.Rejected)
	h.advance(900 * time.Millisecond)
	h.wantStarts("a", 0)
	h.advance(110 * time.Millisecond)
	h.wantStarts("a", 1)
}

// TestRejectedJobIsSealedAtItsOtherCandidate guards against lost work: a home rejects a job that waits for
// another home, and seals the runs of the candidate that takes it then.
func TestRejectedJobIsSealedAtItsOtherCandidate(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.awaitHome("j")
	h.c.HomeLost(h.now, "e1", nil, h.now.Add(time.Second))
	h.submit(job("j", 0, 1, 50*time.Millisecond))
	h.wantOutcome("j", work.Rejected)
	h.list("a", map[string]int{"j": 1})
	if len(h.seals["a"]) > 0 {
		t.Errorf("seals %v of a job that was rejected", h.seals)
	}
}

// TestHomeThatOthersTakeForLostStartsJobsOfTheirs guards against a double run: the homes of the other cells have lost
// this one, and an agent of its cell does not know it yet.
func TestHomeThatOthersTakeForLostStartsJobsOfTheirs(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 2)
	h.addAgent("b", 2)
	h.c.ShareAgents(true)
	h.followOther("b")
	h.submit(job("j", 0, 1, time.Second))
	h.list("a", nil)
	if n := h.numStarts(); n != 0 {
		t.Fatalf("%d starts while an agent follows other homes", n)
	}
	h.list("b", nil)
	if n := h.numStarts(); n != 1 {
		t.Errorf("%d starts once all agents follow this home again, want 1", n)
	}
}

// sealAll reports that all agents have sealed what they were asked to.
func (h *harness) sealAll() {
	for agent, seals := range h.seals {
		for _, s := range seals {
			h.report(agent, schedule.Event{Run: work.Run{Task: work.TaskRef{Job: s.Job}, Number: s.UpTo}, End: work.Sealed})
		}
	}
}

// TestTakeoverOverlapsJobOfAnotherHome guards against a double run: a job is taken over from a lost home, or
// sealed since an earlier submission, while another home that may have it has not listed its jobs.
func TestTakeoverOverlapsJobOfAnotherHome(t *testing.T) {
	for _, sealedBefore := range []bool{false, true} {
		h := newHarness(t)
		h.addAgent("a", 1)
		h.advance(10 * time.Millisecond)
		takeOver := func() {
			h.c.TakeOver(h.now, job("j", 0, 1, 2*time.Second), schedule.Handover{RunNumberBase: 1000, Complete: true, RunsEndAt: h.now.Add(time.Second)})
		}
		if sealedBefore {
			takeOver()
			h.c.Withdraw(h.now, "j")
		}
		h.awaitHome("j")
		if sealedBefore {
			h.submit(job("j", 0, 1, 2*time.Second))
		} else {
			takeOver()
		}
		h.collect()
		h.sealAll()
		h.wantStarts("a", 0)
		h.c.HomeListed(h.now, h.now, "e1")
		h.collect()
		h.wantStarts("a", 1)
	}
}
