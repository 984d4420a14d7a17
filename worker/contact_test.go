package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// loseWorker lets polls renew the lease and fail for a while, as the worker answers none, while
// the home stays in contact. It returns when the last lease was requested.
func (d *driver) loseWorker(span time.Duration) (lastRenewal time.Time) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.g.RecordContact(d.now, "e1", d.now)
		d.g.ApplyTenure(d.now, "e1", worker.Tenure{Epoch: 1, RenewedAt: d.now})
		if d.g.LeaseUntil(d.now) > 0 {
			lastRenewal = d.now
		}
		d.advance(10 * time.Millisecond)
		d.g.PollFailed(d.now)
		d.g.Tick(d.now)
	}
	return lastRenewal
}

// startOf returns the start of a run, of a stored job or not.
func startOf(stored bool) work.Start {
	s := start(0, 1, 10)
	s.Stored = stored
	return s
}

// TestUnansweredPollsRenewTheLease guards against a run that never ends, as its worker is lost for
// good and each poll to it renews the lease that has to expire.
func TestUnansweredPollsRenewTheLease(t *testing.T) {
	for _, stored := range []bool{false, true} {
		d := newDriverWithTenure(t)
		d.order(startOf(stored))
		d.g.Started(d.now, run(0, 1), "", false)
		lastRenewal := d.loseWorker(cfg.Lease)
		if n := len(d.g.Events("e1", 0)); n != 0 {
			t.Fatalf("stored %t: the run ended %v after the last renewal, before its lease", stored, d.now.Sub(lastRenewal))
		}
		d.loseWorker(cfg.WorkerContactTimeout + cfg.Lease/10)
		d.lastEvent(work.Lapsed)
	}
}

// TestUnansweredStartOutlastsItsWorker guards against a task that waits for ever, as its worker was
// lost for good before it answered the start, also if it had just restarted.
func TestUnansweredStartOutlastsItsWorker(t *testing.T) {
	for _, stored := range []bool{false, true} {
		for _, restarted := range []bool{false, true} {
			d := newDriverWithTenure(t)
			d.order(startOf(stored))
			d.advance(50 * time.Millisecond)
			d.g.Unanswered(d.now, run(0, 1))
			if restarted {
				d.born, d.clock = 8, time.Second
				d.answerEmptyPoll(0)
			}
			lastRenewal := d.loseWorker(cfg.WorkerContactTimeout + cfg.OrderDelay + cfg.LongestLease)
			if n := len(d.g.Events("e1", 0)); n != 0 {
				t.Fatalf("stored %t, restarted %t: the run ended %v after the last order", stored, restarted, d.now.Sub(lastRenewal))
			}
			d.loseWorker(cfg.LongestLease / 10)
			d.lastEvent(work.Lapsed)
		}
	}
}

// TestRenewalStaysOffAfterContact guards against a worker that answers again and gets no lease.
func TestRenewalStaysOffAfterContact(t *testing.T) {
	d := newDriverWithTenure(t)
	d.order(startOf(false))
	d.g.Started(d.now, run(0, 1), "", false)
	d.loseWorker(2 * cfg.WorkerContactTimeout)
	if until := d.g.LeaseUntil(d.now); until != 0 {
		t.Errorf("lease until %v requested from a worker that is out of contact", until)
	}
	d.answerPoll(10, run(0, 1))
	if until, want := d.g.LeaseUntil(d.now), d.clock+cfg.Lease; until != want {
		t.Errorf("lease until %v after the worker has answered, want %v", until, want)
	}
}

