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
	"math"
	"slices"
	"time"

	"masticbay/work"
)

// Config bounds a Guard.
type Config struct {
	Lease     time.Duration // of the worker's runs; renewed with every look
	Contact   time.Duration // how long an entry may be silent before its runs are stopped
	OrderLife time.Duration // oldest echo with which an order is taken
	Forget    time.Duration // how long events of a silent entry are kept
	Silence   time.Duration // time without an answered look after which the worker gets no task
	IdleAge   time.Duration // least time without progress after which a run counts as idle
}

// clockDrift bounds how much slower the worker's clock may run, as a factor.
const clockDrift = 1.03

// leaseSlack is added to the time at which a lease is known to have ended.
const leaseSlack = 20 * time.Millisecond

// phase is where a run stands.
type phase int

const (
	ordered  phase = iota // sent, not answered
	unclear               // no answer came; a higher token will tell
	running               // known to be at work
	stopping              // to be stopped
)

type run struct {
	start   work.Start
	entry   string
	phase   phase
	token   uint64    // with which it was sent last
	sent    time.Time // first order
	stopped time.Time // last stop order
	percent int       // of its work, at the last look
	moved   time.Time // the look that showed the last progress
	idle    bool      // looks have shown no progress for too long
}

// Event tells an entry how a run of its own ended.
type Event struct {
	Seq    uint64
	Run    work.Run
	End    work.End
	Reason string        // for Refused: why
	Took   time.Duration // from the order to the end
}

type session struct {
	heard  time.Time // agent's own time that the entry echoed last
	events []Event
	seq    uint64
}

// Order is a call to the worker that the agent has to make.
type Order struct {
	Stop  bool
	Start work.Start // of a stop only Run is set
	Token uint64
	Until time.Duration // on the worker's clock
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
	acked    uint64 // highest token that the worker acknowledged
	seen     uint64 // last end that was taken note of
	clock    time.Duration
	clockAt  time.Time     // when clock was read, at the latest
	until    time.Duration // longest lease that was asked for
	pace     Pace
	runs     map[work.TaskRef]*run
	sessions map[string]*session
	orders   []Order
}

// NewGuard returns a Guard of a worker that has not reported yet.
func NewGuard(cfg Config) *Guard {
	return &Guard{cfg: cfg, runs: make(map[work.TaskRef]*run), sessions: make(map[string]*session)}
}

// Target returns the worker's description, and false before it is known.
func (g *Guard) Target() (work.Target, bool) { return g.target, g.known && !g.leaving }

// Token returns the token for the next order.
func (g *Guard) Token() uint64 { return g.token }

// Seen returns the number of the last end that was taken note of.
func (g *Guard) Seen() uint64 { return g.seen }

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
	g.newLife(now, t.Born)
	if t.Born == 0 {
		t.Born = g.target.Born
	}
	g.target, g.known, g.leaving = t, true, false
	if g.token == 0 {
		g.readClock(now, clock)
		g.raise()
	}
}

// Leave takes the worker's word that it ends now.
func (g *Guard) Leave() { g.leaving = true }

