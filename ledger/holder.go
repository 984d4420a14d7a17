package ledger

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"masticbay/store"
)

// SetHolder takes the tenure's key as read from the store, with revision 0 if the key
// does not exist.
func (l *Ledger) SetHolder(it store.Item) (err error) {
	if l.phase >= loading || l.tenureCommit != nil {
		return nil // commits take precedence
	}
	return l.observeHolder(it)
}

// observeHolder takes the tenure's key when this entry does not hold the tenure.
func (l *Ledger) observeHolder(it store.Item) (err error) {
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

// InvalidateVacant discards the knowledge that nobody held the ledger: another entry may hold it now.
func (l *Ledger) InvalidateVacant() {
	if l.phase == vacant && l.tenureCommit == nil {
		l.phase = unread
	}
}

// HolderKnown reports whether the store has shown who holds the ledger.
func (l *Ledger) HolderKnown() bool { return l.phase != unread }

// Vacant reports whether nobody has ever held the ledger.
func (l *Ledger) Vacant() bool { return l.phase == vacant }

// Holder returns the incarnation of the entry that last held the ledger.
func (l *Ledger) Holder() string { return l.tenure.Life }

// Acquire makes the next commit acquire the ledger.
func (l *Ledger) Acquire() {
	if l.phase == vacant || l.phase == foreign {
		l.acquiring = true
	}
}

// Load takes all items under OpenPrefix as read after the acquisition.
func (l *Ledger) Load(items []store.Item) (err error) {
	if l.phase != loading {
		return nil
	}
	l.reset()
	if err := l.decode(items); err != nil {
		return err
	}
	l.phase = held
	return nil
}

// LoadEnded takes all items under EndedPrefix as read after Load.
func (l *Ledger) LoadEnded(items []store.Item) (err error) {
	if l.phase != held || l.endedLoaded {
		return nil
	}
	if err := l.decodeEnded(items); err != nil {
		return err
	}
	slices.SortFunc(l.ended, func(a, b *Job) int { return a.Ended.Compare(b.Ended) })
	l.endedLoaded = true
	return nil
}

// Loading reports whether the items must be read from the store.
func (l *Ledger) Loading() bool { return l.phase == loading }
