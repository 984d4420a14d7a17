// Package worker decides, at the agent beside a worker, what runs there.
//
// # Model
//
// The agent is the only process that calls its worker. It takes orders from
// entries that place tasks. Every run has two leases: the worker ends a run
// when the agent does not renew the lease of the worker in time, and the agent
// stops a run when the entry that placed it has been silent. So whoever loses
// contact knows after a bounded time that a run has ended, whatever happened
// to the processes in between.
//
// An order that was not answered may be carried out late. The agent then
// raises its fencing token: once the worker has acknowledged the higher token
// it carries out no older order, and its list of runs is final for those.
//
// Tokens come from the worker's own clock, which only rises during a life of
// the worker. So they rise over restarts of the agent, which keeps nothing.
//
// Guard holds this state. It has no goroutines, sockets or clocks: every
// method takes the time, and Take returns the orders to carry out. Its times
// must come from a clock that counts while the VM is suspended.
//
// # Usage
//
//	g := worker.NewGuard(cfg)
//	g.Report(now, target)
//	g.Order(now, "entry-1", echo, starts, stops)
//	for _, o := range g.Take() { ... }
//	g.Looked(now, look)
//	events, next := g.Events("entry-1", acked)
package worker

import (
	"maps"
	"slices"
	"time"

	"masticbay/work"
)

// Config bounds a Guard.
type Config struct {
	Lease time.Duration // of the worker's runs; renewed with every look
	// LongestLease is what the worker grants whatever is asked for.
	LongestLease time.Duration
	Contact      time.Duration // how long an entry may be silent before its runs are stopped
	Handover     time.Duration // how long the holder of the ledger may be silent before runs of stored jobs are stopped
	OrderLife    time.Duration // oldest echo with which an order is taken
	Forget       time.Duration // how long events of a silent entry are kept
	Silence      time.Duration // time without an answered look after which the worker gets no task
	Tenure       time.Duration // how long a tenure counts after it was last known to hold
	IdleAge      time.Duration // least time without progress after which a run counts as idle
}

// phase is where a run stands.
type phase int

const (
	ordered  phase = iota // sent, not answered
	unclear               // whether it was begun is not known; a higher token will tell
	running               // known to be at work
	stopping              // to be stopped
)

type run struct {
	start   work.Start
	entry   string
	phase   phase
	token   uint64        // with which it was sent last
	sent    time.Time     // first order
	stopped time.Time     // last stop order
	percent int           // of its work, at the last look
	saved   string        // its last checkpoint
	moved   time.Time     // the look that showed the last progress
	slow    time.Duration // least run time that its progress lets expect, if far above what was expected
	idle    bool          // looks have shown no progress for too long
	reborn  bool          // the worker has started anew since it was ordered
}

// Guard is the state of an agent. NewGuard makes one.
type Guard struct {
	cfg      Config
	target   work.Target
	known    bool // a heartbeat has described the target
	leaving  bool
	silent   bool      // no look has been answered for Config.Silence
	looked   time.Time // last answered look
	settled  bool      // nothing runs that this Guard did not order
	token    uint64
	leap     uint64 // by which the token rose after the last refusal in a row
	acked    uint64 // highest token that the worker acknowledged
	seen     uint64 // last end that was taken note of
	clock    time.Duration
	clockAt  time.Time     // when clock was read, at the latest
	until    time.Duration // longest lease that was asked for
	pace     Pace
	runs     map[work.TaskRef]*run
	sessions map[string]*session
	orders   []Order
	since    time.Time // begin of this Guard
	owner    string    // entry that holds the tenure
	tenure   Tenure
	unsaved  []uint64  // ends that the worker must not forget yet
	strange  bool      // ends of an earlier incarnation of the agent may be among those that are listed
	lapsing  time.Time // since when the lease is not renewed; zero if it is
}

// NewGuard returns a Guard of a worker that has not reported yet.
func NewGuard(cfg Config) *Guard {
	return &Guard{cfg: cfg, runs: make(map[work.TaskRef]*run), sessions: make(map[string]*session)}
}

// Target returns the worker's description, and false before it is known.
func (g *Guard) Target() (work.Target, bool) { return g.target, g.known && !g.leaving }

// Token returns the token for the next order.
func (g *Guard) Token() uint64 { return g.token }

// Settled reports whether nothing runs that this Guard did not order.
func (g *Guard) Settled() bool { return g.settled }

