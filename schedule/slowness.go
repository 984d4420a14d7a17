package schedule

import (
	"math"
	"time"
)

// movingMean is an exponential moving average that starts as a plain one.
type movingMean struct {
	n     int
	value float64
}

func (m *movingMean) add(v float64, window int) {
	m.n = min(m.n+1, window)
	m.value += (v - m.value) / float64(m.n)
}

const (
	slownessWindow = 40  // runs in the mean of a worker; the estimates of single runs are wrong by 40%
	biasWindow     = 300 // runs in the mean of a queue
	kindWeight     = 4   // the mean of a worker's kind weighs as much as this many runs
)

// slowness returns the current run time on the worker as a multiple of the estimate,
// which is corrected by the bias of the queue and by distanceFactor. A worker of
// slowness 1 takes as long as that.
func (t *target) slowness() float64 { return t.baseSlowness * t.slowdown * t.cold.slowness() }

// updateSlowness computes the base slowness from the worker's own runs and its kind.
// A worker with few runs so far counts like the others of its kind.
func (t *target) updateSlowness() {
	weight := float64(t.logSlowness.n) / float64(t.logSlowness.n+kindWeight)
	t.baseSlowness = math.Exp(t.logSlowness.value*weight + t.kindSlowness*(1-weight))
}

// resetSlowness begins anew with what the agent has measured of a new incarnation of its worker.
func (t *target) resetSlowness(now time.Time, p Pace) {
	t.slowdown = 1
	t.cold.logRatio, t.cold.ratio = movingMean{}, 1
	t.logSlowness, t.slownessAt = movingMean{n: min(p.Runs, slownessWindow), value: p.Log}, now
	t.updateSlowness()
}

// kind returns the service and first label of a worker, which name its kind.
func (t *target) kind() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Service + "/" + t.Labels[0]
}

// updateKindSlowness computes the mean slowness of each kind and applies it to the
// workers of the kind. What the runs of long ago told about a worker is forgotten as soon as
// another worker of its kind tells something newer.
func (c *Core) updateKindSlowness(now time.Time) {
	sum, n := make(map[string]float64), make(map[string]float64)
	measured := make(map[string]bool)
	for _, t := range c.targets {
		measured[t.kind()] = measured[t.kind()] || now.Sub(t.slownessAt) <= slownessRetention
	}
	for _, name := range c.agentNames {
		t := c.targets[name]
		if measured[t.kind()] && now.Sub(t.slownessAt) > slownessRetention {
			t.logSlowness = movingMean{}
		}
		weight := float64(min(t.logSlowness.n, kindWeight))
		sum[t.kind()] += weight * t.logSlowness.value
		n[t.kind()] += weight
	}
	for _, t := range c.targets {
		t.kindSlowness = sum[t.kind()] / max(n[t.kind()], 1)
		t.updateSlowness()
	}
}

// slownessRetention is how long a worker without ends of runs counts as measured.
const slownessRetention = 10 * time.Second

// kindUpdateInterval is the interval between updates of the means of kinds.
const kindUpdateInterval = 100 * time.Millisecond

// recordRunTime updates the slowness of a worker and the bias of a queue by the run
// time of a task that was done on a worker which had a slowdown when the task was placed.
// A temporary slowdown is left out of the slowness.
func (c *Core) recordRunTime(now time.Time, t *target, j *job, slot, index int, took time.Duration) {
	est := j.Step(slot).Estimate
	if est <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(est) / c.distanceFactor(j.Step(slot), t) / t.slowdown)
	b := c.biasOf(j)
	if j.tasks[slot][index].wasCold {
		t.recordCold(ratio - b.value)
		return
	}
	// On a worker under suspicion, only runs that end as expected tell a tail from a slow
	// worker. The slowdown is that of the placement, so that it doesn't hide a tail.
	if !now.Before(t.suspectUntil) || t.normalEnds.countRecent(now) > 0 {
		b.ratios.add(math.Exp(ratio-b.value) * t.slowdown / j.tasks[slot][index].slowdown / t.baseSlowness)
	}
	t.logSlowness.add(t.logSlowness.bound(ratio-b.value), slownessWindow)
	t.slownessAt = now
	t.updateSlowness()
	b.add(b.bound(ratio-t.logSlowness.value), biasWindow)
	b.runTimeFactor = math.Exp(b.value)
}

// bound limits how far a value may be from the mean: one run in its tail says little
// about a worker or a queue, while many that agree still move the mean.
func (m *movingMean) bound(v float64) float64 {
	if m.n == 0 {
		return v
	}
	return min(max(v, m.value-maxDeviation), m.value+maxDeviation)
}

// maxDeviation bounds the deviation from the mean of logarithms, at two and a half times
// that of estimates that are wrong by 40%.
const maxDeviation = 1.0

// bias is the mean error of a queue's estimates, as the log of run time over estimate.
type bias struct {
	movingMean
	runTimeFactor float64 // run time over estimate on a worker of slowness 1
	ratios        *ratios // of run time to expected time
}

func (c *Core) queueBias(queue string) *bias {
	b, ok := c.biases[queue]
	if !ok {
		b = &bias{runTimeFactor: 1, ratios: newRatios()}
		c.biases[queue] = b
	}
	return b
}

// biasOf returns the bias of a job's queue. The job keeps it, since it is needed often.
func (c *Core) biasOf(j *job) *bias {
	if j.bias == nil {
		j.bias = c.queueBias(j.Queue.Name)
	}
	return j.bias
}

// expectedTime returns the expected run time of a slot's task on a worker of slowness 1.
func (c *Core) expectedTime(j *job, slot int) time.Duration {
	est := max(j.Step(slot).Estimate, time.Millisecond)
	return time.Duration(float64(est) * c.biasOf(j).runTimeFactor)
}
