package interference_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"masticbay/interference"
)

// replay simulates steps of 4 tasks of kinds a and b on 24 uneven workers, whose slowness is
// known up to 10%. Other kinds run beside each task at random.
type replay struct {
	rng     *rand.Rand
	d       *interference.Detector
	now     time.Time
	errors  []float64           // log error of each worker's slowness
	factor  float64             // of kind a beside b
	slow    map[int]float64     // additional factors of workers, unknown to the home
	beside  func(w int) float64 // probability that b runs on a worker
	changes []interference.Change
}

func newReplay(seed int64) *replay {
	r := &replay{rng: rand.New(rand.NewSource(seed)), d: interference.NewDetector(), now: time.Unix(1000, 0), factor: 1}
	r.beside = func(int) float64 { return 0.4 }
	for range 24 {
		r.errors = append(r.errors, 0.1*r.rng.NormFloat64())
	}
	return r
}

// run replays a number of runs, and returns the number after which the pair a, b is found;
// 0 if it is not.
func (r *replay) run(runs int) (foundAfter int) {
	a, b := r.d.Kind("a"), r.d.Kind("b")
	for n := 0; n < runs; n += 4 {
		r.now = r.now.Add(20 * time.Millisecond)
		estimateError := 0.4 * r.rng.NormFloat64()
		var step []interference.Run
		for range 4 {
			w := r.rng.Intn(len(r.errors))
			run := interference.Run{Worker: fmt.Sprintf("10.1.0.%d:7720", w), Residual: estimateError + r.errors[w] + 0.15*r.rng.NormFloat64()}
			if r.rng.Float64() < 0.03 {
				run.Residual += math.Log(7)
			}
			if f, ok := r.slow[w]; ok {
				run.Residual += math.Log(f)
			}
			if r.rng.Float64() < r.beside(w) {
				run.Beside = b
				if r.rng.Float64() >= 0.2 { // b does not end at once
					run.Residual += math.Log(r.factor)
				}
			}
			if r.rng.Float64() < 0.3 {
				run.Beside |= a
			}
			step = append(step, run)
		}
		r.changes = append(r.changes, r.d.Observe(r.now, "a", step)...)
		if foundAfter == 0 && r.d.Factor("a", b) > 1 {
			foundAfter = n + 4
		}
	}
	return foundAfter
}

// TestInterferenceIsFound guards against a threshold that a factor of 1.3 doesn't reach in
// 2,000 runs.
func TestInterferenceIsFound(t *testing.T) {
	slowest := 0
	for seed := range int64(100) {
		r := newReplay(seed)
		r.factor = 1.3
		n := r.run(2000)
		if n == 0 {
			t.Errorf("seed %d: not found in 2000 runs", seed)
		}
		slowest = max(slowest, n)
		if f := r.d.Factor("a", r.d.Kind("b")); f < 1.15 || f > 1.45 {
			t.Errorf("seed %d: factor %.2f, want 1.3", seed, f)
		}
	}
	t.Logf("found after at most %d runs", slowest)
}

// TestNoFalsePair guards against pairs found in tails, wrong estimates and uneven workers.
func TestNoFalsePair(t *testing.T) {
	for seed := range int64(1000) {
		r := newReplay(seed)
		r.run(2000)
		if len(r.changes) > 0 {
			t.Errorf("seed %d: %+v", seed, r.changes)
		}
	}
}

// TestSlowWorkerIsNotInterference guards against blaming a kind for the slow workers that it
// mostly runs on.
func TestSlowWorkerIsNotInterference(t *testing.T) {
	for seed := range int64(100) {
		r := newReplay(seed)
		r.slow = map[int]float64{3: 2}
		r.beside = func(w int) float64 {
			if w == 3 {
				return 0.95
			}
			return 0.1
		}
		r.run(4000)
		if len(r.changes) > 0 {
			t.Errorf("seed %d: %+v", seed, r.changes)
		}
	}
}

// TestKindOnFewWorkersIsNotInterference guards against pairs found in the errors of the
// slowness of the few workers on which a kind always runs.
func TestKindOnFewWorkersIsNotInterference(t *testing.T) {
	for seed := range int64(300) {
		r := newReplay(seed)
		r.beside = func(w int) float64 {
			if w < 8 {
				return 0.95
			}
			return 0.02
		}
		r.run(2000)
		if len(r.changes) > 0 {
			t.Errorf("seed %d: %+v", seed, r.changes)
		}
	}
}

// TestChangeMidway guards against pairs that stay after their interference has ended, and
// against old evidence that hides new interference.
func TestChangeMidway(t *testing.T) {
	r := newReplay(1)
	r.run(4000)
	r.factor = 1.3
	if r.run(4000) == 0 {
		t.Fatal("interference that began midway is not found")
	}
	r.factor = 1
	r.run(8000)
	if n := r.d.NumFound(); n != 0 || len(r.changes) != 2 || r.changes[1].Found {
		t.Errorf("%d pairs found after the interference has ended; changes %+v", n, r.changes)
	}
}

// TestImport guards against a new home that forgets pairs while they hold, or keeps them
// when they don't.
func TestImport(t *testing.T) {
	old := newReplay(1)
	old.factor = 1.3
	old.run(2000)
	pairs := old.d.Export(16)
	if len(pairs) != 1 || pairs[0].Kind != "a" || pairs[0].Beside != "b" {
		t.Fatalf("exported %+v", pairs)
	}
	holds, ended, silent := newReplay(2), newReplay(3), newReplay(4)
	holds.factor = 1.3
	for _, r := range []*replay{holds, ended, silent} {
		r.d.Import(r.now, append(pairs, interference.Pair{Kind: "a", Beside: "c", Factor: math.NaN()}))
		if r.d.NumFound() != 1 {
			t.Fatalf("%d pairs after the import", r.d.NumFound())
		}
	}
	holds.run(8000)
	ended.run(4000)
	if len(holds.changes) > 0 {
		t.Errorf("a pair that holds was changed: %+v", holds.changes)
	}
	if ended.d.NumFound() != 0 {
		t.Error("an imported pair that doesn't hold is kept")
	}
	silent.d.Expire(silent.now.Add(59 * time.Second))
	if silent.d.NumFound() != 1 {
		t.Error("an imported pair expired before 60 s")
	}
	if c := silent.d.Expire(silent.now.Add(61 * time.Second)); len(c) != 1 || silent.d.NumFound() != 0 {
		t.Error("an imported pair without evidence is kept")
	}
}

// TestStateIsBounded guards against growth with the number of kinds.
func TestStateIsBounded(t *testing.T) {
	d := interference.NewDetector()
	now := time.Unix(1000, 0)
	for i := range 100 {
		var all interference.Set
		for k := range 100 {
			all |= d.Kind(fmt.Sprint(k))
		}
		d.Observe(now, fmt.Sprint(i), []interference.Run{{Worker: "w", Beside: all}, {Worker: "w"}})
	}
	if d.Kind("99") != 0 || d.NumFound() != 0 {
		t.Error("kinds beyond the limit are kept")
	}
}
