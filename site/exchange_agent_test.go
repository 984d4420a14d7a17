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
	name      string
	a         *Agent
	restarts  int
	since     time.Time // of the worker's clock
	polledAt  time.Time
	lease     time.Duration
	running   map[work.Run]time.Time // when each run ends
	ended     []worker.Ended
	lapsed    map[uint64]bool // ends whose run may be taken for lost, as the lease lapsed after them
	lastEnded uint64
}

// startAgent starts an agent, or starts it anew.
func (w *exchangeWalk) startAgent(x *exchangeAgent) {
	node := &platform.Node{MaxWorkerLease: time.Second}
	x.restarts++
	x.a = &Agent{
		node: node, log: zerolog.Nop(), runLog: zerolog.Nop(), clock: &w.clock, life: fmt.Sprint(x.name, "-", x.restarts),
		guard: worker.NewGuard(GuardConfig(node)), eventsReady: make(chan struct{}), lastOrders: make(map[string]uint64), targetVersion: 1,
	}
	x.a.guard.TakeHeartbeat(w.now(), work.Target{ID: x.name, Born: 1, Service: "s", Capacity: work.Room{CPU: 1000}}, w.now().Sub(x.since), 0)
}

// poll has an agent poll its worker, which ends the runs whose time has come.
func (w *exchangeWalk) poll(x *exchangeAgent) {
	g, workerClock := x.a.guard, w.now().Sub(x.since)
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
		if !w.now().Before(x.running[r]) {
			w.endRun(x, r, work.Done)
		}
	}
	g.Tick(w.now())
	token, acked, until := g.Token(), g.AckedEnd(), g.LeaseUntil(w.now())
	x.lease = max(x.lease, until)
	for len(x.ended) > 0 && x.ended[0].Number <= acked {
		if e := x.ended[0]; e.End == work.Done && !x.lapsed[e.Number] {
			w.noted[e.Run.Task] = w.now()
		}
		x.ended = x.ended[1:]
	}
	running := make(map[work.Run]int)
	for r := range x.running {
		running[r] = 50
	}
	g.PollAnswered(w.now(), worker.Snapshot{Token: token, Born: 1, Clock: workerClock, Running: running, Ended: slices.Clone(x.ended)})
	w.carryOut(x)
}

// carryOut has the worker carry out the orders of its agent.
func (w *exchangeWalk) carryOut(x *exchangeAgent) {
	for orders := x.a.guard.Take(); len(orders) > 0; orders = x.a.guard.Take() {
		for _, o := range orders {
			r := o.Start.Run
			if o.Stop {
				if _, ok := x.running[r]; ok {
					w.endRun(x, r, work.Stopped)
				}
				continue
			}
			if at, ok := w.noted[r.Task]; ok {
				w.fail("%v starts at %s, %v after an end of its task was acknowledged", r, x.name, w.now().Sub(at))
			}
			w.note("%s starts %v", x.name, r)
			x.lease = max(x.lease, o.Until)
			x.running[r] = w.now().Add(time.Duration(5+w.rng.IntN(300)) * time.Millisecond)
			x.a.guard.Started(w.now(), r, "", false)
		}
	}
}

func (w *exchangeWalk) endRun(x *exchangeAgent, r work.Run, end work.End) {
	delete(x.running, r)
	x.lastEnded++
	x.ended = append(x.ended, worker.Ended{Number: x.lastEnded, Run: r, End: end})
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
