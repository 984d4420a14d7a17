package evacuation_test

import (
	"math"
	"slices"
	"strings"
	"testing"

	"masticbay/evacuation"
)

func wantSet(t *testing.T, tr *evacuation.Tracker, revision uint64, names ...string) {
	t.Helper()
	if s := tr.Set(); s.Revision != revision || !slices.Equal(s.DataCentres, names) {
		t.Errorf("set %v at revision %d, want %v at %d", s.DataCentres, s.Revision, names, revision)
	}
}

func evacuated(rev uint64, name string) evacuation.Change {
	return evacuation.Change{DataCentre: name, Evacuated: true, Revision: rev}
}

func takenBack(rev uint64, name string) evacuation.Change {
	return evacuation.Change{DataCentre: name, Revision: rev}
}

// TestNewerSetReplacesOlder guards against a data centre that is returned to service, or
// evacuated again, because an old set arrives late from another process.
func TestNewerSetReplacesOlder(t *testing.T) {
	var tr evacuation.Tracker
	if !tr.Take(evacuation.New(10, []string{"b", "a", "a"})) {
		t.Error("first set not taken")
	}
	wantSet(t, &tr, 10, "a", "b")
	if tr.Take(evacuation.New(9, nil)) || tr.Take(evacuation.New(10, nil)) || tr.Take(evacuation.Set{}) {
		t.Error("an old set or one without a revision was taken")
	}
	wantSet(t, &tr, 10, "a", "b")
	if !tr.Take(evacuation.New(11, []string{"b"})) {
		t.Error("newer set not taken")
	}
	wantSet(t, &tr, 11, "b")
}

// TestWatchAppliesChangesInOrder guards against a data centre that stays in service because
// the events of its return and its evacuation are applied in the wrong order or twice.
func TestWatchAppliesChangesInOrder(t *testing.T) {
	var tr evacuation.Tracker
	tr.TakeRead(0, evacuation.New(10, []string{"a"}))
	if !tr.Apply(10, 10, 20, []evacuation.Change{evacuated(14, "b"), takenBack(12, "b"), takenBack(13, "a"), evacuated(25, "c")}) {
		t.Error("no change")
	}
	wantSet(t, &tr, 20, "b") // a change after the revision of the reply is not valid
	tr.Take(evacuation.New(30, []string{"c"}))
	if tr.Apply(20, 20, 25, []evacuation.Change{takenBack(22, "b")}) {
		t.Error("a change that the set holds already was applied")
	}
	wantSet(t, &tr, 30, "c")
	if got := tr.ContinueFrom(); got != 25 {
		t.Errorf("watch continues from %d, want 25", got)
	}
	tr.Apply(30, 25, 40, []evacuation.Change{evacuated(28, "b"), evacuated(33, "d")})
	wantSet(t, &tr, 40, "c", "d")
}

// TestGapInHistoryLeadsToARead guards against a set that lacks the changes between it and
// those that a watch returns.
func TestGapInHistoryLeadsToARead(t *testing.T) {
	var tr evacuation.Tracker
	if tr.Apply(0, 5, 9, []evacuation.Change{evacuated(7, "a")}) || tr.ContinueFrom() != 0 {
		t.Error("changes applied to no set")
	}
	tr.TakeRead(0, evacuation.New(10, nil))
	if tr.Apply(10, 15, 20, []evacuation.Change{evacuated(17, "a")}) || tr.ContinueFrom() != 0 {
		t.Errorf("changes applied across a gap; watch continues from %d", tr.ContinueFrom())
	}
	wantSet(t, &tr, 10)
}

