package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// applyTenure gives an entry the tenure of an epoch.
func (d *driver) applyTenure(entry string, epoch uint64) {
	d.g.RecordContact(d.now, entry, d.now)
	d.g.ApplyTenure(d.now, entry, worker.Tenure{Epoch: epoch, RenewedAt: d.now})
}

func storedStart(index, number int) work.Start {
	s := start(index, number, 10)
	s.Stored = true
	return s
}

// answerPollWithEnd answers a poll that lists one end.
func (d *driver) answerPollWithEnd(end work.End, r work.Run) {
	d.lastEnd++
	d.g.PollAnswered(d.now, worker.Snapshot{Token: d.g.Token(), Round: d.g.PollRound(), Born: d.born, Clock: d.clock, Ended: []worker.Ended{{Number: d.lastEnd, Run: r, End: end}}})
}

func newDriverWithTenure(t *testing.T) *driver {
	d := newDriver(t)
	d.g.ApplyTenure(d.now, "e1", worker.Tenure{Vacant: true})
	d.answerPoll(0)
	d.applyTenure("e1", 1)
	return d
}

func TestEndOfStoredJobIsRetainedUntilCommitted(t *testing.T) {
	d := newDriverWithTenure(t)
	d.order(storedStart(0, 1))
	d.g.Started(d.now, run(0, 1), "", false)
	d.answerPollWithEnd(work.Done, run(0, 1))
	if got := d.g.AckedEnd(); got != 0 {
		t.Fatalf("the worker may drop ends up to %d before they are committed", got)
	}
	e := d.lastEvent(work.Done)
	d.g.Events("e1", e.Seq)
	if got := d.g.AckedEnd(); got != 1 {
		t.Errorf("the worker may drop ends up to %d after the commit", got)
	}
}

func TestNextHolderGetsRunsAndEnds(t *testing.T) {
	d := newDriverWithTenure(t)
	d.order(storedStart(0, 1), storedStart(1, 1))
	d.g.Started(d.now, run(0, 1), "", false)
	d.g.Started(d.now, run(1, 1), "", false)
	d.lastEnd++
	d.g.PollAnswered(d.now, worker.Snapshot{Token: d.g.Token(), Round: d.g.PollRound(), Born: d.born, Clock: d.clock,
		Running: map[work.Run]int{run(1, 1): 10}, Ended: []worker.Ended{{Number: 1, Run: run(0, 1), End: work.Done}}})
	d.applyTenure("e2", 2)
	events := d.g.Events("e2", 0)
	if len(events) != 1 || events[0].Run != run(0, 1) || events[0].End != work.Done {
		t.Errorf("events for the next holder: %+v", events)
	}
	if inherited, _ := d.g.InheritedRuns(); len(inherited) != 1 || inherited[0] != run(1, 1) {
		t.Errorf("inherited runs %v", inherited)
	}
	if n := len(d.g.Events("e1", 0)); n != 0 {
		t.Errorf("%d events left for the previous holder", n)
	}
	d.g.Order(d.now, "e1", d.now, []work.Start{storedStart(2, 1)}, nil)
	if n := len(d.g.Take()); n != 0 {
		t.Error("the previous holder can still start tasks")
	}
}

func TestTenureExpiresWithoutRenewal(t *testing.T) {
	d := newDriverWithTenure(t)
	for range 60 { // the entry stays in contact
		d.advance(100 * time.Millisecond)
		d.g.RecordContact(d.now, "e1", d.now)
		d.answerPoll(0)
		d.g.Tick(d.now)
	}
	if n := len(d.order(storedStart(0, 1))); n != 0 {
		t.Error("a tenure that was last renewed 6 s ago is still valid")
	}
	d.applyTenure("e1", 1)
	if n := len(d.order(storedStart(0, 1))); n != 1 {
		t.Error("a renewed tenure is not valid")
	}
}

// When the holder may have declared a run lost, the run's end must not be reported as
// done, and the worker may drop it only after its lease has expired.
func TestEndsLapseWhenHolderIsOutOfContact(t *testing.T) {
	d := newDriverWithTenure(t)
	d.order(storedStart(0, 1))
	d.g.Started(d.now, run(0, 1), "", false)
	d.answerPollWithEnd(work.Done, run(0, 1))
	d.advance(cfg.HolderContactTimeout + 50*time.Millisecond)
	d.g.Tick(d.now)
	if until := d.g.LeaseUntil(d.now); until != 0 || !d.g.RenewalPaused() {
		t.Fatalf("lease renewed until %v", until)
	}
	d.lastEvent(work.Lapsed)
	if d.g.AckedEnd() != 0 {
		t.Fatal("the worker may drop the end before the lease has expired")
	}
	d.advance(cfg.LongestLease + 100*time.Millisecond)
	d.answerPoll(0)
	if d.g.RenewalPaused() || d.g.AckedEnd() != 1 {
		t.Errorf("after the lease: renewal paused %t, acknowledged end %d", d.g.RenewalPaused(), d.g.AckedEnd())
	}
}

