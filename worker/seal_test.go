package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// newSettledDriver returns a driver whose Guard knows that the worker runs nothing.
func newSettledDriver(t *testing.T) *driver {
	d := newDriver(t)
	d.answerPoll(0)
	return d
}

// seal seals the job for e2, the next home.
func (d *driver) seal(upTo int) {
	d.g.RecordContact(d.now, "e2", d.now)
	d.g.Seal(d.now, "e2", []worker.Seal{{Job: "j", UpTo: upTo}})
}

// startOwn starts a run for e2.
func (d *driver) startOwn(index, number int) {
	d.g.RecordContact(d.now, "e2", d.now)
	d.g.Order(d.now, "e2", d.now, []work.Start{start(index, number, 10)}, nil)
	d.g.Take()
	d.g.Started(d.now, run(index, number), "", false)
}

// wantSealed checks the numbers of the seals that were answered.
func (d *driver) wantSealed(want ...int) {
	d.t.Helper()
	events := d.g.Events("e2", 0)
	if len(events) != len(want) {
		d.t.Fatalf("events %+v, want seals %v", events, want)
	}
	for i, e := range events {
		if e.End != work.Sealed || e.Run != (work.Run{Task: work.TaskRef{Job: "j"}, Number: want[i]}) {
			d.t.Errorf("event %+v, want seal %d", e, want[i])
		}
	}
}

func TestSealWithoutRunsIsAnsweredAtOnce(t *testing.T) {
	d := newSettledDriver(t)
	d.seal(1000)
	d.wantSealed(1000)
	d.seal(1000)
	d.wantSealed(1000, 1000)
}

func TestSealIsAnsweredAfterTheEndOfTheRuns(t *testing.T) {
	for _, stopTime := range []time.Duration{10 * time.Millisecond, 500 * time.Millisecond} {
		d := newSettledDriver(t)
		d.startRunning(0, 1)
		d.startRunning(1, 2)
		d.startOwn(2, 1001)
		d.seal(1000)
		orders := d.g.Take()
		if len(orders) != 2 || !orders[0].Stop || orders[0].Start.Run != run(0, 1) || orders[1].Start.Run != run(1, 2) || orders[1].Reason != "another home has the job" {
			t.Fatalf("orders %+v, want stops of the two earlier runs", orders)
		}
		d.answerPollWithEnd(work.Stopped, run(1, 2))
		d.advance(stopTime)
		d.answerPoll(10, run(0, 1), run(2, 1001))
		d.wantSealed()
		d.answerPollWithEnd(work.Stopped, run(0, 1))
		d.wantSealed(1000)
	}
}

func TestSealIsAnsweredWhenRunsLapse(t *testing.T) {
	d := newSettledDriver(t)
	d.startRunning(0, 1)
	d.seal(1000)
	d.advance(cfg.Lease + cfg.Lease/10)
	d.g.PollFailed(d.now)
	d.wantSealed(1000)
}

// A seal waits only for the runs that it covers, of those that its home has ordered.
func TestSealsAreAnsweredByTheirOwnLimit(t *testing.T) {
	d := newSettledDriver(t)
	d.startOwn(0, 1001)
	d.seal(2000)
	d.seal(1000)
	d.wantSealed(1000)
	d.answerPollWithEnd(work.Stopped, run(0, 1001))
	want := []worker.Event{{Run: work.Run{Task: work.TaskRef{Job: "j"}, Number: 1000}, End: work.Sealed}, {Run: run(0, 1001), End: work.Stopped}, {Run: work.Run{Task: work.TaskRef{Job: "j"}, Number: 2000}, End: work.Sealed}}
	events := d.g.Events("e2", 0)
	if len(events) != len(want) {
		d.t.Fatalf("events %+v, want %+v", events, want)
	}
	for i, e := range events {
		if e.End != want[i].End || e.Run != want[i].Run {
			d.t.Errorf("event %+v, want %+v", e, want[i])
		}
	}
}

func TestSealRefusesEarlierRunsOnly(t *testing.T) {
	d := newSettledDriver(t)
	d.seal(2000)
	d.seal(1000) // delayed
	for _, number := range []int{1, 1000, 2000} {
		if n := len(d.order(start(0, number, 10))); n != 0 {
			t.Errorf("run %d: %d starts sent, want none", number, n)
		}
		if e := d.lastEvent(work.Refused); e.Reason != worker.SealedJob || e.Run.Number != number {
			t.Errorf("run %d: event %+v, want reason %q", number, e, worker.SealedJob)
		}
	}
	if n := len(d.order(start(0, 2001, 10))); n != 1 {
		t.Errorf("later run: %d starts sent, want 1", n)
	}
	other := start(0, 1, 10)
	other.Run.Task.Job = "k"
	if n := len(d.order(other)); n != 1 {
		t.Errorf("other job: %d starts sent, want 1", n)
	}
}

