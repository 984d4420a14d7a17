package table

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Snapshot is an immutable state of the table.
type Snapshot struct {
	revision uint64
	rows     map[string]Row
}

// Revision returns the revision up to which the snapshot has all changes.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Row returns the row of a kind and name, and whether it exists. A removed row
// does not exist, but is returned with its revision.
func (s *Snapshot) Row(kind Kind, name string) (Row, bool) {
	r := Row{Kind: kind, Name: name}
	found, ok := s.rows[r.ID()]
	return found, ok && !found.Removed
}

// Rows returns the rows that are newer than revision since, removed ones
// included, sorted by their identifiers.
func (s *Snapshot) Rows(since uint64) (rows []Row) {
	for _, id := range slices.Sorted(maps.Keys(s.rows)) {
		if r := s.rows[id]; r.Revision > since {
			rows = append(rows, r)
		}
	}
	return rows
}

// OfKind returns the rows of one kind that are not removed.
func (s *Snapshot) OfKind(kind Kind) (rows []Row) {
	for _, r := range s.Rows(0) {
		if r.Kind == kind && !r.Removed {
			rows = append(rows, r)
		}
	}
	return rows
}

// Replica is a process's copy of the table. Readers get consistent snapshots.
// The zero Replica is empty. It is safe for concurrent use.
type Replica struct {
	mu      sync.Mutex // serializes writers
	current atomic.Pointer[Snapshot]
}

// Current returns the latest snapshot.
func (p *Replica) Current() *Snapshot {
	if s := p.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Apply merges rows and reports whether the replica changed. A row replaces only
// an older state of itself. The rows must contain every change up to revision
// that the replica lacks, so that the replica reaches this revision.
func (p *Replica) Apply(rows []Row, revision uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.Current()
	next := &Snapshot{revision: max(old.revision, revision), rows: maps.Clone(old.rows)}
	if next.rows == nil {
		next.rows = make(map[string]Row)
	}
	changed := next.revision > old.revision
	for _, r := range rows {
		if r.Revision > next.rows[r.ID()].Revision {
			next.rows[r.ID()] = r
			changed = true
		}
	}
	if changed {
		p.current.Store(next)
	}
	return changed
}
