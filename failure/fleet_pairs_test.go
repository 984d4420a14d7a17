package failure

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

var (
	pairsFlag = flag.Int("pairs", 8, "pairs of faults of a fleet to run; all of them if there are not more")
	pairsSeed = flag.Uint64("pairsSeed", 1, "seed that chooses the pairs")
)

// endedProcess tells which faults end a process, and of which kind: two that may end the
// same one are not paired.
var endedProcess = map[string]string{"home killed": "entry", "entry leaves": "entry", "agent killed": "agent"}

// minShareInPairs is the part of the requests that completes under two faults. It
// is the least floor of the users' days with trouble.
const minShareInPairs = 0.377

// TestFleetUnderPairsOfFaults lets a second thing fail while the first one does.
func TestFleetUnderPairsOfFaults(t *testing.T) {
	var pairs [][2]fleetFault
	for i, a := range fleetFaults {
		for _, b := range fleetFaults[i:] {
			if endedProcess[a.name] == "" || endedProcess[a.name] != endedProcess[b.name] {
				pairs = append(pairs, [2]fleetFault{a, b})
			}
		}
	}
	rng := rand.New(rand.NewPCG(*pairsSeed, 0))
	rng.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
	for _, p := range pairs[:min(*pairsFlag, len(pairs))] {
		t.Run(p[0].name+"+"+p[1].name, func(t *testing.T) {
			runWithFleet(t, func(_ *testing.T, s *fleet) {
				var faults sync.WaitGroup
				for i, f := range p {
					faults.Go(func() {
						time.Sleep(time.Second + time.Duration(i)*faultDelay)
						f.fault(s)
					})
				}
				s.load(6*time.Second, 0, 1, 2)
				faults.Wait()
				s.wantCompleted(minShareInPairs)
				s.wantOneHome()
			})
		})
	}
}

// faultDelay is less than any fault lasts.
const faultDelay = 300 * time.Millisecond
