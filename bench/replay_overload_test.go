package bench

import (
	"slices"
	"testing"
)

// overloadChecks are checks of patterns above the capacity, beside their worth.
var overloadChecks = map[string]func(*testing.T, *ReplayResult){
	"zhumabekov-overload.toml": checkOverload,
	"perfil-overload.toml":     checkOverload,
	"zhumabekov-bursts.toml":   checkBursts,
	"caller-flood.toml":        checkFlood,
}

const (
	overloadDemand  = 1.5   // over the capacity
	minOverloadWork = 0.92  // least goodput at that demand
	maxSlowRejects  = 0.003 // largest part of the jobs that is rejected after earlyRejectTime
	maxLateJobs     = 0.03  // largest part of a queue's jobs that is late at that demand
)

// checkOverload guards against capacity that is spent on jobs that end late, against
// starvation of a queue by those of higher priorities, and against late rejections.
func checkOverload(t *testing.T, res *ReplayResult) {
	if res.Goodput < minOverloadWork {
		t.Errorf("work in time %.3f of the capacity; want at least %.2f", res.Goodput, minOverloadWork)
	}
	jobs := 0
	for _, q := range res.Queues {
		jobs += q.Submitted
		if share := float64(q.InTime) / float64(q.Submitted); share < 0.5/overloadDemand {
			t.Errorf("%s: %.3f of the jobs in time; want at least half of its share, %.3f", q.Name, share, 0.5/overloadDemand)
		}
		if late := float64(q.Late+q.Missed) / float64(q.Submitted); late > maxLateJobs {
			t.Errorf("%s: %.3f of the jobs late or missed; want at most %.2f", q.Name, late, maxLateJobs)
		}
	}
	if part := float64(res.SlowRejects) / float64(jobs); part > maxSlowRejects {
		t.Errorf("%d of %d jobs rejected after %v; want at most %.3f", res.SlowRejects, jobs, earlyRejectTime, maxSlowRejects)
	}
}

// checkBursts guards against bursts of one queue that make the long jobs of the lowest
// priority late.
func checkBursts(t *testing.T, res *ReplayResult) {
	for _, q := range res.Queues {
		if late := float64(q.Late+q.Missed) / float64(q.Submitted); late > maxLateJobs {
			t.Errorf("%s: %.3f of the jobs late or missed; want at most %.2f", q.Name, late, maxLateJobs)
		}
	}
	if res.OverallShare < 0.88 {
		t.Errorf("%.3f of the worth of the day; want at least 0.88", res.OverallShare)
	}
}

// checkFlood guards against a flood from one data centre that makes the jobs of the others
// late.
func checkFlood(t *testing.T, res *ReplayResult) {
	if worst := slices.Min(res.ZoneShares[1:]); worst < 0.88 {
		t.Errorf("a data centre beside the flood earned %.3f of its worth; want at least 0.88", worst)
	}
}