// TestLapsedEndIsAcknowledgedToItsWorker guards against a task that runs again after its end was
// acknowledged: the holder takes the end for lapsed and confirms that, while the lease still holds.
func TestLapsedEndIsAcknowledgedToItsWorker(t *testing.T) {
	for name, endsInPause := range map[string]bool{"ended before the pause": false, "ended in the pause": true} {
		d := newDriverWithTenure(t)
		d.order(storedStart(0, 1))
		d.g.Started(d.now, run(0, 1), "", false)
		if !endsInPause {
			d.answerPollWithEnd(work.Done, run(0, 1))
		}
		d.g.LeaseUntil(d.now.Add(cfg.HolderContactTimeout))
		d.advance(cfg.HolderContactTimeout + 50*time.Millisecond)
		d.g.Tick(d.now)
		if endsInPause {
			d.answerPollWithEnd(work.Done, run(0, 1))
		}
		d.applyTenure("e1", 1)
		d.g.Events("e1", d.lastEvent(work.Lapsed).Seq)
		if got := d.g.AckedEnd(); got != 0 {
			t.Errorf("%s: end %d acknowledged before the lease has expired", name, got)
		}
		d.advance(cfg.LongestLease + 100*time.Millisecond)
		d.answerPoll(0)
		if got := d.g.AckedEnd(); got != 1 {
			t.Errorf("%s: end %d acknowledged after the lease has expired, want 1", name, got)
		}
	}
}

// The ends that a restarted agent finds may be of stored jobs and not committed.
func TestRestartedAgentRetainsInheritedEnds(t *testing.T) {
	newDriverWithEnd := func(t *testing.T) *driver {
		d := newRestartedDriver(t)
		d.answerPollWithEnd(work.Done, run(0, 1))
		if d.g.AckedEnd() != 0 || d.g.LeaseUntil(d.now) != 0 {
			t.Fatalf("acknowledged end %d, lease until %v", d.g.AckedEnd(), d.g.LeaseUntil(d.now))
		}
		return d
	}
	t.Run("lease expires", func(t *testing.T) {
		d := newDriverWithEnd(t)
		d.applyTenure("e1", 1)
		d.advance(cfg.LongestLease / 2)
		d.answerPoll(0)
		if d.g.AckedEnd() != 0 {
			t.Error("the worker may drop the end before the lease has expired")
		}
		d.advance(cfg.LongestLease)
		d.answerPoll(0)
		if d.g.AckedEnd() != 1 || d.g.Epoch() != 1 {
			t.Errorf("after the lease: acknowledged end %d, epoch %d", d.g.AckedEnd(), d.g.Epoch())
		}
	})
	t.Run("nothing is stored", func(t *testing.T) {
		d := newDriverWithEnd(t)
		d.g.ApplyTenure(d.now, "e1", worker.Tenure{Vacant: true})
		if d.g.AckedEnd() != 1 || d.g.LeaseUntil(d.now) == 0 {
			t.Errorf("acknowledged end %d, lease until %v", d.g.AckedEnd(), d.g.LeaseUntil(d.now))
		}
	})
}

// TestRestartedAgentRenewsLeaseOfUnknownRuns guards against a double run: an agent that has
// restarted renews the lease of a run that its earlier incarnation started.
func TestRestartedAgentRenewsLeaseOfUnknownRuns(t *testing.T) {
	for _, vacant := range []bool{false, true} {
		d := newRestartedDriver(t)
		d.wantNoLease("before the first poll")
		d.answerPoll(5, run(0, 1))
		if vacant {
			d.g.ApplyTenure(d.now, "e1", worker.Tenure{Vacant: true})
		}
		d.g.Take()
		d.advance(200 * time.Millisecond)
		d.answerPoll(10, run(0, 1))
		d.wantNoLease("while the run goes on")
		if d.g.Epoch() != 0 {
			t.Errorf("epoch %d, want 0", d.g.Epoch())
		}
		d.advance(cfg.LongestLease + 100*time.Millisecond)
		d.answerPoll(0)
		if d.g.LeaseUntil(d.now) == 0 {
			t.Error("the lease is not renewed after the run has ended")
		}
	}
}

// wantNoLease checks that the lease is not renewed and no start is sent.
func (d *driver) wantNoLease(when string) {
	d.t.Helper()
	if until := d.g.LeaseUntil(d.now); until != 0 {
		d.t.Errorf("lease until %v %s, want none", until, when)
	}
	for _, o := range d.order(start(1, 1, 10)) {
		if !o.Stop {
			d.t.Errorf("a start was sent %s", when)
		}
	}
}

func TestLeaseIsNotLongerWhenThePollsFail(t *testing.T) {
	d := newDriver(t)
	before := d.g.LeaseUntil(d.now)
	d.now = d.now.Add(5 * time.Second)
	if slow := time.Duration(float64(5*time.Second) * 0.98); d.g.LeaseUntil(d.now) > before+slow {
		t.Errorf("the lease ends at %v, later than %v on a clock that is 2%% slow", d.g.LeaseUntil(d.now), before+slow)
	}
}
