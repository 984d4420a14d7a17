package ejection

import (
	"cmp"
	"slices"
	"time"

	"masticbay/work"
)

// Load is what a usable worker of a service has and uses, in the same unit.
type Load struct {
	Worker   string
	Capacity float64
	Used     float64
}

// Change is the ejection of a worker, or one that is put off.
type Change struct {
	Worker  string
	Reason  string
	Score   float64
	Rest    float64 // capacity of the workers that are not ejected
	Load    float64
	Ejected bool // false if the others could not carry the load
}

// The reasons of ejections.
const (
	ReasonFailures = "its runs fail"
	ReasonRestarts = "it restarts again and again"
)

// Review ejects the suspect workers of a service, the worst first, as far as the others
// can carry the load. loads lists all usable workers of the service, also ejected ones.
func (t *Tracker) Review(now time.Time, loads []Load) []Change {
	var suspects []Load
	total, rest, load := 0.0, 0.0, 0.0
	for _, l := range loads {
		total += l.Capacity
		load += l.Used
		w, known := t.workers[l.Worker]
		switch {
		case known && w.ejected:
			continue
		case known && w.isSuspect(now):
			suspects = append(suspects, l)
		}
		rest += l.Capacity
	}
	slices.SortFunc(suspects, func(a, b Load) int {
		return cmp.Or(cmp.Compare(t.workers[b.Worker].score, t.workers[a.Worker].score), cmp.Compare(a.Worker, b.Worker))
	})
	var changes []Change
	for _, l := range suspects {
		w := t.workers[l.Worker]
		c := Change{Worker: l.Worker, Reason: ReasonFailures, Score: w.score, Rest: rest - l.Capacity, Load: load}
		if w.score < threshold {
			c.Reason = ReasonRestarts
		}
		if c.Rest >= (1-maxEjected)*total && (w.score >= overwhelming || fullLoad*c.Rest >= load) {
			c.Ejected = true
			rest = c.Rest
			w.eject(now, c.Reason == ReasonRestarts)
		}
		if c.Ejected || !w.putOff {
			changes = append(changes, c)
		}
		w.putOff = !c.Ejected
	}
	if fullLoad*rest < load || rest < (1-maxEjected)*total {
		t.probeEarly(now, loads)
	}
	return changes
}

// probeEarly lets ejected workers be probed at once whose evidence is not overwhelming, since
// the others do not carry the load.
func (t *Tracker) probeEarly(now time.Time, loads []Load) {
	for _, l := range loads {
		if w, ok := t.workers[l.Worker]; ok && w.ejected && w.score < overwhelming && w.probeAt.After(now) && w.interval <= 2*firstProbeAfter {
			w.probeAt = now
		}
	}
}

func (w *worker) isSuspect(now time.Time) bool {
	return w.score >= threshold || len(w.recentRestarts(now)) >= maxRestarts
}

func (w *worker) eject(now time.Time, flaps bool) {
	if now.Sub(w.changed) > calmTime {
		w.interval = firstProbeAfter
	}
	w.ejected, w.flaps, w.changed = true, flaps, now
	w.probe = work.Run{}
	w.probeAt = now.Add(w.interval)
	if flaps {
		w.probeAt = now.Add(max(w.interval, upTime))
	}
	w.interval = min(2*w.interval, maxProbeAfter)
}

// postpone puts the next probe off after a failed one.
func (w *worker) postpone(now time.Time) {
	w.probe = work.Run{}
	w.probeAt, w.changed = now.Add(w.interval), now
	w.interval = min(2*w.interval, maxProbeAfter)
}

func (w *worker) readmit(now time.Time) {
	w.ejected, w.flaps, w.changed, w.probe, w.restarts = false, false, now, work.Run{}, nil
}

// Ejected reports whether a worker is ejected.
func (t *Tracker) Ejected(name string) bool {
	w, ok := t.workers[name]
	return ok && w.ejected
}

// ProbeDue reports whether an ejected worker may get a run as a probe.
func (t *Tracker) ProbeDue(now time.Time, name string) bool {
	w, ok := t.workers[name]
	return ok && w.ejected && !now.Before(w.probeAt) && (w.probe == work.Run{} || now.Sub(w.probedAt) > probeTimeout)
}

// RetryDue reports whether an ejected worker may get a run that has waited long for another
// worker: a probe is due, or has gone on for retryAfter.
func (t *Tracker) RetryDue(now time.Time, name string) bool {
	w, ok := t.workers[name]
	return ok && w.ejected && !now.Before(w.probeAt) && (w.probe == work.Run{} || now.Sub(w.probedAt) > retryAfter)
}

// Probing records that a run on an ejected worker is its probe.
func (t *Tracker) Probing(now time.Time, name string, r work.Run) {
	if w, ok := t.workers[name]; ok && w.ejected {
		w.probe, w.probedAt = r, now
	}
}

// Unproven records that a run ended without evidence, as it was refused, stopped or lost. If
// it was a probe, another follows.
func (t *Tracker) Unproven(now time.Time, name string, r work.Run) {
	if w, ok := t.workers[name]; ok && w.ejected && w.probe == r {
		w.probe, w.probeAt = work.Run{}, now.Add(firstProbeAfter)
	}
}

// Trusted reports whether a run was done on a worker not long ago, and nothing speaks
// against the worker since.
func (t *Tracker) Trusted(now time.Time, name string) bool {
	w, ok := t.workers[name]
	return ok && !w.ejected && w.score == 0 && !w.lastDone.IsZero() && now.Sub(w.lastDone) <= recentTime
}

// Count returns the number of ejected workers.
func (t *Tracker) Count() (n int) {
	for _, w := range t.workers {
		if w.ejected {
			n++
		}
	}
	return n
}

// HasSuspects reports whether Review has anything to decide.
func (t *Tracker) HasSuspects(now time.Time) bool {
	for _, w := range t.workers {
		if w.ejected || w.isSuspect(now) {
			return true
		}
	}
	return false
}
