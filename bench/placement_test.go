package bench

import "testing"

// placementSeeds is the number of seeds over which the tests of placement average.
const placementSeeds = 2

// replaySeeds replays the first seconds of an embedded pattern with several seeds.
func replaySeeds(t *testing.T, file string, seconds float64) (results []*ReplayResult) {
	t.Helper()
	for seed := range uint64(placementSeeds) {
		results = append(results, replayPattern(t, file, func(r *replay) {
			r.reseed(seed + 1)
			r.pattern.Seconds = seconds
		}))
	}
	return results
}

// inTime returns the mean share of a queue's jobs that were in time.
func inTime(results []*ReplayResult, queue int) (mean float64) {
	for _, r := range results {
		q := &r.Queues[queue]
		mean += float64(q.InTime) / float64(q.Submitted) / float64(len(results))
	}
	return mean
}

// TestTailIsTakenForSlowWorkers guards against work that is thrown away, since runs in
// their tail are stopped and started again, and against jobs that are missed by it.
func TestTailIsTakenForSlowWorkers(t *testing.T) {
	t.Parallel()
	results := replaySeeds(t, "lifts.toml", 8)
	wasted := 0.0
	for _, r := range results {
		wasted += r.WastedWork.Seconds() / placementSeeds
	}
	t.Logf("%.0f s of work wasted, %.4f of the long jobs in time", wasted, inTime(results, 2))
	if wasted > 100 {
		t.Errorf("%.0f s of work wasted, want at most 100", wasted)
	}
	if v := inTime(results, 2); v < 0.98 {
		t.Errorf("%.4f of the long jobs in time, want at least 0.98", v)
	}
}

// TestJobsRunOutsideTheirRacks guards against tasks that take three times as long on fast
// workers outside their racks, while their racks have free capacity.
func TestJobsRunOutsideTheirRacks(t *testing.T) {
	t.Parallel()
	results := replaySeeds(t, "fuel-racks.toml", 6)
	for i, q := range results[0].Queues {
		v := inTime(results, i)
		t.Logf("%s: %.4f in time", q.Name, v)
		if v < 0.97 {
			t.Errorf("%s: %.4f in time, want at least 0.97", q.Name, v)
		}
	}
}

// TestHotRackHoldsItsJobsBack guards against a rack that more work wants than it can do:
// neither do its jobs wait for it in vain, nor do those that are late elsewhere leave it to
// those that are not.
func TestHotRackHoldsItsJobsBack(t *testing.T) {
	t.Parallel()
	results := replaySeeds(t, "fuel-hot-rack.toml", 8)
	for i, want := range []float64{0.99, 0.98, 0.89} {
		v := inTime(results, i)
		t.Logf("%s: %.4f in time", results[0].Queues[i].Name, v)
		if v < want {
			t.Errorf("%s: %.4f in time, want at least %.2f", results[0].Queues[i].Name, v, want)
		}
	}
}
