package worker

import (
	"time"

	"masticbay/work"
)

// This file notices runs that a worker has lost without a word, before their leases expire:
// when it leaves, when nothing listens at its address, and when it lists a run neither as
// running nor as ended although it has accepted the start. As after a start without an
// answer, a list under a token that is higher than that of every earlier order is final.

// Unlisted is the reason of a run that was lost although the worker had accepted its start.
const Unlisted = "not listed by the worker"

// NotSent is the reason of a start that could not be sent to the worker, so that it will
// certainly not be carried out.
const NotSent = "not sent"

// leftWorker is the reason of a run that was lost as the worker has left.
const leftWorker = "worker has left"

// unlistedPolls is the number of consecutive polls without a started run after which a list
// under a higher token is awaited. The answer to one may have crossed that to the start, and
// two polls wait at the worker.
const unlistedPolls = 3

// Leave records that the worker has announced its end. The next poll shows which runs are
// left, if the worker answers it.
func (g *Guard) Leave() {
	g.leaving = true
	if len(g.runs) == 0 {
		return
	}
	g.raiseToken()
	for _, r := range g.runs {
		if r.phase != inTransit {
			r.fence = g.token
		}
	}
}

// PollRefused records that nothing listens at the worker's address. The worker gets no task
// from now on. Its runs have not certainly ended, so they lapse with their leases.
func (g *Guard) PollRefused(now time.Time) {
	g.PollFailed(now)
	g.outOfContact, g.noListener = true, true
}

// LeavesIn returns the least time until a draining worker is removed, if it is known.
func (g *Guard) LeavesIn(now time.Time) (left time.Duration, known bool) {
	if !g.target.Draining || g.leavesAt.IsZero() {
		return 0, false
	}
	return max(g.leavesAt.Sub(now), 0), true
}

// listed records that a run was listed as running.
func (r *run) listed() { r.unlisted, r.fence = 0, 0 }

// checkUnlisted processes that a worker has listed neither the run nor its end.
func (g *Guard) checkUnlisted(now time.Time, r *run, acked uint64) {
	if r.fence > 0 && acked >= r.fence {
		reason := Unlisted
		if g.leaving {
			reason = leftWorker
		}
		g.finish(now, r.start.Run.Task, work.Lapsed, reason)
		return
	}
	if r.unlisted++; r.unlisted == unlistedPolls && r.fence == 0 {
		g.raiseToken()
		r.fence = g.token
	}
}
