package worker_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

const stopTime = 150 * time.Millisecond

// newDriverWithStopTime returns a driver whose Guard withholds the lease after stopTime.
func newDriverWithStopTime(t *testing.T) *driver {
	d := newDriver(t)
	c := cfg
	c.StopTime = stopTime
	d.g = worker.NewGuard(c)
	d.sendHeartbeat(false)
	d.g.ApplyTenure(d.now, "e1", worker.Tenure{Vacant: true})
	d.answerPoll(0)
	d.applyTenure("e1", 1)
	return d
}

// wantRenewed checks whether the lease is renewed, and whether the report says so.
func (d *driver) wantRenewed(want bool) {
	d.t.Helper()
	if until := d.g.LeaseUntil(d.now); until != 0 != want {
		d.t.Errorf("lease until %v, want it renewed: %t", until, want)
	}
	if report := schedule.ReportOf(d.g, "e1", 0); report.Ready != want {
		d.t.Errorf("reported as ready: %t, want %t", report.Ready, want)
	}
}

// TestLateStopIsNotOutlastedByRenewal guards against a run that goes on because the lease is
// renewed while its stop is not carried out.
func TestLateStopIsNotOutlastedByRenewal(t *testing.T) {
	d := newDriverWithStopTime(t)
	d.startRunning(0, 1)
	d.orderStop(run(0, 1))
	for range 3 { // repeated stops do not extend the time
		d.advance(stopTime / 3)
		d.g.RecordContact(d.now, "e1", d.now)
		d.answerPoll(10, run(0, 1))
	}
	d.wantRenewed(true)
	d.advance(time.Millisecond)
	d.wantRenewed(false)
	d.advance(cfg.Lease / 2)
	d.g.RecordContact(d.now, "e1", d.now)
	d.answerPoll(20, run(0, 1))
	d.wantRenewed(false)
	d.answerPollWithEnd(work.Stopped, run(0, 1))
	d.wantRenewed(true)
	d.g.Take()
	if n := len(d.order(start(1, 1, 10))); n != 1 {
		t.Errorf("%d starts sent after the run ended, want 1", n)
	}
}

// TestLostContactIsNotOutlastedByRenewal guards against an agent that renews the lease after a
// pause, before it has stopped the runs of a home that is out of contact.
func TestLostContactIsNotOutlastedByRenewal(t *testing.T) {
	d := newDriverWithStopTime(t)
	d.startRunning(0, 1)
	d.advance(cfg.EntryContactTimeout + stopTime)
	d.wantRenewed(true)
	d.advance(time.Millisecond)
	d.wantRenewed(false)
	d.answerPollWithEnd(work.Lapsed, run(0, 1))
	d.wantRenewed(true)
}

// TestUnknownRunIsNotOutlastedByRenewal guards against a run of an earlier incarnation of the
// agent that goes on because the lease is renewed while its stop is not carried out.
func TestUnknownRunIsNotOutlastedByRenewal(t *testing.T) {
	d := newDriverWithStopTime(t)
	d.answerPoll(10, run(0, 1))
	d.advance(stopTime)
	d.answerPoll(10, run(0, 1))
	d.wantRenewed(true)
	d.advance(time.Millisecond)
	d.wantRenewed(false)
	d.answerPoll(0)
	d.wantRenewed(true)
}

func TestStopInTimeDoesNotWithholdTheLease(t *testing.T) {
	d := newDriverWithStopTime(t)
	d.startRunning(0, 1)
	d.orderStop(run(0, 1))
	d.advance(stopTime)
	d.wantRenewed(true)
	d.answerPollWithEnd(work.Stopped, run(0, 1))
	d.advance(stopTime)
	d.wantRenewed(true)
}

// A start carries a lease, which would extend that of the run to stop.
func TestNothingStartsWhileTheLeaseIsWithheld(t *testing.T) {
	d := newDriverWithStopTime(t)
	d.startRunning(0, 1)
	d.order(start(1, 1, 10), start(2, 1, 10))
	d.g.Unanswered(d.now, run(2, 1)) // raises the token
	d.orderStop(run(0, 1))
	d.g.Take()
	d.advance(stopTime + time.Millisecond)
	d.g.RecordContact(d.now, "e1", d.now)
	if n := len(d.order(start(3, 1, 10))); n != 0 {
		t.Errorf("%d starts sent, want none", n)
	}
	if e := d.lastEvent(work.Refused); e.Reason != worker.Unready {
		t.Errorf("refused with reason %q, want %q", e.Reason, worker.Unready)
	}
	d.g.Started(d.now, run(1, 1), "fence", true)
	if orders := d.g.Take(); len(orders) != 0 {
		t.Errorf("sent again: %+v", orders)
	}
	if e := d.lastEvent(work.Refused); e.Run != run(1, 1) {
		t.Errorf("refused %v, want %v", e.Run, run(1, 1))
	}
}

