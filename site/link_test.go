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

func testEntry() *Entry {
	e := &Entry{node: &platform.Node{}, log: zerolog.Nop(), clock: clock.System{}, network: unreachableNetwork{}, life: "entry-1", metrics: newEntryMetrics(), store: platform.NewStore("store", dialOf(unreachableNetwork{})), ending: context.Background()}
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
