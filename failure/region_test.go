package failure

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// region is what a cut separates from the rest.
type region struct {
	entries []int
	hosts   []string
}

// regions returns two regions, of which the first has the first agents. The
// key-value service is in the second one.
func regions(inNorth int) (north, south region) {
	north = region{[]int{0, 1}, []string{entryName(0), entryName(1)}}
	south = region{[]int{2}, []string{entryName(2), storeName}}
	for i := range agents {
		r := &north
		if i >= inNorth {
			r = &south
		}
		r.hosts = append(r.hosts, agentName(i))
	}
	return north, south
}

// setPartition cuts or joins two regions, in both directions.
func (s *site) setPartition(a, b region, on bool) {
	for _, x := range a.hosts {
		for _, y := range b.hosts {
			s.network.cut(x, y, on)
			s.network.cut(y, x, on)
		}
	}
}

// submitAcrossRejoin lets callers in the north submit jobs, joins the regions again, and lets
// callers in the south submit the same keys at once.
func (s *site) submitAcrossRejoin(north, south region) (first, again tally) {
	late := workload{prefix: "late", callers: 2, jobs: 5, tasks: 2, entries: north.entries}
	first = s.runWorkload(&late)
	s.setPartition(north, south, false)
	late.entries = south.entries
	late.resubmission = true
	return first, s.runWorkload(&late)
}

// TestPartitionedRegions cuts two regions off from one another until each has
// given the other up. Each serves its own callers: idempotent jobs throughout,
// but for what ran in the other region when it was cut off; jobs that are not
// may end unknown, but never run twice.
func TestPartitionedRegions(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		north, south := regions(agents / 2)
		s.setPartition(north, south, true)
		end := time.Now().Add(5 * retention)
		kinds := []*workload{
			{prefix: "north", entries: north.entries, idempotent: true},
			{prefix: "south", entries: south.entries, idempotent: true},
			{prefix: "northOnce", entries: north.entries},
			{prefix: "southOnce", entries: south.entries},
		}
		var wg sync.WaitGroup
		for _, c := range kinds {
			c.callers, c.jobs, c.tasks, c.pause, c.until = 2, 10_000, 2, 2*time.Second, end
			wg.Go(func() {
				n := s.runWorkload(c)
				t.Logf("%s: %+v", c.prefix, n)
				if lost := n.total() - n.complete; c.idempotent && lost > c.callers {
					t.Errorf("%s: %d of %d idempotent jobs are not complete", c.prefix, lost, n.total())
				}
			})
		}
		wg.Wait()
		first, again := s.submitAcrossRejoin(north, south)
		t.Logf("before the regions met %+v, after %+v", first, again)
		time.Sleep(recoveryTime)
		if n := s.runWorkload(&workload{prefix: "after", callers: 6, jobs: 5, tasks: 3}); n.complete != n.total() {
			t.Errorf("long after the regions met: %+v", n)
		}
	})
}

// TestRegionDeclaredLost cuts a region off that has all targets. The other one
// gives all its members up, and gets a new target. Nothing tells the first one,
// so it must stop to run jobs that are not idempotent by itself.
func TestRegionDeclaredLost(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		const newcomer = 3
		s.agent(newcomer).Kill()
		time.Sleep(recoveryTime)
		north, south := regions(newcomer)
		s.setPartition(north, south, true)
		time.Sleep(2*retention + window)
		s.startAgent(newcomer)
		time.Sleep(2 * settleTime)
		first, again := s.submitAcrossRejoin(north, south)
		t.Logf("before the regions met %+v, after %+v", first, again)
		if again.total() == again.unanswered {
			t.Error("the region with the key-value service answers nothing")
		}
	})
}

// TestPartitionCutsTheRightLinks makes sure that a separation is one.
func TestPartitionCutsTheRightLinks(t *testing.T) {
	s := &site{network: newNetwork()}
	north, south := regions(agents / 2)
	s.setPartition(north, south, true)
	all := slices.Concat(north.hosts, south.hosts)
	for _, x := range all {
		for _, y := range all {
			apart := slices.Contains(north.hosts, x) != slices.Contains(north.hosts, y)
			if got := s.network.isCut(link{x, y}); got != apart {
				t.Errorf("%s to %s is cut: %t", x, y, got)
			}
		}
	}
}
