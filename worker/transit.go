package worker

import (
	"time"

	"masticbay/work"
)

// A worker may carry out a start that it has not answered within Config.OrderDelay, also after it
// has restarted, as long as it has seen no higher token. So what the Guard may conclude is:
//
//   - from a list under a higher token: this incarnation of the worker does not carry the start out any more;
//   - from a list that shows the run: a start of it was carried out, and none is left if only one was sent;
//   - from a restart of the worker: its runs have ended. The next incarnation has seen no token, may have
//     the same ID, and its clock begins anew, so neither token nor ID nor lease keeps it from carrying the start out;
//   - from the end of the lease: the run has ended if it was started;
//   - from Config.OrderDelay since the last start was sent: none is left, for any incarnation.
//
// As long as a start of a run may be left, the run is not reported as ended, unless the worker lists
// it as done and it may run again; see work.Start.MayRepeat. Such a run may also be started again at the
// same worker, since a worker never has two runs of a task. Any other run waits, and takes no room.

// isTransitPossible reports whether a start of the run may still be carried out.
func (r *run) isTransitPossible(now time.Time) bool {
	return !r.carriedOut && (r.awaitsAnswer || now.Before(r.transitUntil))
}

// markUnanswered records that the last start of the run gets no answer. The call that sent it has ended.
func (g *Guard) markUnanswered(now time.Time, r *run) {
	r.awaitsAnswer = false
	if g.cfg.OrderDelay > 0 && !r.carriedOut {
		r.transitUntil = now.Add(g.cfg.OrderDelay)
		g.setTransitChanged(r)
	}
}

// markListed records that the worker lists the run, as running or as ended.
func (g *Guard) markListed(r *run) {
	if r.sent != 1 {
		return // another start of it may be left
	}
	r.carriedOut = true
	if !r.transitUntil.IsZero() {
		r.transitUntil = time.Time{}
		g.setTransitChanged(r)
	}
}

// endedTransit is a run that was reported as done while a start of it may be left.
type endedTransit struct {
	run   work.Run
	entry string
	until time.Time
}

// startRetryInterval is the time between starts of a run that waits.
const startRetryInterval = 200 * time.Millisecond

// awaitTransit delays the end of a run until none of its starts can be carried out any more.
func (g *Guard) awaitTransit(now time.Time, r *run, end work.End, reason string, isListed bool) {
	r.phase, r.end, r.endReason, r.endListed, r.fence = inTransit, end, reason, isListed, 0
	r.percent, r.slowProjection, r.stalled, r.lastProgress = 0, 0, false, time.Time{}
	g.setTransitChanged(r)
	g.transitChanges = append(g.transitChanges, TransitChange{Run: r.start.Run, Home: r.entry, Left: r.transitUntil.Sub(now), End: end, Reason: reason})
}

// fenceTransits has a list awaited that proves the end of the runs of which no start is left, and forgets
// ended ones.
func (g *Guard) fenceTransits(now time.Time) {
	raised := false
	for _, r := range g.runs {
		if r.phase != inTransit || r.fence > 0 || r.isTransitPossible(now) {
			continue
		}
		if !raised {
			g.raiseToken()
			raised = true
		}
		r.fence = g.token
	}
	n := 0
	for _, t := range g.endedTransits {
		if now.Before(t.until) {
			g.endedTransits[n] = t
			n++
		}
	}
	if n < len(g.endedTransits) {
		g.endedTransits = g.endedTransits[:n]
		g.answerSeals()
	}
}

// reconcileTransit decides on a run that waits and that a complete list under a token does not show.
func (g *Guard) reconcileTransit(now time.Time, r *run, token uint64) {
	switch {
	case r.fence > 0 && token >= r.fence:
		g.finish(now, r.start.Run.Task, r.end, r.endReason)
	case r.token < token && !r.awaitsAnswer && !r.endListed && now.Sub(r.sentAt) > startRetryInterval && g.mayStartAgain(now, r):
		g.startAgain(now, r)
	}
}

// mayStartAgain reports whether a run that the worker does not list may be started again there.
func (g *Guard) mayStartAgain(now time.Time, r *run) bool {
	if !r.start.MayRepeat() || !r.stopRequestedAt.IsZero() || r.workerRestarted && !g.target.SameKind(&r.kind) {
		return false
	}
	if g.unreadyReason(now, r.entry, g.homeState(r.entry).lastContact, &r.start) != "" {
		return false
	}
	all, _ := g.Used("")
	if r.phase != inTransit {
		all = all.Sub(r.start.Room)
	}
	return g.target.Capacity.Sub(all).Holds(r.start.Room)
}

// startAgain sends another start of a run to the worker.
func (g *Guard) startAgain(now time.Time, r *run) {
	r.workerRestarted, r.unlisted, r.fence = false, 0, 0
	g.transitChanges = append(g.transitChanges, TransitChange{Run: r.start.Run, Home: r.entry, Left: r.transitUntil.Sub(now), SentAgain: true})
	g.setTransitChanged(r)
	g.sendStart(now, r)
}

// TransitChange tells what becomes of a run whose start may still be carried out.
type TransitChange struct {
	Run       work.Run
	Home      string
	Left      time.Duration // how long a start of it may still be carried out
	SentAgain bool          // it is started again; otherwise it waits
	End       work.End      // with which it ends after the wait
	Reason    string
}

// TakeTransitChanges returns the changes since the last call.
func (g *Guard) TakeTransitChanges() []TransitChange {
	c := g.transitChanges
	g.transitChanges = nil
	return c
}

// TransitRun tells a home whether a start of a run may still be carried out.
type TransitRun struct {
	Run  work.Run
	Idle bool          // it does not run, and takes no room
	Left time.Duration // how long a start of it may still be carried out; 0 if none is left
}

// setTransitChanged has the homes learn of a change of the run with regard to its starts in transit.
func (g *Guard) setTransitChanged(r *run) {
	g.transitVersion++
	r.transitVersion = g.transitVersion
}

// TransitVersion returns the version of the last change that TransitRuns returns.
func (g *Guard) TransitVersion() uint64 { return g.transitVersion }

// TransitRuns returns the runs of a home that have changed with regard to their starts in transit since a version.
func (g *Guard) TransitRuns(now time.Time, home string, since uint64) (changed []TransitRun) {
	if g.transitVersion <= since {
		return nil
	}
	for _, ref := range g.sortedTasks() {
		if r := g.runs[ref]; r.entry == home && r.transitVersion > since {
			changed = append(changed, TransitRun{Run: r.start.Run, Idle: r.phase == inTransit, Left: max(r.transitUntil.Sub(now), 0)})
		}
	}
	return changed
}
