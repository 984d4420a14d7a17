package worker

import (
	"slices"
	"time"

	"masticbay/work"
)

// Runs of stored jobs belong to the entry that holds the ledger, whichever entry
// placed them. The worker must retain their ends until that entry has committed
// them: if an end were dropped before, the task would run again. An end may also
// be invalid, because the entry may have declared the run lost. The worker may drop
// such an end only after its lease has expired; by then every process treats the
// run as if it had not taken place.

// Tenure is the right of an entry to have tasks of stored jobs run here: the
// ledger holder's term.
type Tenure struct {
	Epoch     uint64    // the highest is valid; 0 if the entry has no such right
	Vacant    bool      // the site stores no jobs
	RenewedAt time.Time // on the agent's clock, the last time at which the tenure was known to hold
}

// ApplyTenure applies an entry's tenure. The first entry with a higher epoch takes over
// the runs of stored jobs and the events that are not committed.
func (g *Guard) ApplyTenure(now time.Time, entry string, t Tenure) {
	if t.RenewedAt.After(now) {
		t.RenewedAt = now
	}
	switch {
	case t.Vacant && g.tenure.Epoch == 0:
		g.mayListInherited, g.renewalPausedAt = false, time.Time{}
		return
	case t.Epoch < g.tenure.Epoch || t.Epoch == 0:
		return
	case t.Epoch == g.tenure.Epoch:
		if t.RenewedAt.After(g.tenure.RenewedAt) {
			g.tenure.RenewedAt = t.RenewedAt
		}
		return
	}
	previous := g.holder
	g.tenure, g.holder = t, entry
	if s := g.homeState(entry); s.lastContact.Before(t.RenewedAt) {
		s.lastContact = t.RenewedAt
	}
	for _, r := range g.runs {
		if r.start.Stored {
			r.entry = entry
		}
	}
	if previous == "" || previous == entry {
		return
	}
	s := g.homeState(previous)
	var rest []Event
	for _, e := range s.events {
		if e.Stored {
			g.addEvent(entry, e)
		} else {
			rest = append(rest, e)
		}
	}
	s.events = rest
}

// Epoch returns the epoch of the tenure that the Guard accepts; 0 while the lease
// of the worker has to expire, since no task can be started then, and before it is known
// that no run of an earlier incarnation of the agent is left.
func (g *Guard) Epoch() uint64 {
	if !g.renewalPausedAt.IsZero() || !g.settledOnce {
		return 0
	}
	return g.tenure.Epoch
}

// InheritedRuns returns the runs of stored jobs, which a new holder inherits, and the times
// of their orders.
func (g *Guard) InheritedRuns() (runs []work.Run, orderedAt []time.Time) {
	for _, ref := range g.sortedTasks() {
		if r := g.runs[ref]; r.start.Stored {
			runs, orderedAt = append(runs, r.start.Run), append(orderedAt, r.orderedAt)
		}
	}
	return runs, orderedAt
}

// holdsTenure reports whether an entry may have tasks of stored jobs run here.
func (g *Guard) holdsTenure(now time.Time, entry string) bool {
	return entry == g.holder && g.renewalPausedAt.IsZero() && !g.tenure.RenewedAt.Before(g.startedAt) && now.Sub(g.tenure.RenewedAt) <= g.cfg.TenureMaxAge
}

// takeFirstSnapshot processes the first poll of this Guard. The snapshot shows
// runs and ends of an earlier incarnation of the agent, which may be of stored
// jobs. So all ends are retained until the worker's lease has expired, or an entry
// reports that the site stores no jobs.
func (g *Guard) takeFirstSnapshot(now time.Time, snapshot *Snapshot) {
	if !g.lastPoll.IsZero() || !g.listsEarlierRuns(snapshot) {
		return
	}
	g.mayListInherited = true
	g.maxLeaseUntil = g.workerClock + max(g.cfg.LongestLease, g.cfg.Lease)
	g.pauseRenewal(now)
}

