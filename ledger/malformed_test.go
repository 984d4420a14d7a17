package ledger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"masticbay/ledger"
	"masticbay/store"
	"masticbay/work"
)

// put writes an item as a foreign program would.
func (d *driver) put(key, value string) {
	d.t.Helper()
	d.toleratesMalformed = true
	if _, err := d.st.Commit(&store.Commit{Writes: []store.Item{{Key: key, Value: []byte(value)}}}); err != nil {
		d.t.Fatal(err)
	}
}

// malformedValues are values of a foreign program: not decodable, or with numbers out of range.
func malformedValues() []string {
	nested := strings.Repeat("[", 20_000)
	return []string{
		"", "x", "null", "7", `"x"`, `{}`, `[]`, nested, `{"job":` + nested, `{"ended":1e300}`, `{"state":"odd","ended":9223372036854775807}`,
		`{"state":"completed","ended":9223372036854775807}`, `{"job":{"id":"odd","steps":[]}}`, `{"job":{"id":"odd","steps":[{"count":-3}]}}`,
		`{"job":{"id":"odd","steps":[{"count":9223372036854775807}]}}`, `{"job":{"id":"odd","times":9223372036854775807,"steps":[{"count":1}]}}`,
		`{"job":{"id":"other","steps":[{"count":1}]}}`, `{"job":{"id":"odd","every":-9223372036854775808,"times":3,"steps":[{"count":1}]}}`,
		`{"done":[[-1],[99]],"failures":{"odd.0.0.9223372036854775807":-4}}`, `{"life":"x","epoch":18446744073709551615,"seq":18446744073709551615}`,
	}
}

// TestMalformedItemShutsOutTheNextHolder guards against a ledger that can't be read any more, so that
// no stored job goes on, after a foreign program has written one item under its prefixes.
func TestMalformedItemShutsOutTheNextHolder(t *testing.T) {
	for _, value := range malformedValues() {
		for _, key := range []string{ledger.OpenPrefix + "job/odd", ledger.OpenPrefix + "progress/odd", ledger.OpenPrefix + "progress/none", ledger.OpenPrefix + "x", ledger.EndedPrefix + "odd", ledger.EndedPrefix, ledger.OpenPrefix + "job/"} {
			d := newDriver(t)
			d.acquire()
			d.accept("a")
			d.commit()
			d.l.EndRun(work.Run{Task: ref("a", 1), Number: 1}, work.Done, ledger.EventRef{Agent: "a1", Seq: 7})
			d.accept("b")
			d.commit()
			d.l.EndJob(d.now, "b", work.Completed)
			d.commit()
			d.put(key, value)

			next := d.nextHome("e2")
			next.toleratesMalformed = true
			next.acquire()
			found := false
			for _, j := range next.l.Open() {
				found = found || j.ID == "a" && fmt.Sprint(j.Done) == "[[1]]"
			}
			if b, ok := next.l.Job("b"); !found || !ok || b.State != work.Completed {
				t.Errorf("%s with %.60s: open jobs %+v, job b %+v", key, value, next.l.Open(), b)
			}
			next.accept("c")
			next.commit()
			if !next.l.Stored("c") {
				t.Errorf("%s with %.60s: no job is stored any more", key, value)
			}
		}
	}
}

// TestMalformedProgressRepeatsTasks guards against tasks that run again, or a job that counts as
// completed, since the item with the job's progress was overwritten or lists a task twice.
func TestMalformedProgressRepeatsTasks(t *testing.T) {
	for value, wantOpen := range map[string]bool{
		`x`: false, `{"done":[[1,7]]}`: false, `{"done":[[-1]]}`: false, `{"done":[[0],[0]]}`: false, `{"done":null}`: false,
		`{"done":[[1]],"failures":{"a.0.0.9":1}}`: false, `{"done":[[1]],"failures":{"a.0.0.0":-1}}`: false, `{"done":[[1]],"failures":{"x":1}}`: false,
		`{"done":[[1,1,1]]}`: true, `{"done":[[1]]}`: true,
	} {
		d := newDriver(t)
		d.acquire()
		d.accept("a")
		d.commit()
		d.put(ledger.OpenPrefix+"progress/a", value)
		next := d.nextHome("e2")
		next.toleratesMalformed = true
		next.acquire()
		open := next.l.Open()
		if (len(open) == 1) != wantOpen || wantOpen && fmt.Sprint(open[0].Done) != "[[1]]" {
			t.Errorf("%s: open %+v, want open %t", value, open, wantOpen)
		}
		if !next.l.Stored("a") {
			t.Errorf("%s: the job is unknown", value)
		}
	}
}

