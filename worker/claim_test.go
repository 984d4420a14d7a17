package worker_test

import (
	"testing"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// claim has a home that is in contact claim the agent.
func (d *driver) claim(c worker.Claim) {
	d.g.RecordContact(d.now, c.Home, d.now)
	d.g.Claim(d.now, c)
}

func (d *driver) wantLeader(want string) {
	d.t.Helper()
	if got := d.g.Leader(); got != want {
		d.t.Errorf("the agent follows %q, want %q", got, want)
	}
}

func TestAgentFollowsTheHomeThatOutranksTheOther(t *testing.T) {
	for _, tc := range []struct {
		name          string
		first, second worker.Claim
		want          string
	}{
		{"higher term", worker.Claim{Home: "e1", Term: 3, Reach: 4}, worker.Claim{Home: "e2", Term: 4, Reach: 3}, "e2"},
		{"lower term", worker.Claim{Home: "e1", Term: 3, Reach: 4}, worker.Claim{Home: "e2", Term: 2, Reach: 4}, "e1"},
		{"same term", worker.Claim{Home: "e2", Term: 3, Reach: 2}, worker.Claim{Home: "e1", Term: 3, Reach: 2}, "e1"},
		{"higher term of a home without contact to others", worker.Claim{Home: "e1", Term: 3, Reach: 4}, worker.Claim{Home: "e2", Term: 4, Reach: 1}, "e1"},
		{"lower term, the other home has lost its contacts", worker.Claim{Home: "e1", Term: 4, Reach: 1}, worker.Claim{Home: "e2", Term: 3, Reach: 3}, "e2"},
		{"former home named, earlier term", worker.Claim{Home: "e1", Term: 4, Reach: 2}, worker.Claim{Home: "e2", Term: 3, Reach: 3, Former: map[string]uint64{"e1": 3}}, "e1"},
		{"former home named, lower term of a home that has restarted", worker.Claim{Home: "e1", Term: 4, Reach: 2}, worker.Claim{Home: "e2", Term: 1, Reach: 3, Former: map[string]uint64{"e1": 4}}, "e2"},
		{"no term", worker.Claim{Home: "e1", Term: 4, Reach: 2}, worker.Claim{Home: "e2"}, "e1"},
		{"cells of an earlier build, which names no homes", worker.Claim{Home: "e1", Term: 4, Reach: 2}, worker.Claim{Home: "e2", Term: 4, Shared: true}, ""},
		{"cells", worker.Claim{Home: "e1", Term: 4, Reach: 2}, worker.Claim{Home: "e2", Term: 4, Reach: 2, Shared: true, Homes: []string{"e1", "e2"}}, "e1 e2"},
		{"cells of a home without contact to others", worker.Claim{Home: "e1", Term: 4, Reach: 4}, worker.Claim{Home: "e2", Term: 5, Reach: 1, Shared: true, Homes: []string{"e2", "e3"}}, "e1"},
		{"the only home of the cells that is left", worker.Claim{Home: "e1", Term: 4, Reach: 2, Shared: true, Homes: []string{"e1", "e2"}}, worker.Claim{Home: "e2", Term: 4, Reach: 1}, "e2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDriver(t)
			d.claim(tc.first)
			d.claim(tc.second)
			d.wantLeader(tc.want)
		})
	}
}

func TestAgentFollowsAnotherHomeOnceItsOwnIsOutOfContact(t *testing.T) {
	d := newDriver(t)
	d.claim(worker.Claim{Home: "e1", Term: 9, Reach: 3})
	d.advance(cfg.EntryContactTimeout + time.Millisecond)
	d.claim(worker.Claim{Home: "e2", Term: 1, Reach: 1})
	d.wantLeader("e2")
}

