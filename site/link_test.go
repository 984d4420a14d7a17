package site

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/platform"
	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/work"
)

// unreachableNetwork is a network on which every listen and dial fails.
type unreachableNetwork struct{}

func (unreachableNetwork) Listen(string) (net.Listener, error) {
	return nil, errors.New("network unreachable")
}

func (unreachableNetwork) Dial(context.Context, string) (net.Conn, error) {
	return nil, errors.New("network unreachable")
}

// TestOrderForAgentWithoutLink: the link was closed while the agent was out of
// contact. A new link must still send the order, since the agent's incarnation is the
// one that last reported.
func TestOrderForAgentWithoutLink(t *testing.T) {
	e := testEntry()
	h := newHome(e)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Report(time.Now(), "a1", &schedule.Report{Life: "life-1"})
	h.sendOrders("a1", orderBatch{Starts: []work.Start{{}}})
	l := h.links["a1"]
	if l == nil {
		t.Fatal("no link to the agent was opened")
	}
	l.takeReply(time.Now(), &SyncReply{Stamp: time.Hour, Report: schedule.Report{Life: "life-1"}})
	if len(l.orders) != 1 {
		t.Errorf("got %d orders to send, want 1", len(l.orders))
	}
}

func testEntry() *Entry { return testEntryWith(newEntryMetrics()) }

func testEntryWith(m *entryMetrics) *Entry {
	e := &Entry{node: &platform.Node{}, log: zerolog.Nop(), clock: clock.System{}, network: unreachableNetwork{}, life: "entry-1", metrics: m, store: platform.NewStore("store", dialOf(unreachableNetwork{})), ending: context.Background()}
	e.roster = roster.New(time.Now(), roster.Member{Address: "e1"}, rosterConfig())
	return e
}

// TestOrderNumbersRiseAcrossLinks: a home that loses the role and gets it back opens
// new links. Agents remember the last order of the home's incarnation and take no
// lower number.
func TestOrderNumbersRiseAcrossLinks(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	nextNumber := func() uint64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.links["a1"] = newLink(h, "a1")
		h.links["a1"].takeReply(time.Now(), &SyncReply{Stamp: time.Hour})
		h.sendOrders("a1", orderBatch{Starts: []work.Start{{}}})
		l := h.links["a1"]
		l.close()
		delete(h.links, "a1")
		return l.orders[0].Seq
	}
	before := nextNumber()
	if after := nextNumber(); after <= before {
		t.Errorf("the new link sent order %d after order %d, want a higher number", after, before)
	}
}

// TestReplyOfEarlierIncarnationEndsRuns guards against a double run: a reply of an agent's earlier
// incarnation is taken after that of a later one, and the runs of the latter count as ended.
func TestReplyOfEarlierIncarnationEndsRuns(t *testing.T) {
	e := testEntry()
	h := newHome(e)
	defer h.close()
	h.mu.Lock()
	defer h.mu.Unlock()
	report := func(life string) schedule.Report {
		return schedule.Report{Life: life, Ready: true, Settled: true, Target: work.Target{ID: "w", Born: 1, Service: "s", Capacity: work.Room{CPU: 100}}}
	}
	l := newLink(h, "a1")
	h.links["a1"] = l
	sentAt := h.e.now()
	l.takeReply(sentAt, &SyncReply{Stamp: time.Hour, Report: report("life-1")})
	l.takeReply(h.e.now(), &SyncReply{Stamp: time.Hour + 2*time.Second, Report: report("life-2")})
	job := work.Job{ID: "j", Left: time.Minute, Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, Target: time.Second}, Steps: []work.Step{{Count: 1, Room: work.Room{CPU: 10}, Estimate: time.Second}}}
	h.core.Submit(h.e.now(), job, 0)
	h.deliverDecisions()
	if !h.core.HasRuns("a1") {
		t.Fatal("the job was not placed")
	}
	placed := h.lastOrder
	l.takeReply(sentAt, &SyncReply{Stamp: time.Hour + time.Second, Report: report("life-1")})
	h.deliverDecisions()
	if h.lastOrder != placed || !h.core.HasRuns("a1") {
		t.Errorf("order %d after order %d: the run at the present incarnation was taken for ended", h.lastOrder, placed)
	}
}

// crossedLink is a link to an agent that has a run of a previous holder of the ledger, and two exchanges
// that begin at sentAt.
type crossedLink struct {
	*link
	sentAt time.Time
	run    work.Run
}

