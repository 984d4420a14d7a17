package ledger

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"masticbay/store"
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
