package worker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticbay/work"
)

// maxClockDrift bounds how much slower the worker's clock may run, as a factor.
const maxClockDrift = 1.03

// leaseSlack is added to the time at which a lease is known to have expired.
const leaseSlack = 20 * time.Millisecond

// leaseExpiry returns when every lease that was requested has expired.
func (g *Guard) leaseExpiry() time.Time {
	remaining := time.Duration(float64(g.maxLeaseUntil-g.workerClock) * maxClockDrift)
	return g.clockReadAt.Add(remaining + leaseSlack)
}

// Snapshot is the state of a worker as the answer to a poll shows it.
type Snapshot struct {
	Token       uint64 // of the poll
	Round       uint64 // of the poll; see Guard.PollRound
	Born        int64
	Clock       time.Duration
	Running     map[work.Run]int    // percent of the work done
	Checkpoints map[work.Run]string // of active runs that have one
	Ended       []Ended             // by ascending number
	EndsCut     bool                // later ends are missing from Ended
}

// Ended is an end that the worker lists.
type Ended struct {
	Number     uint64
	Run        work.Run
	End        work.End
	Checkpoint string // checkpoint; empty if there is none
}

// PollAnswered processes the answer to a poll.
func (g *Guard) PollAnswered(now time.Time, snapshot Snapshot) {
	g.initialise(now)
	if !g.takeIncarnation(now, snapshot.Born, snapshot.Clock) {
		return
	}
	g.updateClock(now, snapshot.Clock)
	g.takeFirstSnapshot(now, &snapshot)
	g.outOfContact, g.noListener, g.lastPoll = false, false, now
	g.answeredRound = max(g.answeredRound, snapshot.Round)
	if g.token <= g.bornToken() {
		g.raiseToken()
	}
	if g.ackedToken <= g.bornToken() {
		g.maxLeaseUntil = max(g.maxLeaseUntil, g.workerClock+g.cfg.Lease) // an earlier agent may have requested it
	}
	if g.ackedToken < g.fencedFrom {
		g.expectLongestLease(now)
	}
	g.ackedToken, g.tokenStep = max(g.ackedToken, snapshot.Token), 0
	for _, e := range snapshot.Ended {
		if e.Number <= g.lastEnd {
			continue
		}
		g.lastEnd = e.Number
		if r, ok := g.runs[e.Run.Task]; ok && r.start.Run == e.Run {
			if e.Checkpoint != "" {
				r.checkpoint = e.Checkpoint
			}
			g.finishListed(now, e.Run.Task, e.Number, e.End, "")
		} else {
			g.recordUnknownEnd(now, &snapshot, &e)
		}
	}
	g.reconcile(now, snapshot)
	g.resumeRenewal(now)
	g.updateWithheld(now)
	g.answerSeals()
}

// reconcile compares the runs with those that the worker listed, and stops unknown ones.
func (g *Guard) reconcile(now time.Time, snapshot Snapshot) {
	g.settled = true
	for _, r := range slices.SortedFunc(maps.Keys(snapshot.Running), func(a, b work.Run) int { return cmp.Or(a.Task.Compare(b.Task), a.Number-b.Number) }) {
		known, ok := g.runs[r.Task]
		if !ok || known.start.Run != r {
			g.settled = false
			reason := stopUnknown
			if g.recordUnknown(now, &snapshot, r) == Overtaken {
				reason = stopOvertaken
			}
			g.orders = append(g.orders, Order{Stop: true, Start: work.Start{Run: r}, Token: g.token, Reason: reason})
			continue
		}
		known.listed()
		if g.markListed(known); known.phase == inTransit {
			g.setTransitChanged(known)
		}
		g.updateProgress(now, known, snapshot.Running[r])
		if checkpoint := snapshot.Checkpoints[r]; checkpoint != "" {
			known.checkpoint = checkpoint
		}
		if known.phase == unclear || known.phase == inTransit {
			known.phase = running
		}
		if !known.stopRequestedAt.IsZero() && known.phase != ordered && now.Sub(known.stopRequestedAt) > stopRetryInterval {
			g.stop(now, known, stopRepeated)
		}
	}
	g.settledOnce = g.settledOnce || g.settled && snapshot.Token > g.bornToken()
	g.updateUnsettled(now)
	if snapshot.EndsCut {
		return // a run that is not listed may have ended
	}
	for _, ref := range g.sortedTasks() {
		known := g.runs[ref]
		if _, listed := snapshot.Running[known.start.Run]; !listed && (known.phase == running || known.phase == stopping) {
			g.checkUnlisted(now, known, snapshot.Token)
			continue
		}
		if known.phase == inTransit {
			g.reconcileTransit(now, known, snapshot.Token)
			continue
		}
		if known.phase != unclear || known.token >= snapshot.Token || known.awaitsAnswer {
			continue
		}
		if _, listed := snapshot.Running[known.start.Run]; listed {
			continue
		}
		if known.isTransitPossible(now) && g.mayStartAgain(now, known) {
			g.startAgain(now, known)
			continue
		}
		end, reason := known.endIfUnlisted()
		g.finish(now, ref, end, reason)
	}
}

