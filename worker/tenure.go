package worker

import (
	"slices"
	"time"

	"masticbay/work"
)

// Runs of stored jobs belong to the entry that holds the ledger, whichever placed
// them. Their ends must not be forgotten by the worker before that entry has saved
// them: an end that was forgotten and not saved would let the task run again. An
// end that counts for nothing, since the entry may have given the run up, is
// forgotten only after the lease of the worker has lapsed; by then the run has not
// taken place as far as anybody is concerned.

// Tenure is the right of an entry to have tasks of stored jobs run here.
type Tenure struct {
	Epoch  uint64    // the highest counts; 0 if the entry has no such right
	Vacant bool      // nothing is stored on the site
	Owned  time.Time // agent's own time when the right was known to hold
}

// Own takes an entry's tenure. The first entry of a higher epoch takes over the
// runs of stored jobs and the events that were not saved.
func (g *Guard) Own(now time.Time, entry string, t Tenure) {
	switch {
	case t.Vacant && g.tenure.Epoch == 0:
		g.strange, g.lapsing = false, time.Time{}
		return
	case t.Epoch < g.tenure.Epoch || t.Epoch == 0:
		return
	case t.Epoch == g.tenure.Epoch:
		if t.Owned.After(g.tenure.Owned) {
			g.tenure.Owned = t.Owned
		}
		return
	}
	former := g.owner
	g.tenure, g.owner = t, entry
	if s := g.session(entry); s.heard.Before(now) {
		s.heard = now // its contact begins; it counts on this worker only once it has the answer
	}
	for _, r := range g.runs {
		if r.start.Stored {
			r.entry = entry
		}
	}
	if former == "" || former == entry {
		return
	}
	s := g.session(former)
	var rest []Event
	for _, e := range s.events {
		if e.Stored {
			g.tell(entry, e)
		} else {
			rest = append(rest, e)
		}
	}
	s.events = rest
}

// Epoch returns the epoch of the tenure that the Guard obeys; 0 while the lease
// of the worker has to lapse, as then no task can be taken.
func (g *Guard) Epoch() uint64 {
	if !g.lapsing.IsZero() {
		return 0
	}
	return g.tenure.Epoch
}

// Kept returns the runs of stored jobs.
func (g *Guard) Kept() (kept []work.Run, since []time.Time) {
	for _, ref := range g.refs() {
		if r := g.runs[ref]; r.start.Stored {
			kept, since = append(kept, r.start.Run), append(since, r.sent)
		}
	}
	return kept, since
}

// owns reports whether an entry may have tasks of stored jobs run here.
func (g *Guard) owns(now time.Time, entry string) bool {
	return entry == g.owner && g.lapsing.IsZero() && !g.tenure.Owned.Before(g.since) && now.Sub(g.tenure.Owned) <= g.cfg.Tenure
}

// startle takes the first look of this Guard. What it shows is of an earlier
// incarnation of the agent, and may be of stored jobs. So nothing of it is
// forgotten until the lease of the worker has lapsed, or an entry tells that
// nothing is stored on the site.
func (g *Guard) startle(now time.Time, l *Look) {
	if !g.looked.IsZero() || len(l.Running) == 0 && len(l.Ended) == 0 {
		return
	}
	g.strange = true
	g.until = g.clock + max(g.cfg.LongestLease, g.cfg.Lease)
	g.lapse(now)
}

// lapse lets the lease of the worker lapse.
func (g *Guard) lapse(now time.Time) {
	if g.lapsing.IsZero() {
		g.lapsing = now
	}
}

// voidSilent gives up the runs of stored jobs, and their ends that were not saved,
// when their entry may have given them up.
func (g *Guard) voidSilent(now time.Time) {
	s, ok := g.sessions[g.owner]
	if g.owner == "" || ok && now.Sub(s.heard) <= g.cfg.Handover && now.Sub(g.tenure.Owned) <= g.cfg.Tenure {
		return
	}
	stale := len(g.unsaved) > 0
	for _, ref := range g.refs() {
		if r := g.runs[ref]; r.start.Stored {
			stale = true
			if r.stopped.IsZero() {
				g.stop(now, r)
			}
		}
	}
	if !stale {
		return
	}
	g.lapse(now)
	if ok {
		for i := range s.events {
			s.events[i].void()
		}
	}
}

// void makes an event say that the run lapsed, if it is one of a stored job.
func (e *Event) void() {
	if e.Stored && (e.End == work.Done || e.End == work.Failed) {
		e.End, e.Reason = work.Lapsed, "its end was not saved"
	}
}

// lapsed ends the time in which the lease is not renewed, once it has lapsed.
func (g *Guard) lapsed(now time.Time) {
	if g.lapsing.IsZero() || g.clock == 0 || now.Before(g.lapsedAt()) {
		return
	}
	g.lapsing, g.strange = time.Time{}, false
	g.unsaved = nil
}

// keep notes an end that the worker must not forget yet.
func (g *Guard) keep(number uint64) { g.unsaved = append(g.unsaved, number) }

// saved lets the worker forget an end.
func (g *Guard) saved(number uint64) {
	g.unsaved = slices.DeleteFunc(g.unsaved, func(n uint64) bool { return n == number })
}

// Seen returns the number up to which the worker may forget ends.
func (g *Guard) Seen() uint64 {
	switch {
	case g.strange:
		return 0
	case len(g.unsaved) > 0:
		return slices.Min(g.unsaved) - 1
	}
	return g.seen
}

// Unsaved returns the numbers of the ends that the worker must not forget before
// they are saved.
func (g *Guard) Unsaved() []uint64 { return g.unsaved }

// Holding reports whether the worker lists ends that it must not forget yet. A
// look that waits for an end then returns at once.
func (g *Guard) Holding() bool { return g.strange || len(g.unsaved) > 0 }

// Lapsing reports whether the lease of the worker is not renewed.
func (g *Guard) Lapsing() bool { return !g.lapsing.IsZero() }
