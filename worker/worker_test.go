package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

var cfg = worker.Config{
	Lease: 800 * time.Millisecond, EntryContactTimeout: 450 * time.Millisecond, HolderContactTimeout: 750 * time.Millisecond, OrderMaxAge: 400 * time.Millisecond,
	LongestLease: time.Second, TenureMaxAge: 5 * time.Second, EventRetention: 30 * time.Second, SealRetention: time.Second, WorkerContactTimeout: 250 * time.Millisecond, StallAge: 150 * time.Millisecond,
	OrderDelay: 12 * time.Second,
}

// driver simulates a worker and an entry around a Guard.
type driver struct {
	t       *testing.T
	g       *worker.Guard
	now     time.Time
	clock   time.Duration // of the worker
	born    int64
	lastEnd uint64
}

func newDriver(t *testing.T) *driver {
	d := newRestartedDriver(t)
	d.answerPoll(0)
	return d
}

// newRestartedDriver returns a driver of a Guard that has not polled its worker, which may
// have runs of an earlier incarnation of the agent.
func newRestartedDriver(t *testing.T) *driver {
	d := &driver{t: t, g: worker.NewGuard(cfg), now: time.Unix(1000, 0), clock: 5 * time.Second, born: 7}
	d.sendHeartbeat(false)
	return d
}

func (d *driver) sendHeartbeat(draining bool) {
	d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Born: d.born, Service: "s", Draining: draining, Capacity: work.Room{CPU: 100}}, d.clock, 0)
}

func (d *driver) advance(span time.Duration) {
	d.now = d.now.Add(span)
	d.clock += span
}

func start(index, number, cpu int) work.Start {
	return work.Start{Run: run(index, number), Room: work.Room{CPU: cpu}}
}

func run(index, number int) work.Run {
	return work.Run{Task: work.TaskRef{Job: "j", Index: index}, Number: number}
}

func (d *driver) order(starts ...work.Start) []worker.Order {
	d.g.Order(d.now, "e1", d.now, starts, nil)
	return d.g.Take()
}

// answerPoll answers a poll that was sent with the current token.
func (d *driver) answerPoll(percent int, running ...work.Run) {
	snapshot := worker.Snapshot{Token: d.g.Token(), Round: d.g.PollRound(), Born: d.born, Clock: d.clock, Running: make(map[work.Run]int)}
	for _, r := range running {
		snapshot.Running[r] = percent
	}
	d.g.PollAnswered(d.now, snapshot)
}

// lastEvent returns the last event for the entry, which must be of the given end.
func (d *driver) lastEvent(want work.End) worker.Event {
	d.t.Helper()
	events := d.g.Events("e1", 0)
	if len(events) == 0 {
		d.t.Fatalf("no event, want %s", want)
	}
	if e := events[len(events)-1]; e.End != want {
		d.t.Fatalf("event %+v, want %s", e, want)
	}
	return events[len(events)-1]
}

func TestStartNeedsFreeCapacity(t *testing.T) {
	d := newDriver(t)
	if n := len(d.order(start(0, 1, 60))); n != 1 {
		t.Fatalf("%d orders to the worker", n)
	}
	if n := len(d.order(start(1, 1, 60))); n != 0 {
		t.Fatal("a start without free capacity was sent")
	}
	if e := d.lastEvent(work.Refused); e.Reason != worker.NoRoom {
		t.Errorf("refused with reason %q", e.Reason)
	}
}

func TestStaleOrderIsRefused(t *testing.T) {
	d := newDriver(t)
	d.g.Order(d.now, "e1", d.now.Add(-cfg.OrderMaxAge-time.Millisecond), []work.Start{start(0, 1, 10)}, nil)
	if n := len(d.g.Take()); n != 0 {
		t.Fatal("a stale order was sent")
	}
	d.lastEvent(work.Refused)
}

// TestUnansweredStartIsRefusedAfterHigherToken guards against a start that is sent again while the
// worker may still carry out the one before.
func TestUnansweredStartIsRefusedAfterHigherToken(t *testing.T) {
	d := newDriver(t)
	sent := d.order(start(0, 1, 10))[0]
	snapshot := worker.Snapshot{Token: sent.Token, Born: d.born, Clock: d.clock}
	d.g.Unanswered(d.now, run(0, 1))
	if d.g.Token() <= sent.Token {
		t.Fatal("token did not rise")
	}
	d.g.PollAnswered(d.now, snapshot)
	if n := len(d.g.Events("e1", 0)); n != 0 {
		t.Fatal("run ended by a poll with the token of the order")
	}
	if orders := d.g.Take(); len(orders) != 0 {
		t.Fatalf("orders %+v after a poll with the token of the order", orders)
	}
	d.answerPoll(0)
	if again := d.wantSentAgain(run(0, 1)); again.Token <= sent.Token {
		t.Errorf("sent again with token %d, want above %d", again.Token, sent.Token)
	}
}

