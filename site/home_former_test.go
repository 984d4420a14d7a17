package site

import (
	"testing"
	"testing/synctest"
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// formerHome is a home of an entry that is no longer home of a cell, with the agent "a1" of its
// former cell.
type formerHome struct {
	*home
	stamp time.Duration
	seq   uint64
}

func newFormerHome(t *testing.T) *formerHome {
	h := &formerHome{home: newHome(testEntry())}
	t.Cleanup(func() {
		h.close()
		h.e.metrics.all.Close()
	})
	h.mu.Lock()
	h.links["a1"] = newLink(h.home, "a1")
	h.mu.Unlock()
	h.report()
	return h
}

// report delivers a report of the agent and reports whether a link was there to receive it.
func (h *formerHome) report(events ...schedule.Event) bool {
	for i := range events {
		h.seq++
		events[i].Seq = h.seq
	}
	h.stamp += time.Millisecond
	h.mu.Lock()
	defer h.mu.Unlock()
	l, ok := h.links["a1"]
	if ok {
		target := work.Target{ID: "w1", Born: 1, Service: "s", Capacity: work.Room{CPU: 100}}
		l.takeReply(h.e.now(), &SyncReply{Stamp: h.stamp, Taken: h.lastOrder, Target: 1, Report: schedule.Report{Life: "life-1", Target: target, Ready: true, Settled: true, Events: events}})
	}
	return ok
}

// handOver hands over a job of one task. The outcome is sent once it arrives.
func (h *formerHome) handOver(t *testing.T, firstRun int) <-chan work.Outcome {
	step := work.Step{Count: 1, Room: work.Room{CPU: 10}, Estimate: time.Second}
	job := work.Job{ID: "j", Left: 6 * time.Second, Steps: []work.Step{step}, Queue: work.Queue{Service: "s", MaxAttempts: 2, Stretch: 2}}
	outcomes := make(chan work.Outcome, 1)
	go func() {
		out, _ := h.run(t.Context(), &RunArgs{Entry: "entry-2", Home: h.e.life, Job: job, FirstRun: firstRun})
		outcomes <- out
	}()
	synctest.Wait()
	return outcomes
}

// pass lets time pass while the entry of the job and the agent stay in contact. It reports whether
// the link to the agent was open throughout.
func (h *formerHome) pass(span time.Duration) bool {
	open := true
	for end := h.e.now().Add(span); h.e.now().Before(end); {
		time.Sleep(busyTickInterval)
		h.recordContact("entry-2", 0, 0)
		h.runOnce()
		open = h.report() && open
	}
	return open
}

func runOf(number int) work.Run { return work.Run{Task: work.TaskRef{Job: "j"}, Number: number} }

// TestFormerHomeKeepsLinksForRefusedTasks guards against a job that is never placed again: its
// only start was refused after its home had lost the role, and the home closed its links since no
// run was left.
func TestFormerHomeKeepsLinksForRefusedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFormerHome(t)
		outcomes := h.handOver(t, 0)
		if !h.core.HasRuns("a1") {
			t.Fatal("the task was not placed")
		}
		h.report(schedule.Event{Run: runOf(1), End: work.Refused, Reason: worker.NoRoom})
		if !h.pass(10 * linkUpdateInterval) {
			t.Fatal("the link was closed while a job that was sent waits")
		}
		if !h.core.HasRuns("a1") {
			t.Fatal("the task was not placed again")
		}
		h.report(schedule.Event{Run: runOf(2), End: work.Done, Took: time.Second})
		synctest.Wait()
		if out := <-outcomes; out.State != work.Completed {
			t.Errorf("outcome %+v", out)
		}
		if h.pass(2 * linkUpdateInterval) {
			t.Error("the link stayed open without a job")
		}
	})
}

// TestFormerHomeKeepsLinksUntilLeasesExpire guards against a job that is never placed: it was
// handed over from a lost home, and the home that took it lost the role while the job waited for
// the leases of earlier runs. No agent is asked to seal such a job if not all agents are known.
func TestFormerHomeKeepsLinksUntilLeasesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFormerHome(t)
		h.handOver(t, runNumberStride)
		if !h.pass(RunsOfLostHomeEndAfter + linkUpdateInterval) {
			t.Fatal("the link was closed while a job waits for the leases of earlier runs")
		}
		if !h.core.HasRuns("a1") {
			t.Error("the task was not placed")
		}
	})
}
