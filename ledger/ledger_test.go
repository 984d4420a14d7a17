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

var cfg = ledger.Config{EndedRetention: time.Minute, RenewalInterval: 700 * time.Millisecond, CommitInterval: 10 * time.Millisecond, MaxCommitEntries: 32, MaxInFlight: 4}

// driver simulates the store and the commit loop of one home around a Ledger. The home
// is the coordinator that places the tasks of a site.
type driver struct {
	t       *testing.T
	st      *store.Memory
	l       *ledger.Ledger
	now     time.Time
	changes []ledger.Change
	// toleratesMalformed is set if items may be ignored.
	toleratesMalformed bool
}

func newDriver(t *testing.T) *driver {
	return (&driver{t: t, st: store.NewMemory(&clock.Manual{}), now: time.Unix(1000, 0)}).nextHome("e1")
}

// nextHome returns the driver of another home on the same store.
func (d *driver) nextHome(life string) *driver {
	return &driver{t: d.t, st: d.st, l: ledger.New(cfg, life), now: d.now}
}

// acquire acquires the ledger and reads it.
func (d *driver) acquire() {
	d.t.Helper()
	it, err := d.st.Get(d.t.Context(), ledger.TenureKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		d.t.Fatal(err)
	}
	if err := d.l.SetHolder(it); err != nil && !d.toleratesMalformed {
		d.t.Fatal(err)
	}
	d.l.Acquire()
	d.commit()
	if ignored := d.l.Load(d.list(ledger.OpenPrefix)); ignored != nil && !d.toleratesMalformed || !d.l.Held() || d.l.EndedLoaded() {
		d.t.Fatalf("held %t, ended jobs loaded %t: %v", d.l.Held(), d.l.EndedLoaded(), ignored)
	}
	if ignored := d.l.LoadEnded(d.now, d.list(ledger.EndedPrefix)); ignored != nil && !d.toleratesMalformed || !d.l.EndedLoaded() {
		d.t.Fatalf("ended jobs loaded %t: %v", d.l.EndedLoaded(), ignored)
	}
}

func (d *driver) list(prefix string) []store.Item {
	d.t.Helper()
	items, _, err := d.st.List(d.t.Context(), prefix)
	if err != nil {
		d.t.Fatal(err)
	}
	return items
}

// nextCommit returns what the ledger wants to commit next.
func (d *driver) nextCommit() *ledger.PendingCommit {
	d.t.Helper()
	d.now = d.now.Add(cfg.CommitInterval)
	p, err := d.l.Next(d.now, d.now)
	if err != nil {
		d.t.Fatal(err)
	}
	return p
}

// commit carries out what the ledger wants to commit, and reports whether the ledger
// was deposed.
func (d *driver) commit() (deposed bool) {
	d.t.Helper()
	p := d.nextCommit()
	return p != nil && d.carryOut(p)
}

// carryOut lets the store carry out a commit, and records the result.
func (d *driver) carryOut(p *ledger.PendingCommit) (deposed bool) {
	d.t.Helper()
	c := p.Commit()
	if n := 1 + len(c.Writes) + len(c.Deletes); n > cfg.MaxCommitEntries {
		d.t.Fatalf("commit has %d entries", n)
	}
	rev, err := d.st.Commit(c)
	var changes []ledger.Change
	if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
		if changes, deposed, err = d.l.Conflict(p, conflict.Current); err != nil {
			d.t.Fatal(err)
		}
	} else {
		changes = d.l.Committed(p, rev)
	}
	d.changes = append(d.changes, changes...)
	return deposed
}

func (d *driver) accept(id string) {
	d.l.Accept(d.now, &work.Job{ID: id, Steps: []work.Step{{Count: 3}}, Stored: true})
}

func ref(id string, index int) work.TaskRef { return work.TaskRef{Job: id, Index: index} }

