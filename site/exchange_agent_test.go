package site

import (
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"masticbay/platform"
	"masticbay/work"
	"masticbay/worker"
)

// This file plays the agents of an exchangeWalk and their workers.

// exchangeAgent is an agent, restarts included, and its worker.
type exchangeAgent struct {
	name     string
	a        *Agent
	restarts int
	polledAt time.Time
	exchangeWorker
}

// exchangeWorker is an incarnation of a worker.
type exchangeWorker struct {
	id        string
	born      int64
	since     time.Time              // when its clock showed 0
	token     uint64                 // the highest that it has seen
	lease     time.Duration          // on its clock
	running   map[work.Run]time.Time // when each run ends
	highest   map[work.TaskRef]int   // highest run that was stopped or has ended
	ended     []exchangeEnd
	lapsed    map[uint64]bool // ends whose run may be taken for lost, as the lease lapsed after them
	lastEnded uint64
}

// exchangeEnd is an end that a worker lists.
type exchangeEnd struct {
	worker.Ended
	at time.Time
}

const (
	// firstClock is what the clock of the first incarnation of a worker shows at its start. The clocks of
	// later ones show less, so that a lease of an earlier one lies ahead.
	firstClock = 2 * time.Minute
	// exchangeMaxLease is the longest lease that a worker grants.
	exchangeMaxLease = time.Second
)

// startWorker starts an incarnation of a worker, which knows nothing of an earlier one.
func (w *exchangeWalk) startWorker(x *exchangeAgent, id string, clock time.Duration) {
	x.exchangeWorker = exchangeWorker{
		id: id, born: x.born + 1, since: w.now().Add(-clock), running: make(map[work.Run]time.Time), highest: make(map[work.TaskRef]int), lapsed: make(map[uint64]bool),
	}
}

// startAgent starts an agent, or starts it anew.
func (w *exchangeWalk) startAgent(x *exchangeAgent) {
	node := &platform.Node{MaxWorkerLease: exchangeMaxLease}
	x.restarts++
	x.a = &Agent{
		node: node, log: zerolog.Nop(), runLog: zerolog.Nop(), clock: &w.clock, life: fmt.Sprint(x.name, "-", x.restarts), metrics: exchangeAgentMetrics,
		guard: worker.NewGuard(GuardConfig(node)), eventsReady: make(chan struct{}), lastOrders: make(map[string]uint64), targetVersion: 1,
	}
	w.sendHeartbeat(x)
}

var exchangeAgentMetrics = newAgentMetrics()

func (w *exchangeWalk) sendHeartbeat(x *exchangeAgent) {
	x.a.guard.TakeHeartbeat(w.now(), work.Target{ID: x.id, Born: x.born, Service: "s", Capacity: work.Room{CPU: 1000}}, x.clock(w.now()), 0)
}

func (x *exchangeWorker) clock(now time.Time) time.Duration { return now.Sub(x.since) }

// extend extends the lease.
func (x *exchangeWorker) extend(now time.Time, until time.Duration) {
	x.lease = max(x.lease, min(until, x.clock(now)+exchangeMaxLease))
}

// update ends the runs whose time has come, and all if the lease has lapsed.
func (w *exchangeWalk) update(x *exchangeAgent) {
	workerClock := x.clock(w.now())
	if len(x.running) > 0 && x.lease > 0 && workerClock > x.lease {
		w.note("%s: the lease lapses, %d runs end", x.name, len(x.running))
		clear(x.running)
	}
	if workerClock > x.lease {
		for _, e := range x.ended {
			x.lapsed[e.Number] = true
		}
	}
	for _, r := range slices.SortedFunc(keysOf(x.running), func(a, b work.Run) int { return a.Task.Compare(b.Task) }) {
		if at := x.running[r]; !w.now().Before(at) {
			w.endRun(x, r, work.Done, at)
		}
	}
}

