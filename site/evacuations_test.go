package site

import (
	"bytes"
	"context"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/evacuation"
	"masticbay/platform"
	"masticbay/schedule"
	"masticbay/store"
)

// fakeEvacuations is a store whose replies a test sets.
type fakeEvacuations struct {
	set       evacuation.Set
	malformed []string
	err       error
	reads     int
}

func (f *fakeEvacuations) ReadEvacuated(context.Context) (evacuation.Set, []string, error) {
	f.reads++
	return f.set, f.malformed, f.err
}

func (f *fakeEvacuations) WatchEvacuated(_ context.Context, after uint64, _ time.Duration) ([]evacuation.Change, uint64, []string, error) {
	return nil, after, f.malformed, f.err
}

// newTestEvacuations returns an active evacuations on a fake store, with its log and the sets
// that it has reported.
func newTestEvacuations() (v *evacuations, f *fakeEvacuations, log *bytes.Buffer, sets *[]evacuation.Set) {
	v, f, log, sets = &evacuations{}, &fakeEvacuations{}, &bytes.Buffer{}, &[]evacuation.Set{}
	v.init(&platform.Node{EvacuateTime: 5 * time.Second}, f, zerolog.New(log), time.Now, func(s evacuation.Set) { *sets = append(*sets, s) })
	return v, f, log, sets
}

func (v *evacuations) wantDataCentres(t *testing.T, names ...string) {
	t.Helper()
	if got := v.set().DataCentres; !slices.Equal(got, names) {
		t.Errorf("evacuated %v, want %v", got, names)
	}
}

