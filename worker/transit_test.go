package worker_test

import (
	"fmt"
	"testing"
	"time"

	"masticbay/evacuation"
	"masticbay/work"
	"masticbay/worker"
)

// wantSentAgain takes the orders, which must be one start of a run.
func (d *driver) wantSentAgain(r work.Run) worker.Order {
	d.t.Helper()
	orders := d.g.Take()
	if len(orders) != 1 || orders[0].Stop || orders[0].Start.Run != r {
		d.t.Fatalf("orders %+v, want another start of %v", orders, r)
	}
	return orders[0]
}

// wantInTransit checks that a run waits, which is not told to its home as an end.
func (d *driver) wantInTransit(r work.Run) {
	d.t.Helper()
	if _, waiting := d.g.UnansweredStarts(); waiting != 1 || !d.g.Knows(r) {
		d.t.Errorf("%d runs in transit, %v known %t", waiting, r, d.g.Knows(r))
	}
	for _, e := range d.g.Events("e1", 0) {
		if e.Run == r {
			d.t.Errorf("event %+v while a start of the run may be carried out", e)
		}
	}
}

// passTransit lets the time pass in which a start is carried out late, with an answered poll at the end.
func (d *driver) passTransit() {
	d.advance(cfg.OrderDelay)
	d.g.Tick(d.now)
	d.answerPoll(0)
}

// restartWorker starts another incarnation of the worker, which answers a poll.
func (d *driver) restartWorker(id string, running ...work.Run) {
	d.born, d.clock = d.born+1000, time.Second
	d.g.TakeHeartbeat(d.now, work.Target{ID: id, Born: d.born, Service: "s", Capacity: work.Room{CPU: 100}}, d.clock, 0)
	d.g.Take()
	d.answerPoll(1, running...)
	d.g.RecordContact(d.now, "e1", d.now)
	d.answerPoll(1, running...)
}

// leaveUnanswered sends a start that gets no answer, and a list under a higher token that does not show it.
func (d *driver) leaveUnanswered(s work.Start) {
	d.t.Helper()
	if n := len(d.order(s)); n != 1 {
		d.t.Fatalf("%d starts sent", n)
	}
	d.g.Unanswered(d.now, s.Run)
	d.answerPoll(0)
}

// TestStartEndsBeforeItsTransit guards against a task that starts elsewhere while the next incarnation of
// a worker may carry out a start of it: whatever ends the run, its end is told after Config.OrderDelay.
func TestStartEndsBeforeItsTransit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		stored bool // it must not run again once it is done; otherwise it is sent again to the same worker
		act    func(d *driver)
		end    work.End
	}{
		{"list under a higher token", true, func(*driver) {}, work.Refused},
		{"restart under the same ID", true, func(d *driver) { d.restartWorker("w") }, work.Refused},
		{"restart under another ID", true, func(d *driver) { d.restartWorker("w2") }, work.Refused},
		{"stop", true, func(d *driver) { d.orderStop(run(0, 1)) }, work.Refused},
		{"second start refused", false, func(d *driver) { d.g.Started(d.now, run(0, 1), "room", false) }, work.Refused},
		{"second start stopped", false, func(d *driver) {
			d.g.Started(d.now, run(0, 1), "", false)
			d.orderStop(run(0, 1))
			d.answerPollWithEnd(work.Stopped, run(0, 1))
		}, work.Stopped},
		{"second start failed", false, func(d *driver) {
			d.g.Started(d.now, run(0, 1), "", false)
			d.answerPollWithEnd(work.Failed, run(0, 1))
		}, work.Failed},
		{"second start lapsed with the lease", false, func(d *driver) {
			d.g.Started(d.now, run(0, 1), "", false)
			d.advance(2 * time.Second)
			d.g.PollFailed(d.now)
		}, work.Lapsed},
		{"worker leaves", false, func(d *driver) {
			d.g.Started(d.now, run(0, 1), "", false)
			d.g.Leave()
			d.answerPoll(0)
		}, work.Lapsed},
		{"drain", false, func(d *driver) {
			d.g.Unanswered(d.now, run(0, 1))
			d.sendHeartbeat(true)
			d.answerPoll(0)
		}, work.Refused},
		{"evacuation", false, func(d *driver) {
			d.g.SetEvacuated(evacuation.New(1, []string{""}))
			d.g.Unanswered(d.now, run(0, 1))
			d.answerPoll(0)
		}, work.Refused},
		{"home out of contact", false, func(d *driver) {
			d.g.Unanswered(d.now, run(0, 1))
			d.advance(time.Second)
			d.g.Tick(d.now)
			d.answerPoll(0)
		}, work.Refused},
		{"restart as another kind", false, func(d *driver) {
			d.g.Started(d.now, run(0, 1), "", false)
			d.born, d.clock = d.born+1000, time.Second
			d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Born: d.born, Service: "s", Labels: []string{"b"}, Capacity: work.Room{CPU: 100}}, d.clock, 0)
			d.answerPoll(0)
		}, work.Lapsed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDriver(t)
			sentAt := d.now
			if tc.stored {
				d.applyTenure("e1", 1)
				d.leaveUnanswered(storedStart(0, 1))
			} else {
				d.leaveUnanswered(start(0, 1, 10))
				d.wantSentAgain(run(0, 1))
			}
			tc.act(d)
			d.wantInTransit(run(0, 1))
			if all, _ := d.g.Used(""); all.CPU != 0 {
				t.Errorf("the run takes %+v", all)
			}
			for d.now.Before(sentAt.Add(cfg.OrderDelay - time.Millisecond)) {
				d.advance(time.Millisecond)
				d.g.Tick(d.now)
				if d.now.Sub(sentAt)%(50*time.Millisecond) == 0 {
					d.answerPoll(0)
				}
				if !d.g.Knows(run(0, 1)) {
					t.Fatalf("the run has ended %v after its start", d.now.Sub(sentAt))
				}
			}
			d.g.Tick(d.now)
			d.passTransit()
			if e := d.lastEvent(tc.end); e.Run != run(0, 1) {
				t.Errorf("event %+v", e)
			}
		})
	}
}