// listsEarlierRuns reports whether a snapshot lists a run that this Guard did not order.
func (g *Guard) listsEarlierRuns(snapshot *Snapshot) bool {
	isOwn := func(r work.Run) bool {
		known, ok := g.runs[r.Task]
		return ok && known.start.Run == r
	}
	for r := range snapshot.Running {
		if !isOwn(r) {
			return true
		}
	}
	return slices.ContainsFunc(snapshot.Ended, func(e Ended) bool { return !isOwn(e.Run) })
}

// pauseRenewal lets the worker's lease expire.
func (g *Guard) pauseRenewal(now time.Time) {
	if g.renewalPausedAt.IsZero() {
		g.renewalPausedAt = now
	}
}

// expireOutOfContact stops the runs of stored jobs, and invalidates their ends that
// are not committed, when the holder may have declared them lost.
func (g *Guard) expireOutOfContact(now time.Time) {
	s, ok := g.homes[g.holder]
	if g.holder == "" || ok && now.Sub(s.lastContact) <= g.cfg.HolderContactTimeout && now.Sub(g.tenure.RenewedAt) <= g.cfg.TenureMaxAge {
		return
	}
	hasStored := len(g.uncommitted) > 0
	for _, ref := range g.sortedTasks() {
		if r := g.runs[ref]; r.start.Stored && r.phase != inTransit {
			hasStored = true
			if r.stopRequestedAt.IsZero() {
				g.stop(now, r, stopNoHolder)
			}
		}
	}
	if !hasStored {
		return
	}
	g.pauseRenewal(now)
	if ok {
		for i := range s.events {
			s.events[i].markLapsed()
		}
	}
}

// markLapsed turns an end of a run of a stored job into a lapse. The worker still has to retain the
// end until its lease has expired, also if the home acknowledges the event before.
func (e *Event) markLapsed() {
	if e.Stored && (e.End == work.Done || e.End == work.Failed) {
		e.End, e.Reason, e.endNumber = work.Lapsed, "its end was not saved", 0
	}
}

// resumeRenewal renews the lease again once it has expired.
func (g *Guard) resumeRenewal(now time.Time) {
	if g.renewalPausedAt.IsZero() || g.workerClock == 0 || now.Before(g.leaseExpiry()) {
		return
	}
	g.renewalPausedAt, g.mayListInherited = time.Time{}, false
	g.uncommitted = nil
}

// retainEnd makes the worker retain an end.
func (g *Guard) retainEnd(endNumber uint64) { g.uncommitted = append(g.uncommitted, endNumber) }

// endCommitted lets the worker drop an end that has been committed.
func (g *Guard) endCommitted(endNumber uint64) {
	g.uncommitted = slices.DeleteFunc(g.uncommitted, func(n uint64) bool { return n == endNumber })
}

// PollRound returns the round of a poll that is sent now. Its answer shows which incarnation of the worker
// has answered since the last poll that was not.
func (g *Guard) PollRound() uint64 { return g.pollRound }

// AckedEnd returns the number up to which the worker may drop ends. After a poll without an answer,
// another incarnation may get the next one. It numbers its ends anew, so it must drop none by the numbers of
// the earlier one.
func (g *Guard) AckedEnd() uint64 {
	switch {
	case g.mayListInherited, g.answeredRound < g.pollRound:
		return 0
	case len(g.uncommitted) > 0:
		return slices.Min(g.uncommitted) - 1
	}
	return g.lastEnd
}

// Uncommitted returns the numbers of the ends that the worker must retain until they
// are committed.
func (g *Guard) Uncommitted() []uint64 { return g.uncommitted }

// RetainsEnds reports whether the worker must retain ends that it lists. A poll that
// waits for an end then returns at once.
func (g *Guard) RetainsEnds() bool { return g.mayListInherited || len(g.uncommitted) > 0 }

// RenewalPaused reports whether the lease of the worker is not renewed.
func (g *Guard) RenewalPaused() bool { return !g.renewalPausedAt.IsZero() }
