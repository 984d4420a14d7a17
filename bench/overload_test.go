package bench

import (
	"testing"
	"time"
)

const (
	minGoodput     = 0.95 // share of the slot time in a burst
	maxTeamP99Rise = 1.20 // factor of a team's p99 while another team floods
	teamLoad       = 0.3  // share of the capacity
	floodSeeds     = 4
	teamQuota      = numAgents * numSlots / 2
)

// TestGoodputInBurst checks that slots are not spent on jobs that miss their
// deadline, when five times the load arrives for 10 s and most of it can't be in time.
func TestGoodputInBurst(t *testing.T) {
	deadlines := map[*Workload]time.Duration{&Hillside: 2 * time.Second, &RetourPlateau: 10 * time.Second}
	for w, deadline := range deadlines {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			res := Run(Scenario{Workload: w, Load: remainingLoad, Fault: Burst, Strategy: Credits, Seed: 1, Deadline: deadline})
			t.Logf("goodput %.3f; %s", res.Goodput, res.Row())
			if res.Goodput < minGoodput {
				t.Errorf("goodput %.3f of the slot time; want at least %.2f", res.Goodput, minGoodput)
			}
		})
	}
}

// TestTeamBesideAFlood compares a team's response times with those of the same
// jobs while another team submits three times the capacity. Each team may use half
// of the slots.
func TestTeamBesideAFlood(t *testing.T) {
	for _, w := range []*Workload{&Hillside, &RetourPlateau} {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			var alone, beside time.Duration
			for seed := range uint64(floodSeeds) {
				sc := Scenario{Workload: w, Load: teamLoad, Fault: None, Strategy: Credits, Seed: 1 + seed, Deadline: 20 * time.Second, Quota: teamQuota}
				res := Run(sc)
				sc.Flood = true
				flooded := Run(sc)
				t.Logf("seed %d: p99 %v alone, %v beside the flood", sc.Seed, res.TeamP99, flooded.TeamP99)
				alone += res.TeamP99
				beside += flooded.TeamP99
			}
			rise := beside.Seconds() / alone.Seconds()
			t.Logf("rise %.3f", rise)
			if rise > maxTeamP99Rise {
				t.Errorf("the team's p99 rises by a factor of %.3f; want at most %.2f", rise, maxTeamP99Rise)
			}
		})
	}
}
