package worker_test

import (
	"testing"
	"time"

	"masticbay/evacuation"
	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// newDriverIn returns a driver of a worker in a data centre.
func newDriverIn(t *testing.T, dataCentre string) *driver {
	d := newDriver(t)
	d.g.TakeHeartbeat(d.now, work.Target{ID: "w", Born: d.born, Service: "s", Zone: dataCentre, Capacity: work.Room{CPU: 100}}, d.clock, 0)
	d.g.ApplyTenure(d.now, "e1", worker.Tenure{Vacant: true})
	d.answerPoll(0)
	return d
}

func (d *driver) wantRefused(reason string, runs ...work.Run) {
	d.t.Helper()
	for _, r := range runs {
		found := false
		for _, e := range d.g.Events("e1", 0) {
			found = found || e.Run == r && e.End == work.Refused && e.Reason == reason
		}
		if !found {
			d.t.Errorf("run %v not refused as %q: %+v", r, reason, d.g.Events("e1", 0))
		}
	}
}

// TestEvacuatedAgentRefusesStarts guards against a start in an evacuated data centre that
// was ordered by a home which does not know of the evacuation.
func TestEvacuatedAgentRefusesStarts(t *testing.T) {
	d := newDriverIn(t, "a")
	d.g.SetEvacuated(evacuation.New(1, []string{"b"}))
	if n := len(d.order(start(0, 1, 10))); n != 1 {
		t.Errorf("%d starts sent while another data centre is evacuated, want 1", n)
	}
	d.g.SetEvacuated(evacuation.New(2, []string{"a", "b"}))
	if n := len(d.order(start(1, 1, 10))); n != 0 {
		t.Errorf("%d starts sent while evacuated", n)
	}
	d.wantRefused(worker.Evacuated, run(1, 1))
	if !schedule.ReportOf(d.g, "e1", 0).Evacuated {
		t.Error("not reported as evacuated")
	}
	d.g.SetEvacuated(evacuation.New(3, nil))
	if n := len(d.order(start(1, 2, 10))); n != 1 {
		t.Errorf("%d starts sent after the return to service, want 1", n)
	}
}

// TestLateStartIsFencedWhenEvacuated guards against a start that the worker carries out
// seconds after its data centre was evacuated: the token rises at once, not when the start
// counts as unanswered.
func TestLateStartIsFencedWhenEvacuated(t *testing.T) {
	d := newDriverIn(t, "a")
	sent := d.order(start(0, 1, 10), start(1, 1, 10))
	if needsPoll := d.g.SetEvacuated(evacuation.New(1, []string{"a"})); !needsPoll {
		t.Error("no poll is due")
	}
	if token := d.g.Token(); token <= sent[0].Token {
		t.Fatalf("token %d, want above that of the start, %d", token, sent[0].Token)
	}
	d.advance(2 * time.Millisecond)
	d.answerPoll(0, run(1, 1)) // the worker has carried out one of them
	if !d.g.Knows(run(1, 1)) || !d.g.Knows(run(0, 1)) {
		t.Error("want the run that was carried out to go on, and the other to wait for its answer")
	}
	d.g.Started(d.now, run(0, 1), "fence", true)
	if e := d.lastEvent(work.Refused); e.Run != run(0, 1) || e.Reason != worker.Evacuated {
		t.Errorf("event %+v, want the refusal of the start that was fenced", e)
	}
	if orders := d.g.Take(); len(orders) != 0 {
		t.Errorf("orders %+v, want none: runs end in place", orders)
	}
}

// TestFencedStartIsNotRepeatedWhenEvacuated guards against a start that is sent again under
// a higher token after its data centre was evacuated.
func TestFencedStartIsNotRepeatedWhenEvacuated(t *testing.T) {
	d := newDriverIn(t, "a")
	d.order(start(0, 1, 10))
	d.g.Unanswered(d.now, run(0, 1)) // raises the token
	d.order(start(1, 1, 10))
	d.g.SetEvacuated(evacuation.New(1, []string{"a"}))
	d.g.Started(d.now, run(1, 1), "fence", true)
	if orders := d.g.Take(); len(orders) != 0 {
		t.Errorf("orders %+v, want none", orders)
	}
	d.answerPoll(0)
	if n := d.g.Running(); n != 0 {
		t.Errorf("%d runs left, want none", n)
	}
	d.wantInTransit(run(0, 1))
}

// TestStartsWaitForTheEvacuatedDataCentres guards against starts in an evacuated data centre
// by an agent that has just started.
func TestStartsWaitForTheEvacuatedDataCentres(t *testing.T) {
	d := newDriverIn(t, "a")
	d.g.HoldStarts()
	if n := len(d.order(start(0, 1, 10))); n != 0 || schedule.ReportOf(d.g, "e1", 0).Ready {
		t.Errorf("%d starts sent, ready %t, before the evacuated data centres are known", n, schedule.ReportOf(d.g, "e1", 0).Ready)
	}
	d.wantRefused(worker.Unready, run(0, 1))
	d.g.SetEvacuated(evacuation.Set{})
	if n := len(d.order(start(0, 2, 10))); n != 1 {
		t.Errorf("%d starts sent, want 1", n)
	}
}
