package worker_test

import (
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// answerEmptyPoll answers a poll that was sent with a token, and lists nothing.
func (d *driver) answerEmptyPoll(token uint64) {
	d.g.PollAnswered(d.now, worker.Snapshot{Token: token, Born: d.born, Clock: d.clock})
}

// startRun orders a run whose start the worker accepts.
func (d *driver) startRun() {
	d.order(start(0, 1, 10))
	d.g.Started(d.now, run(0, 1), "", false)
}

// TestUnlistedRunIsLost guards against a task that waits for a run which its worker has
// accepted and does not run.
func TestUnlistedRunIsLost(t *testing.T) {
	d := newDriver(t)
	d.startRun()
	token := d.g.Token()
	for range 3 {
		d.advance(10 * time.Millisecond)
		d.answerEmptyPoll(token)
		if events := d.g.Events("e1", 0); len(events) != 0 {
			t.Fatalf("events %+v after lists that an older order may outlast", events)
		}
	}
	if d.g.Token() <= token || !d.g.NeedsPoll() {
		t.Fatalf("token %d after %d, needs a poll: %t", d.g.Token(), token, d.g.NeedsPoll())
	}
	d.answerEmptyPoll(token)
	if events := d.g.Events("e1", 0); len(events) != 0 {
		t.Fatalf("events %+v after a poll with the former token", events)
	}
	d.answerEmptyPoll(d.g.Token())
	if events := d.g.Events("e1", 0); len(events) != 1 || events[0].End != work.Lapsed || events[0].Reason != worker.Unlisted {
		t.Errorf("events %+v, want a lapse", events)
	}
}

// TestListThatCrossesAStartIsNoProof guards against a run that is taken for lost since a poll
// was answered just before the worker accepted its start, or with a list that is cut off.
func TestListThatCrossesAStartIsNoProof(t *testing.T) {
	d := newDriver(t)
	d.startRun()
	token := d.g.Token()
	d.answerEmptyPoll(token)
	d.answerEmptyPoll(token)
	d.answerPoll(10, run(0, 1))
	d.answerEmptyPoll(token)
	for range 5 {
		d.answerCutPoll()
	}
	if d.g.Token() != token || len(d.g.Events("e1", 0)) != 0 {
		t.Errorf("token %d, events %+v", d.g.Token(), d.g.Events("e1", 0))
	}
}

// TestRunsOfAWorkerThatLeaves guards against runs that count as lost only with their leases,
// although the worker has said that it leaves and lists them no more, and against runs that
// count as lost while it still lists them.
func TestRunsOfAWorkerThatLeaves(t *testing.T) {
	d := newDriver(t)
	d.startRun()
	token := d.g.Token()
	d.g.Leave()
	d.answerEmptyPoll(token)
	d.answerPoll(10, run(0, 1))
	if events := d.g.Events("e1", 0); len(events) != 0 {
		t.Fatalf("events %+v before a list under a higher token", events)
	}
	d.g.Leave()
	d.answerEmptyPoll(d.g.Token())
	if events := d.g.Events("e1", 0); len(events) != 1 || events[0].End != work.Lapsed {
		t.Errorf("events %+v, want a lapse", events)
	}
}

// TestRefusedConnectionStopsStarts guards against starts on a worker that has crashed, for as
// long as its polls take to time out. Its runs still end with their leases only.
func TestRefusedConnectionStopsStarts(t *testing.T) {
	d := newDriver(t)
	d.startRun()
	d.answerPoll(10, run(0, 1))
	d.g.LeaseUntil(d.now)
	d.g.PollRefused(d.now)
	if schedule.ReportOf(d.g, "e1", 0).Ready {
		t.Error("ready after a refused connection")
	}
	if events := d.g.Events("e1", 0); len(events) != 0 {
		t.Errorf("events %+v, although the worker may run on", events)
	}
	d.advance(900 * time.Millisecond)
	d.g.PollRefused(d.now)
	if events := d.g.Events("e1", 0); len(events) != 1 || events[0].End != work.Lapsed {
		t.Errorf("events %+v after the lease", events)
	}
}

// TestTimeUntilRemovalIsKnown guards against a remaining time that is not that of now, or
// that goes on after the worker has returned.
func TestTimeUntilRemovalIsKnown(t *testing.T) {
	d := newDriver(t)
	heartbeat := func(draining bool) {
		d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Born: d.born, Service: "s", Draining: draining, KnowsLeave: draining, LeavesIn: 1600 * time.Millisecond, Capacity: work.Room{CPU: 100}}, d.clock, 0)
	}
	if _, known := d.g.LeavesIn(d.now); known {
		t.Error("a removal of a worker that is not draining")
	}
	heartbeat(true)
	d.advance(time.Second)
	if left, known := d.g.LeavesIn(d.now); !known || left != 600*time.Millisecond {
		t.Errorf("%v left, known %t, want 600ms", left, known)
	}
	d.advance(time.Second)
	if left, known := d.g.LeavesIn(d.now); !known || left != 0 {
		t.Errorf("%v left, known %t, want none", left, known)
	}
	heartbeat(false)
	if _, known := d.g.LeavesIn(d.now); known {
		t.Error("a removal of a worker that has returned")
	}
}
