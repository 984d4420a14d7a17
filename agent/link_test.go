package agent

import (
	"fmt"
	"slices"
	"testing"

	"masticbay/member"
	"masticbay/setting"
)

func TestAgentsLendToTheHomesOfTheirService(t *testing.T) {
	reg := member.Registry{}
	for i := range 16 {
		reg.Entries = append(reg.Entries, member.Entry{ID: fmt.Sprint("e", i)})
	}
	p := setting.Default[setting.Agent]().Policy
	for _, homes := range []int{1, 4, 16} {
		p.Homes = homes
		agents := make(map[string]int)
		for i := range 100 {
			chosen := chooseEntries(reg.Entries, &p, "pickup", fmt.Sprint("a", i))
			if len(chosen) != p.EntrySubset || !slices.Contains(chosen, reg.Rank("pickup")[0]) {
				t.Fatalf("%d homes: an agent chose %v", homes, chosen)
			}
			for _, e := range chosen {
				agents[e.ID]++
			}
		}
		for i := range homes {
			home, _ := reg.Home(p.HomeOf("pickup", i))
			if agents[home.ID] == 0 || (homes < p.EntrySubset && agents[home.ID] < 100) {
				t.Errorf("%d homes: home %d has %d of 100 agents", homes, i, agents[home.ID])
			}
		}
	}
}

func TestAgentLendsToAllOfFewEntries(t *testing.T) {
	entries := []member.Entry{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	p := setting.Default[setting.Agent]().Policy
	if chosen := chooseEntries(entries, &p, "pickup", "a1"); len(chosen) != 3 {
		t.Errorf("chose %v of three", chosen)
	}
}
