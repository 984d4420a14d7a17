package schedule

import "math"

// This file holds the distribution of run times that is learned by queue. Estimates are
// wrong by factors that differ between queues, and some queues have a tail: a few tasks
// that take a multiple of the others. A mean says nothing about either.

// The buckets of a distribution: ratioBuckets of them, ratioBucketsPerOctave to a factor
// of two, from a ratio of minRatio on. The last one holds all that is above.
const (
	ratioBuckets          = 36
	ratioBucketsPerOctave = 4
	minRatio              = 1.0 / 16
)

const (
	ratioWindow    = 2000 // runs after which the weights of all earlier ones are halved
	ratioPrior     = 100  // runs as which the assumed distribution counts
	assumedSpread  = 0.4  // of estimates, as the deviation of the logarithm, until runs tell
	refreshRunsGap = 50   // runs between computations of the quantiles
)

// longQuantile is the share of the runs that ratios.long exceeds; the quantile of the
// assumed distribution is 3.4.
const longQuantile = 0.999

// ratios is the distribution of the ratio of run time to expected time of a queue's tasks.
type ratios struct {
	counts [ratioBuckets]float64
	total  float64
	unread int     // runs since the quantiles were computed
	long   float64 // hardly any run takes longer
	slow   float64 // mean ratio of the runs above slowRatio
	tail   float64 // share of runs reported as slow, beyond what wrong estimates explain
}

// newRatios returns the distribution that is assumed until runs tell of another.
func newRatios() *ratios {
	r := new(ratios)
	previous := 0.0
	for i := range r.counts {
		next := 1.0
		if i < ratioBuckets-1 {
			next = 0.5 * math.Erfc(-math.Log(bucketStart(float64(i+1)))/assumedSpread/math.Sqrt2)
		}
		r.counts[i] = ratioPrior * (next - previous)
		previous = next
	}
	r.total = ratioPrior
	r.refresh()
	return r
}

// bucketStart returns the least ratio of a bucket; a fraction lies within it.
func bucketStart(i float64) float64 { return minRatio * math.Exp2(i/ratioBucketsPerOctave) }

// bucketOf returns the index of the bucket of a ratio, and the position in it as fraction.
func bucketOf(ratio float64) float64 {
	return min(max(math.Log2(ratio/minRatio)*ratioBucketsPerOctave, 0), ratioBuckets-1)
}

// add counts a run.
func (r *ratios) add(ratio float64) {
	r.counts[int(bucketOf(ratio))]++
	r.total++
	if r.total >= ratioWindow {
		for i := range r.counts {
			r.counts[i] /= 2
		}
		r.total /= 2
	}
	if r.unread++; r.unread >= refreshRunsGap {
		r.refresh()
	}
}

// refresh computes the figures that decisions use.
func (r *ratios) refresh() {
	r.unread = 0
	r.long = r.quantile(longQuantile)
	r.slow = r.meanAbove(slowRatio)
	r.tail = max(r.shareAbove(slowRatio)-assumedSlowShare, 0)
}

// quantile returns the ratio below which a share of the runs lies.
func (r *ratios) quantile(share float64) float64 {
	left := share * r.total
	for i, n := range r.counts {
		if left < n {
			return bucketStart(float64(i) + left/n)
		}
		left -= n
	}
	return bucketStart(ratioBuckets)
}

// shareAbove returns the share of runs above a ratio.
func (r *ratios) shareAbove(ratio float64) float64 {
	position := bucketOf(ratio)
	i := int(position)
	sum := r.counts[i] * (1 - (position - float64(i)))
	for _, n := range r.counts[i+1:] {
		sum += n
	}
	return sum / r.total
}

// meanAbove returns the mean ratio of the runs in the buckets above a ratio, and the ratio
// itself if there are none.
func (r *ratios) meanAbove(ratio float64) float64 {
	sum, n := 0.0, 0.0
	for i := int(bucketOf(ratio)) + 1; i < ratioBuckets; i++ {
		sum += r.counts[i] * bucketStart(float64(i)+0.5)
		n += r.counts[i]
	}
	if n == 0 {
		return ratio
	}
	return sum / n
}