// TestStoredEndsLapseWithTheWithheldLease guards against an end of a stored job that is
// reported as done although the worker's lease has expired before it was committed.
func TestStoredEndsLapseWithTheWithheldLease(t *testing.T) {
	for _, withheldFor := range []time.Duration{cfg.Lease / 2, 2 * cfg.Lease} {
		d := newDriverWithStopTime(t)
		d.order(storedStart(0, 1))
		d.g.Started(d.now, run(0, 1), "", false)
		d.startRunning(1, 1)
		d.wantRenewed(true)
		d.answerPollWithEnd(work.Done, run(0, 1))
		d.orderStop(run(1, 1))
		d.advance(stopTime + time.Millisecond)
		d.wantRenewed(false)
		d.advance(withheldFor)
		d.applyTenure("e1", 1)
		d.answerPollWithEnd(work.Stopped, run(1, 1))
		d.wantRenewed(true)
		want, acked := work.Done, uint64(0)
		if withheldFor > cfg.Lease {
			want, acked = work.Lapsed, 2
		}
		if e := d.g.Events("e1", 0)[0]; e.Run != run(0, 1) || e.End != want {
			t.Errorf("withheld for %v: event %+v, want %s", withheldFor, e, want)
		}
		if got := d.g.AckedEnd(); got != acked {
			t.Errorf("withheld for %v: acknowledged end %d, want %d", withheldFor, got, acked)
		}
	}
}

func TestRunsOfStoredJobsDoNotWithholdTheLease(t *testing.T) {
	d := newDriverWithStopTime(t)
	d.order(storedStart(0, 1))
	d.g.Started(d.now, run(0, 1), "", false)
	d.orderStop(run(0, 1))
	d.advance(stopTime + time.Millisecond)
	d.wantRenewed(true)
}

// TestUnansweredStartReachesRestartedWorker guards against a double run: a start that was
// not answered counts as ended with the lease, and reaches the worker after its restart.
func TestUnansweredStartReachesRestartedWorker(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10))
	d.g.Unanswered(d.now, run(0, 1))
	d.startRunning(1, 1)
	d.advance(2 * time.Second)
	d.g.PollFailed(d.now)
	if events := d.g.Events("e1", 0); len(events) != 1 || events[0].Run != run(1, 1) {
		t.Fatalf("events %+v, want the end of the run that was known to run", events)
	}
	d.born, d.clock = 9, time.Second
	d.sendHeartbeat(false)
	d.answerPoll(0)
	d.wantInTransit(run(0, 1))
	d.passTransit()
	if e := d.lastEvent(work.Lapsed); e.Run != run(0, 1) {
		t.Errorf("run %v has ended, want %v", e.Run, run(0, 1))
	}
}

// TestLeaseOutlastsItsContact guards against a run that goes on longer than others assume, as its
// lease was renewed in full until its stop was overdue.
func TestLeaseOutlastsItsContact(t *testing.T) {
	c := cfg
	c.RenewalContactAge = 150 * time.Millisecond
	d := &driver{t: t, g: worker.NewGuard(c), now: time.Unix(1000, 0), clock: 5 * time.Second, born: 7}
	d.sendHeartbeat(false)
	d.answerPoll(0)
	d.order(start(0, 1, 10))
	d.g.Started(d.now, run(0, 1), "", false)
	contact := d.clock
	for range 100 {
		if until, limit := d.g.LeaseUntil(d.now), contact+c.RenewalContactAge+c.Lease; until > limit {
			t.Fatalf("lease until %v at %v, want at most %v", until, d.clock, limit)
		}
		d.advance(10 * time.Millisecond)
		d.answerPoll(0, run(0, 1))
	}
	d.g.RecordContact(d.now, "e1", d.now)
	if until := d.g.LeaseUntil(d.now); until != d.clock+c.Lease {
		t.Errorf("lease until %v after contact, want %v", until, d.clock+c.Lease)
	}
}
