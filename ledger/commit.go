package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
)

// flight is a commit whose result is not known. It is sent again unchanged
// until it is.
type flight struct {
	commit *store.Commit
	first  time.Time // when it was sent first
	tenure tenure
	claim  bool
	facts  []Fact
	stored []*Job // whose items it writes first
	closed []*Job // whose end it writes
	agents []string
}

// Find takes the key of the tenure as the store has it, with revision 0 if it
// does not exist.
func (l *Ledger) Find(it store.Item) (err error) {
	if l.phase >= loading || l.flight != nil {
		return nil // commits tell
	}
	return l.meet(it)
}

// meet takes the key of a tenure that is not this entry's.
func (l *Ledger) meet(it store.Item) (err error) {
	l.rev, l.tenure = it.Revision, tenure{}
	l.phase = vacant
	if it.Revision == 0 {
		return nil
	}
	l.phase = foreign
	if err := json.Unmarshal(it.Value, &l.tenure); err != nil {
		return errors.Annotatef(err, "decoding %q", it.Key)
	}
	return nil
}

// Doubt forgets that nobody held the ledger: meanwhile another entry may.
func (l *Ledger) Doubt() {
	if l.phase == vacant && l.flight == nil {
		l.phase = unread
	}
}

// Known reports whether the store has told who holds the ledger.
func (l *Ledger) Known() bool { return l.phase != unread }

// Vacant reports whether nobody ever held the ledger.
func (l *Ledger) Vacant() bool { return l.phase == vacant }

// Holder returns the incarnation of the entry that held the ledger last.
func (l *Ledger) Holder() string { return l.tenure.Life }

// Claim makes the next commit take the ledger over.
func (l *Ledger) Claim() {
	if l.phase == vacant || l.phase == foreign {
		l.claims = true
	}
}

// Load takes all items under OpenPrefix as they were read after the claim.
func (l *Ledger) Load(items []store.Item) (err error) {
	if l.phase != loading {
		return nil
	}
	l.forget()
	if err := l.decode(items); err != nil {
		return err
	}
	l.phase = held
	return nil
}

// LoadEnded takes all items under EndedPrefix as they were read after Load.
func (l *Ledger) LoadEnded(items []store.Item) (err error) {
	if l.phase != held || l.whole {
		return nil
	}
	if err := l.decodeEnded(items); err != nil {
		return err
	}
	slices.SortFunc(l.ended, func(a, b *Job) int { return a.Ended.Compare(b.Ended) })
	l.whole = true
	return nil
}

// Loading reports whether the items have to be read.
func (l *Ledger) Loading() bool { return l.phase == loading }

// Next returns the commit to send now, or nil. Its result has to be told by
// Took or Conflict, unless it is not known; then the next call returns the same
// commit. The time of day tells how long ended jobs are kept.
func (l *Ledger) Next(now, wall time.Time) (c *store.Commit, err error) {
	defer func() { err = errors.Annotate(err, "making a commit") }()
	if l.flight != nil {
		return l.flight.commit, nil
	}
	next := &flight{first: now, commit: &store.Commit{Guard: TenureKey, Revision: l.rev}}
	switch {
	case l.claims && l.phase < loading:
		next.claim = true
		next.tenure = tenure{Life: l.life, Epoch: l.tenure.Epoch + 1}
	case l.phase != held:
		return nil, nil
	case !l.due(now, wall):
		return nil, nil
	default:
		next.tenure = l.tenure
		next.tenure.Seq++
	}
	raw, err := json.Marshal(next.tenure)
	if err != nil {
		return nil, err
	}
	next.commit.Writes = append(next.commit.Writes, store.Item{Key: TenureKey, Value: raw})
	if !next.claim {
		if err := l.fill(wall, next); err != nil {
			return nil, err
		}
	}
	l.flight, l.sent = next, now
	return next.commit, nil
}

// Sent returns when the last commit was sent first.
func (l *Ledger) Sent() time.Time { return l.sent }

// Changed reports whether something waits to be committed.
func (l *Ledger) Changed() bool { return len(l.order) > 0 }

// due reports whether something has to be committed.
func (l *Ledger) due(now, wall time.Time) bool {
	age := now.Sub(l.sent)
	switch {
	case age < l.cfg.Gap:
		return false
	case len(l.order) > 0:
		return true
	case age < l.cfg.Refresh:
		return false
	}
	return l.roll || len(l.jobs) > len(l.ended) || l.expired(wall)
}

