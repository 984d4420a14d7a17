package worker

import (
	"maps"
	"slices"
	"time"

	"masticbay/work"
)

// Seal demands that runs of the job that another home has ordered, or that are numbered up to UpTo,
// end, and that none up to UpTo starts. The home that gets a job from a lost one seals it, and numbers
// its own runs higher. It may not know all numbers, as several entries hand a job over.
type Seal struct {
	Job  string
	UpTo int
}

// sealState is the highest seal of a job.
type sealState struct {
	upTo     int
	sealedAt time.Time // last request
}

// sealRequest is a seal that waits for the runs to end.
type sealRequest struct {
	entry string
	seal  Seal
}

// covers reports whether the request waits for the end of a run.
func (q *sealRequest) covers(r work.Run, entry string) bool {
	return r.Task.Job == q.seal.Job && (entry != q.entry || r.Number <= q.seal.UpTo)
}

// Seal seals jobs for an entry. Each seal adds an event that ends as work.Sealed, with the
// job and UpTo as its run, once no run that it covers is left. A run is left until its end
// is proven, and runs that this Guard did not order may be of the job.
func (g *Guard) Seal(now time.Time, entry string, seals []Seal) {
	for _, s := range seals {
		g.seals[s.Job] = sealState{upTo: max(s.UpTo, g.seals[s.Job].upTo), sealedAt: now}
		q := sealRequest{entry: entry, seal: s}
		for _, ref := range g.sortedTasks() {
			if r := g.runs[ref]; q.covers(r.start.Run, r.entry) && r.stopRequestedAt.IsZero() {
				g.stop(now, r, stopSealed)
			}
		}
		g.sealRequests = append(g.sealRequests, q)
	}
	g.answerSeals()
}

// isSealed reports whether a run must not start since its job was sealed.
func (g *Guard) isSealed(r work.Run) bool {
	s, ok := g.seals[r.Task.Job]
	return ok && r.Number <= s.upTo
}

// answerSeals adds the events of the requests that are fulfilled.
func (g *Guard) answerSeals() {
	if len(g.sealRequests) == 0 || !g.settled || !g.settledOnce {
		return
	}
	g.sealRequests = slices.DeleteFunc(g.sealRequests, func(q sealRequest) bool {
		if g.hasRunOf(&q) {
			return false
		}
		g.addEvent(q.entry, Event{Run: work.Run{Task: work.TaskRef{Job: q.seal.Job}, Number: q.seal.UpTo}, End: work.Sealed})
		return true
	})
}

// hasRunOf reports whether a run that a request covers may be active.
func (g *Guard) hasRunOf(q *sealRequest) bool {
	for _, r := range g.runs {
		if q.covers(r.start.Run, r.entry) {
			return true
		}
	}
	return slices.ContainsFunc(g.endedTransits, func(t endedTransit) bool { return q.covers(t.run, t.entry) })
}

// forgetSeals removes the requests of entries that were removed, and seals of which no
// request is left after Config.SealRetention.
func (g *Guard) forgetSeals(now time.Time) {
	pending := make(map[string]bool)
	g.sealRequests = slices.DeleteFunc(g.sealRequests, func(q sealRequest) bool {
		_, ok := g.homes[q.entry]
		pending[q.seal.Job] = pending[q.seal.Job] || ok
		return !ok
	})
	maps.DeleteFunc(g.seals, func(job string, s sealState) bool {
		return now.Sub(s.sealedAt) > g.cfg.SealRetention && !pending[job]
	})
}
