package failure

import (
	"testing"
	"time"
)

// fault is one kind of failure. If nothing else fails, only jobs that run on the
// failed member may be lost: at most one per slot, for both callers of the job.
type fault struct {
	name     string
	duration time.Duration
	slots    int                                // of the failed member
	inject   func(s *site, n int) (heal func()) // n is the number of earlier injections of this kind
}

// faults are the failures that the tests inject, alone and in pairs.
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
		f := s.targets[agents-1-n]
		f.kill()
		return f.revive
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

// The times until an installation needs no claims: settleTime after its start, and
// recoveryTime after a failure, since it takes two retentions to declare members
// lost.
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

// runWithFaults submits jobs while faults are injected, one shortly after the
// other. It checks that no guarantee is broken and that all later jobs complete.
func runWithFaults(t *testing.T, fs ...fault) (n tally) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		s.goroutines.Go(func() { injectFaults(s, fs) })
		n = s.runWorkload(&workload{prefix: "job", callers: 6, jobs: 100, tasks: 3, pause: 300 * time.Millisecond})
		t.Logf("%+v", n)
		time.Sleep(recoveryTime)
		if after := s.runWorkload(&workload{prefix: "after", callers: 6, jobs: 5, tasks: 3}); after.complete != after.total() {
			t.Errorf("after the recovery, not all jobs are complete: %+v", after)
		}
	})
	return n
}

// TestOneOfFourEntriesDies kills the home at 80% load. The other entries and all
// agents know which tasks it started, so no job may end with unknown tasks.
func TestOneOfFourEntriesDies(t *testing.T) {
	const callers, jobs, tasks = 8, 800, 2
	runWithSite(t, 4, func(t *testing.T, s *site) {
		s.goroutines.Go(func() {
			time.Sleep(10 * time.Second)
			s.killHome()
		})
		// Both callers of a key wait for the same run.
		timePerTask := (minRunTime + runTimeSpread/2) / (agents * slots)
		interval := timePerTask * tasks * callers / 2 * 100 / 80
		n := s.runWorkload(&workload{prefix: "job", callers: callers, jobs: jobs, tasks: tasks, interval: interval})
		t.Logf("%+v", n)
		if n.complete != callers*jobs {
			t.Errorf("%d of %d submissions were not complete", n.total()-n.complete, n.total())
		}
	})
}

func injectFaults(s *site, fs []fault) {
	injected := make(map[string]int)
	for _, f := range fs {
		time.Sleep(2 * time.Second)
		heal := f.inject(s, injected[f.name])
		injected[f.name]++
		s.goroutines.Go(func() {
			time.Sleep(f.duration)
			heal()
		})
	}
}

// TestTenMinuteStoreOutage checks that all jobs complete while the key-value
// service is down, and that all members are still listed afterwards.
func TestTenMinuteStoreOutage(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		s.faults.set(true, false)
		startedAt := time.Now()
		n := s.runWorkload(&workload{prefix: "job", callers: 4, jobs: 500, tasks: 3, pause: time.Second})
		if outage := time.Since(startedAt); n.complete != n.total() || outage < 9*time.Minute {
			t.Errorf("%+v in %v", n, outage)
		}
		s.faults.set(false, false)
		time.Sleep(settleTime)
		if st, err := s.entry(0).Status(t.Context()); err != nil || len(st.Entries) != 3 || len(st.Agents) != agents {
			t.Errorf("after the outage: %d entries, %d agents, %v", len(st.Entries), len(st.Agents), err)
		}
	})
}
