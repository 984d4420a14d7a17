package worker_test

import (
	"testing"

	"masticbay/work"
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