// The reasons of ends that were concluded from the silence of the worker.
const (
	NoAnswer    = "no answer"              // a start was not answered, and a list under a higher token does not show it
	Unanswering = "worker does not answer" // the leases have expired
)

// endIfUnlisted returns the end of an unclear run that the worker lists neither among its
// runs nor among all of its ends, and the reason.
func (r *run) endIfUnlisted() (end work.End, reason string) {
	if r.workerRestarted {
		return work.Lapsed, "worker started anew"
	}
	return work.Refused, NoAnswer
}

// updateProgress records the progress of a run, and whether it is slow or stalled.
func (g *Guard) updateProgress(now time.Time, r *run, percent int) {
	percent = min(max(percent, 0), 100)
	if percent > r.percent || r.lastProgress.IsZero() {
		r.percent, r.lastProgress = percent, now
	}
	r.slowProjection = 0
	if took := r.projectRunTime(now); r.start.Expected > 0 && float64(took) > SlowFactor*float64(r.start.Expected) {
		r.slowProjection = took
	}
	r.stalled = percent < 100 && now.Sub(r.lastProgress) > max(g.cfg.StallAge, r.start.Estimate/stallDivisor)
}

// projectRunTime returns the shortest run time that is consistent with a run's progress.
func (r *run) projectRunTime(now time.Time) time.Duration {
	elapsed := now.Sub(r.orderedAt) - maxOrderDelay
	return elapsed * 100 / time.Duration(r.percent+1)
}

// maxOrderDelay is the longest time that a healthy worker takes from the order of a
// run to its start, and from an answer to its arrival.
const maxOrderDelay = 5 * time.Millisecond

// SlowFactor is the factor over the expected run time at which a run is reported as
// slow. Estimates are off by 40%, which alone accounts for a lower factor in 99 of
// 100 runs.
const SlowFactor = 2.5

// Projection is the shortest time that a slow run will take.
type Projection struct {
	Run  work.Run
	Took time.Duration // since its order
}

// Slow returns the runs of an entry whose progress shows that they will take far
// longer than the entry expects.
func (g *Guard) Slow(entry string) []Projection {
	var slow []Projection
	for _, ref := range g.sortedTasks() {
		if r := g.runs[ref]; r.entry == entry && r.phase == running && r.slowProjection > 0 {
			slow = append(slow, Projection{Run: r.start.Run, Took: r.slowProjection})
		}
	}
	return slow
}

// stallDivisor sets the part of its estimate that a run may be without progress; one
// more percent is expected after a hundredth of the estimate.
const stallDivisor = 8

// stopRetryInterval is the time after which a stop that did not end a run is sent
// again; a worker takes at most 50 ms to stop a run.
const stopRetryInterval = 100 * time.Millisecond

// PollFailed records that the worker did not answer a poll.
func (g *Guard) PollFailed(now time.Time) {
	g.pollRound++
	g.noListener = false
	g.outOfContact = now.Sub(g.lastPoll) > g.cfg.WorkerContactTimeout
	g.expireRuns(now)
}

// expireRuns ends the runs once their leases have expired without renewal.
func (g *Guard) expireRuns(now time.Time) {
	if len(g.runs) == 0 || g.workerClock == 0 || now.Before(g.leaseExpiry()) {
		return
	}
	for _, ref := range g.sortedTasks() {
		if g.hasEnded(now, g.runs[ref]) {
			g.finish(now, ref, work.Lapsed, Unanswering)
		}
	}
}

// hasEnded reports whether a run has certainly ended, or will never start, once all leases have
// expired.
func (g *Guard) hasEnded(now time.Time, r *run) bool {
	switch r.phase {
	case running, stopping:
		return true
	case unclear, inTransit:
		return g.noOrderInTransit(now, r)
	}
	return false // the answer to its start is awaited
}

// noOrderInTransit reports whether it is too late for the start of a run to take effect. A worker
// that has restarted may carry the start out long after its lease, since its clock has begun
// anew. It does so within Config.OrderDelay of the order, and so it does the last renewal, which
// extends the lease of the run.
func (g *Guard) noOrderInTransit(now time.Time, r *run) bool {
	if g.cfg.OrderDelay == 0 {
		return false // a poll decides
	}
	if r.isTransitPossible(now) {
		return false
	}
	lastOrder := g.renewedAt
	for _, at := range []time.Time{r.sentAt, r.transitUntil.Add(-g.cfg.OrderDelay)} {
		if at.After(lastOrder) {
			lastOrder = at
		}
	}
	longestLease := time.Duration(float64(max(g.cfg.LongestLease, g.cfg.Lease)) * maxClockDrift)
	return now.Sub(lastOrder) > g.cfg.OrderDelay+longestLease+leaseSlack
}

// StalledRuns returns the runs of an entry that are stalled.
func (g *Guard) StalledRuns(entry string) []work.Run {
	var stalled []work.Run
	for _, ref := range g.sortedTasks() {
		r := g.runs[ref]
		if r.entry == entry && r.phase == running && r.stalled {
			stalled = append(stalled, r.start.Run)
		}
	}
	return stalled
}
