package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
)

// Took notes that a commit was carried out under a revision, and returns what lasts
// now.
func (l *Ledger) Took(f *Flight, rev uint64) (facts []Fact) {
	if !l.lands(f) {
		return nil
	}
	l.failing = time.Time{}
	if f.first.After(l.owned) {
		l.owned = f.first
	}
	switch f.kind {
	case plain:
		return l.settle(f)
	case claim:
		l.claims, l.phase = false, loading
	}
	l.rev, l.tenure = rev, f.tenure
	// Commits that were not answered before can not be carried out any more.
	for _, old := range l.lost {
		l.retry(old)
	}
	l.lost = nil
	return f.facts
}

// lands removes a commit from those that are under way, and reports whether it was
// among them.
func (l *Ledger) lands(f *Flight) bool {
	f.sending = false
	if f == l.turn {
		l.turn = nil
		return true
	}
	i := slices.Index(l.flights, f)
	if i < 0 {
		return false
	}
	l.flights = slices.Delete(l.flights, i, i+1)
	return true
}

// settle notes that all of a commit lasts.
func (l *Ledger) settle(f *Flight) []Fact {
	for _, id := range f.jobs {
		delete(l.busy, id)
	}
	for _, j := range f.stored {
		j.stored = true
	}
	for _, j := range f.closed {
		j.closed = true
	}
	for _, a := range f.agents {
		if _, ok := l.agents[a]; ok {
			l.agents[a] = true
		}
	}
	return f.facts
}

// retry puts back what a commit held that was not carried out, or may not have been:
// it says how things are, so that it does no harm if it is said twice.
func (l *Ledger) retry(f *Flight) {
	for _, id := range f.jobs {
		delete(l.busy, id)
		if _, ok := l.changes[id]; !ok {
			l.order = append(l.order, id)
		}
	}
	for _, fact := range f.facts {
		l.changes[fact.Job] = append(l.changes[fact.Job], fact)
	}
	l.roll = l.roll || f.roll
	l.trash = append(l.trash, f.dropped...)
}

// Refused notes that a commit was refused: nothing was done.
func (l *Ledger) Refused(now time.Time, f *Flight) {
	if l.failed(now, f) {
		l.retry(f)
	}
}

// Lost notes that a commit was not answered: it may be carried out yet.
func (l *Ledger) Lost(now time.Time, f *Flight) {
	if l.failed(now, f) {
		l.lost = append(l.lost, f)
	}
}

// failed notes that a commit was not carried out, as far as is known, and reports
// whether it is over; one of the tenure is sent again as it is.
func (l *Ledger) failed(now time.Time, f *Flight) bool {
	if l.failing.IsZero() {
		l.failing = now
	}
	if f.kind != plain {
		f.sending = false
		return false
	}
	return l.lands(f)
}

// Conflict takes the key of the tenure as it is when a commit's condition does not
// hold. Either an earlier sending of a commit of the tenure was carried out, or the
// tenure is another entry's now; then deposed is true if this entry held it, and all
// that was not committed is forgotten.
func (l *Ledger) Conflict(f *Flight, it store.Item) (facts []Fact, deposed bool, err error) {
	if f != l.turn && !slices.Contains(l.flights, f) {
		return nil, false, nil
	}
	var t tenure
	if it.Revision > 0 {
		if err := json.Unmarshal(it.Value, &t); err != nil {
			f.sending = false
			return nil, false, errors.Annotatef(err, "decoding %q", it.Key)
		}
	}
	if f.kind != plain && t == f.tenure {
		return l.Took(f, it.Revision), false, nil
	}
	deposed = l.phase >= loading
	l.forget()
	l.claims = false
	return nil, deposed, l.meet(it)
}