// TestEvacuationsAreLogged guards against operators who can't see when an evacuation is in
// force, and against a line for each read.
func TestEvacuationsAreLogged(t *testing.T) {
	v, f, log, sets := newTestEvacuations()
	for _, set := range []evacuation.Set{evacuation.New(5, nil), evacuation.New(6, []string{"a"}), evacuation.New(7, []string{"a"}), evacuation.New(8, []string{"b"}), evacuation.New(9, nil)} {
		f.set = set
		if err := v.read(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if n := strings.Count(log.String(), "evacuation in force"); n != 2 {
		t.Errorf("%d lines about evacuations, want 2: %s", n, log)
	}
	if n := strings.Count(log.String(), "data centre taken back"); n != 2 {
		t.Errorf("%d lines about returns to service, want 2: %s", n, log)
	}
	if len(*sets) != 4 {
		t.Errorf("sets reported: %+v, want the first one and three changes", *sets)
	}
}

// TestMalformedEvacuationsAreLoggedOnce guards against malformed keys and messages that change
// the set, or that fill the log.
func TestMalformedEvacuationsAreLoggedOnce(t *testing.T) {
	v, f, log, _ := newTestEvacuations()
	f.set, f.malformed = evacuation.New(5, []string{"a"}), []string{"k/", "k/x/y"}
	for range 3 {
		if err := v.read(t.Context()); err != nil {
			t.Fatal(err)
		}
		v.take(evacuation.Set{Revision: 9, DataCentres: []string{"z", "a"}}, "peer")
	}
	v.wantDataCentres(t, "a")
	if n := strings.Count(log.String(), "ignored"); n != 3 {
		t.Errorf("%d lines about what is malformed, want 3: %s", n, log)
	}
}

// TestEvacuationsOfAnUnknownRevision guards against a malformed message whose revision shuts
// out the operator's later evacuations.
func TestEvacuationsOfAnUnknownRevision(t *testing.T) {
	v, f, log, _ := newTestEvacuations()
	v.take(evacuation.New(math.MaxUint64, []string{"a"}), "peer")
	v.wantDataCentres(t, "a")
	f.set = evacuation.New(7, []string{"b"})
	for range 2 {
		if err := v.read(t.Context()); err != nil {
			t.Fatal(err)
		}
		v.take(evacuation.New(math.MaxUint64, []string{"a"}), "peer")
	}
	v.wantDataCentres(t, "b")
	if !strings.Contains(log.String(), "unknown revision") {
		t.Errorf("not logged: %s", log)
	}
}

// TestLastEvacuationsHoldWithoutTheStore guards against a data centre that is returned to
// service because a read failed, or because an entry sends an older set.
func TestLastEvacuationsHoldWithoutTheStore(t *testing.T) {
	v, f, _, _ := newTestEvacuations()
	v.take(evacuation.New(7, []string{"a"}), "peer")
	f.err = errors.Trace(store.ErrUnavailable)
	if v.read(t.Context()) == nil {
		t.Error("the read did not fail")
	}
	v.take(evacuation.New(6, nil), "peer")
	v.wantDataCentres(t, "a")
	v.take(evacuation.New(8, nil), "peer")
	v.wantDataCentres(t)
}

// TestLostHistoryIsReadAgainSlowly guards against a process that waits for changes without
// their history, and against calls without a pause in that state.
func TestLostHistoryIsReadAgainSlowly(t *testing.T) {
	v, f, _, _ := newTestEvacuations()
	now := time.Unix(1000, 0)
	v.now = func() time.Time { return now }
	f.set = evacuation.New(7, nil)
	if _, err := v.next(t.Context(), time.Second, time.Minute); err != nil {
		t.Fatal(err)
	}
	f.err = errors.Trace(platform.ErrHistoryGone)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, _ = v.next(ctx, time.Second, time.Minute)
	if ctx.Err() == nil {
		t.Errorf("%d reads, the second within the interval", f.reads)
	}
}

// TestInactiveEvacuationsIgnoreMessages guards against changes on platforms that evacuate no
// data centres: nothing is taken, and no field of a message is set.
func TestInactiveEvacuationsIgnoreMessages(t *testing.T) {
	e := testEntry()
	e.evacuations.take(evacuation.New(7, []string{"a"}), "peer")
	if e.evacuations.isNewer(evacuation.Mark{Revision: 9, Sum: 1}) || len(e.evacuations.set().DataCentres) > 0 || e.evacuations.mark() != (evacuation.Mark{}) {
		t.Error("a set was taken, or would be")
	}
}

// TestEvacuatedAgentsAreDealtSeparately guards against a cell that has hardly any worker left
// in service while another has many.
func TestEvacuatedAgentsAreDealtSeparately(t *testing.T) {
	e := testEntry()
	e.evacuations.isActive, e.evacuations.onSet = true, func(evacuation.Set) {}
	e.evacuations.take(evacuation.New(7, []string{"a"}), "peer")
	e.mu.Lock()
	e.agents = make(map[string]agentContact)
	for i, name := range []string{"a0", "a1", "a2", "a3"} {
		e.agents[name] = agentContact{kind: "s/k", dataCentre: []string{"a", "b"}[i%2], lastAnnounced: e.now()}
	}
	kinds := make(map[string]int)
	for _, a := range e.dealtAgents() {
		kinds[a.Kind]++
	}
	e.mu.Unlock()
	if len(kinds) != 2 || kinds["s/k"] != 2 {
		t.Errorf("agents by kind: %v, want 2 of 4 apart", kinds)
	}
}

// TestHomeTakesSetOfAgent guards against a home that does not reach the store and goes on
// placing tasks in a data centre whose agents know that it is evacuated.
func TestHomeTakesSetOfAgent(t *testing.T) {
	e := testEntry()
	e.evacuations.isActive = true
	var got evacuation.Set
	e.evacuations.onSet = func(s evacuation.Set) { got = s }
	h := newHome(e)
	defer h.close()
	if !h.core.PlacementHeld() {
		t.Error("tasks are placed before the evacuated data centres are known")
	}
	rep := &SyncReply{Evacuation: evacuation.New(7, []string{"a"}), Report: schedule.Report{Life: "life-1"}}
	e.evacuations.take(rep.Evacuation, "agent a1")
	if !got.Has("a") {
		t.Errorf("set %+v", got)
	}
}
