package schedule_test

import (
	"testing"
	"time"

	"masticbay/work"
)

// TestLateRunOfWithdrawnJobIsStopped guards against a double run: the entry that gave
// a job up hands it to another home, while a run that takes longer than expected goes
// on here.
func TestLateRunOfWithdrawnJobIsStopped(t *testing.T) {
	for _, tc := range []struct {
		name string
		age  time.Duration // of the run when its job is withdrawn
	}{
		{"expected to end within the grace period", 90 * time.Millisecond},
		{"overdue already", 300 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.addAgent("a", 1)
			h.submit(job("j", 0, 1, 100*time.Millisecond))
			h.advance(tc.age)
			h.c.Withdraw(h.now, "j")
			h.advance(70 * time.Millisecond)
			if len(h.stops["a"]) != 1 {
				t.Errorf("stops %v, want one at a", h.stops)
			}
		})
	}
}

// TestJobWithAnAlternativeIsRejectedWithoutWorkers checks that a home whose workers are
// all lost does not hold a job that another home could run.
func TestJobWithAnAlternativeIsRejectedWithoutWorkers(t *testing.T) {
	h := newHarness(t)
	h.submit(job("waits", 0, 1, 100*time.Millisecond))
	h.wantOutcome("waits", "")
	j := job("handedOn", 0, 1, 100*time.Millisecond)
	j.Alternative = true
	h.submit(j)
	h.wantOutcome("handedOn", work.Rejected)
}

func TestRunThatEndsWithinTheGracePeriodIsNotStopped(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 100*time.Millisecond))
	h.advance(90 * time.Millisecond)
	h.c.Withdraw(h.now, "j")
	h.advance(20 * time.Millisecond)
	h.endRun("a", h.starts["a"][0], work.Done, 110*time.Millisecond)
	h.advance(100 * time.Millisecond)
	if len(h.stops["a"]) != 0 {
		t.Errorf("stops %v, want none", h.stops)
	}
}

func TestRunOfJobSubmittedAgainIsNotStopped(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 1)
	h.submit(job("j", 0, 1, 100*time.Millisecond))
	h.advance(90 * time.Millisecond)
	h.c.Withdraw(h.now, "j")
	h.advance(20 * time.Millisecond)
	h.submit(job("j", 0, 1, 100*time.Millisecond))
	h.advance(100 * time.Millisecond)
	if len(h.stops["a"]) != 0 {
		t.Errorf("stops %v, want none", h.stops)
	}
}
