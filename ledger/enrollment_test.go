package ledger_test

import "testing"

// TestEnrollmentIsCommittedWithoutOtherChanges guards against stored jobs that never
// start: no task is placed on an agent that the store does not name yet. An agent may
// be enrolled after the last change of a job, when only renewals of the tenure are due.
func TestEnrollmentIsCommittedWithoutOtherChanges(t *testing.T) {
	d := newDriver(t)
	d.acquire()
	d.accept("a")
	d.commit()
	d.l.Enroll("a1")
	for range 1000 {
		d.commit()
	}
	if got := d.l.Enrolled(); len(got) != 1 {
		t.Errorf("enrolled agents after 10 s: %v, want a1", got)
	}
}