// TestStartOfFormerHomeOverlapsRunElsewhere guards against a double run: an agent that follows a home
// takes a start of another one, of which the home does not know.
func TestStartOfFormerHomeOverlapsRunElsewhere(t *testing.T) {
	d := newDriver(t)
	d.claim(worker.Claim{Home: "e1", Seq: 1, Term: 1, Reach: 2})
	d.order(start(0, 1, 10))
	d.claim(worker.Claim{Home: "e2", Seq: 1, Term: 2, Reach: 2})
	if d.g.ListsAllRuns("e1") || !d.g.ListsAllRuns("e2") || d.g.RunsOfOthers("e2")["j"] != 1 {
		t.Errorf("runs of others %v, want run 1 of j listed to e2", d.g.RunsOfOthers("e2"))
	}
	if n := len(d.order(start(1, 1, 10))); n != 0 {
		t.Error("a start of the former home was sent")
	}
	if e := d.lastEvent(work.Refused); e.Reason != worker.OtherHome {
		t.Errorf("refused with reason %q", e.Reason)
	}
	d.claim(worker.Claim{Home: "e2", Seq: 2, Term: 2, Reach: 2, Former: map[string]uint64{"e1": 1}})
	if n := len(d.order(start(1, 2, 10))); n != 1 {
		t.Error("a start of the former home was refused, although its jobs are known")
	}
	d.claim(worker.Claim{Home: "e1", Seq: 2, Term: 3})
	if n := len(d.order(start(2, 1, 10))); n != 0 {
		t.Error("a start of the former home was sent after it began another term")
	}
}

// TestStartOfALostHomeOfACellOverlapsRunElsewhere guards against a double run: the homes of the cells take a home
// for lost, which starts a task at an agent that has listed its runs to them.
func TestStartOfALostHomeOfACellOverlapsRunElsewhere(t *testing.T) {
	shared := func(home string, seq uint64, homes ...string) worker.Claim {
		return worker.Claim{Home: home, Seq: seq, Term: 3, Reach: 3, Shared: true, Homes: homes}
	}
	d := newDriver(t)
	d.claim(shared("e1", 1, "e1", "e2"))
	d.order(start(0, 1, 10))
	d.claim(shared("e2", 1, "e2", "e3"))
	d.claim(shared("e3", 1, "e2", "e3"))
	if d.g.TakesStartsOf("e1") || !d.g.TakesStartsOf("e2") || !d.g.TakesStartsOf("e3") {
		t.Error("the agent does not take the starts of exactly the homes that it follows")
	}
	if d.g.ListsAllRuns("e1") || !d.g.ListsAllRuns("e2") || !d.g.ListsAllRuns("e3") || d.g.RunsOfOthers("e2")["j"] != 1 {
		t.Errorf("runs of others %v, want run 1 of j listed to e2 and e3", d.g.RunsOfOthers("e2"))
	}
	former := shared("e2", 2, "e2", "e3")
	former.Former = map[string]uint64{"e1": 3}
	if d.claim(former); d.g.TakesStartsOf("e1") {
		t.Error("the agent takes starts of a home that one of the others does not know to have given its role away")
	}
}

// TestOvertakenClaimNamesAFormerHome guards against a double run: a claim that arrives after a later one
// lets a former home start tasks again.
func TestOvertakenClaimNamesAFormerHome(t *testing.T) {
	d := newDriver(t)
	d.claim(worker.Claim{Home: "e2", Seq: 2, Term: 2, Reach: 2})
	d.claim(worker.Claim{Home: "e2", Seq: 1, Term: 2, Reach: 2, Former: map[string]uint64{"e1": 1}})
	if d.g.TakesStartsOf("e1") {
		t.Error("the agent takes starts of a home that the later claim does not name")
	}
}

// TestUnsettledAgentListsNotAllRuns guards against a double run: the worker may have runs that an
// earlier incarnation of the agent ordered.
func TestUnsettledAgentListsNotAllRuns(t *testing.T) {
	d := newRestartedDriver(t)
	d.claim(worker.Claim{Home: "e1", Term: 1, Reach: 1})
	if d.g.ListsAllRuns("e1") {
		t.Error("an agent that has not polled its worker lists all runs")
	}
	d.g.PollRefused(d.now)
	if !d.g.ListsAllRuns("e1") {
		t.Error("an agent without a worker does not list all runs")
	}
}
