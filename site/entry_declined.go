package site

import (
	"maps"
	"slices"
	"time"

	"masticbay/roster"
	"masticbay/work"
)

// A job of a divided site is handed to its first candidate, and to the second one only after the first
// has rejected it. A job that is submitted again so meets the home that has it, whatever the load is.

// declined is what an entry knows of the homes that did not take a job. The zero value is for a job
// that no home was asked to take.
type declined struct {
	lives      []string     // incarnations of the homes that have rejected the job
	last       work.Outcome // the last rejection
	movedSince time.Time    // when a home of a divided site first said that it is not to take the job
}

func (d *declined) add(m roster.Member, rejection work.Outcome) {
	d.lives, d.last, d.movedSince = append(d.lives, m.Life), rejection, time.Time{}
}

func (d *declined) has(m roster.Member) bool { return slices.Contains(d.lives, m.Life) }

// hasOther reports whether a candidate other than m has not rejected the job.
func (d *declined) hasOther(candidates []roster.Member, m roster.Member) bool {
	return slices.ContainsFunc(candidates, func(c roster.Member) bool { return c.Life != m.Life && !d.has(c) })
}

func (d *declined) addMoved(now time.Time) {
	if d.movedSince.IsZero() {
		d.movedSince = now
	}
}

// waitIsOver reports whether the homes that were asked have only answered that they are not to take the
// job, for as long as a job waits for a home.
func (d *declined) waitIsOver(now time.Time, homeLost bool) bool {
	wait := homeWait
	if homeLost {
		wait = lostHomeWait
	}
	return !d.movedSince.IsZero() && now.Sub(d.movedSince) > wait
}

// mayTake reports whether this home, one of a cell, may take a job that it does not have: all
// candidates ranked before it have rejected the job. The view of the sender may differ. The caller holds mu.
func (h *home) mayTake(args *RunArgs) bool {
	homes := h.e.homes()
	if len(homes) <= 1 {
		return true
	}
	for _, m := range roster.Candidates(homes, args.Job.ID) {
		if m.Life == h.e.life {
			return true
		}
		if !slices.Contains(args.Declined, m.Life) {
			return false
		}
	}
	return false
}

// declinedJobs are the jobs that a home has rejected and another candidate got. It is guarded by home.mu.
type declinedJobs struct {
	declinedUntil       map[string]time.Time // until when a job is rejected again, by ID
	declinedForgottenAt time.Time            // when forgetDeclined last did its work
}

// decline reports whether this home rejects a job that it does not have, since the other candidate may
// have it or has the shorter wait. The caller holds mu.
func (h *home) decline(args *RunArgs) (out work.Outcome, declines bool) {
	j := &args.Job
	mayBeElsewhere := h.e.now().Before(h.declinedUntil[j.ID])
	switch {
	case mayBeElsewhere && !j.Alternative && len(h.e.homes()) > 1:
		// The entry does not know the other candidate.
		return work.Outcome{State: work.Unknown, Reason: "another home may have it"}, true
	case !j.Alternative:
		return out, false
	case mayBeElsewhere:
		out.Reason = "the other candidate may have it"
	case h.isNew(args) && h.isSlower(args):
		out.Reason = "the other candidate has a shorter wait"
	default:
		return out, false
	}
	h.rememberDeclined(j)
	out.State, out.RetryAfter = work.Rejected, time.Second
	return out, true
}

// isNew reports whether no home has taken the job of a call before, as far as is known here. The caller
// holds mu.
func (h *home) isNew(args *RunArgs) bool {
	_, former := h.formerJobs[args.Job.ID]
	return !former && args.FirstRun == 0 && args.Home == "" && !h.core.MayHaveRun(args.Job.ID)
}

// handOnDelay is how much shorter the wait at the second candidate must be for the first one to reject
// a job. Reports of the wait are up to a greeting interval old.
const handOnDelay = 30 * time.Millisecond

// isSlower reports whether a new job would wait longer here than at the candidate that gets it next.
// The caller holds mu.
func (h *home) isSlower(args *RunArgs) bool {
	own := h.status.Load().delay
	if own <= handOnDelay {
		return false
	}
	for _, m := range roster.Candidates(h.e.homes(), args.Job.ID) {
		if m.Life != h.e.life && !slices.Contains(args.Declined, m.Life) {
			return h.e.delayAt(m)+handOnDelay < own
		}
	}
	return false
}

// rememberDeclined remembers that this home has rejected a job which another candidate gets, until no run
// of it can be left. The caller holds mu.
func (h *home) rememberDeclined(j *work.Job) {
	if !j.Alternative {
		return
	}
	if h.declinedUntil == nil {
		h.declinedUntil = make(map[string]time.Time)
	}
	if until := h.e.now().Add(j.Left + formerRunsEndAfter); until.After(h.declinedUntil[j.ID]) {
		h.declinedUntil[j.ID] = until
	}
}

// forgetDeclined forgets the rejected jobs of which no run can be left. The caller holds mu.
func (h *home) forgetDeclined(now time.Time) {
	if now.Sub(h.declinedForgottenAt) < forgetDeclinedInterval {
		return
	}
	h.declinedForgottenAt = now
	maps.DeleteFunc(h.declinedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// forgetDeclinedInterval is the time between two passes over the rejected jobs, of which an overloaded
// home may have thousands.
const forgetDeclinedInterval = time.Second

// delayAt returns how long a new job would wait at another home.
func (e *Entry) delayAt(m roster.Member) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.homeReports[m.Address].delay
}
