package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
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

// TestFirstPollDropsEndsOfRestartedWorker guards against an end that is lost: the first poll that another
// incarnation of the worker gets drops its ends up to the last number of the earlier one, before the agent
// has seen them.
func TestFirstPollDropsEndsOfRestartedWorker(t *testing.T) {
	d := newDriver(t)
	d.startRunning(0, 1)
	d.answerPollWithEnd(work.Done, run(0, 1))
	if n := d.g.AckedEnd(); n != 1 {
		t.Fatalf("the worker may drop ends up to %d, want 1", n)
	}
	round := d.g.PollRound()
	d.g.PollFailed(d.now)
	if n := d.g.AckedEnd(); n != 0 {
		t.Errorf("another incarnation may drop ends up to %d before it has answered", n)
	}
	d.g.PollAnswered(d.now, worker.Snapshot{Token: d.g.Token(), Round: round, Born: d.born, Clock: d.clock})
	if n := d.g.AckedEnd(); n != 0 {
		t.Errorf("ends up to %d are dropped after the answer to a poll that was sent before the failed one", n)
	}
	d.answerPoll(0)
	if n := d.g.AckedEnd(); n != 1 {
		t.Errorf("the worker may drop ends up to %d after an answer, want 1", n)
	}
}
