package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticbay/work"
)

// clockDrift bounds how much slower the worker's clock may run, as a factor.
const clockDrift = 1.03

// leaseSlack is added to the time at which a lease is known to have ended.
const leaseSlack = 20 * time.Millisecond

// lapsedAt returns when every lease that was asked for has ended.
func (g *Guard) lapsedAt() time.Time {
	left := time.Duration(float64(g.until-g.clock) * clockDrift)
	return g.clockAt.Add(left + leaseSlack)
}

// Look is what a worker told about its runs.
type Look struct {
	Token   uint64 // with which it was asked
	Born    int64
	Clock   time.Duration
	Running map[work.Run]int    // percent of the work
	Saved   map[work.Run]string // checkpoints of what runs, where there are any
	Ended   []Ended             // by rising number
}

// Ended is an end that the worker lists.
type Ended struct {
	Number uint64
	Run    work.Run
	End    work.End
	Saved  string // checkpoint; empty if there is none
}

// Fenced notes that the worker has seen a higher token than the one asked with.
// It does not tell which, so the token rises by more with each refusal.
func (g *Guard) Fenced(now time.Time, clock time.Duration, asked uint64) {
	g.readClock(now, clock)
	if asked < g.token {
		return // it has risen since
	}
	g.leap = max(2*g.leap, firstLeap)
	g.token += g.leap
	g.raise()
}

// firstLeap is by how much the token rises after a first refusal. It catches up
// with the highest token of a life of an hour in 19 refusals.
const firstLeap = 8

// Looked takes the answer to a look.
func (g *Guard) Looked(now time.Time, l Look) {
	g.newLife(now, l.Born, l.Clock)
	if l.Born != 0 && l.Born < g.target.Born {
		return
	}
	g.begin(now)
	g.readClock(now, l.Clock)
	g.startle(now, &l)
	g.silent, g.looked = false, now
	if g.token == 0 {
		g.raise()
	}
	g.acked, g.leap = max(g.acked, l.Token), 0
	for _, e := range l.Ended {
		if e.Number <= g.seen {
			continue
		}
		g.seen = e.Number
		if r, ok := g.runs[e.Run.Task]; ok && r.start.Run == e.Run {
			if e.Saved != "" {
				r.saved = e.Saved
			}
			g.finishListed(now, e.Run.Task, e.Number, e.End, "")
		}
	}
	g.compare(now, l)
	g.lapsed(now)
}

// compare brings the runs into line with those that the worker listed.
func (g *Guard) compare(now time.Time, l Look) {
	g.settled = true
	for _, r := range slices.SortedFunc(maps.Keys(l.Running), func(a, b work.Run) int { return cmp.Or(a.Task.Compare(b.Task), a.Number-b.Number) }) {
		have, ok := g.runs[r.Task]
		if !ok || have.start.Run != r {
			g.settled = false
			g.orders = append(g.orders, Order{Stop: true, Start: work.Start{Run: r}, Token: g.token})
			continue
		}
		g.judge(now, have, l.Running[r])
		if saved := l.Saved[r]; saved != "" {
			have.saved = saved
		}
		if have.phase == unclear {
			have.phase = running
		}
		if !have.stopped.IsZero() && have.phase != ordered && now.Sub(have.stopped) > stopRepeat {
			g.stop(now, have)
		}
	}
	for _, ref := range g.refs() {
		have := g.runs[ref]
		if have.phase != unclear || have.token >= l.Token {
			continue
		}
		if _, listed := l.Running[have.start.Run]; !listed {
			how, why := have.absent()
			g.finish(now, ref, how, why)
		}
	}
}

// absent tells why a run is not there that may have been begun.
func (r *run) absent() (how work.End, why string) {
	if r.reborn {
		return work.Lapsed, "worker started anew"
	}
	return work.Refused, "no answer"
}

// judge notes whether a run makes progress.
func (g *Guard) judge(now time.Time, r *run, percent int) {
	if percent > r.percent || r.moved.IsZero() {
		r.percent, r.moved = percent, now
	}
	r.slow = 0
	if took := r.project(now); r.start.Expected > 0 && float64(took) > SlowTimes*float64(r.start.Expected) {
		r.slow = took
	}
	r.idle = percent < 100 && now.Sub(r.moved) > max(g.cfg.IdleAge, r.start.Estimate/idlePart)
}

// project returns the least run time that the progress of a run lets expect.
func (r *run) project(now time.Time) time.Duration {
	elapsed := now.Sub(r.sent) - orderDelay
	return elapsed * 100 / time.Duration(r.percent+1)
}

// orderDelay is the most that a sound worker takes from the order of a run to
// its begin, and from an answer to its arrival.
const orderDelay = 5 * time.Millisecond

// SlowTimes is how many times as long as expected a run has to take to be told
// as slow. Estimates are off by 40%, which alone explains less in 99 of 100
// runs.
const SlowTimes = 2.5

// Projection is how long a run that goes slowly will take at least.
type Projection struct {
	Run  work.Run
	Took time.Duration // from its order on
}

// Slow returns the runs of an entry that will take far longer than the entry
// expects, as their progress tells.
func (g *Guard) Slow(entry string) []Projection {
	var slow []Projection
	for _, ref := range g.refs() {
		if r := g.runs[ref]; r.entry == entry && r.phase == running && r.slow > 0 {
			slow = append(slow, Projection{Run: r.start.Run, Took: r.slow})
		}
	}
	return slow
}

// idlePart is the part of its estimate that a run may be without progress; one
// percent more is expected after a hundredth.
const idlePart = 8

// stopRepeat is after how long a stop that did not end a run is sent again; a
// worker takes at most 50 ms to stop one.
const stopRepeat = 100 * time.Millisecond

// LookFailed notes that the worker did not answer a look.
func (g *Guard) LookFailed(now time.Time) {
	g.silent = now.Sub(g.looked) > g.cfg.Silence
	g.expire(now)
}

// expire ends the runs whose leases can not have been renewed.
func (g *Guard) expire(now time.Time) {
	if len(g.runs) == 0 || g.clock == 0 || now.Before(g.lapsedAt()) {
		return
	}
	for _, ref := range g.refs() {
		g.finish(now, ref, work.Lapsed, "worker does not answer")
	}
}

// Idle returns the runs of an entry that have made no progress for long.
func (g *Guard) Idle(entry string) []work.Run {
	var idle []work.Run
	for _, ref := range g.refs() {
		r := g.runs[ref]
		if r.entry == entry && r.phase == running && r.idle {
			idle = append(idle, r.start.Run)
		}
	}
	return idle
}
