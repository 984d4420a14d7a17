package evacuation

import (
	"cmp"
	"slices"
)

// Tracker is the newest set that a process has. The zero value has none. Its methods that
// take a set report whether the data centres changed.
type Tracker struct {
	set   Set
	known bool // a set was taken
	// continueFrom is the store's revision up to which its changes are in the set.
	continueFrom uint64
	// invalidFrom is the lowest revision that was sent by another process and that the
	// store had not reached. Sets of other processes from it on are ignored until the
	// store has reached it.
	invalidFrom uint64
}

// Set returns the newest set; an empty one while none is known.
func (t *Tracker) Set() Set { return t.set }

// Known reports whether a set was read or taken from another process.
func (t *Tracker) Known() bool { return t.known }

// ContinueFrom returns the revision after which the store has to be watched, or 0 if it
// has to be read first.
func (t *Tracker) ContinueFrom() uint64 { return t.continueFrom }

// Take takes the set of another process if it is newer.
func (t *Tracker) Take(s Set) (changed bool) {
	if !t.isNewer(s.Revision) {
		return false
	}
	return t.replace(s)
}

// isNewer reports whether a set of another process with this revision replaces the present one.
func (t *Tracker) isNewer(revision uint64) bool {
	return revision > 0 && (!t.known || revision > t.set.Revision) && (t.invalidFrom == 0 || revision < t.invalidFrom)
}

// TakeMark processes the mark of another process's set, and reports whether that set is
// newer and has to be fetched. If it has the same data centres, only the revision rises.
func (t *Tracker) TakeMark(m Mark) (fetch bool) {
	if !t.isNewer(m.Revision) {
		return false
	}
	if t.known && t.set.Mark().Sum == m.Sum {
		t.set.Revision = m.Revision
		return false
	}
	return true
}

// TakeRead takes a set that was read from the store. The revision of the present set was
// sentAt when the read was sent. A set that arrived meanwhile is kept if it is newer.
func (t *Tracker) TakeRead(sentAt uint64, s Set) (changed bool) {
	if t.known && s.Revision < t.set.Revision {
		if t.set.Revision > sentAt {
			return false
		}
		t.invalidFrom = t.set.Revision
	}
	t.storeReached(s.Revision)
	t.continueFrom = s.Revision
	return t.replace(s)
}

// storeReached records a revision of the store.
func (t *Tracker) storeReached(revision uint64) {
	if revision >= t.invalidFrom {
		t.invalidFrom = 0
	}
}

// Apply takes all changes from revision from, exclusive, to revision to, which a watch has
// returned. If changes between the present set and from are missing, or the store has not
// reached the revision of the present set, which was sentAt when the watch was sent, the
// store has to be read again.
func (t *Tracker) Apply(sentAt, from, to uint64, changes []Change) (changed bool) {
	if !t.known || t.set.Revision < from || to < from {
		t.continueFrom = 0
		return false
	}
	if to < t.set.Revision {
		if t.continueFrom = to; t.set.Revision <= sentAt {
			t.continueFrom = 0 // the watch has missed changes, or the revision is invalid
		}
		return false
	}
	t.storeReached(to)
	t.continueFrom = max(t.continueFrom, to)
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	names := slices.Clone(t.set.DataCentres)
	for _, c := range changes {
		if c.Revision <= t.set.Revision || c.Revision > to {
			continue
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == c.DataCentre })
		if c.Evacuated {
			names = append(names, c.DataCentre)
		}
	}
	return t.replace(New(to, names))
}

// replace replaces the set and reports whether the data centres changed.
func (t *Tracker) replace(s Set) (changed bool) {
	changed = !slices.Equal(s.DataCentres, t.set.DataCentres)
	t.set, t.known = s, true
	return changed
}
