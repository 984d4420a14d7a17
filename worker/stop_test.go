package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
)

// startRunning starts a run that the worker takes.
func (d *driver) startRunning(index, number int) {
	d.order(start(index, number, 10))
	d.g.Started(d.now, run(index, number), "", false)
}

// orderStop orders a stop of a run.
func (d *driver) orderStop(r work.Run) {
	d.g.Order(d.now, "e1", d.now, nil, []work.Run{r})
}

// wantStop takes the orders, which must be one stop for a reason.
func (d *driver) wantStop(reason string) {
	d.t.Helper()
	if orders := d.g.Take(); len(orders) != 1 || !orders[0].Stop || orders[0].Reason != reason {
		d.t.Errorf("orders %+v, want a stop with reason %q", orders, reason)
	}
}

func TestStopsTellTheirReason(t *testing.T) {
	t.Run("ordered, then repeated", func(t *testing.T) {
		d := newDriver(t)
		d.startRunning(0, 1)
		d.orderStop(run(0, 1))
		d.wantStop("ordered by its home")
		d.advance(110 * time.Millisecond)
		d.answerPoll(10, run(0, 1))
		d.wantStop("repeated")
	})
	t.Run("while the start is not answered", func(t *testing.T) {
		d := newDriver(t)
		d.order(start(0, 1, 10))
		d.orderStop(run(0, 1))
		d.g.Started(d.now, run(0, 1), "", false)
		d.wantStop("ordered by its home")
	})
	t.Run("out of contact", func(t *testing.T) {
		d := newDriver(t)
		d.startRunning(0, 1)
		d.advance(cfg.EntryContactTimeout + time.Millisecond)
		d.g.Tick(d.now)
		d.wantStop("its home is out of contact")
	})
	t.Run("unknown run", func(t *testing.T) {
		d := newDriver(t)
		d.answerPoll(10, run(0, 1))
		d.wantStop("not known to this agent")
	})
}

// The time counts from the first request, also if the stop is repeated.
func TestStoppedRunsAreTakenOnceWithTheirTime(t *testing.T) {
	d := newDriver(t)
	d.startRunning(0, 1)
	d.startRunning(1, 1)
	d.orderStop(run(0, 1))
	d.advance(110 * time.Millisecond)
	d.answerPoll(10, run(0, 1), run(1, 1))
	d.advance(30 * time.Millisecond)
	d.answerPollWithEnd(work.Stopped, run(0, 1))
	d.answerPollWithEnd(work.Done, run(1, 1))
	stopped := d.g.TakeStopped()
	if len(stopped) != 1 || stopped[0].Run != run(0, 1) || stopped[0].End != work.Stopped || stopped[0].Took != 140*time.Millisecond {
		t.Errorf("stopped runs %+v", stopped)
	}
	if again := d.g.TakeStopped(); len(again) != 0 {
		t.Errorf("taken again: %+v", again)
	}
}