func newCrossedLink(t *testing.T) *crossedLink {
	h := newHome(testEntry())
	t.Cleanup(h.close)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.e.now()
	c := &crossedLink{link: newLink(h, "a1"), run: work.Run{Task: work.TaskRef{Job: "j"}, Number: 5}}
	h.links["a1"] = c.link
	c.takeReply(now, &SyncReply{Number: 1, Stamp: time.Hour, Target: 7, Report: crossedReport()})
	h.core.SetTenure(now, schedule.Tenure{Epoch: 2, Until: now.Add(time.Hour), Agents: map[string]bool{"a1": true}, PreviousAgents: []string{"a1"}, LeasesEndAt: now.Add(time.Minute)})
	job := work.Job{ID: "j", Left: time.Minute, Stored: true, Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, Target: time.Second}, Steps: []work.Step{{Count: 1, Room: work.Room{CPU: 10}, Estimate: time.Second}}}
	h.core.Restore(now, job, 1000, make([][]int, 1), schedule.Failures{})
	h.deliverDecisions()
	c.sentAt = h.e.now()
	return c
}

func crossedReport(events ...schedule.Event) schedule.Report {
	return schedule.Report{Life: "life-1", Ready: true, Settled: true, Epoch: 2, Events: events, Target: work.Target{ID: "w", Born: 1, Service: "s", Capacity: work.Room{CPU: 100}}}
}

// TestEndIsLostWhenRepliesCross guards against a task that runs again: the reply that confirms the tenure
// was made before the end of a run, and is processed after the reply that reports the end.
func TestEndIsLostWhenRepliesCross(t *testing.T) {
	for _, tc := range []struct {
		name     string
		between  time.Duration // of the stamps
		numbered bool
	}{
		{"later stamp", time.Second, true}, {"same stamp", 0, true},
		{"earlier build, later stamp", time.Second, false}, {"earlier build, same stamp", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newCrossedLink(t)
			l.h.mu.Lock()
			defer l.h.mu.Unlock()
			other := schedule.Event{Seq: 1, Run: work.Run{Task: work.TaskRef{Job: "other"}, Number: 1}, End: work.Done, Stored: true}
			end := schedule.Event{Seq: 2, Run: l.run, End: work.Done, Stored: true}
			confirms := SyncReply{Number: 2, Stamp: time.Hour + time.Second, Target: 7, Report: crossedReport(other)}
			confirms.Report.Asked, confirms.Report.Kept = true, []schedule.Kept{{Run: l.run}}
			ends := SyncReply{Number: 3, Stamp: confirms.Stamp + tc.between, Target: 7, Report: crossedReport(other, end)}
			if !tc.numbered {
				confirms.Number, ends.Number = 0, 0
			}
			l.takeReply(l.sentAt, &ends)
			l.takeReply(l.sentAt, &confirms)
			if got := l.h.core.Acked("a1"); got != 0 {
				t.Errorf("acknowledged %d before the end was processed, want 0", got)
			}
			confirms.Number, confirms.Report = 4, crossedReport(other, end)
			confirms.Report.Asked = true
			l.takeReply(l.h.e.now(), &confirms)
			if !l.h.core.TenureConfirmed("a1") || l.h.core.HasRuns("a1") {
				t.Errorf("tenure confirmed %t, the run goes on %t", l.h.core.TenureConfirmed("a1"), l.h.core.HasRuns("a1"))
			}
			if got := l.h.core.Acked("a1"); got != end.Seq-1 {
				t.Errorf("acknowledged %d before the end was committed, want %d", got, end.Seq-1)
			}
		})
	}
}

// TestOvertakenReplyMakesDrainingWorkerReady guards against a start on a worker that drains: the reply
// that says so is followed by an older one.
func TestOvertakenReplyMakesDrainingWorkerReady(t *testing.T) {
	l := newCrossedLink(t)
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	ready := SyncReply{Number: 2, Stamp: time.Hour + time.Second, Target: 7, Report: crossedReport(schedule.Event{Seq: 1, Run: l.run, End: work.Done})}
	drains := SyncReply{Number: 3, Stamp: time.Hour + 2*time.Second, Target: 8, Report: ready.Report}
	drains.Report.Ready, drains.Report.Target.Draining = false, true
	l.takeReply(l.sentAt, &drains)
	l.takeReply(l.sentAt, &ready)
	if l.targetVersion != drains.Target {
		t.Errorf("version %d of the description after version %d", l.targetVersion, drains.Target)
	}
	job := work.Job{ID: "new", Left: time.Minute, Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 1, Stretch: 2, Target: time.Second}, Steps: []work.Step{{Count: 1, Room: work.Room{CPU: 10}, Estimate: time.Second}}}
	l.h.core.Submit(l.h.e.now(), job, 0)
	l.h.deliverDecisions()
	if l.h.core.HasRuns("a1") {
		t.Error("a task was placed on a worker that drains")
	}
}