// poll has an agent poll its worker.
func (w *exchangeWalk) poll(x *exchangeAgent) {
	w.update(x)
	g, workerClock := x.a.guard, x.clock(w.now())
	g.Tick(w.now())
	token, acked, until := g.Token(), g.AckedEnd(), g.LeaseUntil(w.now())
	if token < x.token {
		g.TokenRejected(w.now(), time.Time{}, workerClock, token)
		return
	}
	x.token = token
	x.extend(w.now(), until)
	for len(x.ended) > 0 && x.ended[0].Number <= acked {
		if e := x.ended[0]; e.End == work.Done && !x.lapsed[e.Number] {
			w.noteEnd(x, &e)
		}
		x.ended = x.ended[1:]
	}
	snapshot := worker.Snapshot{Token: token, Round: g.PollRound(), Born: x.born, Clock: workerClock, Running: make(map[work.Run]int)}
	for r := range x.running {
		snapshot.Running[r] = 50
	}
	for _, e := range x.ended {
		snapshot.Ended = append(snapshot.Ended, e.Ended)
	}
	if limit := w.late.listedEnds(); len(snapshot.Ended) >= limit {
		snapshot.Ended, snapshot.EndsCut = snapshot.Ended[:limit], true
	}
	g.PollAnswered(w.now(), snapshot)
	w.carryOut(x)
}

// noteEnd records that an agent has taken note of an end.
func (w *exchangeWalk) noteEnd(x *exchangeAgent, e *exchangeEnd) {
	w.note("%s: end of %v taken note of", x.name, e.Run)
	w.noted[e.Run.Task] = w.now()
	if at, ok := w.startedAt[e.Run.Task]; ok && at.After(e.at) {
		w.fail("%v was started at %s, before its end at %s as %v was acknowledged", e.Run.Task, at.Format("05.000"), x.name, e.Run)
	}
}

// carryOut has the worker carry out the orders of its agent.
func (w *exchangeWalk) carryOut(x *exchangeAgent) {
	for orders := x.a.guard.Take(); len(orders) > 0; orders = x.a.guard.Take() {
		for _, o := range orders {
			if w.late != nil && w.holdUp(x, &o) {
				continue
			}
			reason := w.take(x, &o)
			if !o.Stop {
				x.a.guard.Started(w.now(), o.Start.Run, reason, reason == platform.ReasonFence)
			}
		}
	}
}

// take has a worker take an order, and returns the reason if it refuses it.
func (w *exchangeWalk) take(x *exchangeAgent, o *worker.Order) (reason string) {
	w.update(x)
	r := o.Start.Run
	switch {
	case !o.Stop && o.Worker != x.id:
		return platform.ReasonInstance
	case o.Token < x.token:
		return platform.ReasonFence
	}
	x.token = o.Token
	_, isRunning := x.running[r]
	if o.Stop {
		if isRunning {
			w.endRun(x, r, work.Stopped, w.now())
		}
		x.highest[r.Task] = max(x.highest[r.Task], r.Number)
		return ""
	}
	if o.Until <= x.clock(w.now()) {
		return platform.ReasonLate
	}
	x.extend(w.now(), o.Until)
	switch {
	case isRunning:
		return ""
	case r.Number <= x.highest[r.Task] || w.runs(x, r.Task):
		return platform.ReasonOld
	}
	w.checkStart(x, r)
	w.note("%s starts %v", x.name, r)
	w.startedAt[r.Task] = w.now()
	x.running[r] = w.now().Add(time.Duration(5+w.rng.IntN(300)) * time.Millisecond)
	return ""
}

// checkStart checks that a run may start now: no end of its task was taken note of, and it runs nowhere.
func (w *exchangeWalk) checkStart(x *exchangeAgent, r work.Run) {
	if at, ok := w.noted[r.Task]; ok {
		w.fail("%v starts at %s, %v after an end of its task was acknowledged", r, x.name, w.now().Sub(at))
	}
	for _, o := range w.agents {
		if w.update(o); w.runs(o, r.Task) {
			w.fail("%v starts at %s while its task runs at %s", r, x.name, o.name)
		}
	}
}

// runs reports whether a worker has a run of a task.
func (w *exchangeWalk) runs(x *exchangeAgent, task work.TaskRef) bool {
	for r := range x.running {
		if r.Task == task {
			return true
		}
	}
	return false
}

func (w *exchangeWalk) endRun(x *exchangeAgent, r work.Run, end work.End, at time.Time) {
	delete(x.running, r)
	x.highest[r.Task] = max(x.highest[r.Task], r.Number)
	x.lastEnded++
	x.ended = append(x.ended, exchangeEnd{worker.Ended{Number: x.lastEnded, Run: r, End: end}, at})
	w.note("%s: end %d, %v %s", x.name, x.lastEnded, r, end)
}

func keysOf(runs map[work.Run]time.Time) func(func(work.Run) bool) {
	return func(yield func(work.Run) bool) {
		for r := range runs {
			if !yield(r) {
				return
			}
		}
	}
}
