package schedule

import (
	"math"
	"time"
)

// mean is an exponential moving average that starts as a plain one.
type mean struct {
	n     int
	value float64
}

func (m *mean) add(v float64, window int) {
	m.n = min(m.n+1, window)
	m.value += (v - m.value) / float64(m.n)
}

const (
	speedWindow = 40 // runs; the estimates of single runs are off by 40%
	biasWindow  = 300
	priorRuns   = 4 // runs as which the mean of a worker's kind counts
)

// slowness returns how much longer than on a worker of speed 1 a run takes. A
// worker of which little is known counts like the others of its kind.
func (t *target) slowness() float64 { return t.factor * t.slowdown }

// judge computes the slowness from what is known.
func (t *target) judge() {
	weight := float64(t.slow.n) / float64(t.slow.n+priorRuns)
	t.factor = math.Exp(t.slow.value*weight + t.prior*(1-weight))
}

// kind returns the label that tells the kind of a worker.
func (t *target) kind() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Service + "/" + t.Labels[0]
}

// updatePriors gives every worker the mean of its kind.
func (c *Core) updatePriors() {
	sum, n := make(map[string]float64), make(map[string]float64)
	for _, name := range c.names {
		t := c.targets[name]
		weight := float64(min(t.slow.n, priorRuns))
		sum[t.kind()] += weight * t.slow.value
		n[t.kind()] += weight
	}
	for _, t := range c.targets {
		t.prior = sum[t.kind()] / max(n[t.kind()], 1)
		t.judge()
	}
}

// priorsEvery is the pause between updates of the means of kinds.
const priorsEvery = 100 * time.Millisecond

// learn takes the run time of a task that was done. What a worker is slower than
// usual for now is not learned as its speed.
func (c *Core) learn(t *target, j *job, step int, took time.Duration) {
	t.streak = 0
	est := j.Step(step).Estimate
	if est <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(est) / c.distance(j.Step(step), t) / t.slowdown)
	b := c.queueBias(j.Queue.Name)
	t.slow.add(ratio-b.value, speedWindow)
	t.judge()
	b.add(ratio-t.slow.value, biasWindow)
	b.factor = math.Exp(b.value)
}

// bias is how far off the estimates of a queue are.
type bias struct {
	mean
	factor float64 // run time over estimate on a worker of slowness 1
}

func (c *Core) queueBias(queue string) *bias {
	b, ok := c.bias[queue]
	if !ok {
		b = &bias{factor: 1}
		c.bias[queue] = b
	}
	return b
}

// expect returns the run time of a task of a step on a worker of slowness 1.
func (c *Core) expect(j *job, step int) time.Duration {
	est := max(j.Step(step).Estimate, time.Millisecond)
	return time.Duration(float64(est) * c.queueBias(j.Queue.Name).factor)
}
