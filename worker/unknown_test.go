package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// wantUnknown checks the only unknown run that was listed since the last call.
func (d *driver) wantUnknown(cause worker.UnknownCause, end work.End, r work.Run) worker.UnknownRun {
	d.t.Helper()
	unknown := d.g.TakeUnknown()
	if len(unknown) != 1 || unknown[0].Cause != cause || unknown[0].End != end || unknown[0].Run != r {
		d.t.Fatalf("unknown runs %+v, want %v as %q %q", unknown, r, cause, end)
	}
	return unknown[0]
}

func (d *driver) wantNoUnknown(when string) {
	d.t.Helper()
	if unknown := d.g.TakeUnknown(); len(unknown) > 0 {
		d.t.Errorf("unknown runs %+v %s", unknown, when)
	}
}

// TestOvertakenListLooksLikeLateStart guards against a warning for each list that was made
// before an end that has been processed.
func TestOvertakenListLooksLikeLateStart(t *testing.T) {
	d := newDriver(t)
	d.startRunning(0, 1)
	d.answerPollWithEnd(work.Done, run(0, 1))
	d.wantNoUnknown("after the end of a known run")
	d.answerPoll(90, run(0, 1))
	d.wantUnknown(worker.Overtaken, "", run(0, 1))
	d.wantStop("listed before its end")
}

// TestLateStartIsNotExplained guards against a run that starts after its end was concluded, and
// of which no log tells who ordered it, for which incarnation of the worker, and when.
func TestLateStartIsNotExplained(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		d := newDriver(t)
		d.order(start(0, 1, 10))
		d.g.Unanswered(d.now, run(0, 1))
		if open, waiting := d.g.UnansweredStarts(); open != 1 || waiting != 0 {
			t.Errorf("%d starts unanswered, %d in transit", open, waiting)
		}
		sentAt := d.now
		d.orderStop(run(0, 1))
		d.answerPoll(0)
		if open, waiting := d.g.UnansweredStarts(); open != 0 || waiting != 1 {
			t.Errorf("%d starts unanswered, %d in transit after the list", open, waiting)
		}
		d.passTransit()
		bornBefore := d.born
		if restarted {
			d.born, d.clock = d.born+1, time.Second
			d.answerPoll(0)
		}
		d.answerPoll(20, run(0, 1))
		u := d.wantUnknown(worker.EndDeclared, "", run(0, 1))
		if p := u.Past; p == nil || p.Home != "e1" || p.End != work.Refused || p.Reason != worker.NoAnswer || p.Born != bornBefore || p.SentAt != sentAt {
			t.Errorf("restarted %t: known of the run: %+v", restarted, u.Past)
		}
		if u.Born != d.born || u.Clock != d.clock || u.Percent != 20 {
			t.Errorf("restarted %t: listed as %+v", restarted, u)
		}
		d.answerPoll(40, run(0, 1))
		d.wantNoUnknown("listed again")
		d.advance(50 * time.Millisecond)
		d.answerPollWithEnd(work.Stopped, run(0, 1))
		if u := d.wantUnknown(worker.EndDeclared, work.Stopped, run(0, 1)); u.Listed != 50*time.Millisecond {
			t.Errorf("it was listed for %v", u.Listed)
		}
	}
}

// TestRunOfEarlierAgentLooksLikeLateStart guards against logs that don't tell a run that a new
// agent finds from one that starts after the orders of earlier agents were fenced.
func TestRunOfEarlierAgentLooksLikeLateStart(t *testing.T) {
	d := newRestartedDriver(t)
	d.answerPoll(30, run(0, 1))
	d.wantUnknown(worker.EarlierAgent, "", run(0, 1))
	d.answerPoll(0)
	d.answerPoll(0, run(1, 1))
	if u := d.wantUnknown(worker.NotOrdered, "", run(1, 1)); u.Past != nil {
		t.Errorf("known of the run: %+v", u.Past)
	}
}

// TestPastRunsTakeMemory guards against an agent that remembers every run.
func TestPastRunsTakeMemory(t *testing.T) {
	d := newDriver(t)
	const runs = 1100
	for n := 1; n <= runs; n++ {
		d.startRunning(0, n)
		d.answerPollWithEnd(work.Done, run(0, n))
	}
	d.answerPoll(90, run(0, runs))
	d.wantUnknown(worker.Overtaken, "", run(0, runs))
	d.answerPoll(90, run(0, 1))
	d.wantUnknown(worker.NotOrdered, "", run(0, 1))
}
