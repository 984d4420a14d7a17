package site

import (
	"fmt"
	"math"
	"testing"
	"time"

	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/work"
)

// TestReplyOutOfRangeShutsOutTheAgent guards against a home that ignores all later reports of an agent,
// or forgets its orders, after one reply with a number out of range.
func TestReplyOutOfRangeShutsOutTheAgent(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	h.mu.Lock()
	defer h.mu.Unlock()
	l := newLink(h, "a1")
	h.links["a1"] = l
	began := time.Now()
	l.takeReply(began, &SyncReply{Stamp: time.Hour, Report: schedule.Report{Life: "life-1"}})
	h.sendOrders("a1", orderBatch{Starts: []work.Start{{}}})
	l.takeReply(began, &SyncReply{Stamp: math.MaxInt64, Taken: math.MaxUint64, Report: schedule.Report{Life: "life-1"}})
	if len(l.orders) != 1 {
		t.Errorf("%d orders to send, want 1", len(l.orders))
	}
	next := time.Hour + 100*time.Millisecond
	l.takeReply(time.Now(), &SyncReply{Stamp: next, Report: schedule.Report{Life: "life-1"}})
	if l.echo != next {
		t.Errorf("echo %v, want %v", l.echo, next)
	}
	l.takeReply(began, &SyncReply{Stamp: next - 10*time.Second, Report: schedule.Report{Life: "life-1"}})
	if l.echo != next {
		t.Errorf("echo %v after a reply that was overtaken, want %v", l.echo, next)
	}
}

// TestGreetingOutOfRangeShutsOutTheEntry guards against an entry that is not heard any more after one
// greeting with a stamp or a session out of range.
func TestGreetingOutOfRangeShutsOutTheEntry(t *testing.T) {
	e := testEntry()
	e.homeReports, e.stamps = make(map[string]homeReport), make(map[string]peerStamp)
	e.home = newHome(e)
	defer e.home.close()
	peer := roster.Member{Name: "e2", Address: "e2", Life: "entry-2", Agents: 1}
	greet := func(session, term uint64, stamp time.Duration) {
		m := peer
		m.Term = term
		e.takeGreeting(time.Now(), &GreetReply{Member: m, Session: session, Stamp: stamp})
	}
	greet(3, 0, time.Hour)
	greet(math.MaxUint64, math.MaxUint64, math.MaxInt64)
	greet(4, 0, time.Hour+time.Second)
	if got := e.stamps["e2"].stamp; got != time.Hour+time.Second {
		t.Errorf("stamp %v", got)
	}
	if got := e.home.entries["entry-2"].session; got != 4 {
		t.Errorf("session %d, want 4", got)
	}
}

// TestFutureEchoIsNoContact guards against a job that runs twice: its entry, which is out
// of contact, has sent an echo that this home never issued as a stamp.
func TestFutureEchoIsNoContact(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recordContactLocked(entrySession{"entry-2", 0}, toStamp(time.Now().Add(time.Hour))) {
		t.Error("the echo counts as contact")
	}
	if !h.recordContactLocked(entrySession{"entry-2", 0}, toStamp(time.Now())) {
		t.Error("a true echo does not count")
	}
}

// TestMalformedConfigurationOutlastsItsMessage guards against an entry that ignores all later
// configurations after one with a version or a revision out of range.
func TestMalformedConfigurationOutlastsItsMessage(t *testing.T) {
	config := func(version uint64) []byte { return fmt.Appendf(nil, `{"version":%d,"routes":[]}`, version) }
	e := testEntry()
	e.applyConfig(config(7), 100, "store")
	e.applyConfig(config(math.MaxUint64), 101, "store")
	e.applyConfig(config(8), 102, "store")
	if c := e.config.Load(); c == nil || c.Version() != 8 {
		t.Errorf("in force %+v, want version 8", c)
	}
	e.applyConfig(config(7), 100, "a late reply")
	e.applyConfig([]byte(`{"version":9}`), 103, "foreign program")
	if c := e.config.Load(); c.Version() != 8 {
		t.Errorf("in force %+v, want version 8", c)
	}
	e.applyConfig(config(9), math.MaxUint64, "malformed reply")
	e.replaceConfig(config(8), 102, "store, read", e.config.Load())
	if c := e.config.Load(); c.Version() != 8 || c.revision != 102 {
		t.Errorf("in force %+v, want version 8 at revision 102", c)
	}
}
