package worker

import (
	"time"

	"masticbay/work"
)

// The reasons of stops.
const (
	stopOrdered   = "ordered by its home"
	stopNoContact = "its home is out of contact"
	stopNoHolder  = "the ledger's holder is out of contact"
	stopSealed    = "another home has the job"
	stopUnknown   = "not known to this agent"
	stopOvertaken = "listed before its end"
	stopRepeated  = "repeated"
)

// stop requests a stop of a run. The reason of the first request stays that of the first
// order; later orders of the stop are repetitions.
func (g *Guard) stop(now time.Time, r *run, reason string) {
	r.stopRequestedAt = now
	if r.firstStopAt.IsZero() {
		r.firstStopAt, r.stopReason = now, reason
	}
	if r.phase == ordered || r.phase == unclear || r.phase == inTransit {
		return // the answer to the start decides first; a later poll repeats the stop
	}
	reason = r.stopReason
	if r.phase == stopping {
		reason = stopRepeated
	}
	r.phase = stopping
	g.orders = append(g.orders, Order{Stop: true, Start: work.Start{Run: r.start.Run}, Token: g.token, Reason: reason})
}

// StoppedRun is a run that has ended after a stop of it was requested.
type StoppedRun struct {
	Run  work.Run
	End  work.End
	Took time.Duration // since the first request
}

func (g *Guard) recordStopped(now time.Time, r *run, end work.End) {
	if !r.firstStopAt.IsZero() {
		g.stopped = append(g.stopped, StoppedRun{Run: r.start.Run, End: end, Took: now.Sub(r.firstStopAt)})
	}
}

// TakeStopped returns the stopped runs that have ended since the last call.
func (g *Guard) TakeStopped() []StoppedRun {
	s := g.stopped
	g.stopped = nil
	return s
}
