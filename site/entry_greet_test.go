package site

import (
	"testing"
	"time"

	"masticbay/roster"
)

// newGreetedEntry returns an entry that takes greetings.
func newGreetedEntry(t *testing.T) *Entry {
	t.Helper()
	e := testEntry()
	e.homeReports, e.stamps, e.peers = make(map[string]homeReport), make(map[string]peerStamp), make(map[string]*peer)
	e.sentPairs, e.sessions = make(map[string]sentPairs), make(map[string]uint64)
	e.home = newHome(e)
	t.Cleanup(e.home.close)
	return e
}

// TestOvertakenGreetingNamesTheHome guards against a second home: the greeting in which a home gives its
// role away, or in which it shows that it has restarted, is followed by an earlier one.
func TestOvertakenGreetingNamesTheHome(t *testing.T) {
	former := roster.Member{Name: "e2", Address: "e2", Life: "life-1", Agents: 1, Cores: 1, Term: 3}
	left, restarted := former, former
	left.Term, left.Leaving = 0, true
	restarted.Term, restarted.Life, restarted.Young = 0, "life-2", true
	for _, tc := range []struct {
		name        string
		latest      roster.Member
		number      uint64
		stamp       time.Duration // of the latest greeting
		earlyNumber uint64
	}{
		{"it leaves", left, 8, time.Hour + 5*time.Second, 7},
		{"it leaves, one stamp", left, 8, time.Hour, 7},
		{"it leaves, earlier build", left, 0, time.Hour + 5*time.Second, 0},
		{"it has restarted", restarted, 1, time.Hour + 5*time.Second, 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newGreetedEntry(t)
			sentAt := e.now()
			e.takeGreeting(sentAt, &GreetReply{Member: tc.latest, Number: tc.number, Stamp: tc.stamp})
			early := &GreetReply{Member: former, Number: tc.earlyNumber, Stamp: time.Hour, Waiting: map[string]int{"q": 5}}
			e.takeGreeting(time.Time{}, early)
			e.takeGreeting(sentAt, early)
			if m, ok := e.currentHome(); ok && m.Life == former.Life {
				t.Errorf("%s is home under term %d after it was none", m.Life, m.Term)
			}
			if len(e.homeReports) > 0 {
				t.Errorf("report of a former home: %+v", e.homeReports)
			}
		})
	}
}

// TestRestartedEntryIsShutOut guards against an entry that is not heard any more since it has restarted.
func TestRestartedEntryIsShutOut(t *testing.T) {
	e := newGreetedEntry(t)
	m := roster.Member{Name: "e2", Address: "e2", Life: "life-1", Agents: 1, Cores: 1}
	e.takeGreeting(time.Time{}, &GreetReply{Member: m, Number: 40, Stamp: time.Hour})
	m.Life = "life-2"
	e.takeGreeting(e.now(), &GreetReply{Member: m, Number: 1, Stamp: time.Hour})
	e.takeGreeting(time.Time{}, &GreetReply{Member: m, Number: 2, Stamp: time.Hour})
	if got := e.stamps["e2"].latest; got.life != m.Life || got.number != 2 {
		t.Errorf("latest greeting %d of %s, want 2 of %s", got.number, got.life, m.Life)
	}
}