// TestEventNumbersBeginAnew guards against ends that a home passes over, as the agent has removed
// the home after a while without contact and numbers its events from the beginning.
func TestEventNumbersBeginAnew(t *testing.T) {
	d := newDriver(t)
	d.startRun()
	d.answerPollWithEnd(work.Done, run(0, 1))
	taken := d.lastEvent(work.Done).Seq
	d.g.Events("e1", taken)
	d.advance(cfg.EventRetention + time.Millisecond)
	d.g.Tick(d.now)
	d.answerPoll(0)
	d.order(start(1, 1, 10))
	d.g.Started(d.now, run(1, 1), "", false)
	d.answerPollWithEnd(work.Done, run(1, 1))
	if got := d.lastEvent(work.Done).Seq; got <= taken {
		t.Errorf("event %d after the home has taken event %d", got, taken)
	}
}

// TestNewTenureRenewsContact guards against a double run: a message that was held up announces a
// tenure, and the runs of its home go on as if the home were in contact.
func TestNewTenureRenewsContact(t *testing.T) {
	d := newDriver(t)
	d.startRunning(0, 1)
	echo := d.now
	d.advance(cfg.EntryContactTimeout - time.Millisecond)
	d.g.RecordContact(d.now, "e1", echo)
	d.g.ApplyTenure(d.now, "e1", worker.Tenure{Epoch: 1, RenewedAt: echo})
	d.advance(2 * time.Millisecond)
	if stopped := d.g.Tick(d.now); len(stopped) != 1 {
		t.Errorf("%d runs stopped %v after the last contact with their home, want 1", len(stopped), d.now.Sub(echo))
	}
}

// TestRequestOfEarlierClockOutlastsTheLease guards against a double run: a worker that has restarted
// grants its longest lease to a request that was made by its earlier clock, although no run was left.
func TestRequestOfEarlierClockOutlastsTheLease(t *testing.T) {
	d := newDriver(t)
	c := cfg
	c.Lease = 600 * time.Millisecond
	d.g = worker.NewGuard(c)
	d.sendHeartbeat(false)
	d.g.ApplyTenure(d.now, "e1", worker.Tenure{Vacant: true})
	d.clock += time.Minute
	d.answerPoll(0)
	d.g.LeaseUntil(d.now) // of a poll that the restarted worker gets
	granted := d.now.Add(cfg.LongestLease)
	d.born, d.clock = 8, time.Second
	d.answerEmptyPoll(0)
	d.answerPoll(0)
	d.sendHeartbeat(false)
	d.order(startOf(false))
	d.g.Started(d.now, run(0, 1), "", false)
	for d.now.Before(granted) {
		d.g.LeaseUntil(d.now) // of a poll that gets lost
		d.advance(10 * time.Millisecond)
		d.g.RecordContact(d.now, "e1", d.now)
		d.g.PollFailed(d.now)
		d.g.Tick(d.now)
		if events := d.g.Events("e1", 0); len(events) > 0 {
			t.Fatalf("run ended as %s (%s) %v before the lease", events[0].End, events[0].Reason, granted.Sub(d.now))
		}
	}
}

// TestLeaseOfFormerAgentOutlastsItsRuns guards against a double run: the lease that an agent requests
// for an old contact is shorter than the one that a former agent has just requested.
func TestLeaseOfFormerAgentOutlastsItsRuns(t *testing.T) {
	d := newRestartedDriver(t)
	c := cfg
	c.RenewalContactAge, c.Lease = 150*time.Millisecond, 600*time.Millisecond
	d.g = worker.NewGuard(c)
	d.sendHeartbeat(false)
	d.answerPoll(0)
	former := d.now.Add(c.Lease)
	d.answerPoll(0)
	d.g.Order(d.now, "e1", d.now.Add(-c.OrderMaxAge), []work.Start{start(0, 1, 10)}, nil)
	if n := len(d.g.Take()); n != 1 {
		t.Fatalf("%d orders, want a start", n)
	}
	d.g.Started(d.now, run(0, 1), "", false)
	for d.g.Running() > 0 {
		d.advance(10 * time.Millisecond)
		d.g.PollFailed(d.now)
	}
	if d.now.Before(former) {
		t.Errorf("the run lapsed %v before the lease", former.Sub(d.now))
	}
}