// TestStartInTransitDelaysTheSeal guards against a seal that is answered while the worker may
// still carry out an order that was not answered.
func TestStartInTransitDelaysTheSeal(t *testing.T) {
	t.Run("ordered", func(t *testing.T) {
		d := newSettledDriver(t)
		d.order(start(0, 1, 10))
		d.seal(1000)
		d.answerPoll(0)
		d.wantSealed()
		d.g.Started(d.now, run(0, 1), "", false)
		d.wantStop("another home has the job")
		d.wantSealed()
		d.answerPollWithEnd(work.Stopped, run(0, 1))
		d.wantSealed(1000)
	})
	t.Run("unclear", func(t *testing.T) {
		d := newSettledDriver(t)
		sent := d.order(start(0, 1, 10))[0]
		d.seal(1000)
		d.g.Unanswered(d.now, run(0, 1))
		d.g.PollAnswered(d.now, worker.Snapshot{Token: sent.Token, Born: d.born, Clock: d.clock})
		d.wantSealed()
		d.answerPoll(0)
		d.wantSealed()
		d.passTransit()
		d.wantSealed(1000)
	})
	t.Run("rejected token", func(t *testing.T) {
		d := newSettledDriver(t)
		d.order(start(0, 1, 10), start(1, 1, 10))
		d.g.Unanswered(d.now, run(1, 1)) // raises the token
		d.seal(1000)
		d.g.Started(d.now, run(0, 1), "fence", true)
		if orders := d.g.Take(); len(orders) != 0 {
			t.Errorf("sent again: %+v", orders)
		}
		d.wantSealed()
		d.answerPoll(0)
		d.wantSealed()
		d.passTransit()
		d.wantSealed(1000)
	})
}

// TestUnsettledAgentAnswersNoSeal guards against a restarted agent that answers a seal while
// a run of its earlier incarnation goes on.
func TestUnsettledAgentAnswersNoSeal(t *testing.T) {
	d := newRestartedDriver(t)
	d.seal(1000)
	d.wantSealed()
	d.answerPoll(10, run(0, 1))
	d.wantSealed()
	d.answerPoll(0)
	d.wantSealed(1000)
}

// TestSealNeedsAnAcknowledgedToken guards against a seal that is answered after a poll that
// does not keep the worker from carrying out orders of an earlier incarnation of the agent.
func TestSealNeedsAnAcknowledgedToken(t *testing.T) {
	d := newRestartedDriver(t)
	d.g = worker.NewGuard(cfg)
	d.answerPoll(0) // sent before the first heartbeat
	d.seal(1000)
	d.wantSealed()
	d.answerPoll(0)
	d.wantSealed(1000)
}

// TestWorkerRestartDelaysTheSeal guards against a seal that is answered while a new
// incarnation of the worker may carry out an order in transit.
func TestWorkerRestartDelaysTheSeal(t *testing.T) {
	d := newSettledDriver(t)
	d.startRunning(0, 1)
	d.born, d.clock = 8, time.Second
	d.sendHeartbeat(false)
	d.seal(1000)
	d.wantSealed()
	d.answerPoll(10, run(0, 1))
	d.wantSealed()
	d.answerPollWithEnd(work.Stopped, run(0, 1))
	d.wantSealed(1000)

	d.born, d.clock = 9, time.Second
	d.sendHeartbeat(false)
	d.seal(1000)
	d.wantSealed(1000)
	d.answerPoll(0)
	d.wantSealed(1000, 1000)
}

func TestSealsAreForgottenAfterSealRetention(t *testing.T) {
	d := newSettledDriver(t)
	d.startRunning(0, 1)
	d.seal(1000)
	tick := func() {
		d.advance(cfg.SealRetention + time.Millisecond)
		d.g.RecordContact(d.now, "e1", d.now)
		d.g.RecordContact(d.now, "e2", d.now)
		d.g.Tick(d.now)
		d.g.Take()
	}
	tick()
	d.answerPollWithEnd(work.Stopped, run(0, 1))
	d.wantSealed(1000) // a seal is kept while it is not answered
	d.order(start(0, 2, 10))
	if e := d.lastEvent(work.Refused); e.Reason != worker.SealedJob {
		t.Errorf("refused with reason %q, want %q", e.Reason, worker.SealedJob)
	}
	tick()
	if n := len(d.order(start(0, 3, 10))); n != 1 {
		t.Errorf("%d starts sent, want 1", n)
	}
}

// TestSealCoversRunsOfAnotherTakeover guards against a double run: a seal is answered beside a run that
// is numbered higher, as another entry had handed the job to a third home.
func TestSealCoversRunsOfAnotherTakeover(t *testing.T) {
	d := newSettledDriver(t)
	d.startRunning(0, 2001) // ordered by e1
	d.seal(1000)
	d.wantStop("another home has the job")
	d.answerPoll(10, run(0, 2001))
	d.wantSealed()
	d.answerPollWithEnd(work.Stopped, run(0, 2001))
	d.wantSealed(1000)
}
