package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
)

// Flight is a commit that was sent and whose result is not known.
//
// Several go side by side, each about jobs of its own. One that was not answered may
// still be carried out: then nothing is sent until all others are answered, and a
// commit that only renews the tenure makes sure that it will not. What it held is
// sent again after that.
type Flight struct {
	commit  *store.Commit
	kind    flightKind
	first   time.Time // when it was sent first
	sending bool      // its result has not been told
	tenure  tenure    // that it writes, but for a plain one
	jobs    []string
	facts   []Fact
	stored  []*Job   // whose items it writes first
	closed  []*Job   // whose end it writes
	agents  []string // that it enrolls
	roll    bool     // it writes the agents
	dropped []string // keys of jobs that need not be kept any more
}

// Commit returns what to send.
func (f *Flight) Commit() *store.Commit { return f.commit }

type flightKind int

const (
	plain flightKind = iota // about jobs, on condition that the tenure is as it was
	renew                   // writes the tenure anew
	claim                   // takes the tenure over
)

// Find takes the key of the tenure as the store has it, with revision 0 if it
// does not exist.
func (l *Ledger) Find(it store.Item) (err error) {
	if l.phase >= loading || l.turn != nil {
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
	if l.phase == vacant && l.turn == nil {
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

// Next returns the commit to send now, or nil. Its result has to be told by Took,
// Conflict, Refused or Lost. The time of day tells how long ended jobs are kept.
func (l *Ledger) Next(now, wall time.Time) (f *Flight, err error) {
	defer func() { err = errors.Annotate(err, "making a commit") }()
	switch {
	case l.turn != nil:
		return l.resend(), nil
	case l.claims && l.phase < loading:
		return l.turnOver(now, claim, tenure{Life: l.life, Epoch: l.tenure.Epoch + 1})
	case l.phase != held:
		return nil, nil
	case len(l.lost) > 0 || len(l.flights) == 0 && l.stale(now):
		if len(l.flights) > 0 {
			return nil, nil // their answers come first
		}
		next := l.tenure
		next.Seq++
		return l.turnOver(now, renew, next)
	case len(l.flights) >= l.cfg.Flights || !l.due(now, wall):
		return nil, nil
	}
	f = &Flight{first: now, sending: true, commit: &store.Commit{Guard: TenureKey, Revision: l.rev}}
	if err := l.fill(wall, f); err != nil {
		return nil, err
	}
	if len(f.commit.Writes)+len(f.commit.Deletes) == 0 {
		return l.withoutWrites(now, f)
	}
	l.flights, l.sent = append(l.flights, f), now
	return f, nil
}

// withoutWrites returns a commit for facts of jobs that are not kept any more: that the
// tenure holds is all that they need.
func (l *Ledger) withoutWrites(now time.Time, f *Flight) (*Flight, error) {
	if len(f.facts) == 0 {
		return nil, nil
	}
	if len(l.flights) > 0 {
		l.retry(f)
		return nil, nil
	}
	next := l.tenure
	next.Seq++
	turn, err := l.turnOver(now, renew, next)
	if err == nil {
		turn.facts = f.facts
	}
	return turn, err
}

// resend returns the commit of the tenure again if its result is not awaited.
func (l *Ledger) resend() *Flight {
	if l.turn.sending {
		return nil
	}
	l.turn.sending = true
	return l.turn
}

// turnOver returns a commit that writes the tenure.
func (l *Ledger) turnOver(now time.Time, kind flightKind, t tenure) (*Flight, error) {
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	l.turn = &Flight{
		first: now, sending: true, kind: kind, tenure: t,
		commit: &store.Commit{Guard: TenureKey, Revision: l.rev, Writes: []store.Item{{Key: TenureKey, Value: raw}}},
	}
	l.sent = now
	return l.turn, nil
}

// stale reports whether the tenure has to be renewed while jobs are open.
func (l *Ledger) stale(now time.Time) bool {
	return now.Sub(l.sent) >= l.cfg.Refresh && len(l.order) == 0 && len(l.jobs) > len(l.ended)
}

// Sent returns when the last commit was sent first.
func (l *Ledger) Sent() time.Time { return l.sent }

// Changed reports whether something waits to be committed.
func (l *Ledger) Changed() bool { return len(l.order) > 0 }

// due reports whether something has to be committed.
func (l *Ledger) due(now, wall time.Time) bool {
	switch age := now.Sub(l.sent); {
	case age < l.cfg.Gap:
		return false
	case len(l.order) > 0 || len(l.trash) > 0:
		return true
	case age < l.cfg.Refresh:
		return false
	}
	return l.roll || l.expired(wall)
}

// expired reports whether a job that has ended need not be kept any more.
func (l *Ledger) expired(wall time.Time) bool {
	return l.whole && len(l.ended) > 0 && l.ended[0].closed && wall.Sub(l.ended[0].Ended) > l.cfg.Keep
}

// perJob is the most entries of a commit that one job takes.
const perJob = 3

// fill adds changes to a commit as far as they fit, of jobs that are in no other.
func (l *Ledger) fill(wall time.Time, f *Flight) (err error) {
	room := l.cfg.Entries - 1 // the condition
	if l.roll {
		if err := l.fillAgents(f); err != nil {
			return err
		}
		room--
	}
	var rest []string
	for _, id := range l.order {
		if room < perJob || l.busy[id] {
			rest = append(rest, id)
			continue
		}
		f.jobs, f.facts = append(f.jobs, id), append(f.facts, l.changes[id]...)
		delete(l.changes, id)
		if j, ok := l.jobs[id]; ok {
			before := len(f.commit.Writes) + len(f.commit.Deletes)
			if err := j.fill(f); err != nil {
				return err
			}
			room -= len(f.commit.Writes) + len(f.commit.Deletes) - before
			l.busy[id] = true
		}
	}
	l.order = rest
	for ; room > 0 && l.expired(wall); room-- {
		old := l.ended[0]
		l.ended = l.ended[1:]
		delete(l.jobs, old.ID)
		f.dropped = append(f.dropped, EndedPrefix+old.ID)
	}
	n := min(max(room, 0), len(l.trash))
	f.dropped = append(f.dropped, l.trash[:n]...)
	l.trash = l.trash[n:]
	f.commit.Deletes = append(f.commit.Deletes, f.dropped...)
	return nil
}

// fill adds what has to be written about a job.
func (j *Job) fill(f *Flight) error {
	first, key := !j.stored, jobPrefix+j.ID
	if j.State != "" {
		key = EndedPrefix + j.ID
		f.closed = append(f.closed, j)
		if !first || j.tried {
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
		j.tried = true
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

func (l *Ledger) fillAgents(f *Flight) error {
	all := []string{}
	for a, stored := range l.agents {
		all = append(all, a)
		if !stored {
			f.agents = append(f.agents, a)
		}
	}
	slices.Sort(all)
	l.roll, f.roll = false, true
	raw, err := json.Marshal(all)
	if err != nil {
		return err
	}
	f.commit.Writes = append(f.commit.Writes, store.Item{Key: agentsKey, Value: raw})
	return nil
}

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
	l.fails(now)
	if f.kind != plain {
		f.sending = false
		return
	}
	if l.lands(f) {
		l.retry(f)
	}
}

// Lost notes that a commit was not answered: it may be carried out yet.
func (l *Ledger) Lost(now time.Time, f *Flight) {
	l.fails(now)
	if f.kind != plain {
		f.sending = false
		return
	}
	if l.lands(f) {
		l.lost = append(l.lost, f)
	}
}

func (l *Ledger) fails(now time.Time) {
	if l.failing.IsZero() {
		l.failing = now
	}
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
