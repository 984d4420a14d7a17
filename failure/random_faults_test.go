package failure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masticbay/platform/standin"
)

// randomFault is a kind of failure whose place, length and variant are drawn at random.
type randomFault struct {
	name   string
	inject func(f *randomFaults, rng *rand.Rand, duration time.Duration)
}

// randomFaults injects faults into a fleet.
type randomFaults struct {
	s      *fleet
	ended  claims     // processes that a fault has ended
	orders lateOrders // by all workers
	// sameIDs is set if some workers return under the ID that they had.
	sameIDs bool
}

var randomKinds = []randomFault{
	{"orders late", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.orders.set(0.3+0.4*rng.Float64(), true)
		time.Sleep(d)
		f.orders.set(0, false)
	}},
	{"stops late", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.orders.set(0.3+0.7*rng.Float64(), false)
		time.Sleep(d)
		f.orders.set(0, false)
	}},
	{"worker reborn", func(f *randomFaults, rng *rand.Rand, _ time.Duration) { f.rebear(rng.IntN(fleetAgents), rng) }},
	{"worker reborn behind a cut", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(fleetAgents)
		f.s.cutWorker(i, d)
		time.Sleep(time.Duration(rng.Float64() * float64(d)))
		f.rebear(i, rng)
	}},
	{"agent and worker restarted", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(fleetAgents)
		f.restartAgent(i, d/8, func() { f.rebear(i, rng) })
	}},
	{"agent killed", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.restartAgent(rng.IntN(fleetAgents), d/4, func() {})
	}},
	{"agents fail one after another", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		for _, i := range rng.Perm(fleetAgents) {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			f.s.goroutines.Go(func() { f.failAgent(i, own, d) })
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		}
	}},
	{"agent fails", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.failAgent(rng.IntN(fleetAgents), rng, d)
	}},
	{"home cut off from the agents", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		home := fmt.Sprint("e", f.home(rng))
		for i := range fleetAgents {
			f.cut(home, fmt.Sprint("a", i), rng.IntN(3), d)
		}
		time.Sleep(d)
	}},
	{"entry killed", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.restartEntry(rng.IntN(fleetEntries), d, false)
	}},
	{"home killed", func(f *randomFaults, rng *rand.Rand, d time.Duration) { f.restartEntry(f.home(rng), d, false) }},
	{"entry killed, then its home fails", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		home := f.home(rng)
		entry := (home + 1 + rng.IntN(fleetEntries-1)) % fleetEntries
		f.s.goroutines.Go(func() { f.restartEntry(entry, d, false) })
		time.Sleep(time.Duration(100+rng.IntN(500)) * time.Millisecond)
		f.failEntry(home, rng, d)
	}},
	{"entry fails", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.failEntry(rng.IntN(fleetEntries), rng, d)
	}},
	{"home fails", func(f *randomFaults, rng *rand.Rand, d time.Duration) { f.failEntry(f.home(rng), rng, d) }},
	{"home cut off from the other entries", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.cutEntry(f.home(rng), rng, d+3*time.Second)
	}},
	{"entries refuse the home", func(f *randomFaults, rng *rand.Rand, d time.Duration) { f.s.refuseHome(f.home(rng), d) }},
	{"connections reset", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		for range 3 {
			f.s.network.resetConns(fmt.Sprint([]string{"e", "f"}[rng.IntN(2)], rng.IntN(fleetEntries)))
			time.Sleep(d / 3)
		}
	}},
	{"connections silent", func(f *randomFaults, rng *rand.Rand, _ time.Duration) {
		f.s.network.silence(fmt.Sprint("e", rng.IntN(fleetEntries)))
	}},
	{"entry cut off from its callers", func(f *randomFaults, rng *rand.Rand, _ time.Duration) {
		f.s.network.vanish(fmt.Sprint("f", rng.IntN(fleetEntries)))
	}},
	{"entry stops", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.restartEntry(rng.IntN(fleetEntries), d/4, true)
	}},
	{"home stops", func(f *randomFaults, rng *rand.Rand, d time.Duration) { f.restartEntry(f.home(rng), d/4, true) }},
	{"store fails", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		f.s.store.SetFaults([]standin.StoreFaults{
			{Down: true}, {DropReplies: true}, {DropWatchEvents: true}, {Delay: 200 * time.Millisecond}, {HistoryGone: true},
			{RefusedHosts: map[string]bool{fmt.Sprint("e", f.home(rng)): true}}, {WriteDelay: time.Second},
		}[rng.IntN(7)])
		time.Sleep(d)
		f.s.store.SetFaults(standin.StoreFaults{})
	}},
	{"worker stalls", func(f *randomFaults, rng *rand.Rand, d time.Duration) { f.orders.stall(rng.IntN(fleetAgents), d) }},
	{"worker drains", func(f *randomFaults, rng *rand.Rand, d time.Duration) {
		i := rng.IntN(fleetAgents)
		f.s.workers[i].Drain()
		time.Sleep(d)
		f.rebear(i, rng)
	}},
}
