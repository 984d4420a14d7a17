package schedule

import (
	"math"
	"testing"
)

// TestDistributionWithoutATail guards against a tail that is seen where estimates are
// only wrong by 40%, with and without runs.
func TestDistributionWithoutATail(t *testing.T) {
	r := newRatios()
	for range 3 {
		if r.tail > 0.002 || r.long < 3 || r.long > 4 {
			t.Errorf("after %g runs: tail %g, want none; long %g, want 3.4", r.total, r.tail, r.long)
		}
		for i := range 1000 { // the quantiles of the assumed distribution
			r.add(math.Exp(assumedSpread * math.Sqrt2 * math.Erfinv(2*(float64(i)+0.5)/1000-1)))
		}
	}
}

// TestDistributionIsBoundedAndFollows guards against a tail that is not forgotten, and
// against ratios that no bucket holds.
func TestDistributionIsBoundedAndFollows(t *testing.T) {
	r := newRatios()
	for i := range 3000 {
		ratio := 1.0
		if i%33 == 0 {
			ratio = 7
		}
		r.add(ratio)
	}
	if r.tail < 0.007 || r.tail > 0.013 || r.long < 7 || r.long > 8.5 {
		t.Errorf("tail %g, want 0.01, which is 0.03 less assumedSlowShare; long %g, want 7 to 8.4", r.tail, r.long)
	}
	for _, ratio := range []float64{0, 1e-9, 1e9, math.Inf(1)} {
		r.add(ratio)
	}
	for range 20 * ratioWindow {
		r.add(1)
	}
	if r.tail != 0 || r.total > ratioWindow {
		t.Errorf("tail %g of %g runs, want none of at most %d", r.tail, r.total, ratioWindow)
	}
}