// TestWatchThatMissesChangesLeadsToARead guards against a watch that the store has cut off
// from its history, and that goes on without events.
func TestWatchThatMissesChangesLeadsToARead(t *testing.T) {
	var tr evacuation.Tracker
	tr.TakeRead(0, evacuation.New(10, nil))
	tr.Take(evacuation.New(15, []string{"a"}))
	tr.Apply(10, 10, 12, nil) // the set arrived while the watch waited
	if got := tr.ContinueFrom(); got != 12 {
		t.Errorf("watch continues from %d, want 12", got)
	}
	tr.Apply(15, 12, 12, nil)
	if got := tr.ContinueFrom(); got != 0 {
		t.Errorf("watch continues from %d, want a read", got)
	}
	wantSet(t, &tr, 15, "a")
}

// TestLateReadDoesNotReplaceNewerSet guards against an evacuation that is undone by a read
// that was sent before it and answered after it.
func TestLateReadDoesNotReplaceNewerSet(t *testing.T) {
	var tr evacuation.Tracker
	tr.TakeRead(0, evacuation.New(10, nil))
	tr.Take(evacuation.New(12, []string{"a"}))
	if tr.TakeRead(10, evacuation.New(11, nil)) {
		t.Error("an old read was taken")
	}
	wantSet(t, &tr, 12, "a")
}

// TestRevisionOutOfRangeIsCorrected guards against a malformed message that shuts out all
// later sets, and against processes that give its revision to one another for ever.
func TestRevisionOutOfRangeIsCorrected(t *testing.T) {
	var tr evacuation.Tracker
	tr.TakeRead(0, evacuation.New(10, nil))
	tr.Take(evacuation.New(math.MaxUint64, []string{"a"}))
	if !tr.TakeRead(math.MaxUint64, evacuation.New(11, nil)) {
		t.Error("the store's set was not taken")
	}
	wantSet(t, &tr, 11)
	if tr.Take(evacuation.New(math.MaxUint64, []string{"a"})) || tr.TakeMark(evacuation.Mark{Revision: math.MaxUint64, Sum: 1}) {
		t.Error("the same malformed set was taken again")
	}
	tr.Take(evacuation.New(12, []string{"b"}))
	wantSet(t, &tr, 12, "b")
	tr.Take(evacuation.New(20, []string{"c"}))
	tr.TakeRead(20, evacuation.New(15, nil)) // 20 is out of range for now
	tr.TakeRead(15, evacuation.New(20, nil)) // the store reaches it
	tr.Take(evacuation.New(21, []string{"d"}))
	wantSet(t, &tr, 21, "d")
}

// TestEqualSetsAreNotFetched guards against a call between processes for each write of the
// store, most of which don't concern data centres.
func TestEqualSetsAreNotFetched(t *testing.T) {
	var tr evacuation.Tracker
	if !tr.TakeMark(evacuation.New(5, nil).Mark()) {
		t.Error("a process that knows no set does not fetch one")
	}
	tr.TakeRead(0, evacuation.New(10, []string{"a"}))
	if tr.TakeMark(evacuation.New(12, []string{"a"}).Mark()) {
		t.Error("an equal set is fetched")
	}
	wantSet(t, &tr, 12, "a")
	if tr.TakeMark(evacuation.New(11, nil).Mark()) || !tr.TakeMark(evacuation.New(13, nil).Mark()) {
		t.Error("want a set fetched only if it is newer and differs")
	}
}

// TestMalformedSetIsInvalid guards against a message that lists what is no data centre.
func TestMalformedSetIsInvalid(t *testing.T) {
	for name, s := range map[string]evacuation.Set{
		"unsorted": {Revision: 1, DataCentres: []string{"b", "a"}},
		"twice":    {Revision: 1, DataCentres: []string{"a", "a"}},
		"empty":    {Revision: 1, DataCentres: []string{""}},
		"control":  {Revision: 1, DataCentres: []string{"a\x00"}},
		"long":     {Revision: 1, DataCentres: []string{strings.Repeat("a", 1000)}},
		"too many": {Revision: 1, DataCentres: make([]string, 5000)},
	} {
		if s.Validate() == nil {
			t.Errorf("%s: valid", name)
		}
	}
	if err := evacuation.New(1, []string{"a", "b-2"}).Validate(); err != nil {
		t.Error(err)
	}
}
