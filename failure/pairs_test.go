package failure

import (
	"testing"
	"time"
)

// fault is one kind of failure. It strikes the nth of its victims and returns
// how to end it. Only what runs on a victim may be lost when nothing else fails:
// at most a job for each of its slots, for both of its callers.
type fault struct {
	name     string
	duration time.Duration
	slots    int // of the victim
	inject   func(s *site, n int) (end func())
}

// faults are the failures that tests combine.
var faults = []fault{
	{"entryKilled", 5 * time.Second, 0, func(s *site, _ int) func() {
		i := s.killHome()
		return func() { s.startEntry(i) }
	}},
	{"agentKilled", 5 * time.Second, slots, func(s *site, n int) func() {
		s.agent(n).Kill()
		return func() { s.startAgent(n) }
	}},
	{"targetKilled", 10 * time.Second, slots, func(s *site, n int) func() {
		d := s.targets[agents-1-n]
		d.kill()
		return d.revive
	}},
	{"cutOneWay", 20 * time.Second, slots, func(s *site, n int) func() {
		home, next := entryName(s.ranking[0]), entryName(s.ranking[1])
		from, to := home, agentName(1)
		if n > 0 {
			from, to = next, home
		}
		s.network.cut(from, to, true)
		return func() { s.network.cut(from, to, false) }
	}},
	{"paused", 30 * time.Second, 0, func(s *site, n int) func() {
		h := agentName(2)
		if n == 0 {
			h = entryName(s.ranking[0])
		}
		s.network.pause(h, true)
		return func() { s.network.pause(h, false) }
	}},
	{"storeDown", 30 * time.Second, 0, func(s *site, _ int) func() {
		s.faults.set(true, false)
		return func() { s.faults.set(false, false) }
	}},
	{"answersLost", 30 * time.Second, 0, func(s *site, _ int) func() {
		s.faults.set(false, true)
		return func() { s.faults.set(false, false) }
	}},
}

// The times until an installation needs no claims: after its start, and after
// members were lost, which takes two retentions.
const (
	retention    = 3 * window
	settleTime   = retention + 30*time.Second
	recoveryTime = 2*retention + settleTime
)

func TestEachFailure(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			n := runWithFaults(t, f)
			if lost := n.total() - n.complete; lost > 2*f.slots {
				t.Errorf("%d submissions were not complete, want at most %d", lost, 2*f.slots)
			}
		})
	}
}

func TestEachPairOfFailures(t *testing.T) {
	for i, f := range faults {
		for _, g := range faults[i:] {
			t.Run(f.name+"+"+g.name, func(t *testing.T) {
				t.Parallel()
				runWithFaults(t, f, g)
			})
		}
	}
}

// runWithFaults runs callers while faults strike, one shortly after the other, and
// demands that no promise is broken, and that all works again afterwards.
func runWithFaults(t *testing.T, fs ...fault) (n tally) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		s.goroutines.Go(func() { injectFaults(s, fs) })
		n = s.runWorkload(&workload{prefix: "job", callers: 6, jobs: 100, tasks: 3, pause: 300 * time.Millisecond})
		t.Logf("%+v", n)
		time.Sleep(recoveryTime)
		if after := s.runWorkload(&workload{prefix: "after", callers: 6, jobs: 5, tasks: 3}); after.complete != after.total() {
			t.Errorf("long after the failures: %+v", after)
		}
	})
	return n
}

// TestOneOfFourEntriesDies kills the home at 80% load. The other entries and
// all agents can tell what it had started, so no job may end unknown.
func TestOneOfFourEntriesDies(t *testing.T) {
	const callers, jobs, tasks = 8, 800, 2
	runWithSite(t, 4, func(t *testing.T, s *site) {
		s.goroutines.Go(func() {
			time.Sleep(10 * time.Second)
			s.killHome()
		})
		// Both callers of a key wait for the same run.
		perTask := (minRunTime + runTimeSpread/2) / (agents * slots)
		every := perTask * tasks * callers / 2 * 100 / 80
		n := s.runWorkload(&workload{prefix: "job", callers: callers, jobs: jobs, tasks: tasks, interval: every})
		t.Logf("%+v", n)
		if n.complete != callers*jobs {
			t.Errorf("%d of %d submissions were not complete", n.total()-n.complete, n.total())
		}
	})
}

func injectFaults(s *site, fs []fault) {
	seen := make(map[string]int)
	for _, f := range fs {
		time.Sleep(2 * time.Second)
		end := f.inject(s, seen[f.name])
		seen[f.name]++
		s.goroutines.Go(func() {
			time.Sleep(f.duration)
			end()
		})
	}
}

// TestTenMinuteStoreOutage keeps the key-value service down: all jobs are
// complete, and all members are still listed afterwards.
func TestTenMinuteStoreOutage(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		s.faults.set(true, false)
		begin := time.Now()
		n := s.runWorkload(&workload{prefix: "job", callers: 4, jobs: 500, tasks: 3, pause: time.Second})
		if outage := time.Since(begin); n.complete != n.total() || outage < 9*time.Minute {
			t.Errorf("%+v in %v", n, outage)
		}
		s.faults.set(false, false)
		time.Sleep(settleTime)
		if st, err := s.entry(0).Status(t.Context()); err != nil || len(st.Entries) != 3 || len(st.Agents) != agents {
			t.Errorf("after the outage: %d entries, %d agents, %v", len(st.Entries), len(st.Agents), err)
		}
	})
}
