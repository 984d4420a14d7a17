package schedule_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// The job of the tests below was handed over with this base of run numbers.
const handoverBase = 1000

func (h *harness) takeOver(j work.Job, complete bool, agents ...string) {
	h.c.TakeOver(h.now, j, schedule.Handover{RunNumberBase: handoverBase, Agents: agents, Complete: complete, RunsEndAt: h.now.Add(2 * time.Second)})
	h.collect()
}

// seal reports that an agent has sealed a job.
func (h *harness) seal(agent, id string) {
	h.report(agent, schedule.Event{Run: work.Run{Task: work.TaskRef{Job: id}, Number: handoverBase}, End: work.Sealed})
}

// TestJobStartsBesideRunOfLostHome guards against a double run: a job that another home
// may run is started before all agents have sealed it.
func TestJobStartsBesideRunOfLostHome(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.addAgent("b", 1)
	h.takeOver(job("j", 0, 1, 100*time.Millisecond), true, "a", "b", "c")
	if len(h.seals["a"]) != 1 || len(h.seals["b"]) != 1 {
		t.Fatalf("seals %v, want one at a and one at b", h.seals)
	}
	h.seal("a", "j")
	h.seal("b", "j")
	h.advance(100 * time.Millisecond)
	h.wantStarts("a", 0)
	h.wantStarts("b", 0)
	h.addAgent("c", 1) // reports for the first time
	if len(h.seals["c"]) != 1 {
		t.Fatalf("seals %v, want one at c", h.seals)
	}
	h.seal("c", "j")
	if n := len(h.starts["a"]) + len(h.starts["b"]) + len(h.starts["c"]); n != 1 {
		t.Fatalf("%d starts after the last seal, want 1", n)
	}
	for _, starts := range h.starts {
		if starts[0].Number != handoverBase+1 {
			t.Errorf("run %d, want %d", starts[0].Number, handoverBase+1)
		}
	}
}

func TestSilentAgentDelaysJobUntilLeasesExpire(t *testing.T) {
	for _, complete := range []bool{true, false} {
		h := newHarness(t)
		h.addAgent("a", 1)
		agents := []string{"a"}
		if complete {
			agents = append(agents, "silent")
		}
		h.takeOver(job("j", 0, 1, time.Second), complete, agents...)
		h.seal("a", "j")
		h.advance(1900 * time.Millisecond)
		h.wantStarts("a", 0)
		h.advance(200 * time.Millisecond)
		h.wantStarts("a", 1)
	}
}

// TestHandedOverJobWaitsInVain: not all agents are known, and the leases expire too late
// for the job. It is rejected at once.
func TestHandedOverJobWaitsInVain(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.takeOver(job("j", 0, 1, 100*time.Millisecond), false, "a")
	h.wantOutcome("j", work.Rejected)
}

func TestRestartedAgentIsAskedAgainToSeal(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.takeOver(job("j", 0, 1, 100*time.Millisecond), true, "a")
	h.seq["a"] = 0
	h.c.Report(h.now, "a", &schedule.Report{Life: "2", Target: h.agents["a"], Ready: true, Settled: true})
	h.collect()
	if len(h.seals["a"]) != 2 {
		t.Errorf("seals %v, want two at a", h.seals)
	}
	h.wantStarts("a", 0)
}

// TestJobHandedBackStartsAnew guards against a double run: a job comes back to a home
// that has runs of it, after another home had it.
func TestJobHandedBackStartsAnew(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.addAgent("b", 1)
	h.submit(job("j", 0, 1, 100*time.Millisecond))
	agent := "a"
	if len(h.starts["b"]) > 0 {
		agent = "b"
	}
	first := h.starts[agent][0]
	h.c.Withdraw(h.now, "j")
	h.takeOver(job("j", 0, 1, 100*time.Millisecond), true, "a", "b")
	h.endRun(agent, first, work.Stopped, 0)
	h.seal("a", "j")
	if n := len(h.starts["a"]) + len(h.starts["b"]); n != 1 {
		t.Fatalf("%d starts before the last seal, want 1", n)
	}
	h.seal("b", "j")
	if n := len(h.starts["a"]) + len(h.starts["b"]); n != 2 {
		t.Fatalf("%d starts after the last seal, want 2", n)
	}
}

func TestSealedJobIsGivenUpByItsFormerHome(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 100*time.Millisecond))
	h.report("a", schedule.Event{Run: h.starts["a"][0], End: work.Refused, Reason: worker.SealedJob})
	h.wantOutcome("j", work.Unknown)
	h.advance(100 * time.Millisecond)
	h.wantStarts("a", 1)
}

// TestNewAgentStartsHandedOverJob guards against a double run: an agent that reports for the
// first time after a job was handed over is not asked to seal it.
func TestNewAgentStartsHandedOverJob(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.takeOver(job("j", 0, 1, 100*time.Millisecond), true, "a")
	h.addAgent("new", 1)
	h.seal("a", "j")
	if len(h.seals["new"]) != 1 || len(h.starts["a"])+len(h.starts["new"]) != 0 {
		t.Errorf("seals %v, starts %v; want a seal and no start", h.seals, h.starts)
	}
}

// TestManyAgentsAreNotAskedToSeal guards against a home that is overloaded when it takes over
// the jobs of a lost one on a large site.
func TestManyAgentsAreNotAskedToSeal(t *testing.T) {
	h := newHarness(t)
	agents := []string{"a", "b", "c", "d"}
	for _, a := range agents {
		h.addAgent(a, 1)
	}
	h.takeOver(job("j", 0, 1, time.Second), true, agents...)
	h.advance(1900 * time.Millisecond)
	if len(h.seals) > 0 || len(h.starts) > 0 {
		t.Errorf("seals %v, starts %v before the leases expire; want none", h.seals, h.starts)
	}
	h.advance(200 * time.Millisecond)
	if len(h.starts) != 1 {
		t.Errorf("starts %v after the leases have expired, want one", h.starts)
	}
}
