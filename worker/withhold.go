package worker

import "time"

// A run whose permission has ended must end even if its worker does not carry out the
// stop. Every renewal extends the lease of all runs on the worker, so the lease is
// withheld while such a run goes on. Runs of stored jobs follow the rules of Tenure.

// hasOverdueRun reports whether a run goes on although its stop should have ended it. That
// includes runs that this Guard did not order, which are stopped as soon as they are listed.
func (g *Guard) hasOverdueRun(now time.Time) bool {
	if g.cfg.StopTime == 0 {
		return false
	}
	if !g.unsettledSince.IsZero() && now.Sub(g.unsettledSince) > g.cfg.StopTime {
		return true
	}
	for _, r := range g.runs {
		if !r.start.Stored && r.phase != inTransit && g.isOverdue(now, r) {
			return true
		}
	}
	return false
}

// isOverdue does not rely on Tick to have requested the stop, since Tick may be late after
// a pause of the process.
func (g *Guard) isOverdue(now time.Time, r *run) bool {
	if !r.firstStopAt.IsZero() && now.Sub(r.firstStopAt) > g.cfg.StopTime {
		return true
	}
	return now.Sub(g.homeState(r.entry).lastContact) > g.cfg.EntryContactTimeout+g.cfg.StopTime
}

// contactLag returns by how much the oldest contact with the entry of a run exceeds
// Config.RenewalContactAge.
func (g *Guard) contactLag(now time.Time) (lag time.Duration) {
	if g.cfg.RenewalContactAge == 0 {
		return 0
	}
	for _, r := range g.runs {
		if !r.start.Stored && r.phase != inTransit {
			lag = max(lag, now.Sub(g.homeState(r.entry).lastContact)-g.cfg.RenewalContactAge)
		}
	}
	return lag
}

// updateUnsettled records since when the worker lists runs that are not known here.
func (g *Guard) updateUnsettled(now time.Time) {
	switch {
	case g.settled:
		g.unsettledSince = time.Time{}
	case g.unsettledSince.IsZero():
		g.unsettledSince = now
	}
}

// updateWithheld decides whether the lease is withheld.
func (g *Guard) updateWithheld(now time.Time) {
	g.expireWithheld(now)
	g.withheld = g.hasOverdueRun(now)
}

// expireWithheld invalidates the ends of stored jobs that are not committed if the lease
// has expired while it was withheld. The worker need not retain them then.
func (g *Guard) expireWithheld(now time.Time) {
	if !g.withheld || g.workerClock == 0 || now.Before(g.leaseExpiry()) {
		return
	}
	for _, s := range g.homes {
		for i := range s.events {
			s.events[i].markLapsed()
		}
	}
	g.uncommitted = nil
}

// LeaseWithheld reports whether the lease is not renewed because a run goes on without
// permission, or may do so that an earlier incarnation of the agent ordered. The worker gets no task then.
func (g *Guard) LeaseWithheld() bool { return g.withheld || !g.settledOnce }
