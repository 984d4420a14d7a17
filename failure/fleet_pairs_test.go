package failure

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

var (
	pairsFlag = flag.Int("pairs", 8, "number of fault pairs of a fleet to run, at most all of them")
	pairsSeed = flag.Uint64("pairsSeed", 1, "random seed for the choice of the pairs")
)

// endedProcess maps the faults that end a process to the kind of the process. Two
// faults that may end the same process are not paired.
var endedProcess = map[string]string{"home killed": "entry", "entry leaves": "entry", "agent killed": "agent"}

// minShareInPairs is the share of the requests that must complete under two
// faults. It is the lowest minimum that the users set for days with failures.
const minShareInPairs = 0.377

// TestFleetUnderPairsOfFaults injects a second fault while the first one lasts.
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
				s.lateJobs = true
				var faults sync.WaitGroup
				for i, f := range p {
					faults.Go(func() {
						time.Sleep(time.Second + time.Duration(i)*faultDelay)
						f.inject(s)
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

// faultDelay is the time between two faults. It is shorter than any fault lasts.
const faultDelay = 300 * time.Millisecond
