package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// answerCutPoll answers a poll with a list of ends from which the last ones are missing.
func (d *driver) answerCutPoll() {
	d.g.PollAnswered(d.now, worker.Snapshot{Token: d.g.Token(), Round: d.g.PollRound(), Born: d.born, Clock: d.clock, EndsCut: true})
}

// TestUnlistedEndRunsAgain guards against a task that starts again although it has ended
// as done, because its end was not on the first page of the worker's ends.
func TestUnlistedEndRunsAgain(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		d := newDriver(t)
		d.order(start(0, 1, 10))
		d.g.Unanswered(d.now, run(0, 1))
		if restarted {
			d.born, d.clock = 8, time.Second
			d.sendHeartbeat(false)
		}
		d.answerCutPoll()
		d.answerCutPoll()
		if events := d.g.Events("e1", 0); len(events) != 0 {
			t.Errorf("restarted %t: events %+v although the end may not be listed yet", restarted, events)
		}
		d.answerPollWithEnd(work.Done, run(0, 1))
		d.lastEvent(work.Done)
	}
}

// TestCutListNeedsNoPollAtOnce guards against an agent that polls its worker without a
// pause while ends are missing from the list.
func TestCutListNeedsNoPollAtOnce(t *testing.T) {
	d := newDriver(t)
	d.order(start(0, 1, 10))
	d.g.Unanswered(d.now, run(0, 1))
	if !d.g.NeedsPoll() {
		t.Error("no poll with the higher token")
	}
	d.answerCutPoll()
	if d.g.NeedsPoll() {
		t.Error("another poll at once")
	}
	d.answerPoll(0)
	d.wantSentAgain(run(0, 1))
}
