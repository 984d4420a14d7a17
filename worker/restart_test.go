package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
)

// TestRestartedWorkerKeepsItsOldDescription guards against tasks on a worker that has returned as
// another kind, by the labels that it had before.
func TestRestartedWorkerKeepsItsOldDescription(t *testing.T) {
	d := newDriver(t)
	d.born, d.clock = 8, time.Second
	d.answerPoll(0)
	if target, ok := d.g.Target(); ok || target.ID != "" {
		t.Errorf("target %+v, known %t, before the new incarnation has described itself", target, ok)
	}
	if n := len(d.order(start(0, 1, 10))); n != 0 {
		t.Errorf("%d starts sent, want none", n)
	}
	d.g.TakeHeartbeat(d.now, work.Target{ID: "w2", Born: 8, Service: "s", Capacity: work.Room{CPU: 100}}, d.clock, 0)
	orders := d.order(start(0, 2, 10))
	if len(orders) != 1 || orders[0].Worker != "w2" {
		t.Errorf("orders %+v, want a start for the worker as it described itself", orders)
	}
}

// TestForeignHeartbeatDescribesARestartedWorker guards against a worker that gets no tasks after a
// restart, as another writer's heartbeat came before its own.
func TestForeignHeartbeatDescribesARestartedWorker(t *testing.T) {
	for _, capacity := range []work.Room{{}, {CPU: 5}} {
		d := newDriver(t)
		d.born, d.clock = 8, time.Second
		d.answerPoll(0)
		d.g.TakeHeartbeat(d.now, work.Target{ID: "foreign", Service: "s", Capacity: capacity}, 0, 0)
		d.sendHeartbeat(false)
		if target, ok := d.g.Target(); !ok || target.ID != "w" {
			t.Errorf("target %+v, known %t, after a heartbeat of the worker", target, ok)
		}
	}
}
