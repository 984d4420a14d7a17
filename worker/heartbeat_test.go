package worker_test

import (
	"math"
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// sendForeignHeartbeat sends a heartbeat of a foreign program.
func (d *driver) sendForeignHeartbeat(id string, born int64, clock time.Duration) {
	d.g.TakeHeartbeat(d.now, work.Target{ID: id, Born: born, Service: "s", Capacity: work.Room{CPU: 5}, Draining: true}, clock, 0)
}

// TestMalformedHeartbeatShutsOutTheWorker guards against an agent that ignores its worker from
// then on, because a heartbeat of a foreign program had a later start time or clock.
func TestMalformedHeartbeatShutsOutTheWorker(t *testing.T) {
	for name, foreign := range map[string]struct {
		id    string
		born  int64
		clock time.Duration
	}{
		"this id, born too late": {"w", math.MaxInt64, time.Second},
		"this id, late clock":    {"w", 7, 300 * 24 * time.Hour},
		"this id, latest clock":  {"w", 7, math.MaxInt64},
		"another id":             {"x", 7, time.Second},
		"another id, not born":   {"x", 0, time.Second},
	} {
		for _, first := range []bool{false, true} {
			d := &driver{t: t, g: worker.NewGuard(cfg), now: time.Unix(1000, 0), clock: 5 * time.Second, born: 7}
			if first {
				d.sendForeignHeartbeat(foreign.id, foreign.born, foreign.clock)
			}
			d.sendHeartbeat(false)
			d.answerPoll(0)
			if !first {
				d.sendForeignHeartbeat(foreign.id, foreign.born, foreign.clock)
			}
			d.answerPoll(0)
			d.sendHeartbeat(false)
			if target, ok := d.g.Target(); !ok || target.Draining || target.ID != "w" || target.Born != d.born {
				t.Errorf("%s, first %t: target %+v", name, first, target)
			}
			if n := len(d.order(start(0, 1, 10))); n != 1 {
				t.Errorf("%s, first %t: %d orders, want a start", name, first, n)
			}
			if until := d.g.LeaseUntil(d.now); until > d.clock+cfg.Lease {
				t.Errorf("%s, first %t: lease until %v at clock %v", name, first, until, d.clock)
			}
			d.g.Started(d.now, run(0, 1), "", false)
			d.answerPollWithEnd(work.Done, run(0, 1))
			d.lastEvent(work.Done)
		}
	}
}

// TestHeartbeatWithoutCapacityStopsTheWorker guards against a worker that gets no tasks
// after a heartbeat with missing fields.
func TestHeartbeatWithoutCapacityStopsTheWorker(t *testing.T) {
	d := newDriver(t)
	d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Service: "s"}, 0, 0)
	if n := len(d.order(start(0, 1, 10))); n != 1 {
		t.Errorf("%d orders, want a start", n)
	}
}

// TestForeignDescriptionIsReplaced guards against an agent that uses the description of
// another worker for good, since that one's heartbeat was the first.
func TestForeignDescriptionIsReplaced(t *testing.T) {
	d := newRestartedDriver(t)
	d.sendForeignHeartbeat("x", 7, time.Second)
	d.answerPoll(0)
	d.sendHeartbeat(false)
	d.advance(6 * time.Second)
	d.answerPoll(0)
	d.sendHeartbeat(false)
	if target, _ := d.g.Target(); target.ID != "w" || target.Draining {
		t.Errorf("target %+v", target)
	}
}

// TestAnnouncedWorkerIsUsedOnceItAnswers checks that a new incarnation gets tasks with the
// description of its heartbeat.
func TestAnnouncedWorkerIsUsedOnceItAnswers(t *testing.T) {
	d := newDriver(t)
	d.born, d.clock = 8, time.Second
	d.g.TakeHeartbeat(d.now, work.Target{ID: "w2", Born: 8, Service: "s", Capacity: work.Room{CPU: 7}}, d.clock, 0)
	d.answerPoll(0)
	d.answerPoll(0)
	if target, ok := d.g.Target(); !ok || target.ID != "w2" || target.Capacity.CPU != 7 {
		t.Errorf("target %+v, known %t", target, ok)
	}
}

// TestColdTimeRunsOutBetweenHeartbeats guards against a worker that counts as cold for longer than
// it is, as its last heartbeat is old.
func TestColdTimeRunsOutBetweenHeartbeats(t *testing.T) {
	g, now := worker.NewGuard(cfg), time.Unix(1000, 0)
	if left := g.ColdLeft(now); left != 0 {
		t.Errorf("cold for %v before a heartbeat", left)
	}
	g.TakeHeartbeat(now, work.Target{ID: "w", Born: 7, Service: "s", ColdLeft: 2 * time.Second}, time.Second, 0)
	for after, want := range map[time.Duration]time.Duration{0: 2 * time.Second, 500 * time.Millisecond: 1500 * time.Millisecond, 3 * time.Second: 0} {
		if left := g.ColdLeft(now.Add(after)); left != want {
			t.Errorf("cold for %v after %v, want %v", left, after, want)
		}
	}
}

// TestLateHeartbeatMakesDrainingWorkerReady guards against a start on a worker that drains: a heartbeat
// that was held up on its way arrives after the one that says so.
func TestLateHeartbeatMakesDrainingWorkerReady(t *testing.T) {
	d := newDriver(t)
	send := func(draining bool, seq uint64, clock time.Duration) {
		d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Born: d.born, Service: "s", Draining: draining, Capacity: work.Room{CPU: 100}}, clock, seq)
	}
	send(false, 3, d.clock)
	late := d.clock
	d.advance(6 * time.Second)
	d.answerPoll(0)
	send(true, 5, d.clock)
	send(false, 4, late)
	if target, _ := d.g.Target(); !target.Draining {
		t.Error("the worker counts as ready after a heartbeat from before it drained")
	}
	if n := len(d.order(start(0, 1, 10))); n != 0 {
		t.Errorf("%d starts on a worker that drains", n)
	}
}

// TestHeartbeatNumberOutOfRangeShutsOutTheWorker guards against a worker that is not heard any more after a
// heartbeat of a foreign program with the highest number, also if that is the first one.
func TestHeartbeatNumberOutOfRangeShutsOutTheWorker(t *testing.T) {
	for _, clock := range []time.Duration{0, time.Second, 300 * 24 * time.Hour, math.MaxInt64} {
		for _, first := range []bool{false, true} {
			d := newDriver(t)
			if first {
				d = &driver{t: t, g: worker.NewGuard(cfg), now: time.Unix(1000, 0), clock: 5 * time.Second, born: 7}
			} else {
				d.answerPoll(0)
			}
			d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Born: d.born, Service: "s", Draining: true, Capacity: work.Room{CPU: 5}}, clock, math.MaxUint64)
			d.advance(time.Second)
			d.answerPoll(0)
			d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Born: d.born, Service: "s", Capacity: work.Room{CPU: 100}}, d.clock, 2)
			if target, _ := d.g.Target(); target.Draining {
				t.Errorf("clock %v, first %t: the worker is shut out", clock, first)
			}
		}
	}
}
