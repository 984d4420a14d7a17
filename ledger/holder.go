package ledger

import (
	"encoding/json"
	"slices"
	"time"

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

// observeHolder takes the tenure's key when this entry does not hold the tenure. After an
// error the holder is unknown, as a foreign program has overwritten the key. A key that was
// deleted does not show that nothing is stored.
func (l *Ledger) observeHolder(it store.Item) (err error) {
	l.setRevision(it.Revision)
	l.tenure, l.phase = tenure{}, foreign
	if it.Revision == 0 {
		if l.highestRev == 0 {
			l.phase = vacant
		}
		return nil
	}
	if l.tenure, err = decodeTenure(it); err != nil {
		l.tenure = tenure{}
	}
	return err
}

// decodeTenure decodes the tenure's key.
func decodeTenure(it store.Item) (t tenure, err error) {
	err = json.Unmarshal(it.Value, &t)
	return t, errors.Annotatef(err, "decoding %q", it.Key)
}

// setRevision records the revision of the tenure's key.
func (l *Ledger) setRevision(rev uint64) {
	l.rev, l.highestRev = rev, max(l.highestRev, rev)
}

// nextEpoch returns the epoch of the next tenure. Each acquisition and each renewal raises the
// revision of the tenure's key, so an epoch that is above the revision is above all earlier
// epochs, whatever the key's value is.
func (l *Ledger) nextEpoch() uint64 { return l.highestRev + 1 }

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

// Load takes all items under OpenPrefix as read after the acquisition. It returns why items
// were ignored.
func (l *Ledger) Load(items []store.Item) (ignored []error) {
	if l.phase != loading {
		return nil
	}
	l.reset()
	ignored = l.decode(items)
	l.phase = held
	return ignored
}

// LoadEnded takes all items under EndedPrefix as read after Load. It returns why items were
// ignored.
func (l *Ledger) LoadEnded(wall time.Time, items []store.Item) (ignored []error) {
	if l.phase != held || l.endedLoaded {
		return nil
	}
	ignored = l.addEnded(wall, items)
	slices.SortFunc(l.ended, func(a, b *Job) int { return a.Ended.Compare(b.Ended) })
	l.endedLoaded = true
	return ignored
}

// Loading reports whether the items must be read from the store.
func (l *Ledger) Loading() bool { return l.phase == loading }