func TestUnansweredStartThatRunsContinues(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10))
	d.g.Unanswered(d.now, run(0, 1))
	d.answerPoll(0, run(0, 1))
	if n := len(d.g.Events("e1", 0)); n != 0 || d.g.Running() != 1 {
		t.Errorf("%d events, %d runs", n, d.g.Running())
	}
}

func TestRejectedStartIsResentWithHigherToken(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10), start(1, 1, 10))
	d.g.Unanswered(d.now, run(0, 1))
	d.g.Started(d.now, run(1, 1), "fence", true)
	resent := d.g.Take()
	if len(resent) != 1 || resent[0].Token != d.g.Token() || resent[0].Start.Run != run(1, 1) {
		t.Errorf("sent %+v", resent)
	}
}

func TestRunsOfEntryOutOfContactAreStopped(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10))
	d.g.Started(d.now, run(0, 1), "", false)
	d.advance(cfg.EntryContactTimeout)
	d.g.Tick(d.now)
	if n := len(d.g.Take()); n != 0 {
		t.Fatal("stopped within the contact timeout")
	}
	d.advance(time.Millisecond)
	d.g.Tick(d.now)
	if orders := d.g.Take(); len(orders) != 1 || !orders[0].Stop {
		t.Fatalf("orders %+v", orders)
	}
	d.advance(110 * time.Millisecond)
	d.answerPoll(10, run(0, 1))
	if orders := d.g.Take(); len(orders) != 1 || !orders[0].Stop {
		t.Errorf("stop without effect not repeated: %+v", orders)
	}
}

func TestRunsLapseWhenWorkerIsOutOfContactForALease(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10))
	d.g.Started(d.now, run(0, 1), "", false)
	d.g.LeaseUntil(d.now)
	d.advance(cfg.Lease)
	d.g.PollFailed(d.now)
	if n := len(d.g.Events("e1", 0)); n != 0 {
		t.Fatal("run ended although the worker's clock may be slow")
	}
	if !d.g.OutOfContact() {
		t.Error("worker still gets tasks")
	}
	d.advance(cfg.Lease / 10)
	d.g.PollFailed(d.now)
	d.lastEvent(work.Lapsed)
}

func TestWorkerRestartEndsItsRuns(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10))
	d.g.Started(d.now, run(0, 1), "", false)
	d.born, d.clock = 8, time.Second
	d.answerPoll(0) // the token of this poll may also be that of an order in transit
	if n := len(d.g.Events("e1", 0)); n != 0 {
		t.Fatal("run ended although the new incarnation may still get the order")
	}
	d.answerPoll(0)
	d.lastEvent(work.Lapsed)
	d.sendHeartbeat(false)
	if n := len(d.order(start(0, 2, 10))); n != 1 {
		t.Error("new incarnation gets no task")
	}
}

// The worker restarted while the order was in transit, and carried it out.
func TestOrderCarriedOutAfterWorkerRestartIsKept(t *testing.T) {
	for _, answered := range []bool{false, true} {
		d := newDriver(t)
		d.order(start(0, 1, 10))
		if answered {
			d.g.Started(d.now, run(0, 1), "", false)
		}
		d.born, d.clock = 8, time.Second
		d.sendHeartbeat(false)
		d.answerPoll(10, run(0, 1))
		d.answerPoll(20, run(0, 1))
		if n := len(d.g.Events("e1", 0)); n != 0 || d.g.Running() != 1 {
			t.Errorf("answered %t: %d events, %d runs", answered, n, d.g.Running())
		}
	}
}

// The new incarnation may have got an order with a token of the earlier one.
func TestTokensRiseAcrossWorkerRestarts(t *testing.T) {
	d := newDriver(t)
	before := d.g.Token()
	d.born, d.clock = 8, time.Second
	d.sendHeartbeat(false)
	if after := d.g.Token(); after <= before {
		t.Errorf("token %d after %d", after, before)
	}
}

