package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"masticbay/clock"
	"masticbay/ledger"
	"masticbay/store"
	"masticbay/work"
)

var cfg = ledger.Config{Keep: time.Minute, Refresh: 700 * time.Millisecond, Gap: 10 * time.Millisecond, Entries: 32, Flights: 4}

// desk plays the store and the duty of one home around a Ledger.
type desk struct {
	t     *testing.T
	st    *store.Memory
	l     *ledger.Ledger
	now   time.Time
	facts []ledger.Fact
}

func newDesk(t *testing.T) *desk {
	return (&desk{t: t, st: store.NewMemory(&clock.Manual{}), now: time.Unix(1000, 0)}).next("e1")
}

// next returns the desk of another home on the same store.
func (d *desk) next(life string) *desk {
	return &desk{t: d.t, st: d.st, l: ledger.New(cfg, life), now: d.now}
}

// hold claims the ledger and reads it.
func (d *desk) hold() {
	d.t.Helper()
	it, err := d.st.Get(d.t.Context(), ledger.TenureKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		d.t.Fatal(err)
	}
	if err := d.l.Find(it); err != nil {
		d.t.Fatal(err)
	}
	d.l.Claim()
	d.commit()
	if err := d.l.Load(d.list(ledger.OpenPrefix)); err != nil || !d.l.Held() || d.l.Whole() {
		d.t.Fatalf("held %t, whole %t: %v", d.l.Held(), d.l.Whole(), err)
	}
	if err := d.l.LoadEnded(d.list(ledger.EndedPrefix)); err != nil || !d.l.Whole() {
		d.t.Fatalf("whole %t: %v", d.l.Whole(), err)
	}
}

func (d *desk) list(prefix string) []store.Item {
	d.t.Helper()
	items, _, err := d.st.List(d.t.Context(), prefix)
	if err != nil {
		d.t.Fatal(err)
	}
	return items
}

// take returns what the ledger wants to commit next.
func (d *desk) take() *ledger.Flight {
	d.t.Helper()
	d.now = d.now.Add(cfg.Gap)
	f, err := d.l.Next(d.now, d.now)
	if err != nil {
		d.t.Fatal(err)
	}
	return f
}

// commit carries out what the ledger wants to commit and reports whether it was
// deposed.
func (d *desk) commit() (deposed bool) {
	d.t.Helper()
	f := d.take()
	return f != nil && d.carryOut(f)
}

// carryOut lets the store carry a commit out, and tells the result.
func (d *desk) carryOut(f *ledger.Flight) (deposed bool) {
	d.t.Helper()
	c := f.Commit()
	if n := 1 + len(c.Writes) + len(c.Deletes); n > cfg.Entries {
		d.t.Fatalf("commit of %d entries", n)
	}
	rev, err := d.st.Commit(c)
	var facts []ledger.Fact
	if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
		if facts, deposed, err = d.l.Conflict(f, conflict.Have); err != nil {
			d.t.Fatal(err)
		}
	} else {
		facts = d.l.Took(f, rev)
	}
	d.facts = append(d.facts, facts...)
	return deposed
}

func (d *desk) accept(id string) {
	d.l.Accept(d.now, &work.Job{ID: id, Steps: []work.Step{{Count: 3}}, Stored: true})
}

func ref(id string, index int) work.TaskRef { return work.TaskRef{Job: id, Index: index} }

func TestNextHolderKnowsJobsAndWhatIsDone(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.accept("a")
	d.accept("b")
	d.l.Enroll("a1")
	d.commit()
	d.l.End(ref("a", 1), work.Done, ledger.Mark{Agent: "a1", Seq: 7})
	d.l.End(ref("a", 2), work.Failed, ledger.Mark{Agent: "a1", Seq: 8})
	d.l.Close(d.now, "b", work.Completed)
	d.commit()

	o := d.next("e2")
	o.hold()
	open := o.l.Open()
	if len(open) != 1 || open[0].ID != "a" || fmt.Sprint(open[0].Done) != "[[1]]" || open[0].Failures[ref("a", 2)] != 1 {
		t.Errorf("open %+v", open)
	}
	if b, ok := o.l.Job("b"); !ok || b.State != work.Completed {
		t.Errorf("b is %+v", b)
	}
	if got := o.l.Enrolled(); len(got) != 1 || got[0] != "a1" {
		t.Errorf("enrolled %v", got)
	}
}

func TestNothingIsStoredBeforeTheStoreAnswered(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.accept("a")
	f := d.take()
	if f == nil || d.l.Stored("a") || len(d.facts) != 0 {
		t.Fatalf("stored %t, facts %v", d.l.Stored("a"), d.facts)
	}
	d.carryOut(f)
	if !d.l.Stored("a") || len(d.facts) != 1 || d.facts[0].Kind != ledger.Accepted {
		t.Errorf("stored %t, facts %v", d.l.Stored("a"), d.facts)
	}
}

// TestUnansweredCommitIsSentAgainUnderANewRevision, whether it was carried out or not.
func TestUnansweredCommitIsSentAgainUnderANewRevision(t *testing.T) {
	for _, done := range []bool{true, false} {
		d := newDesk(t)
		d.hold()
		d.accept("a")
		f := d.take()
		if done {
			if _, err := d.st.Commit(f.Commit()); err != nil {
				t.Fatal(err)
			}
		}
		d.l.Lost(d.now, f)
		d.accept("b")
		d.commit() // renews the tenure
		if d.l.Stored("a") || d.l.Stored("b") {
			t.Fatal("stored before it is known")
		}
		d.commit()
		if !d.l.Stored("a") || !d.l.Stored("b") || len(d.facts) != 2 {
			t.Errorf("carried out %t: facts %v", done, d.facts)
		}
		if _, err := d.st.Commit(f.Commit()); err == nil {
			t.Error("the store may still carry out the unanswered commit")
		}
	}
}

