package table_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"

	"masticbay/clock"
	"masticbay/store"
	"masticbay/table"
)

// faultyStore fails a quarter of the writes before they take effect, and loses
// the answers to a quarter of the others.
type faultyStore struct {
	store.Store
	r *rand.Rand
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64) (uint64, bool, error) {
	if s.r.IntN(4) == 0 {
		return 0, false, errors.Trace(store.ErrUnavailable)
	}
	rev, ok, err := s.Store.CompareAndSwap(ctx, key, value, rev)
	if s.r.IntN(4) == 0 {
		return 0, false, errors.Trace(store.ErrUnavailable)
	}
	return rev, ok, err
}

// editInput is an operation on the register: replace the revision base by a new
// one.
type editInput struct{ base uint64 }

// editOutput is the outcome of an edit; an uncertain edit may have taken effect.
type editOutput struct {
	ok, uncertain bool
	revision      uint64
}

// register models the row's revision as a compare-and-swap register.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		cur, in, out := state.(uint64), input.(editInput), output.(editOutput)
		switch {
		case out.ok:
			return cur == in.base && out.revision > cur, out.revision
		case out.uncertain:
			return true, cur
		}
		return cur != in.base, cur
	},
}

// raceEdits lets three operators edit one row by set, step by step, while answers
// are lost, and returns the history of their edits.
func raceEdits(seed uint64, set func(*table.Editor, table.Edit) (table.Row, error)) []porcupine.Operation {
	r := rand.New(rand.NewPCG(seed, 5))
	clk := &clock.Manual{}
	mem := store.NewMemory(clk)
	n := 0
	ed := &table.Editor{Store: &faultyStore{mem, r}, Clock: clk, NewID: func() string { n++; return fmt.Sprint("edit", n) }}
	var history []porcupine.Operation
	known := make([]uint64, 3)
	for step := range int64(60) {
		operator := r.IntN(len(known))
		if r.IntN(3) == 0 {
			if row, err := ed.Get(context.Background(), table.Team, "laval"); err == nil {
				known[operator] = row.Revision
			}
			continue
		}
		in := editInput{known[operator]}
		row, err := set(ed, table.Edit{Row: table.Row{Kind: table.Team, Name: "laval", Weight: 1, Limit: int(step)}, Base: in.base})
		out := editOutput{ok: err == nil, revision: row.Revision}
		if _, ok := errors.AsType[*table.UncertainError](err); ok {
			out.uncertain = true
		}
		if out.ok {
			known[operator] = row.Revision
		}
		history = append(history, porcupine.Operation{ClientId: operator, Input: in, Call: 2 * step, Output: out, Return: 2*step + 1})
	}
	return history
}

func TestRacingEditsWithLostAnswers(t *testing.T) {
	const histories, minChecked = 500, 100
	checked := 0
	for seed := range uint64(histories) {
		history := raceEdits(seed, func(e *table.Editor, ed table.Edit) (table.Row, error) {
			return e.Set(context.Background(), ed)
		})
		if slices.ContainsFunc(history, func(op porcupine.Operation) bool { return op.Output.(editOutput).uncertain }) {
			continue // the register's state is not determined
		}
		checked++
		if !porcupine.CheckOperations(register, history) {
			t.Fatalf("seed %d: the edits do not behave like a compare-and-swap register", seed)
		}
	}
	if checked < minChecked {
		t.Errorf("only %d of %d histories could be checked", checked, histories)
	}
}

// TestCheckerCatchesBlindRetry checks that the model rejects an editor that takes
// a lost answer for a failure.
func TestCheckerCatchesBlindRetry(t *testing.T) {
	for seed := range uint64(500) {
		history := raceEdits(seed, func(e *table.Editor, ed table.Edit) (table.Row, error) {
			row := ed.Row
			rev, ok, err := e.Store.CompareAndSwap(context.Background(), table.Prefix+row.ID(), []byte(`{"kind":"team","name":"laval"}`), ed.Base)
			row.Revision = rev
			if err == nil && !ok {
				err = errors.New("conflict")
			}
			return row, err
		})
		if !porcupine.CheckOperations(register, history) {
			return
		}
	}
	t.Error("no history was rejected")
}

func TestReplicaNeverGoesBack(t *testing.T) {
	var p table.Replica
	row := func(limit int, rev uint64) table.Row {
		return table.Row{Kind: table.Team, Name: "laval", Limit: limit, Revision: rev}
	}
	p.Apply([]table.Row{row(8, 7)}, 7)
	if p.Apply([]table.Row{row(5, 3)}, 3) {
		t.Error("an older row was applied")
	}
	if got, _ := p.Current().Row(table.Team, "laval"); got.Limit != 8 || p.Current().Revision() != 7 {
		t.Errorf("the replica has %+v at revision %d, want limit 8 at revision 7", got, p.Current().Revision())
	}
}

func TestSpreadsheetKeepsRowsAndFindsChanges(t *testing.T) {
	before := []table.Row{
		{Kind: table.Service, Name: "pickup", Weight: 1, Limit: 100, Revision: 4},
		{Kind: table.Target, Name: "desk1", Weight: 0.5, Drain: true, Revision: 9},
	}
	var text strings.Builder
	if err := table.WriteCSV(&text, before); err != nil {
		t.Fatal(err)
	}
	after, err := table.ReadCSV(strings.NewReader(strings.Replace(text.String(), "100", "50", 1)))
	if err != nil {
		t.Fatal(err)
	}
	edits := table.Diff(before, after)
	if len(edits) != 1 || edits[0].Row.Limit != 50 || edits[0].Base != 4 {
		t.Errorf("edits are %+v, want one of limit 50 based on revision 4", edits)
	}
	for _, bad := range []string{"", "kind,name\n", text.String() + "team,x,much,0,false,\n", text.String() + "team,x,1,-2,false,\n"} {
		if _, err := table.ReadCSV(strings.NewReader(bad)); err == nil {
			t.Errorf("ReadCSV accepted %q", bad)
		}
	}
}

func TestWatchReturnsOnChange(t *testing.T) {
	mem := store.NewMemory(clock.System{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	got := make(chan []store.Item)
	go func() {
		items, _, _ := mem.Watch(ctx, table.Prefix, 0, time.Minute)
		got <- items
	}()
	if _, _, err := mem.CompareAndSwap(ctx, table.Prefix+"team/x", []byte("{}"), 0); err != nil {
		t.Fatal(err)
	}
	if items := <-got; len(items) != 1 {
		t.Errorf("the watch returned %d items, want 1", len(items))
	}
}
