package worker

import (
	"time"

	"masticbay/work"
)

// Order is a call to the worker that the agent must make.
type Order struct {
	Stop   bool
	Worker string     // ID of the worker that a start is for
	Start  work.Start // a stop sets only Run
	Token  uint64
	Until  time.Duration // end of the lease, on the worker's clock
	Reason string        // of a stop
	Home   string        // that ordered a start
	Born   int64         // incarnation of the worker for which a start is meant
}

// Order takes starts and stops from an entry. Starts that are refused produce
// events at once. The stops apply to the starts too.
func (g *Guard) Order(now time.Time, entry string, echo time.Time, starts []work.Start, stops []work.Run) {
	g.RecordContact(now, entry, echo)
	for _, s := range starts {
		if reason := g.refusalReason(now, entry, echo, &s); reason != "" {
			g.addEvent(entry, Event{Run: s.Run, End: work.Refused, Reason: reason})
			continue
		}
		r := &run{start: s, entry: entry, orderedAt: now}
		g.runs[s.Run.Task] = r
		g.sendStart(now, r)
	}
	for _, r := range stops {
		if g.Knows(r) {
			g.stop(now, g.runs[r.Task], stopOrdered)
		}
	}
}

// The reasons for which an agent itself refuses a start.
const (
	Unready   = "unready"   // the worker is unknown, draining, out of contact or without renewal of its lease
	Untenured = "untenured" // the agent does not know the entry as holder of the ledger
	StaleEcho = "staleEcho" // the order may have been in transit for too long, or the echo is none of this agent's times
	Occupied  = "occupied"  // another run of the task has not ended here
	NoRoom    = "noRoom"
	SealedJob = "sealed"    // another home has the job
	Evacuated = "evacuated" // the worker's data centre is evacuated
	OtherHome = "otherHome" // the agent follows another home
)

func (g *Guard) refusalReason(now time.Time, entry string, echo time.Time, s *work.Start) string {
	all, _ := g.Used("")
	_, occupied := g.runs[s.Run.Task]
	reason := g.unreadyReason(now, entry, echo, s)
	switch {
	case reason != "":
		return reason
	case occupied:
		return Occupied
	case !g.target.Capacity.Sub(all).Holds(s.Room):
		return NoRoom
	}
	return ""
}

// unreadyReason returns why a start is refused, whatever runs on the worker; empty if it is not.
func (g *Guard) unreadyReason(now time.Time, entry string, echo time.Time, s *work.Start) string {
	switch {
	case g.isSealed(s.Run):
		return SealedJob
	case g.Evacuated():
		return Evacuated
	case g.startsHeld, !g.hasTarget || g.leaving || g.target.Draining || g.outOfContact || g.token == 0 || !g.settledOnce || !g.renewalPausedAt.IsZero() || g.hasOverdueRun(now):
		return Unready
	case !s.Stored && !g.TakesStartsOf(entry):
		return OtherHome
	case s.Stored && !g.holdsTenure(now, entry):
		return Untenured
	case now.Sub(echo) > g.cfg.OrderMaxAge, echo.After(now):
		return StaleEcho
	}
	return ""
}

func (g *Guard) sendStart(now time.Time, r *run) {
	r.phase, r.token, r.sentAt, r.born, r.kind = ordered, g.token, now, g.target.Born, g.target
	r.sent++
	r.awaitsAnswer, r.carriedOut = true, false
	g.orders = append(g.orders, Order{Worker: g.target.ID, Start: r.start, Token: g.token, Until: g.LeaseUntil(now), Home: r.entry, Born: r.born})
}

// Take returns the orders to carry out now.
func (g *Guard) Take() []Order {
	o := g.orders
	g.orders = nil
	return o
}

// Started processes the worker's answer to a start. An empty reason means that the
// worker accepted it; tokenRejected means that it has seen a higher token.
func (g *Guard) Started(now time.Time, r work.Run, reason string, tokenRejected bool) {
	known, ok := g.runs[r.Task]
	if !ok || known.start.Run != r || !known.awaitsAnswer {
		return
	}
	known.awaitsAnswer = false
	if reason != "" {
		known.sent--
	}
	if known.phase != ordered {
		if known.phase == unclear && known.sent == 0 {
			if g.Evacuated() {
				reason = Evacuated
			}
			g.finish(now, r.Task, work.Refused, reason)
		}
		return // the next list decides
	}
	switch {
	case reason == "":
		known.phase = running
		if !known.stopRequestedAt.IsZero() {
			g.stop(now, known, stopRepeated)
		}
	case tokenRejected && known.token < g.token && known.stopRequestedAt.IsZero() && !g.hasOverdueRun(now) && !g.Evacuated():
		g.sendStart(now, known)
	default:
		if tokenRejected {
			g.TokenRejected(now, time.Time{}, 0, known.token)
			if g.Evacuated() {
				reason = Evacuated // the home need not wait before it places the task elsewhere
			}
		}
		g.finish(now, r.Task, work.Refused, reason)
	}
}

// Unanswered records that a start gets no answer: the call that sent it has ended.
func (g *Guard) Unanswered(now time.Time, r work.Run) {
	known, ok := g.runs[r.Task]
	if !ok || known.start.Run != r || !known.awaitsAnswer {
		return
	}
	g.markUnanswered(now, known)
	if known.phase == ordered {
		g.fenceStart(known)
	}
}

// fenceStart raises the token, so that the next list shows whether a start was carried out.
func (g *Guard) fenceStart(known *run) {
	known.phase = unclear
	if known.token >= g.token {
		g.raiseToken()
	}
}
