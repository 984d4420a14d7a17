package member_test

import (
	"fmt"
	"testing"
	"time"

	"masticbay/member"
)

const (
	window  = time.Minute
	contact = 3 * time.Second
)

var begin = time.Unix(1_000_000, 0)

// with returns a registry of entries.
func with(rev uint64, ids ...string) member.Registry {
	r := member.Registry{Revision: rev}
	for _, id := range ids {
		r.Entries = append(r.Entries, member.Entry{ID: id})
	}
	return r
}

// nameOf returns a name whose home in r is the entry.
func nameOf(r member.Registry, entry string) string {
	for i := range 1000 {
		name := fmt.Sprint("name", i)
		if home, _ := r.Home(name); home.ID == entry {
			return name
		}
	}
	return ""
}

// settled returns the view of e1 long after e1 and e2 were listed.
func settled() (v *member.View, now time.Time) {
	v = member.NewView("e1", window, contact, begin)
	r := with(1, "e1", "e2")
	v.Update(begin, r)
	for now = begin; now.Before(begin.Add(2 * window)); now = now.Add(time.Second) {
		v.Confirm(now, "e2", r.EntriesHash())
		v.Observe(now)
	}
	return v, now
}

func TestHomeRunsWithoutClaimOnceSettled(t *testing.T) {
	v, now := settled()
	if v.MustClaim(now, nameOf(*v.Registry(), "e1")) {
		t.Error("the home must claim its own job")
	}
	if !v.MustClaim(now, nameOf(*v.Registry(), "e2")) {
		t.Error("another entry need not claim")
	}
	fresh := member.NewView("e1", window, contact, now)
	fresh.Update(now, with(1, "e1", "e2"))
	fresh.Confirm(now, "e2", fresh.Registry().EntriesHash())
	if !fresh.MustClaim(now, nameOf(*v.Registry(), "e1")) || !fresh.Introduced(now) {
		t.Error("an entry that just joined need not claim, or is not introduced")
	}
}

func TestKeysThatMovedAreClaimedForAWindow(t *testing.T) {
	v, now := settled()
	before := *v.Registry()
	moved := nameOf(before, "e2")
	after := with(2, "e1")
	v.Update(now, after)
	if !v.MustClaim(now, moved) {
		t.Error("a key of the removed entry is not claimed")
	}
	if v.MustClaim(now, nameOf(before, "e1")) {
		t.Error("a key that did not move is claimed")
	}
	if now = now.Add(window + time.Second); v.MustClaim(now, moved) {
		t.Error("a moved key is claimed for ever")
	}
}

func TestSilentPeerForcesClaimsBeforeItCanRemoveUs(t *testing.T) {
	v, now := settled()
	own := nameOf(*v.Registry(), "e1")
	if v.MustClaim(now.Add(window/2), own) || !v.Isolated(now.Add(window/2)) {
		t.Error("a short silence forces claims, or is not noticed")
	}
	if !v.MustClaim(now.Add(window), own) {
		t.Error("a silence of a window does not force claims")
	}
}

// sweep lets a watchdog have its way for several windows. It returns the kinds of
// its changes, and the time after them.
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

func TestSilentEntryIsLostAndThenForgotten(t *testing.T) {
	v, now := settled()
	got, _ := sweep(now, member.NewWatchdog("e1", window), v, func(now time.Time) {
		if lost := len(v.Registry().Lost) > 0; lost && !v.Isolated(now) {
			t.Fatal("claims may do without the agents although an entry is lost")
		}
	})
	if want := "[member.LoseEntry member.ForgetEntry]"; fmt.Sprint(got) != want {
		t.Errorf("changes were %v, want %s", got, want)
	}
}

// TestEntryThatMayBeGivenUpStops: only with a silent peer and an old registry
// does an entry stop to run jobs that are not idempotent.
func TestEntryThatMayBeGivenUpStops(t *testing.T) {
	for _, tc := range []struct{ silent, fresh, want bool }{
		{silent: false, fresh: false, want: true}, {silent: true, fresh: true, want: true}, {silent: true, fresh: false, want: false},
	} {
		v, now := settled()
		now = now.Add(window)
		if !tc.silent {
			v.Confirm(now, "e2", v.Registry().EntriesHash())
		}
		if tc.fresh {
			v.Refresh(now.Add(-window / 2))
		}
		if got := v.MayRun(now); got != tc.want {
			t.Errorf("silent peer %t, fresh registry %t: may run %t", tc.silent, tc.fresh, got)
		}
	}
}

// TestEntryAloneStopsWithAnOldRegistry: entries that joined behind a cut may have
// given up an entry that knows no peer.
func TestEntryAloneStopsWithAnOldRegistry(t *testing.T) {
	v := member.NewView("e1", window, contact, begin)
	v.Update(begin, with(1, "e1"))
	v.Refresh(begin)
	if !v.MayRun(begin.Add(window / 2)) {
		t.Error("stops although its registry is fresh")
	}
	if v.MayRun(begin.Add(window)) {
		t.Error("runs jobs although it may have been given up")
	}
}

func TestSilentAgentIsSuspendedAndThenRemoved(t *testing.T) {
	v := member.NewView("e1", window, contact, begin)
	w := member.NewWatchdog("e1", window)
	r := with(1, "e1")
	r, _ = r.With([]member.Change{member.AddAgent{Agent: member.Agent{ID: "a1", Service: "s"}}})
	v.Update(begin, r)
	w.Announced(begin, "a1")
	got, now := sweep(begin, w, v, func(time.Time) {})
	if want := "[member.SuspendAgent member.RemoveAgent]"; fmt.Sprint(got) != want {
		t.Errorf("changes were %v, want %s", got, want)
	}
	if gone := now.Sub(begin); gone < 2*window {
		t.Errorf("removed after %v", gone)
	}
}

func TestHeirsAreFollowed(t *testing.T) {
	r := with(1, "e1")
	var cs []member.Change
	for _, id := range []string{"a1", "a2", "a3"} {
		cs = append(cs, member.AddAgent{Agent: member.Agent{ID: id}})
	}
	cs = append(cs, member.RemoveAgent{ID: "a1", Heir: "a2"}, member.RemoveAgent{ID: "a2", Heir: "a3"})
	r, _ = r.With(cs)
	if heir, ok := r.Heir("a1"); !ok || heir != "a3" {
		t.Errorf("the heir of a1 is %q", heir)
	}
	if _, changed := r.With([]member.Change{member.RemoveAgent{ID: "a1"}}); changed {
		t.Error("removing an agent twice changes the registry")
	}
}
