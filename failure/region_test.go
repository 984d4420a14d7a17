package failure

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// region is the hosts on one side of a network partition.
type region struct {
	entries []int
	hosts   []string
}

// regions divides the site into two regions. The first one has the first
// northAgents agents, the second one has the key-value service.
func regions(northAgents int) (north, south region) {
	north = region{[]int{0, 1}, []string{entryName(0), entryName(1)}}
	south = region{[]int{2}, []string{entryName(2), storeName}}
	for i := range agents {
		r := &north
		if i >= northAgents {
			r = &south
		}
		r.hosts = append(r.hosts, agentName(i))
	}
	return north, south
}

// setPartition cuts or restores all links between two regions, in both directions.
func (s *site) setPartition(a, b region, partitioned bool) {
	for _, x := range a.hosts {
		for _, y := range b.hosts {
			s.network.cut(x, y, partitioned)
			s.network.cut(y, x, partitioned)
		}
	}
}

// submitAcrossRejoin submits jobs in the north, ends the partition, and at once
// submits the same keys in the south.
func (s *site) submitAcrossRejoin(north, south region) (first, again tally) {
	jobs := workload{prefix: "late", callers: 2, jobs: 5, tasks: 2, entries: north.entries}
	first = s.runWorkload(&jobs)
	s.setPartition(north, south, false)
	jobs.entries = south.entries
	jobs.resubmission = true
	return first, s.runWorkload(&jobs)
}

// TestPartitionedRegions partitions two regions until each has declared the other
// lost. Each region serves its own callers. Idempotent jobs complete, except those
// that ran in the other region when the partition began. Other jobs may end
// unknown, but never run twice.
func TestPartitionedRegions(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		north, south := regions(agents / 2)
		s.setPartition(north, south, true)
		endAt := time.Now().Add(5 * retention)
		workloads := []*workload{
			{prefix: "north", entries: north.entries, idempotent: true},
			{prefix: "south", entries: south.entries, idempotent: true},
			{prefix: "northOnce", entries: north.entries},
			{prefix: "southOnce", entries: south.entries},
		}
		var wg sync.WaitGroup
		for _, w := range workloads {
			w.callers, w.jobs, w.tasks, w.pause, w.until = 2, 10_000, 2, 2*time.Second, endAt
			wg.Go(func() {
				n := s.runWorkload(w)
				t.Logf("%s: %+v", w.prefix, n)
				if lost := n.total() - n.complete; w.idempotent && lost > w.callers {
					t.Errorf("%s: %d of %d idempotent jobs are not complete", w.prefix, lost, n.total())
				}
			})
		}
		wg.Wait()
		first, again := s.submitAcrossRejoin(north, south)
		t.Logf("before the partition ended %+v, after %+v", first, again)
		time.Sleep(recoveryTime)
		if n := s.runWorkload(&workload{prefix: "after", callers: 6, jobs: 5, tasks: 3}); n.complete != n.total() {
			t.Errorf("after the recovery from the partition, not all jobs are complete: %+v", n)
		}
	})
}

// TestRegionDeclaredLost cuts off a region that has all targets. The other region
// declares its members lost and gets a new target. The first region is not
// notified, so it must stop running non-idempotent jobs by itself.
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
		t.Logf("before the partition ended %+v, after %+v", first, again)
		if again.total() == again.unanswered {
			t.Error("the region with the key-value service answers no job")
		}
	})
}

// TestPartitionCutsTheRightLinks checks that a partition cuts all links between
// the regions and none inside them.
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