// expired reports whether a job that has ended need not be kept any more.
func (l *Ledger) expired(wall time.Time) bool {
	return l.whole && len(l.ended) > 0 && l.ended[0].closed && wall.Sub(l.ended[0].Ended) > l.cfg.Keep
}

// perJob is the most entries of a commit that one job takes.
const perJob = 3

// fill adds changes to a commit as far as they fit.
func (l *Ledger) fill(wall time.Time, f *flight) (err error) {
	room := l.cfg.Entries - 2 // the condition and the key of the tenure
	if l.roll {
		if err := l.fillAgents(f); err != nil {
			return err
		}
		room--
	}
	n := 0
	for ; n < len(l.order) && room >= perJob; n++ {
		id := l.order[n]
		f.facts = append(f.facts, l.changes[id]...)
		delete(l.changes, id)
		if j, ok := l.jobs[id]; ok {
			before := len(f.commit.Writes) + len(f.commit.Deletes)
			if err := j.fill(f); err != nil {
				return err
			}
			room -= len(f.commit.Writes) + len(f.commit.Deletes) - before
		}
	}
	l.order = slices.Delete(l.order, 0, n)
	for ; room > 0 && l.expired(wall); room-- {
		old := l.ended[0]
		l.ended = l.ended[1:]
		delete(l.jobs, old.ID)
		f.commit.Deletes = append(f.commit.Deletes, EndedPrefix+old.ID)
	}
	return nil
}

// fill adds what has to be written about a job.
func (j *Job) fill(f *flight) error {
	first, key := !j.stored, jobPrefix+j.ID
	if j.State != "" {
		key = EndedPrefix + j.ID
		f.closed = append(f.closed, j)
		if !first {
			f.commit.Deletes = append(f.commit.Deletes, jobPrefix+j.ID)
		}
	}
	if first || j.State != "" {
		raw, err := j.encode()
		if err != nil {
			return err
		}
		f.commit.Writes = append(f.commit.Writes, store.Item{Key: key, Value: raw})
	}
	if first {
		f.stored = append(f.stored, j)
	}
	switch {
	case j.State != "" && j.progress:
		j.progress = false
		f.commit.Deletes = append(f.commit.Deletes, progressPrefix+j.ID)
	case j.State == "" && !first:
		raw, err := j.encodeProgress()
		if err != nil {
			return err
		}
		j.progress = true
		f.commit.Writes = append(f.commit.Writes, store.Item{Key: progressPrefix + j.ID, Value: raw})
	}
	return nil
}

func (l *Ledger) fillAgents(f *flight) error {
	all := []string{}
	for a, stored := range l.agents {
		all = append(all, a)
		if !stored {
			f.agents = append(f.agents, a)
		}
	}
	slices.Sort(all)
	l.roll = false
	raw, err := json.Marshal(all)
	if err != nil {
		return err
	}
	f.commit.Writes = append(f.commit.Writes, store.Item{Key: agentsKey, Value: raw})
	return nil
}

// Took notes that the commit was carried out under a revision, and returns what
// lasts now.
func (l *Ledger) Took(rev uint64) (facts []Fact) {
	f := l.flight
	if f == nil {
		return nil
	}
	l.flight = nil
	l.rev, l.tenure = rev, f.tenure
	// It may be this late sending that was carried out, or an earlier one; the
	// tenure held at least until the earliest.
	l.owned = f.first
	if f.claim {
		l.claims, l.phase = false, loading
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

// Conflict takes the key of the tenure as it is when a commit's condition does
// not hold. Either an earlier sending of the commit was carried out, or the
// tenure is another entry's now; then deposed is true if this entry held it, and
// all that was not committed is forgotten.
func (l *Ledger) Conflict(it store.Item) (facts []Fact, deposed bool, err error) {
	f := l.flight
	if f == nil {
		return nil, false, nil
	}
	var t tenure
	if it.Revision > 0 {
		if err := json.Unmarshal(it.Value, &t); err != nil {
			return nil, false, errors.Annotatef(err, "decoding %q", it.Key)
		}
	}
	if t == f.tenure {
		return l.Took(it.Revision), false, nil
	}
	deposed = l.phase >= loading
	l.forget()
	l.claims = false
	return nil, deposed, l.meet(it)
}
