package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticbay/roster"
)

func TestCellCountHasHysteresis(t *testing.T) {
	for _, tc := range []struct{ agents, current, want int }{
		{0, 0, 1}, {11, 1, 1}, {55, 1, 1}, {75, 1, 1}, {80, 1, 2}, {75, 2, 2}, {59, 2, 1},
		{240, 1, 6}, {200, 6, 6}, {306, 6, 6}, {170, 6, 4}, {360, 6, 9}, {5000, 16, 16},
	} {
		if got := roster.CellCount(tc.agents, 40, tc.current); got != tc.want {
			t.Errorf("%d agents in %d cells: %d cells wanted, want %d", tc.agents, tc.current, got, tc.want)
		}
	}
}

// siteAgents returns agents of which every third one is of another kind.
func siteAgents(n int) []roster.Agent {
	agents := make([]roster.Agent, n)
	for i := range agents {
		agents[i] = roster.Agent{Address: fmt.Sprintf("10.1.%d.%d:7700", i/40, i%40), Kind: []string{"s/a", "s/a", "s/b"}[i%3]}
	}
	return agents
}

func siteHomes(n int) []roster.Member {
	homes := make([]roster.Member, n)
	for i := range homes {
		homes[i] = member(fmt.Sprint("e", i), 0)
	}
	return homes
}

// owners returns the home of each agent.
func owners(agents []roster.Agent, homes []roster.Member) map[string]string {
	owner := make(map[string]string)
	for i := range homes {
		for _, a := range roster.Cell(agents, homes, homes[i].Address) {
			owner[a] = homes[i].Address
		}
	}
	return owner
}

func TestCellsAreEvenAndDisjoint(t *testing.T) {
	agents, homes := siteAgents(240), siteHomes(6)
	if got := len(owners(agents, homes)); got != len(agents) {
		t.Errorf("%d agents have a home, want %d", got, len(agents))
	}
	for i := range homes {
		if n := len(roster.Cell(agents, homes, homes[i].Address)); n < 34 || n > 41 {
			t.Errorf("cell of %s has %d agents, want about 40", homes[i].Name, n)
		}
	}
	reversed := slices.Clone(agents)
	slices.Reverse(reversed)
	if !slices.Equal(roster.Cell(agents, homes, "e0:1"), roster.Cell(reversed, homes, "e0:1")) {
		t.Error("the cell depends on the order in which the agents are known")
	}
}

// TestFewAgentsChangeTheirCell bounds how many agents that could keep their home
// change it.
func TestFewAgentsChangeTheirCell(t *testing.T) {
	agents, homes := siteAgents(240), siteHomes(6)
	before := owners(agents, homes)
	count := func(after map[string]string) (n int) {
		for a, h := range after {
			if before[a] != h && before[a] != "e5:1" {
				n++
			}
		}
		return n
	}
	if n := count(owners(agents, append(siteHomes(5), member("e9", 0)))); n > len(agents)/4 {
		t.Errorf("%d agents of other homes change their cell when a home is replaced, want a quarter at most", n)
	}
	if n := count(owners(agents[1:], homes)); n > len(agents)/4 {
		t.Errorf("%d agents change their cell when one agent leaves, want a quarter at most", n)
	}
}

func TestHomesOfCells(t *testing.T) {
	r := newRoster("c")
	lead := member("d", 3)
	lead.Cells = 3
	weak, leaving, isolated := member("b", 0), member("a", 0), member("e", 0)
	weak.Cores, leaving.Leaving, isolated.Agents = 0.2, true, 2
	strong := member("f", 0)
	strong.Cores = 0.6
	for _, m := range []roster.Member{lead, weak, leaving, isolated, strong} {
		r.RecordContact(ready, m)
	}
	names := func(now time.Time) (ns []string) {
		for _, m := range r.Homes(now) {
			ns = append(ns, m.Name)
		}
		return ns
	}
	if got, want := names(ready), []string{"d", "f", "c"}; !slices.Equal(got, want) {
		t.Errorf("homes %v, want %v", got, want)
	}
	if !r.Self(ready).Places {
		t.Error("the entry does not know that it is home of a cell")
	}
	// The other cells go on while the site has no home.
	strong.Places, strong.Agents = true, 30
	r.RecordContact(ready, strong)
	r.MarkUnreachable("d:1")
	if got := names(ready); !slices.Contains(got, "f") {
		t.Errorf("homes %v after the home of the site was lost, want f among them", got)
	}
}

func TestSiteWithOneCellHasOneHome(t *testing.T) {
	r := newRoster("a")
	r.SetCells(1)
	r.RecordContact(ready, member("b", 0))
	if got := r.Homes(ready); len(got) != 1 || got[0].Name != "a" {
		t.Errorf("homes %v, want a", got)
	}
}

func TestCandidatesOfAJobAreStable(t *testing.T) {
	homes := siteHomes(6)
	first := make(map[string]int)
	for i := range 6000 {
		id := fmt.Sprintf("%016x", i)
		c := roster.Candidates(homes, id)
		first[c[0].Address]++
		rest := slices.DeleteFunc(slices.Clone(homes), func(m roster.Member) bool { return m.Address == c[0].Address })
		if after := roster.Candidates(rest, id); after[0].Address != c[1].Address {
			t.Fatalf("job %s: %s is next after the loss of its home, want %s", id, after[0].Address, c[1].Address)
		}
	}
	for h, n := range first {
		if n < 900 || n > 1100 {
			t.Errorf("%d of 6000 jobs go to %s, want about 1000", n, h)
		}
	}
}
