package site

import (
	"testing"
	"time"

	"masticbay/clock"
	"masticbay/roster"
)

// TestNoJobWaitsWhileTheHomeIsReplaced guards against a count of 0 waiting jobs while no home is known, or
// the next one has not read the ledger.
func TestNoJobWaitsWhileTheHomeIsReplaced(t *testing.T) {
	e := newGreetedEntry(t)
	clk := &clock.Manual{}
	clk.Advance(time.Hour)
	e.clock = clk
	e.roster = roster.New(e.now(), roster.Member{Name: "e1", Address: "e1"}, rosterConfig())
	number := uint64(0)
	greet := func(name string, term uint64, isPartial bool, waiting int) {
		number++
		m := roster.Member{Name: name, Address: name, Life: name, Agents: 1, Cores: 8, Term: term}
		e.takeGreeting(e.now(), &GreetReply{Member: m, Number: number, Stamp: time.Hour, Waiting: map[string]int{"q": waiting}, WaitingPartial: isPartial})
	}
	want := func(when string, wantN int, wantOK bool) {
		t.Helper()
		if n, ok := e.waitingJobs("q"); n != wantN || ok != wantOK {
			t.Errorf("%s: %d waiting, known %t; want %d, %t", when, n, ok, wantN, wantOK)
		}
	}
	want("before any report", 0, false)
	greet("e2", 1, false, 30)
	want("with a home", 30, true)
	e.roster.MarkUnreachable("e2")
	clk.Advance(homeContactTimeout)
	want("without a home", 30, true)
	greet("e3", 2, true, 1)
	want("with a home that has not read the ledger", 30, true)
	clk.Advance(maxWaitingAge)
	greet("e3", 2, true, 1)
	want("with such a home for long", 0, false)
	greet("e3", 2, false, 28)
	want("with a home that has read it", 28, true)
}