func TestNextHolderKnowsJobsAndProgress(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	d.accept("b")
	d.l.Enroll("a1")
	d.commit()
	d.l.EndRun(work.Run{Task: ref("a", 1), Number: 1}, work.Done, ledger.EventRef{Agent: "a1", Seq: 7})
	d.l.EndRun(work.Run{Task: ref("a", 2), Number: 1}, work.Failed, ledger.EventRef{Agent: "a1", Seq: 8})
	d.l.EndJob(d.now, "b", work.Completed)
	d.commit()

	next := d.nextHome("e2")
	next.acquire()
	open := next.l.Open()
	if len(open) != 1 || open[0].ID != "a" || fmt.Sprint(open[0].Done) != "[[1]]" || open[0].Failures[ref("a", 2)] != 1 {
		t.Errorf("open %+v", open)
	}
	if b, ok := next.l.Job("b"); !ok || b.State != work.Completed {
		t.Errorf("job b is %+v", b)
	}
	if got := next.l.Enrolled(); len(got) != 1 || got[0] != "a1" {
		t.Errorf("enrolled %v", got)
	}
}

func TestJobIsNotStoredBeforeTheStoreAnswers(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	p := d.nextCommit()
	if p == nil || d.l.Stored("a") || len(d.changes) != 0 {
		t.Fatalf("stored %t, changes %v", d.l.Stored("a"), d.changes)
	}
	d.carryOut(p)
	if !d.l.Stored("a") || len(d.changes) != 1 || d.changes[0].Kind != ledger.Accepted {
		t.Errorf("stored %t, changes %v", d.l.Stored("a"), d.changes)
	}
}

// It does not matter whether the store carried out the unanswered commit.
func TestUnansweredCommitIsSentAgainUnderANewRevision(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		d := newDriver(t)
		d.acquire()
		d.accept("a")
		p := d.nextCommit()
		if carriedOut {
			if _, err := d.st.Commit(p.Commit()); err != nil {
				t.Fatal(err)
			}
		}
		d.l.Unanswered(d.now, p)
		d.accept("b")
		d.commit() // renews the tenure
		if d.l.Stored("a") || d.l.Stored("b") {
			t.Fatal("stored before the store confirmed it")
		}
		d.commit()
		if !d.l.Stored("a") || !d.l.Stored("b") || len(d.changes) != 2 {
			t.Errorf("carried out %t: changes %v", carriedOut, d.changes)
		}
		if _, err := d.st.Commit(p.Commit()); err == nil {
			t.Error("the store may still carry out the unanswered commit")
		}
	}
}