// A restarted agent does not know the highest token that its worker has seen,
// which may be that of a long earlier incarnation.
func TestTokenCatchesUp(t *testing.T) {
	d := newDriver(t)
	const highestSeen = 3_600_000
	for tries := 0; d.g.Token() <= highestSeen; tries++ {
		asked := d.g.Token()
		d.g.TokenRejected(d.now, d.now, d.clock, asked)
		d.g.TokenRejected(d.now, d.now, d.clock, asked) // for a concurrent poll
		if tries > 30 {
			t.Fatalf("token %d after %d rejections", d.g.Token(), tries)
		}
	}
	if d.g.Token() > 4*highestSeen {
		t.Errorf("token %d is far above %d", d.g.Token(), highestSeen)
	}
}

// The tokens of a restarted agent are higher than those of its earlier incarnation,
// and it is not settled until the runs of that incarnation are gone.
func TestRestartedAgentStopsUnknownRuns(t *testing.T) {
	d := newDriver(t)
	before := d.order(start(0, 1, 10))[0].Token
	d.advance(300 * time.Millisecond)
	d.g = worker.NewGuard(cfg)
	d.sendHeartbeat(false)
	if d.g.Token() <= before {
		t.Errorf("token %d after %d", d.g.Token(), before)
	}
	d.answerPoll(50, run(0, 1))
	if orders := d.g.Take(); d.g.Settled() || len(orders) != 1 || !orders[0].Stop {
		t.Fatalf("settled %t, orders %+v", d.g.Settled(), orders)
	}
	d.answerPoll(0)
	if !d.g.Settled() {
		t.Error("not settled although nothing runs")
	}
}

func TestDrainingWorkerGetsNothingNew(t *testing.T) {
	d := newDriver(t)
	d.sendHeartbeat(true)
	if n := len(d.order(start(0, 1, 10))); n != 0 {
		t.Fatal("a draining worker got a task")
	}
	if e := d.lastEvent(work.Refused); e.Reason != worker.Unready {
		t.Errorf("refused with reason %q", e.Reason)
	}
}

func TestLateHeartbeatOfEarlierIncarnationIsIgnored(t *testing.T) {
	d := newDriver(t)
	d.born = 8
	d.sendHeartbeat(false)
	d.answerPoll(0) // a heartbeat alone may be of a foreign program
	d.born = 7
	d.sendHeartbeat(true)
	if target, ok := d.g.Target(); !ok || target.Draining || target.Born != 8 {
		t.Errorf("target %+v", target)
	}
}

func TestStalledRunsAreDetectedByPollsOnly(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10))
	d.g.Started(d.now, run(0, 1), "", false)
	d.advance(time.Second)
	if n := len(d.g.StalledRuns("e1")); n != 0 {
		t.Fatal("stalled although no poll was answered")
	}
	d.answerPoll(20, run(0, 1))
	d.advance(cfg.StallAge)
	d.answerPoll(21, run(0, 1))
	if n := len(d.g.StalledRuns("e1")); n != 0 {
		t.Error("stalled although it made progress")
	}
	d.advance(cfg.StallAge + time.Millisecond)
	d.answerPoll(21, run(0, 1))
	if n := len(d.g.StalledRuns("e1")); n != 1 {
		t.Error("not stalled without progress")
	}
}

// A slow run is reported long before it ends.
func TestSlowRunsAreDetectedByTheirProgress(t *testing.T) {
	d := newDriver(t)
	s := start(0, 1, 10)
	s.Expected = 200 * time.Millisecond
	d.order(s)
	d.g.Started(d.now, run(0, 1), "", false)
	d.advance(10 * time.Millisecond)
	d.answerPoll(5, run(0, 1))
	if slow := d.g.Slow("e1"); len(slow) != 0 {
		t.Fatalf("slow at the expected speed: %+v", slow)
	}
	d.advance(90 * time.Millisecond)
	d.answerPoll(7, run(0, 1))
	slow := d.g.Slow("e1")
	if len(slow) != 1 || slow[0].Run != run(0, 1) || slow[0].Took < time.Second || slow[0].Took > 1500*time.Millisecond {
		t.Errorf("slow %+v", slow)
	}
}

// TestProgressOutOfRangeIsTolerated guards against a worker whose malformed list of runs
// ends the process of the agent.
func TestProgressOutOfRangeIsTolerated(t *testing.T) {
	for _, percent := range []int{-1, -1000, 101, 1 << 40} {
		d := newDriver(t)
		d.order(start(0, 1, 10))
		d.g.Started(d.now, run(0, 1), "", false)
		for range 3 {
			d.advance(50 * time.Millisecond)
			d.answerPoll(percent, run(0, 1))
		}
		if d.g.Running() != 1 {
			t.Errorf("%d%% done: %d runs, want 1", percent, d.g.Running())
		}
	}
}
