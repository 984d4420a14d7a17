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
// never whether there is one.
func (c *Core) chooseTarget(now time.Time, j *job, slot int, open []*target) *target {
	step := j.Step(slot)
	baseTime := c.expectedTime(j, slot)
	slack := c.slackOf(now, j)
	var best, reserved, spare, outside, fastest choice
	worthWaiting, nearFree := false, false
	for _, t := range open {
		if !t.mayStart() || !c.isEligible(j, slot, t) || !c.isTrustedWith(now, j, slot, t) {
			continue
		}
		distance := c.distanceFactor(step, t)
		this := choice{t: t, expected: time.Duration(float64(baseTime) * t.slowness() * distance)}
		inTime := slack.meetsObjective(this.expected)
		if !t.free().Holds(step.Room) {
			worthWaiting = worthWaiting || inTime
			continue
		}
		nearFree = nearFree || distance == 1
		this.conflict = c.conflictOn(now, j, t, this.expected)
		switch {
		case !inTime:
		case distance > 1 && !isReserved(step, t):
			spare = spare.better(this)
		case distance > 1:
			outside = outside.better(this)
		case !isReserved(step, t):
			best = best.better(this)
		default:
			reserved = reserved.better(this)
		}
		this.expected = this.conflict.stretch(this.expected)
		if fastest.t == nil || this.expected < fastest.expected {
			fastest = this
		}
	}
	if best.t == nil {
		best = reserved
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
		if wait, runTime, known := c.waitForRack(j, step, baseTime, r); known && !nearFree {
			if risk*wait+runTime < outside.expected {
				return nil
			}
			return outside.t
		}
	}
	if best.t != nil || worthWaiting {
		return best.t
	}
	return fastest.t
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

// isEligible reports whether a worker may run tasks of a slot, free capacity aside.
func (c *Core) isEligible(j *job, slot int, t *target) bool {
	step := j.Step(slot)
	if !c.suits(j, step, t) || j.avoid[t.agent] && c.hasAlternative(j, step, t) {
		return false
	}
	if step.MaxPerOne == 0 {
		return true
	}
	n := t.planned
	for ref := range t.runs {
		if ref.Job == j.ID && j.Slot(ref) == slot {
			n++
		}
	}
	return n < step.MaxPerOne
}

// suits reports whether a worker could run tasks of a step if none ran there.
func (c *Core) suits(j *job, step *work.Step, t *target) bool {
	return !c.isEvacuated(t) && c.couldRun(j, step, t)
}

// couldRun is suits if no data centre were evacuated.
func (c *Core) couldRun(j *job, step *work.Step, t *target) bool {
	return (!j.Stored || c.tenureConfirmedBy(t)) && t.Service == j.Queue.Service && t.Capacity.Holds(step.Room) &&
		(step.Label == "" || slices.Contains(t.Labels, step.Label))
}

// hasAlternative reports whether a step has another worker that its job does not avoid. For a
// lasting job it must have free capacity, as its tasks may never end.
func (c *Core) hasAlternative(j *job, step *work.Step, excluded *target) bool {
	for _, name := range c.agentNames {
		t := c.targets[name]
		if t != excluded && t.ready && !t.Draining && !c.ejection.Ejected(name) && !j.avoid[name] && c.suits(j, step, t) && (!j.Lasts || t.free().Holds(step.Room)) {
			return true
		}
	}
	return false
}
