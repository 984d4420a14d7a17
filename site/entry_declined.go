package site

import (
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

// decline reports whether this home rejects a job that it does not have, since the other candidate has
// the shorter wait. The caller holds mu.
func (h *home) decline(args *RunArgs) (out work.Outcome, declines bool) {
	j := &args.Job
	if !j.Alternative {
		return out, false
	}
	if !h.isNew(args) || !h.isSlower(args) {
		return out, false
	}
	return work.Outcome{State: work.Rejected, Reason: "the other candidate has a shorter wait", RetryAfter: time.Second}, true
}

// isNew reports whether no home has taken the job of a call before, as far as is known here. The caller
// holds mu.
func (h *home) isNew(args *RunArgs) bool {
	_, former := h.formerJobs[args.Job.ID]
	return !former && args.FirstRun == 0 && args.Home == "" && !h.core.HasHad(args.Job.ID)
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

// delayAt returns how long a new job would wait at another home.
func (e *Entry) delayAt(m roster.Member) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.homeReports[m.Address].delay
}
