package dispatch_test

import "time"

// partition is a network partition that lasts for a while. Each member is on one
// side, and messages between the sides wait, in both directions or in only one.
// The zero partition blocks nothing.
type partition struct {
	until  time.Time
	sides  map[string]bool
	oneWay bool
}

// storeName is the name of the key-value service in a partition.
const storeName = "store"

func (p *partition) blocks(now time.Time, from, to string) bool {
	if !now.Before(p.until) || p.sides[from] == p.sides[to] {
		return false
	}
	return !p.oneWay || p.sides[from]
}

// maxPartition is the longest partition. It is long enough for all unreachable
// members to be removed from the registry.
const maxPartition = 5 * retention

// startPartition splits the members into two sides at random.
func (w *world) startPartition() {
	w.partition = partition{
		until:  w.now.Add(time.Duration(w.r.Int64N(int64(maxPartition)))),
		sides:  map[string]bool{storeName: w.r.IntN(2) == 0},
		oneWay: w.r.IntN(4) == 0,
	}
	for _, e := range w.entries {
		w.partition.sides[e.id] = w.r.IntN(2) == 0
	}
	for _, a := range w.agents {
		w.partition.sides[a.id] = w.r.IntN(2) == 0
	}
	w.tracef("partition for %v: %v", w.partition.until.Sub(w.now), w.partition.sides)
}

func (w *world) reachesStore(e *simEntry) bool {
	connected := !w.partition.blocks(w.now, e.id, storeName) && !w.partition.blocks(w.now, storeName, e.id)
	return w.storeUp && w.entryUp(e) && connected
}

// elapse advances the clock by seconds, in each of which the members gossip.
func (w *world) elapse(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		w.tick()
		w.gossip()
	}
}