// TestLateStartIsNotTheRun guards against a run that the next incarnation of the worker begins by a late
// start and that is stopped, or whose end is dropped, as if it was unknown.
func TestLateStartIsNotTheRun(t *testing.T) {
	for _, stored := range []bool{false, true} {
		t.Run(fmt.Sprint("stored ", stored), func(t *testing.T) {
			d := newDriver(t)
			if stored {
				d.applyTenure("e1", 1)
				d.leaveUnanswered(storedStart(0, 1))
			} else {
				d.leaveUnanswered(start(0, 1, 10))
				d.wantSentAgain(run(0, 1))
				d.g.Unanswered(d.now, run(0, 1))
			}
			d.advance(time.Second)
			d.g.RecordContact(d.now, "e1", d.now)
			if stored {
				d.applyTenure("e1", 1)
			}
			d.restartWorker("w", run(0, 1))
			if orders := d.g.Take(); len(orders) != 0 || d.g.Running() != 1 {
				t.Fatalf("orders %+v, %d runs, want the run to go on", orders, d.g.Running())
			}
			d.lastEnd = 0
			d.answerPollWithEnd(work.Done, run(0, 1))
			d.lastEvent(work.Done)
		})
	}
}

// TestAnswerLostLooksLikeTransit guards against a wait after a start that was carried out, and of which
// only the answer was lost.
func TestAnswerLostLooksLikeTransit(t *testing.T) {
	d := newDriver(t)
	d.applyTenure("e1", 1)
	s := storedStart(0, 1)
	d.order(s)
	d.g.Unanswered(d.now, s.Run)
	d.answerPoll(10, s.Run)
	d.answerPollWithEnd(work.Failed, s.Run)
	d.lastEvent(work.Failed)
}

// TestDoneRunHidesItsTransit guards against a home that takes a job over and starts its tasks while a start
// of a run that was done may still be carried out.
func TestDoneRunHidesItsTransit(t *testing.T) {
	d := newSettledDriver(t)
	d.leaveUnanswered(start(0, 1, 10))
	d.wantSentAgain(run(0, 1))
	d.g.Started(d.now, run(0, 1), "", false)
	d.answerPollWithEnd(work.Done, run(0, 1))
	d.lastEvent(work.Done)
	d.seal(1000)
	d.wantSealed()
	if n := d.g.RunsOfOthers("e2")["j"]; n != 1 {
		t.Errorf("highest run of the job is told as %d, want 1", n)
	}
	d.passTransit()
	d.wantSealed()
	d.advance(cfg.WorkerContactTimeout)
	d.g.Tick(d.now)
	d.wantSealed(1000)
}

// TestListOvertakesAnswer guards against a run that can not be stopped, as a list showed it before the answer to
// its start came.
func TestListOvertakesAnswer(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := newDriver(t)
		d.order(start(0, 1, 10))
		d.answerPoll(1, run(0, 1))
		if answered {
			d.g.Started(d.now, run(0, 1), "", false)
		} else {
			d.g.Unanswered(d.now, run(0, 1))
			d.answerPoll(1, run(0, 1))
		}
		d.orderStop(run(0, 1))
		d.wantStop("ordered by its home")
		d.answerPollWithEnd(work.Stopped, run(0, 1))
		d.lastEvent(work.Stopped)
	}
}