// The unanswered commit that created the job may have been carried out.
func TestJobThatEndsBeforeCreationIsConfirmedLeavesNoOpenItem(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	p := d.nextCommit()
	if _, err := d.st.Commit(p.Commit()); err != nil {
		t.Fatal(err)
	}
	d.l.Unanswered(d.now, p)
	d.l.EndJob(d.now, "a", work.Cancelled)
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

func TestEndOfRunOfUnknownJobIsAcknowledged(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.l.EndRun(work.Run{Task: ref("forgotten", 0), Number: 1}, work.Done, ledger.EventRef{Agent: "a1", Seq: 7})
	d.commit()
	if len(d.changes) != 1 || d.changes[0].Event.Seq != 7 {
		t.Errorf("changes %v", d.changes)
	}
}

func TestConcurrentCommitsShareNoJob(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	first := d.nextCommit()
	d.l.EndJob(d.now, "a", work.Cancelled)
	d.accept("b")
	second := d.nextCommit()
	if second == nil || len(second.Commit().Writes) != 1 {
		t.Fatalf("second commit %+v", second)
	}
	d.carryOut(second)
	if !d.l.Stored("b") || d.l.Stored("a") {
		t.Error("result of the second commit was not recorded independently")
	}
	d.carryOut(first)
	d.commit()
	if d.l.EndPending("a") {
		t.Error("end of job a was not committed after its creation")
	}
}

func TestRefusedCommitIsSentAgain(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	d.l.Refused(d.now, d.nextCommit())
	d.commit()
	if !d.l.Stored("a") || d.l.StoreOutage(d.now) != 0 {
		t.Errorf("stored %t, store outage %v", d.l.Stored("a"), d.l.StoreOutage(d.now))
	}
}

func TestPreviousHolderIsDeposed(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	d.commit()
	d.l.EndJob(d.now, "a", work.Completed)
	stale := d.nextCommit() // in flight while another entry takes the ledger
	next := d.nextHome("e2")
	next.acquire()
	if deposed := d.carryOut(stale); !deposed || d.l.Epoch() != 0 {
		t.Errorf("deposed %t, epoch %d", deposed, d.l.Epoch())
	}
	if len(next.l.Open()) != 1 || next.l.Epoch() != 2 {
		t.Errorf("open %d, epoch %d", len(next.l.Open()), next.l.Epoch())
	}
	if len(d.changes) != 1 {
		t.Errorf("changes %v: the end was not stored", d.changes)
	}
}

func TestUnansweredAcquisitionHolds(t *testing.T) {
	d := newDriver(t)
	if err := d.l.SetHolder(store.Item{}); err != nil {
		t.Fatal(err)
	}
	d.l.Acquire()
	p := d.nextCommit()
	if _, err := d.st.Commit(p.Commit()); err != nil {
		t.Fatal(err)
	}
	d.l.Unanswered(d.now, p)
	d.commit()
	if d.l.Epoch() != 1 || !d.l.Loading() {
		t.Errorf("epoch %d, loading %t", d.l.Epoch(), d.l.Loading())
	}
}

func TestManyChangesAreSplitIntoCommits(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	for i := range 100 {
		d.accept(fmt.Sprint("job", i))
	}
	for range 10 {
		d.commit()
	}
	if len(d.changes) != 100 {
		t.Errorf("%d of 100 jobs stored after ten commits", len(d.changes))
	}
}

func TestEndedJobsAreDeletedAfterRetention(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	d.commit()
	d.l.EndJob(d.now, "a", work.Completed)
	d.commit()
	d.now = d.now.Add(cfg.EndedRetention - time.Second)
	d.commit()
	if _, ok := d.l.Job("a"); !ok {
		t.Error("deleted too early")
	}
	d.now = d.now.Add(2 * time.Second)
	d.commit()
	if _, ok := d.l.Job("a"); ok {
		t.Error("still in memory")
	}
	if left := append(d.list(ledger.OpenPrefix), d.list(ledger.EndedPrefix)...); len(left) > 0 {
		t.Errorf("still in the store: %v", left)
	}
}

func TestUnenrolledAgentIsNotListed(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.l.Enroll("a1")
	d.l.Enroll("a2")
	d.now = d.now.Add(cfg.RenewalInterval)
	d.commit()
	d.l.Unenroll("a1")
	d.now = d.now.Add(cfg.RenewalInterval)
	d.commit()
	next := d.nextHome("e2")
	next.acquire()
	if got := next.l.Enrolled(); len(got) != 1 || got[0] != "a2" {
		t.Errorf("enrolled %v", got)
	}
}

// TestFailureIsCountedOnce guards against a job that fails early, since the event of a failed run
// was processed again.
func TestFailureIsCountedOnce(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	d.commit()
	fail := func(number int) {
		d.l.EndRun(work.Run{Task: ref("a", 2), Number: number}, work.Failed, ledger.EventRef{Agent: "a1", Seq: 7})
	}
	fail(1)
	fail(1)
	fail(3)
	fail(2)
	d.commit()
	next := d.nextHome("e2")
	next.acquire()
	open := next.l.Open()[0]
	if n, runs := open.Failures[ref("a", 2)], open.FailedRuns[ref("a", 2)]; n != 3 || fmt.Sprint(runs) != "[1 3 2]" {
		t.Errorf("%d failures, of runs %v", n, runs)
	}
}