// TestMalformedTenureShutsOutTheHolder guards against a ledger that nobody can hold or use any more
// after a foreign program has overwritten or deleted the item that names the holder.
func TestMalformedTenureShutsOutTheHolder(t *testing.T) {
	for _, value := range malformedValues() {
		d := newDriver(t)
		d.acquire()
		d.accept("a")
		d.commit()
		before := d.l.Epoch()
		d.put(ledger.TenureKey, value)

		fresh := d.nextHome("e2") // it knows of no earlier holder
		it := fresh.list(ledger.TenureKey)[0]
		_ = fresh.l.SetHolder(it) // an error is for the log
		fresh.l.Acquire()
		fresh.commit()
		if epoch := fresh.l.Epoch(); epoch <= before || epoch > 1000 {
			t.Errorf("%.60s: epoch %d of the next holder after %d", value, epoch, before)
		}

		d = newDriver(t)
		d.acquire()
		d.accept("a")
		d.commit()
		before = d.l.Epoch()
		d.put(ledger.TenureKey, value)
		d.accept("b")
		if !d.commitDeposed() {
			t.Errorf("%.60s: the holder was not deposed", value)
		}
		d.acquire()
		if epoch := d.l.Epoch(); epoch <= before || epoch > 1000 || len(d.l.Open()) != 1 {
			t.Errorf("%.60s: epoch %d after %d, %d open jobs", value, epoch, before, len(d.l.Open()))
		}
	}
}

// commitDeposed is commit for a commit whose conflict shows a malformed item.
func (d *driver) commitDeposed() (deposed bool) {
	p := d.nextCommit()
	it := d.list(ledger.TenureKey)[0]
	_, deposed, _ = d.l.Conflict(p, it) // an error is for the log
	return deposed
}

// TestDeletedTenureCountsAsVacant guards against agents that are told that no job is stored.
func TestDeletedTenureCountsAsVacant(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	d.commit()
	before := d.l.Epoch()
	if _, err := d.st.Commit(&store.Commit{Deletes: []string{ledger.TenureKey}}); err != nil {
		t.Fatal(err)
	}
	d.accept("b")
	if !d.commit() || d.l.Vacant() {
		t.Errorf("vacant %t", d.l.Vacant())
	}
	d.acquire()
	if d.l.Epoch() <= before || len(d.l.Open()) != 1 {
		t.Errorf("epoch %d after %d, %d open jobs", d.l.Epoch(), before, len(d.l.Open()))
	}
}

// TestMalformedAgentListCountsAsEmpty guards against a double run: the next holder does not know
// which agents may run tasks of the previous one.
func TestMalformedAgentListCountsAsEmpty(t *testing.T) {
	for value, want := range map[string]bool{`["a1"]`: true, `x`: false, `{}`: false, `null`: false, `[7]`: false} {
		d := newDriver(t)
		d.acquire()
		d.accept("a")
		d.commit()
		d.put(ledger.OpenPrefix+"agents", value)
		next := d.nextHome("e2")
		next.toleratesMalformed = true
		next.acquire()
		if got := next.l.EnrollmentKnown(); got != want {
			t.Errorf("%s: enrollment known %t", value, got)
		}
	}
}

// TestEndInTheFutureKeepsLaterEnds guards against ended jobs that are kept for good behind one
// whose item names a time of its end in the future.
func TestEndInTheFutureKeepsLaterEnds(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.put(ledger.EndedPrefix+"odd", fmt.Sprintf(`{"state":"completed","ended":%d}`, d.now.Add(1e4*time.Hour).UnixMilli()))
	next := d.nextHome("e2")
	next.toleratesMalformed = true
	next.acquire()
	next.accept("a")
	next.commit()
	next.l.EndJob(next.now, "a", work.Completed)
	next.commit()
	next.now = next.now.Add(cfg.EndedRetention + time.Second)
	next.commit()
	if left := next.list(ledger.EndedPrefix); len(left) > 0 {
		t.Errorf("still in the store: %v", left)
	}
}

// TestJobThatCannotBeWrittenStopsTheLedger guards against a ledger that commits nothing any more
// because one job can't be encoded.
func TestJobThatCannotBeWrittenStopsTheLedger(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.l.Accept(d.now, &work.Job{ID: "odd", Steps: []work.Step{{Count: 1}}, Stored: true, Times: 1, First: time.Date(20_000, 1, 1, 0, 0, 0, 0, time.UTC)})
	d.accept("a")
	for range 3 {
		d.now = d.now.Add(cfg.CommitInterval)
		if p, _ := d.l.Next(d.now, d.now); p != nil { // an error is for the log
			d.carryOut(p)
		}
	}
	if !d.l.Stored("a") {
		t.Error("job a is not stored")
	}
}
