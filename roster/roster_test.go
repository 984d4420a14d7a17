package roster_test

import (
	"slices"
	"testing"
	"time"

	"masticbay/roster"
)

var (
	cfg   = roster.Config{HomeContactTimeout: 350 * time.Millisecond, ContactTimeout: 1200 * time.Millisecond, StartupWait: 300 * time.Millisecond, PeerRetention: time.Minute}
	begin = time.Unix(1000, 0)
	ready = begin.Add(cfg.StartupWait)
)

func member(name string, term uint64) roster.Member {
	return roster.Member{Name: name, Address: name + ":1", Life: name + "-1", Cores: 0.4, Term: term, Agents: 11}
}

func newRoster(name string) *roster.Roster {
	r := roster.New(begin, member(name, 0), cfg)
	r.SetAgents(11)
	return r
}

func wantHome(t *testing.T, r *roster.Roster, now time.Time, want string) {
	t.Helper()
	if home, _ := r.Home(now); home.Name != want {
		t.Errorf("home %q, want %q", home.Name, want)
	}
}

func TestStrongestBecomesHomeAfterStartupWait(t *testing.T) {
	r := newRoster("a")
	r.RecordContact(begin, member("b", 0))
	wantHome(t, r, begin, "")
	wantHome(t, r, ready, "a")
	if r.Self(ready).Term != 1 {
		t.Error("the home has no term")
	}
}

func TestHomeStaysAlthoughAStrongerEntryJoins(t *testing.T) {
	r := newRoster("a")
	r.RecordContact(ready, member("b", 3))
	wantHome(t, r, ready, "b")
}

func TestMuchStrongerEntryTakesOver(t *testing.T) {
	r := newRoster("a")
	weak := member("b", 3)
	weak.Cores = 0.2
	r.RecordContact(ready, weak)
	wantHome(t, r, ready, "a")
	if got := r.Self(ready).Term; got != 4 {
		t.Errorf("term %d, want 4", got)
	}
}

func TestHomeOutOfContactIsReplaced(t *testing.T) {
	r := newRoster("a")
	r.RecordContact(ready, member("b", 3))
	wantHome(t, r, ready.Add(cfg.HomeContactTimeout), "b")
	wantHome(t, r, ready.Add(cfg.HomeContactTimeout+time.Millisecond), "a")
	if got := r.Self(ready).Term; got != 4 {
		t.Errorf("term %d, want 4", got)
	}
}

func TestYoungEntryIsPassedOver(t *testing.T) {
	r := newRoster("b")
	young := member("a", 0)
	young.Young = true
	r.RecordContact(ready, young)
	// Entry a may end its startup wait at the same moment.
	wantHome(t, r, ready, "")
	wantHome(t, r, ready.Add(cfg.StartupWait-time.Millisecond), "")
	wantHome(t, r, ready.Add(cfg.StartupWait), "b")
}

func TestHomeOfLowerTermStepsDown(t *testing.T) {
	r := newRoster("a")
	wantHome(t, r, ready, "a")
	r.RecordContact(ready, member("b", 2))
	wantHome(t, r, ready, "b")
	if r.Self(ready).Term != 0 {
		t.Error("entry a still acts as home")
	}
}

func TestHomeInContactWithFewAgentsIsReplaced(t *testing.T) {
	r := newRoster("a")
	isolated := member("b", 3)
	isolated.Agents = 2
	r.RecordContact(ready, isolated)
	wantHome(t, r, ready, "a")
}

func TestLeavingEntryIsNotHome(t *testing.T) {
	r := newRoster("a")
	r.RecordContact(ready, member("b", 0))
	wantHome(t, r, ready, "a")
	r.Leave()
	wantHome(t, r, ready, "")
	r.RecordContact(ready, member("b", 2))
	wantHome(t, r, ready, "b")
}

func TestPanelIsTheStrongestAndTheHome(t *testing.T) {
	smallPanel := cfg
	smallPanel.PanelSize = 2
	r := roster.New(begin, member("c", 0), smallPanel)
	strong := member("d", 0)
	strong.Cores = 0.8
	home := member("z", 3)
	home.Cores = 0.2
	leaving := member("a", 0)
	leaving.Leaving = true
	for _, m := range []roster.Member{strong, home, leaving, member("b", 0), member("e", 0)} {
		r.RecordContact(ready, m)
	}
	if got, want := r.Panel(ready), []string{"d:1", "b:1", "z:1"}; !slices.Equal(got, want) {
		t.Errorf("panel %v, want %v", got, want)
	}
}

func TestPanelOmitsEntriesOutOfContact(t *testing.T) {
	smallPanel := cfg
	smallPanel.PanelSize = 1
	r := roster.New(begin, member("b", 0), smallPanel)
	r.RecordContact(begin, member("a", 0))
	if got := r.Panel(begin); !slices.Equal(got, []string{"a:1"}) {
		t.Errorf("panel %v while a is in contact", got)
	}
	if got := r.Panel(begin.Add(cfg.ContactTimeout + time.Millisecond)); !slices.Equal(got, []string{"b:1"}) {
		t.Errorf("panel %v while a is out of contact", got)
	}
}

// The view is cached until a member changes or falls out of contact.
func TestViewFollowsEveryChange(t *testing.T) {
	r := newRoster("c")
	b := member("b", 3)
	r.RecordContact(ready, b)
	wantHome(t, r, ready, "b")
	b.Leaving = true
	r.RecordContact(ready, b)
	wantHome(t, r, ready, "c")
	r.MarkUnreachable("b:1")
	a := member("a", 9)
	r.RecordContact(ready, a)
	wantHome(t, r, ready, "a")
	r.MarkUnreachable("a:1")
	wantHome(t, r, ready, "c")
	late := ready.Add(cfg.HomeContactTimeout + time.Millisecond)
	r.RecordContact(late, member("a", 11))
	wantHome(t, r, late, "a")
	wantHome(t, r, late.Add(cfg.HomeContactTimeout+1), "c")
}