// Silent reports whether the worker has not answered for a while.
func (g *Guard) Silent() bool { return g.silent }

// Running returns the number of runs that may be at work.
func (g *Guard) Running() int { return len(g.runs) }

// Report takes a heartbeat.
func (g *Guard) Report(now time.Time, t work.Target, clock time.Duration) {
	if g.known && t.Born != 0 && g.target.Born != 0 && t.Born < g.target.Born {
		return // delayed; from an earlier life
	}
	g.begin(now)
	g.newLife(now, t.Born, clock)
	if t.Born == 0 {
		t.Born = g.target.Born
	}
	g.target, g.known, g.leaving = t, true, false
	if g.token == 0 {
		g.readClock(now, clock)
		g.raise()
	}
}

func (g *Guard) begin(now time.Time) {
	if g.since.IsZero() {
		g.since = now
	}
}

// Leave takes the worker's word that it ends now.
func (g *Guard) Leave() { g.leaving = true }

// newLife notes that the worker has started anew. The runs of its earlier life
// have ended. But an order that was on its way may have been carried out by the
// new life, so each run is unclear until a look with a higher token shows it or
// not. Tokens go on from where they were, as such an order brings its own.
func (g *Guard) newLife(now time.Time, born int64, clock time.Duration) {
	if born == 0 || g.target.Born == 0 || born <= g.target.Born {
		if g.target.Born == 0 {
			g.target.Born = born
		}
		return
	}
	g.target.Born = born
	g.acked, g.seen, g.clock, g.until = 0, 0, 0, 0
	g.readClock(now, clock)
	if len(g.runs) > 0 {
		g.until = g.clock + max(g.cfg.LongestLease, g.cfg.Lease) // that an order may have brought
	}
	for _, r := range g.runs {
		r.phase, r.reborn = unclear, true
	}
	g.raise()
	g.unsaved, g.strange, g.lapsing = nil, false, time.Time{}
	for _, s := range g.sessions {
		for i := range s.events {
			s.events[i].number = 0
		}
	}
	g.pace = Pace{}
	g.settled = false // until a look shows it
}

func (g *Guard) readClock(now time.Time, clock time.Duration) {
	if clock > g.clock {
		g.clock, g.clockAt = clock, now
	}
}

// raise makes a token that is higher than all before it.
func (g *Guard) raise() {
	g.token = max(g.token+1, uint64(g.clock.Milliseconds())+1)
}

// Unclear reports whether it is not known of some run whether it was begun.
func (g *Guard) Unclear() bool {
	for _, r := range g.runs {
		if r.phase == unclear {
			return true
		}
	}
	return false
}

// Until returns the end of the lease for an order that is sent now.
func (g *Guard) Until(now time.Time) time.Duration {
	if g.clock == 0 || !g.lapsing.IsZero() {
		return 0
	}
	until := g.clock + now.Sub(g.clockAt) + g.cfg.Lease
	g.until = max(g.until, until)
	return until
}

// Used returns the room that runs take, of all entries and of the others than
// the one named.
func (g *Guard) Used(entry string) (all, others work.Room) {
	for _, r := range g.runs {
		all = all.Add(r.start.Room)
		if r.entry != entry {
			others = others.Add(r.start.Room)
		}
	}
	return all, others
}

// refs returns the tasks with a run in a fixed order, so that decisions do not
// depend on the order of a map.
func (g *Guard) refs() []work.TaskRef {
	return slices.SortedFunc(maps.Keys(g.runs), work.TaskRef.Compare)
}

// finish removes a run and tells its entry.
func (g *Guard) finish(now time.Time, ref work.TaskRef, how work.End, why string) {
	g.finishListed(now, ref, 0, how, why)
}

// finishListed is finish for an end that the worker lists under a number.
func (g *Guard) finishListed(now time.Time, ref work.TaskRef, number uint64, how work.End, why string) {
	r := g.runs[ref]
	delete(g.runs, ref)
	e := Event{Run: r.start.Run, End: how, Reason: why, Took: now.Sub(r.sent), Stored: r.start.Stored, Checkpoint: r.saved}
	if e.Stored && number > 0 && (how == work.Done || how == work.Failed) {
		e.number = number
		g.keep(number)
		if !g.lapsing.IsZero() {
			e.void()
		}
	}
	if how == work.Done {
		g.pace.add(now.Sub(r.sent), r.start.Estimate)
	}
	g.tell(r.entry, e)
}
