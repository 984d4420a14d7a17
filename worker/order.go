package worker

import (
	"time"

	"masticbay/work"
)

// Order is a call to the worker that the agent has to make.
type Order struct {
	Stop  bool
	Start work.Start // of a stop only Run is set
	Token uint64
	Until time.Duration // on the worker's clock
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
		if why := g.refusal(now, entry, echo, &s); why != "" {
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
	Untenured = "untenured" // the entry does not hold the ledger, as far as is known here
	StaleEcho = "staleEcho" // the order may have been on its way for long
	Occupied  = "occupied"  // another run of the task has not ended here
	NoRoom    = "noRoom"
)

func (g *Guard) refusal(now time.Time, entry string, echo time.Time, s *work.Start) string {
	all, _ := g.Used("")
	_, twice := g.runs[s.Run.Task]
	switch {
	case !g.known || g.leaving || g.target.Draining || g.silent || g.token == 0 || !g.lapsing.IsZero():
		return Unready
	case s.Stored && !g.owns(now, entry):
		return Untenured
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
			g.Fenced(now, 0, have.token)
		}
		g.finish(now, r.Task, work.Refused, reason)
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
