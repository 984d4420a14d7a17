package member_test

import (
	"fmt"
	"testing"
	"time"

	"masticbay/member"
)

const (
	window         = time.Minute
	contactTimeout = 3 * time.Second
)

var start = time.Unix(1_000_000, 0)

// registryOf returns a registry of entries.
func registryOf(rev uint64, ids ...string) member.Registry {
	r := member.Registry{Revision: rev}
	for _, id := range ids {
		r.Entries = append(r.Entries, member.Entry{ID: id})
	}
	return r
}

// nameWithHome returns a name whose home in r is the entry.
func nameWithHome(r member.Registry, entry string) string {
	for i := range 1000 {
		name := fmt.Sprint("name", i)
		if home, _ := r.Home(name); home.ID == entry {
			return name
		}
	}
	return ""
}

// settledView returns the view of e1 two windows after e1 and e2 were listed.
func settledView() (v *member.View, now time.Time) {
	v = member.NewView("e1", window, contactTimeout, start)
	r := registryOf(1, "e1", "e2")
	v.Update(start, r)
	for now = start; now.Before(start.Add(2 * window)); now = now.Add(time.Second) {
		v.Confirm(now, "e2", r.EntriesHash())
		v.Observe(now)
	}
	return v, now
}

func TestHomeRunsWithoutClaimOnceSettled(t *testing.T) {
	v, now := settledView()
	if v.MustClaim(now, nameWithHome(*v.Registry(), "e1")) {
		t.Error("MustClaim is true for a job of this home although it is settled")
	}
	if !v.MustClaim(now, nameWithHome(*v.Registry(), "e2")) {
		t.Error("MustClaim is false for a job whose home is another entry")
	}
	joined := member.NewView("e1", window, contactTimeout, now)
	joined.Update(now, registryOf(1, "e1", "e2"))
	joined.Confirm(now, "e2", joined.Registry().EntriesHash())
	if !joined.MustClaim(now, nameWithHome(*v.Registry(), "e1")) || !joined.KnownToAll(now) {
		t.Error("MustClaim is false for an entry that just joined, or it is not known to all")
	}
}

func TestKeysThatMovedAreClaimedForAWindow(t *testing.T) {
	v, now := settledView()
	before := *v.Registry()
	moved := nameWithHome(before, "e2")
	after := registryOf(2, "e1")
	v.Update(now, after)
	if !v.MustClaim(now, moved) {
		t.Error("MustClaim is false for a key of the removed entry")
	}
	if v.MustClaim(now, nameWithHome(before, "e1")) {
		t.Error("MustClaim is true for a key that did not move")
	}
	if now = now.Add(window + time.Second); v.MustClaim(now, moved) {
		t.Error("MustClaim is true for a moved key after more than a window")
	}
}

func TestPeerOutOfContactForcesClaimsBeforeItCanRemoveThisEntry(t *testing.T) {
	v, now := settledView()
	own := nameWithHome(*v.Registry(), "e1")
	if v.MustClaim(now.Add(window/2), own) || !v.Isolated(now.Add(window/2)) {
		t.Error("half a window without contact forces claims, or does not isolate the entry")
	}
	if !v.MustClaim(now.Add(window), own) {
		t.Error("a window without contact does not force claims")
	}
}

// sweep applies a watchdog's changes for several windows. It returns their kinds
// and the time after them.
func sweep(now time.Time, w *member.Watchdog, v *member.View, each func(now time.Time)) (kinds []string, end time.Time) {
	for range 200 {
		now = now.Add(time.Second)
		for _, c := range w.Sweep(now, v) {
			kinds = append(kinds, fmt.Sprintf("%T", c))
			next, _ := v.Registry().With([]member.Change{c})
			v.Update(now, next)
		}
		each(now)
	}
	return kinds, now
}

func TestEntryOutOfContactIsLostAndThenExpires(t *testing.T) {
	v, now := settledView()
	got, _ := sweep(now, member.NewWatchdog("e1", window), v, func(now time.Time) {
		if lost := len(v.Registry().Lost) > 0; lost && !v.Isolated(now) {
			t.Fatal("the entry is not isolated although another one is lost")
		}
	})
	if want := "[member.MarkEntryLost member.ExpireEntry]"; fmt.Sprint(got) != want {
		t.Errorf("changes were %v, want %s", got, want)
	}
}

// TestEntryThatMayBeRemovedStops checks that an entry stops running jobs that are
// not idempotent only if a peer is out of contact and the registry is old.
func TestEntryThatMayBeRemovedStops(t *testing.T) {
	for _, tc := range []struct{ outOfContact, refreshed, want bool }{
		{outOfContact: false, refreshed: false, want: true},
		{outOfContact: true, refreshed: true, want: true},
		{outOfContact: true, refreshed: false, want: false},
	} {
		v, now := settledView()
		now = now.Add(window)
		if !tc.outOfContact {
			v.Confirm(now, "e2", v.Registry().EntriesHash())
		}
		if tc.refreshed {
			v.ConfirmNewest(now.Add(-window / 2))
		}
		if got := v.MayRun(now); got != tc.want {
			t.Errorf("peer out of contact %t, registry refreshed %t: may run %t", tc.outOfContact, tc.refreshed, got)
		}
	}
}

// TestEntryAloneStopsWithAnOldRegistry checks that an entry that knows no peer
// stops when its registry is old: entries that joined on the other side of a
// network partition may have removed it.
func TestEntryAloneStopsWithAnOldRegistry(t *testing.T) {
	v := member.NewView("e1", window, contactTimeout, start)
	v.Update(start, registryOf(1, "e1"))
	v.ConfirmNewest(start)
	if !v.MayRun(start.Add(window / 2)) {
		t.Error("the entry stops although its registry is fresh")
	}
	if v.MayRun(start.Add(window)) {
		t.Error("the entry runs jobs although it may have been removed")
	}
}

func TestAgentOutOfContactIsSuspendedAndThenRemoved(t *testing.T) {
	v := member.NewView("e1", window, contactTimeout, start)
	w := member.NewWatchdog("e1", window)
	r := registryOf(1, "e1")
	r, _ = r.With([]member.Change{member.AddAgent{Agent: member.Agent{ID: "a1", Service: "s"}}})
	v.Update(start, r)
	w.RecordAnnouncement(start, "a1")
	got, removedAt := sweep(start, w, v, func(time.Time) {})
	if want := "[member.SuspendAgent member.RemoveAgent]"; fmt.Sprint(got) != want {
		t.Errorf("changes were %v, want %s", got, want)
	}
	if after := removedAt.Sub(start); after < 2*window {
		t.Errorf("the agent was removed after %v, want two windows at least", after)
	}
}

func TestHeirFollowsChainOfSuccessors(t *testing.T) {
	r := registryOf(1, "e1")
	var changes []member.Change
	for _, id := range []string{"a1", "a2", "a3"} {
		changes = append(changes, member.AddAgent{Agent: member.Agent{ID: id}})
	}
	changes = append(changes, member.RemoveAgent{ID: "a1", Heir: "a2"}, member.RemoveAgent{ID: "a2", Heir: "a3"})
	r, _ = r.With(changes)
	if heir, ok := r.Heir("a1"); !ok || heir != "a3" {
		t.Errorf("the heir of a1 is %q, want a3", heir)
	}
	if _, changed := r.With([]member.Change{member.RemoveAgent{ID: "a1"}}); changed {
		t.Error("removing an agent twice changes the registry")
	}
}
