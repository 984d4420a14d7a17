package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// TestStopInTheBatchOfItsStartIsLost guards against a run of a cancelled job that goes on
// for good: its home ordered its start and its stop at once.
func TestStopInTheBatchOfItsStartIsLost(t *testing.T) {
	d := newDriver(t)
	d.g.Order(d.now, "e1", d.now, []work.Start{start(0, 1, 10)}, []work.Run{run(0, 1)})
	if orders := d.g.Take(); len(orders) != 1 || orders[0].Stop {
		t.Fatalf("orders %+v, want a start", orders)
	}
	d.g.Started(d.now, run(0, 1), "", false)
	if orders := d.g.Take(); len(orders) != 1 || !orders[0].Stop {
		t.Errorf("orders %+v after the start, want a stop", orders)
	}
}

// TestFutureEchoKeepsRunsAlive guards against runs that outlast the contact with their
// home, since one of its messages had an echo that this agent never issued as a stamp.
func TestFutureEchoKeepsRunsAlive(t *testing.T) {
	d := newDriver(t)
	d.g.Order(d.now, "e1", d.now.Add(time.Hour), []work.Start{start(0, 1, 10)}, nil)
	d.lastEvent(work.Refused)
	d.g.Take()
	d.order(start(0, 2, 10))
	d.g.Started(d.now, run(0, 2), "", false)
	d.g.Order(d.now, "e1", d.now.Add(time.Hour), nil, nil)
	d.advance(cfg.EntryContactTimeout + time.Millisecond)
	if stopped := d.g.Tick(d.now); len(stopped) != 1 {
		t.Errorf("stopped %v, want one run", stopped)
	}
}

// TestFutureTenureNeverEnds guards against runs of stored jobs that go on without a holder
// of the ledger, since its tenure was said to be renewed later than now.
func TestFutureTenureNeverEnds(t *testing.T) {
	d := newDriverWithTenure(t)
	d.g.ApplyTenure(d.now, "e1", worker.Tenure{Epoch: 1, RenewedAt: d.now.Add(time.Hour)})
	d.advance(cfg.TenureMaxAge + time.Millisecond)
	d.g.RecordContact(d.now, "e1", d.now)
	d.g.Order(d.now, "e1", d.now, []work.Start{storedStart(0, 1)}, nil)
	if e := d.lastEvent(work.Refused); e.Reason != worker.Untenured {
		t.Errorf("refused as %q", e.Reason)
	}
}
