package roster_test

import (
	"slices"
	"testing"
	"time"

	"masticbay/roster"
)

var (
	cfg   = roster.Config{HomeSilence: 350 * time.Millisecond, Silence: 1200 * time.Millisecond, Listen: 300 * time.Millisecond, Forget: time.Minute}
	begin = time.Unix(1000, 0)
	ready = begin.Add(cfg.Listen)
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
	r.Hear(begin, member("b", 0))
	wantHome(t, r, begin, "")
	wantHome(t, r, ready, "a")
	if r.Self(ready).Term != 1 {
		t.Error("the home has no term")
	}
}

func TestHomeStaysAlthoughAStrongerEntryJoins(t *testing.T) {
	r := newRoster("a")
	r.Hear(ready, member("b", 3))
	wantHome(t, r, ready, "b")
}

func TestMuchStrongerEntryTakesOver(t *testing.T) {
	r := newRoster("a")
	weak := member("b", 3)
	weak.Cores = 0.2
	r.Hear(ready, weak)
	wantHome(t, r, ready, "a")
	if got := r.Self(ready).Term; got != 4 {
		t.Errorf("term %d, want 4", got)
	}
}

func TestHomeOutOfContactIsReplaced(t *testing.T) {
	r := newRoster("a")
	r.Hear(ready, member("b", 3))
	wantHome(t, r, ready.Add(cfg.HomeSilence), "b")
	wantHome(t, r, ready.Add(cfg.HomeSilence+time.Millisecond), "a")
	if got := r.Self(ready).Term; got != 4 {
		t.Errorf("term %d, want 4", got)
	}
}

func TestYoungEntryIsPassedOver(t *testing.T) {
	r := newRoster("b")
	young := member("a", 0)
	young.Young = true
	r.Hear(ready, young)
	wantHome(t, r, ready, "b")
}

func TestHomeOfLowerTermStepsDown(t *testing.T) {
	r := newRoster("a")
	wantHome(t, r, ready, "a")
	r.Hear(ready, member("b", 2))
	wantHome(t, r, ready, "b")
	if r.Self(ready).Term != 0 {
		t.Error("entry a still acts as home")
	}
}

func TestHomeInContactWithFewAgentsIsReplaced(t *testing.T) {
	r := newRoster("a")
	isolated := member("b", 3)
	isolated.Agents = 2
	r.Hear(ready, isolated)
	wantHome(t, r, ready, "a")
}

func TestLeavingEntryIsNotHome(t *testing.T) {
	r := newRoster("a")
	r.Hear(ready, member("b", 0))
	wantHome(t, r, ready, "a")
	r.Leave()
	wantHome(t, r, ready, "")
	r.Hear(ready, member("b", 2))
	wantHome(t, r, ready, "b")
}

func TestPanelIsTheStrongestAndTheHome(t *testing.T) {
	smallPanel := cfg
	smallPanel.Panel = 2
	r := roster.New(begin, member("c", 0), smallPanel)
	strong := member("d", 0)
	strong.Cores = 0.8
	home := member("z", 3)
	home.Cores = 0.2
	leaving := member("a", 0)
	leaving.Leaving = true
	for _, m := range []roster.Member{strong, home, leaving, member("b", 0), member("e", 0)} {
		r.Hear(ready, m)
	}
	if got, want := r.Panel(ready), []string{"d:1", "b:1", "z:1"}; !slices.Equal(got, want) {
		t.Errorf("panel %v, want %v", got, want)
	}
}

func TestPanelOmitsEntriesOutOfContact(t *testing.T) {
	smallPanel := cfg
	smallPanel.Panel = 1
	r := roster.New(begin, member("b", 0), smallPanel)
	r.Hear(begin, member("a", 0))
	if got := r.Panel(begin); !slices.Equal(got, []string{"a:1"}) {
		t.Errorf("panel %v while a is in contact", got)
	}
	if got := r.Panel(begin.Add(cfg.Silence + time.Millisecond)); !slices.Equal(got, []string{"b:1"}) {
		t.Errorf("panel %v while a is out of contact", got)
	}
}

// The view is cached until a member changes or falls out of contact.
func TestViewFollowsEveryChange(t *testing.T) {
	r := newRoster("c")
	b := member("b", 3)
	r.Hear(ready, b)
	wantHome(t, r, ready, "b")
	b.Leaving = true
	r.Hear(ready, b)
	wantHome(t, r, ready, "c")
	r.Lose("b:1")
	a := member("a", 9)
	r.Hear(ready, a)
	wantHome(t, r, ready, "a")
	r.Lose("a:1")
	wantHome(t, r, ready, "c")
	late := ready.Add(cfg.HomeSilence + time.Millisecond)
	r.Hear(late, member("a", 11))
	wantHome(t, r, late, "a")
	wantHome(t, r, late.Add(cfg.HomeSilence+1), "c")
}