// newLife ends all runs if the worker has started anew.
func (g *Guard) newLife(now time.Time, born int64) {
	if born == 0 || g.target.Born == 0 || born <= g.target.Born {
		if g.target.Born == 0 {
			g.target.Born = born
		}
		return
	}
	for ref, r := range g.runs {
		g.finish(now, ref, r, work.Lapsed, "worker started anew")
	}
	g.target.Born = born
	g.token, g.acked, g.seen, g.clock, g.until = 0, 0, 0, 0, 0
	g.pace = Pace{}
	g.settled = true
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

// Until returns the end of the lease for an order that is sent now.
func (g *Guard) Until(now time.Time) time.Duration {
	if g.clock == 0 {
		return 0
	}
	until := g.clock + now.Sub(g.clockAt) + g.cfg.Lease
	g.until = max(g.until, until)
	return until
}

// lapsedAt returns when every lease that was asked for has ended.
func (g *Guard) lapsedAt() time.Time {
	left := time.Duration(float64(g.until-g.clock) * clockDrift)
	return g.clockAt.Add(left + leaseSlack)
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

// Hear notes that an entry has echoed the agent's own time.
func (g *Guard) Hear(entry string, echo time.Time) {
	s := g.session(entry)
	if echo.After(s.heard) {
		s.heard = echo
	}
}

func (g *Guard) session(entry string) *session {
	s, ok := g.sessions[entry]
	if !ok {
		s = &session{}
		g.sessions[entry] = s
	}
	return s
}

// Order takes starts and stops from an entry. Starts that are not taken are
// told as events at once.
func (g *Guard) Order(now time.Time, entry string, echo time.Time, starts []work.Start, stops []work.Run) {
	g.Hear(entry, echo)
	for _, r := range stops {
		if have, ok := g.runs[r.Task]; ok && have.start.Run == r {
			g.stop(now, have)
		}
	}
	for _, s := range starts {
		if why := g.refusal(now, echo, s); why != "" {
			g.tell(entry, Event{Run: s.Run, End: work.Refused, Reason: why})
			continue
		}
		r := &run{start: s, entry: entry, sent: now}
		g.runs[s.Run.Task] = r
		g.send(now, r)
	}
}

// The reasons with which an agent refuses a start by itself.
const (
	Unready   = "unready"   // the worker is not known, drains, or is silent
	StaleEcho = "staleEcho" // the order may have been on its way for long
	Occupied  = "occupied"  // another run of the task has not ended here
	NoRoom    = "noRoom"
)

func (g *Guard) refusal(now, echo time.Time, s work.Start) string {
	all, _ := g.Used("")
	_, twice := g.runs[s.Run.Task]
	switch {
	case !g.known || g.leaving || g.target.Draining || g.silent || g.token == 0:
		return Unready
	case now.Sub(echo) > g.cfg.OrderLife:
		return StaleEcho
	case twice:
		return Occupied
	case !g.target.Capacity.Sub(all).Holds(s.Room):
		return NoRoom
	}
	return ""
}

func (g *Guard) send(now time.Time, r *run) {
	r.phase, r.token = ordered, g.token
	g.orders = append(g.orders, Order{Start: r.start, Token: g.token, Until: g.Until(now)})
}

func (g *Guard) stop(now time.Time, r *run) {
	if r.phase == ordered || r.phase == unclear {
		// The answer decides first; the look after it repeats the stop.
		r.stopped = now
		return
	}
	r.phase, r.stopped = stopping, now
	g.orders = append(g.orders, Order{Stop: true, Start: work.Start{Run: r.start.Run}, Token: g.token})
}

// Take returns the orders to carry out now.
func (g *Guard) Take() []Order {
	o := g.orders
	g.orders = nil
	return o
}

// Started takes the worker's answer to a start. An empty reason means that it
// was taken; fence means that the worker has seen a higher token.
func (g *Guard) Started(now time.Time, r work.Run, reason string, fenced bool) {
	have, ok := g.runs[r.Task]
	if !ok || have.start.Run != r || have.phase != ordered {
		return
	}
	switch {
	case reason == "":
		have.phase = running
		if !have.stopped.IsZero() {
			g.stop(now, have)
		}
	case fenced && have.token < g.token && have.stopped.IsZero():
		g.send(now, have)
	default:
		if fenced {
			g.raise()
		}
		g.finish(now, r.Task, have, work.Refused, reason)
	}
}

// Unanswered notes that a start got no answer, so that the token must rise.
func (g *Guard) Unanswered(r work.Run) {
	have, ok := g.runs[r.Task]
	if !ok || have.start.Run != r || have.phase != ordered {
		return
	}
	have.phase = unclear
	if have.token >= g.token {
		g.raise()
	}
}

// Look is what a worker told about its runs.
type Look struct {
	Token   uint64 // with which it was asked
	Born    int64
	Clock   time.Duration
	Running map[work.Run]int // percent of the work
	Ended   []Ended          // by rising number
}

// Ended is an end that the worker lists.
type Ended struct {
	Number uint64
	Run    work.Run
	End    work.End
}

// Fenced notes that the worker has seen a higher token than asked with.
func (g *Guard) Fenced(now time.Time, clock time.Duration) {
	g.readClock(now, clock)
	g.raise()
}

// Looked takes the answer to a look.
func (g *Guard) Looked(now time.Time, l Look) {
	g.newLife(now, l.Born)
	if l.Born != 0 && l.Born < g.target.Born {
		return
	}
	g.silent, g.looked = false, now
	g.readClock(now, l.Clock)
	if g.token == 0 {
		g.raise()
	}
	g.acked = max(g.acked, l.Token)
	for _, e := range l.Ended {
		if e.Number <= g.seen {
			continue
		}
		g.seen = e.Number
		if r, ok := g.runs[e.Run.Task]; ok && r.start.Run == e.Run {
			g.finish(now, e.Run.Task, r, e.End, "")
		}
	}
	g.compare(now, l)
}

// compare brings the runs into line with those that the worker listed.
func (g *Guard) compare(now time.Time, l Look) {
	g.settled = true
	for r, percent := range l.Running {
		have, ok := g.runs[r.Task]
		if !ok || have.start.Run != r {
			g.settled = false
			g.orders = append(g.orders, Order{Stop: true, Start: work.Start{Run: r}, Token: g.token})
			continue
		}
		g.judge(now, have, percent)
		if have.phase == unclear {
			have.phase = running
		}
		if !have.stopped.IsZero() && have.phase != ordered && now.Sub(have.stopped) > stopRepeat {
			g.stop(now, have)
		}
	}
	for ref, have := range g.runs {
		if have.phase != unclear || have.token >= l.Token {
			continue
		}
		if _, listed := l.Running[have.start.Run]; !listed {
			g.finish(now, ref, have, work.Refused, "no answer")
		}
	}
}

// judge notes whether a run makes progress.
func (g *Guard) judge(now time.Time, r *run, percent int) {
	if percent > r.percent || r.moved.IsZero() {
		r.percent, r.moved = percent, now
	}
	r.idle = percent < 100 && now.Sub(r.moved) > max(g.cfg.IdleAge, r.start.Estimate/idlePart)
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
	for ref, r := range g.runs {
		g.finish(now, ref, r, work.Lapsed, "worker does not answer")
	}
}

// finish removes a run and tells its entry.
func (g *Guard) finish(now time.Time, ref work.TaskRef, r *run, how work.End, why string) {
	delete(g.runs, ref)
	if how == work.Done {
		g.pace.add(now.Sub(r.sent), r.start.Estimate)
	}
	g.tell(r.entry, Event{Run: r.start.Run, End: how, Reason: why, Took: now.Sub(r.sent)})
}

// Pace is how long the worker's runs take against their estimates.
type Pace struct {
	Runs int     // at most paceWindow
	Log  float64 // mean of the logarithm of run time over estimate
}

// paceWindow is the number of runs that the mean looks back on.
const paceWindow = 40

func (p *Pace) add(took, estimate time.Duration) {
	if took <= 0 || estimate <= 0 {
		return
	}
	p.Runs = min(p.Runs+1, paceWindow)
	p.Log += (math.Log(float64(took)/float64(estimate)) - p.Log) / float64(p.Runs)
}

// Pace returns how long the worker's runs took in its present life.
func (g *Guard) Pace() Pace { return g.pace }

func (g *Guard) tell(entry string, e Event) {
	s := g.session(entry)
	s.seq++
	e.Seq = s.seq
	s.events = append(s.events, e)
}

// Events returns the events of an entry after acked, and forgets earlier ones.
func (g *Guard) Events(entry string, acked uint64) []Event {
	s := g.session(entry)
	i := 0
	for i < len(s.events) && s.events[i].Seq <= acked {
		i++
	}
	s.events = slices.Delete(s.events, 0, i)
	return slices.Clone(s.events)
}

// Idle returns the runs of an entry that have made no progress for long.
func (g *Guard) Idle(entry string) []work.Run {
	var idle []work.Run
	for _, r := range g.runs {
		if r.entry == entry && r.phase == running && r.idle {
			idle = append(idle, r.start.Run)
		}
	}
	return idle
}

// Tick stops the runs of entries that have been silent, and forgets entries
// that have been so for long. It is called several times in each Contact.
func (g *Guard) Tick(now time.Time) (stopped []work.Run) {
	if g.silent {
		g.expire(now)
	}
	for _, r := range g.runs {
		s := g.sessions[r.entry]
		if r.stopped.IsZero() && now.Sub(s.heard) > g.cfg.Contact {
			g.stop(now, r)
			stopped = append(stopped, r.start.Run)
		}
	}
	for name, s := range g.sessions {
		if now.Sub(s.heard) > g.cfg.Forget && !g.serves(name) {
			delete(g.sessions, name)
		}
	}
	return stopped
}

func (g *Guard) serves(entry string) bool {
	for _, r := range g.runs {
		if r.entry == entry {
			return true
		}
	}
	return false
}
