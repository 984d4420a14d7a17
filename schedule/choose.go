package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// chooseTarget returns the slowest worker with free capacity that still meets the
// objective, and one outside the racks that others want if there is any. If only workers
// without free capacity meet it, chooseTarget returns nil, and the task waits for one of
// them while that can still be in time. Otherwise it returns the fastest worker with free
// capacity. A task whose rack has no free capacity waits for it while that ends sooner. If
// more work wants a rack than it can do, tasks that are in time elsewhere leave it to those
// that are not. Kinds of task that slow each other down change only which worker is returned,
// never whether there is one. What chooseTarget waits for and what it prefers gives way after
// maxPreferenceWait.
func (c *Core) chooseTarget(now time.Time, j *job, slot int, open []*target) *target {
	step := j.Step(slot)
	baseTime := c.expectedTime(j, slot)
	slack := c.slackOf(now, j)
	var found choices
	for _, t := range open {
		o := c.obstacleOnOpen(now, j, slot, t)
		if o > noRoom {
			continue
		}
		distance := c.distanceFactor(step, t)
		this := choice{t: t, expected: time.Duration(float64(baseTime) * t.slowness() * distance)}
		inTime := slack.meetsObjective(this.expected)
		switch {
		case o == noRoom:
			found.worthWaiting = found.worthWaiting || inTime && c.preferenceAgainst(now, j, step, t) == noObstacle
			continue
		case o.isPreference():
			found.second = found.second.better(secondChoice{t, o, this.expected})
			continue
		}
		found.nearFree = found.nearFree || distance == 1
		this.conflict = c.conflictOn(now, j, t, this.expected)
		switch {
		case !inTime:
		case distance > 1 && !isReserved(step, t):
			found.spare = found.spare.better(this)
		case distance > 1:
			found.outside = found.outside.better(this)
		case !isReserved(step, t):
			found.best = found.best.better(this)
		default:
			found.reserved = found.reserved.better(this)
		}
		this.expected = this.conflict.stretch(this.expected)
		if found.fastest.t == nil || this.expected < found.fastest.expected {
			found.fastest = this
		}
	}
	return c.choose(now, j, slot, baseTime, &found)
}

// choices are the workers that a task may run on, the best of each kind.
type choices struct {
	best         choice // in time, and near the data if there is any
	reserved     choice // the same, in a rack that others want
	spare        choice // in time, but away from the data
	outside      choice // the same, in a rack that others want
	fastest      choice // in time or not
	second       secondChoice
	worthWaiting bool // a worker without free capacity would be in time
	nearFree     bool // there is free capacity near the data
}

// choose returns the worker for a task of a slot, or nil if it should wait.
func (c *Core) choose(now time.Time, j *job, slot int, baseTime time.Duration, found *choices) *target {
	step := j.Step(slot)
	best, spare, outside, fastest := found.best, found.spare, found.outside, found.fastest
	if best.t == nil {
		best = found.reserved
	}
	if spare.t != nil {
		outside = spare
	}
	if best.t == nil {
		best = outside
	}
	if r := c.findRack(step.Affinity); r != nil && fastest.t != nil {
		if r.crowded && spare.t != nil {
			return spare.t
		}
		risk := time.Duration(waitRisk)
		if outside.t == nil {
			outside, risk = fastest, 1
		}
		if wait, runTime, known := c.waitForRack(j, step, baseTime, r); known && !found.nearFree {
			if risk*wait+runTime < outside.expected && !c.hasWaited(now, j, slot) {
				return nil
			}
			return outside.t
		}
	}
	switch {
	case best.t != nil:
		return best.t
	case fastest.t != nil && (!found.worthWaiting || c.hasWaited(now, j, slot)):
		return fastest.t
	case fastest.t == nil && found.second.t != nil && c.mayOverride(now, j, slot, found.second.t, found.second.preference):
		return found.second.t
	}
	return nil
}

// choice is a worker that a task may run on, and the time that it is expected to take there.
type choice struct {
	t        *target
	expected time.Duration
	conflict conflict
}

// better returns the better of two workers that meet the objective.
func (b choice) better(o choice) choice {
	if b.t != nil && o.conflict != b.conflict {
		if o.conflict.isLess(b.conflict) {
			return o
		}
		return b
	}
	if b.t == nil || isBetter(o.expected, o.t, b.expected, b.t) {
		return o
	}
	return b
}

// secondChoice is a worker that a task may run on in spite of a preference.
type secondChoice struct {
	t          *target
	preference obstacle
	expected   time.Duration
}

// better returns the worker with the weaker preference against it, then the faster one.
func (b secondChoice) better(o secondChoice) secondChoice {
	if b.t == nil || o.preference < b.preference || o.preference == b.preference && o.expected < b.expected {
		return o
	}
	return b
}

// The real work of a task may be between these multiples of its estimate. The
// objective scales with the real work, too.
const (
	minWorkFactor = 0.5
	maxWorkFactor = 2.0
)

// slack is the time that a job has left beside its run time.
type slack struct {
	work  float64 // part of the objective that scales with the real work
	fixed float64 // the rest of the objective that is left
}

func (c *Core) slackOf(now time.Time, j *job) slack {
	elapsed := now.Sub(j.receivedAt) + c.cfg.Margin
	return slack{work: float64(j.objective.Sub(j.receivedAt) - j.Queue.Target), fixed: float64(j.Queue.Target - elapsed)}
}

// meetsObjective reports whether a task that is placed now with an expected run time
// would meet the job's objective at both limits of its real work.
func (s slack) meetsObjective(expected time.Duration) bool {
	rest := s.work - float64(expected)
	return s.fixed+minWorkFactor*rest >= 0 && s.fixed+maxWorkFactor*rest >= 0
}

// isBetter prefers the clearly slower worker, then the one with more free CPU.
func isBetter(expected time.Duration, t *target, bestTime time.Duration, best *target) bool {
	if diff := expected - bestTime; diff > bestTime/similarSpeedDivisor || -diff > bestTime/similarSpeedDivisor {
		return expected > bestTime
	}
	return t.free().CPU > best.free().CPU
}

// similarSpeedDivisor sets when two workers count as equally fast: their run times
// differ by at most a fifth, since estimates are far less exact.
const similarSpeedDivisor = 5

// distanceFactor returns the run time of a task on a worker as a multiple of its run
// time near its data.
func (c *Core) distanceFactor(step *work.Step, t *target) float64 {
	if step.Affinity != "" && !slices.Contains(t.Labels, step.Affinity) {
		return max(c.cfg.RemoteFactor, 1)
	}
	return 1
}
