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

// nowhere is a network on which nothing can be reached.
type nowhere struct{}

func (nowhere) Listen(string) (net.Listener, error) { return nil, errors.New("nowhere") }

func (nowhere) Dial(context.Context, string) (net.Conn, error) { return nil, errors.New("nowhere") }

// TestOrderForAnAgentWithoutALink: its link was closed when the agent had been
// silent. The agent is the one that was heard last, and gets the order.
func TestOrderForAnAgentWithoutALink(t *testing.T) {
	e := testEntry()
	h := newHome(e)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Report(time.Now(), "a1", &schedule.Report{Life: "life-1"})
	h.order("a1", []work.Start{{}}, nil)
	l := h.links["a1"]
	if l == nil {
		t.Fatal("no link was made")
	}
	l.take(&SyncReply{Stamp: time.Hour, Report: schedule.Report{Life: "life-1"}})
	if len(l.orders) != 1 {
		t.Errorf("%d orders to send, want 1", len(l.orders))
	}
}

func testEntry() *Entry {
	e := &Entry{node: &platform.Node{}, log: zerolog.Nop(), clock: clock.System{}, network: nowhere{}, life: "entry-1", metrics: newEntryMetrics()}
	e.roster = roster.New(time.Now(), roster.Member{Address: "e1"}, rosterConfig())
	return e
}

// TestOrderNumbersRiseOverLinks: a home that steps down and is home again makes
// new links. Agents remember the last order of its incarnation and take no
// lower number.
func TestOrderNumbersRiseOverLinks(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	number := func() uint64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.links["a1"] = newLink(h, "a1")
		h.links["a1"].take(&SyncReply{Stamp: time.Hour})
		h.order("a1", []work.Start{{}}, nil)
		l := h.links["a1"]
		l.close()
		delete(h.links, "a1")
		return l.orders[0].Seq
	}
	before := number()
	if after := number(); after <= before {
		t.Errorf("order %d on a new link after order %d", after, before)
	}
}
