package roster_test

import (
	"testing"
	"time"

	"masticbay/roster"
)

func TestLagDetectsASlowProcess(t *testing.T) {
	var l roster.Lag
	now := begin
	add := func(n int, late time.Duration) (overloaded bool) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			overloaded = l.Add(now, late)
		}
		return overloaded
	}
	if add(50, time.Millisecond) || add(1, 80*time.Millisecond) {
		t.Error("one late timer counts as overload")
	}
	if !add(5, 60*time.Millisecond) {
		t.Error("not overloaded although timers are late by 60 ms for half a second")
	}
	if !add(20, time.Millisecond) {
		t.Error("recovered after 2 s, want 3 s")
	}
	if add(25, time.Millisecond) {
		t.Error("not recovered after more than 3 s")
	}
}

func TestOverloadedHomeIsReplaced(t *testing.T) {
	r := newRoster("a")
	home := member("b", 3)
	r.RecordContact(ready, home)
	wantHome(t, r, ready, "b")
	home.Overloaded = true
	r.RecordContact(ready, home)
	wantHome(t, r, ready, "a")
	// If all entries are overloaded, a change of the home would not help.
	r.SetOverloaded(true)
	home.Term = 9
	r.RecordContact(ready, home)
	wantHome(t, r, ready, "b")
}

func TestOverloadedEntryIsNoHomeOfACell(t *testing.T) {
	r := newRoster("c")
	lead := member("d", 3)
	lead.Cells = 2
	slow := member("a", 0)
	slow.Overloaded = true
	r.RecordContact(ready, lead)
	r.RecordContact(ready, slow)
	if got := r.Homes(ready); len(got) != 2 || got[1].Name != "c" {
		t.Errorf("homes %v, want d and c", got)
	}
}