// TestJobThatEndsBeforeItsCreationIsKnownLeavesNoOpenItem: the commit that created it
// may have been carried out.
func TestJobThatEndsBeforeItsCreationIsKnownLeavesNoOpenItem(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.accept("a")
	f := d.take()
	if _, err := d.st.Commit(f.Commit()); err != nil {
		t.Fatal(err)
	}
	d.l.Lost(d.now, f)
	d.l.Close(d.now, "a", work.Cancelled)
	for range 3 {
		d.commit()
	}
	if left := d.list(ledger.OpenPrefix); len(left) != 0 {
		t.Errorf("open items %v", left)
	}
	if len(d.list(ledger.EndedPrefix)) != 1 {
		t.Error("the end is not stored")
	}
}

func TestEndOfARunOfAForgottenJobIsAcknowledged(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.l.End(ref("forgotten", 0), work.Done, ledger.Mark{Agent: "a1", Seq: 7})
	d.commit()
	if len(d.facts) != 1 || d.facts[0].Mark.Seq != 7 {
		t.Errorf("facts %v", d.facts)
	}
}

func TestCommitsSideBySideShareNoJob(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.accept("a")
	first := d.take()
	d.l.Close(d.now, "a", work.Cancelled)
	d.accept("b")
	second := d.take()
	if second == nil || len(second.Commit().Writes) != 1 {
		t.Fatalf("second commit %+v", second)
	}
	d.carryOut(second)
	if !d.l.Stored("b") || d.l.Stored("a") {
		t.Error("the second commit was not taken by itself")
	}
	d.carryOut(first)
	d.commit()
	if d.l.Pending("a") {
		t.Error("the end of a was not committed after its creation")
	}
}

func TestRefusedCommitIsSentAgain(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.accept("a")
	d.l.Refused(d.now, d.take())
	d.commit()
	if !d.l.Stored("a") || d.l.Stalled(d.now) != 0 {
		t.Errorf("stored %t, stalled %v", d.l.Stored("a"), d.l.Stalled(d.now))
	}
}

func TestFormerHolderIsDeposed(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.accept("a")
	d.commit()
	d.l.Close(d.now, "a", work.Completed)
	stale := d.take() // on its way while another entry takes the ledger
	o := d.next("e2")
	o.hold()
	if deposed := d.carryOut(stale); !deposed || d.l.Epoch() != 0 {
		t.Errorf("deposed %t, epoch %d", deposed, d.l.Epoch())
	}
	if len(o.l.Open()) != 1 || o.l.Epoch() != 2 {
		t.Errorf("open %d, epoch %d", len(o.l.Open()), o.l.Epoch())
	}
	if len(d.facts) != 1 {
		t.Errorf("facts %v: the end was not stored", d.facts)
	}
}

func TestClaimThatLostItsAnswerHolds(t *testing.T) {
	d := newDesk(t)
	if err := d.l.Find(store.Item{}); err != nil {
		t.Fatal(err)
	}
	d.l.Claim()
	f := d.take()
	if _, err := d.st.Commit(f.Commit()); err != nil {
		t.Fatal(err)
	}
	d.l.Lost(d.now, f)
	d.commit()
	if d.l.Epoch() != 1 || !d.l.Loading() {
		t.Errorf("epoch %d, loading %t", d.l.Epoch(), d.l.Loading())
	}
}

func TestManyChangesFitIntoCommits(t *testing.T) {
	d := newDesk(t)
	d.hold()
	for i := range 100 {
		d.accept(fmt.Sprint("job", i))
	}
	for range 10 {
		d.commit()
	}
	if len(d.facts) != 100 {
		t.Errorf("%d of 100 jobs stored after ten commits", len(d.facts))
	}
}

func TestEndedJobsAreForgottenInTime(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.accept("a")
	d.commit()
	d.l.Close(d.now, "a", work.Completed)
	d.commit()
	d.now = d.now.Add(cfg.Keep - time.Second)
	d.commit()
	if _, ok := d.l.Job("a"); !ok {
		t.Error("forgotten too early")
	}
	d.now = d.now.Add(2 * time.Second)
	d.commit()
	if _, ok := d.l.Job("a"); ok {
		t.Error("kept in memory")
	}
	if left := append(d.list(ledger.OpenPrefix), d.list(ledger.EndedPrefix)...); len(left) > 0 {
		t.Errorf("kept in the store: %v", left)
	}
}

func TestDismissedAgentIsNotAsked(t *testing.T) {
	d := newDesk(t)
	d.hold()
	d.l.Enroll("a1")
	d.l.Enroll("a2")
	d.now = d.now.Add(cfg.Refresh)
	d.commit()
	d.l.Dismiss("a1")
	d.now = d.now.Add(cfg.Refresh)
	d.commit()
	o := d.next("e2")
	o.hold()
	if got := o.l.Enrolled(); len(got) != 1 || got[0] != "a2" {
		t.Errorf("enrolled %v", got)
	}
}
