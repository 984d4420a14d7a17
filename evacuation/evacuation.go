// Package evacuation holds which data centres are evacuated, and decides which of two
// sources of that knowledge is newer.
//
// # Model
//
// The operator evacuates a data centre by writing a key into the store. A Set is the state
// of all such keys at a revision of the store. Every process follows it with a Tracker: it
// reads the keys, watches them, and takes sets from other processes, so that a process that
// does not reach the store learns of an evacuation as well. A set with a higher revision
// replaces one with a lower revision, wherever it comes from.
//
// Revisions that other processes send may be out of range. A read of the store corrects
// that: the store has had every revision that was known when the read was sent, so a lower
// one in the answer shows that the known one is invalid.
//
// The package has no I/O, goroutines, clocks or random numbers.
//
// # Usage
//
//	var t evacuation.Tracker
//	t.TakeRead(t.Set().Revision, evacuation.New(rev, names))
//	t.Apply(from, changes, rev)
//	if t.Set().Has("sherbrooke") { ... }
package evacuation

import (
	"hash/fnv"
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Set is the data centres that are evacuated at a revision of the store. It is immutable.
// The zero value is an empty set of no revision.
type Set struct {
	Revision    uint64   // of the store; 0 if it is not known
	DataCentres []string // sorted, each once
}

// New returns the set of some data centres, in any order.
func New(revision uint64, dataCentres []string) Set {
	names := slices.Clone(dataCentres)
	slices.Sort(names)
	return Set{Revision: revision, DataCentres: slices.Compact(names)}
}

// Has reports whether a data centre is evacuated.
func (s Set) Has(dataCentre string) bool {
	_, found := slices.BinarySearch(s.DataCentres, dataCentre)
	return found
}

// The limits of a set, far above those of any installation.
const (
	maxDataCentres = 1024
	maxNameBytes   = 256
)

// ValidName reports whether a name can be that of a data centre.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) &&
		!slices.ContainsFunc([]rune(name), func(r rune) bool { return r == '/' || unicode.IsControl(r) })
}

// Validate checks a set that another process has sent.
func (s Set) Validate() error {
	if len(s.DataCentres) > maxDataCentres {
		return errors.NotValidf("set of %d data centres", len(s.DataCentres))
	}
	for i, name := range s.DataCentres {
		if !ValidName(name) || i > 0 && name <= s.DataCentres[i-1] {
			return errors.NotValidf("data centre %.40q at position %d", name, i)
		}
	}
	return nil
}

// Mark identifies a set in messages that do not carry it.
type Mark struct {
	Revision uint64
	Sum      uint64 // hash of the data centres
}

// Mark returns the mark of s.
func (s Set) Mark() Mark {
	h := fnv.New64a()
	for _, name := range s.DataCentres {
		_, _ = h.Write(append([]byte(name), 0)) // never fails
	}
	return Mark{Revision: s.Revision, Sum: h.Sum64()}
}

// Change is the evacuation of a data centre or its return to service.
type Change struct {
	DataCentre string
	Evacuated  bool
	Revision   uint64 // of the store
}
