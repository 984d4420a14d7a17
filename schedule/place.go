package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// enqueue inserts a job that has tasks to place into the waiting jobs.
func (c *Core) enqueue(j *job) {
	if j.isWaiting || j.answered || j.pending == 0 {
		return
	}
	j.isWaiting = true
	i, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, i, j)
}

// compareJobs orders jobs: those that can still meet their deadline first, then by
// priority, by objective and by ID.
func compareJobs(a, b *job) int {
	switch {
	case a.missesDeadline != b.missesDeadline:
		if a.missesDeadline {
			return 1
		}
		return -1
	case a.Queue.Priority != b.Queue.Priority:
		return a.Queue.Priority - b.Queue.Priority
	case !a.objective.Equal(b.objective):
		return a.objective.Compare(b.objective)
	case a.ID < b.ID:
		return -1
	default:
		return 1
	}
}

// dequeue removes a job from the waiting jobs.
func (c *Core) dequeue(j *job) {
	if !j.isWaiting {
		return
	}
	j.isWaiting = false
	c.waiting = slices.DeleteFunc(c.waiting, func(o *job) bool { return o == j })
}

// placeWaiting places waiting tasks on workers that have free capacity.
func (c *Core) placeWaiting(now time.Time) {
	open := c.openTargets(now)
	if len(open) == 0 || c.placementHeld {
		return
	}
	maxFree := maxFreeCPU(open)
	storedAllowed := c.mayPlaceStored(now)
	for i := 0; i < len(c.waiting); i++ {
		j := c.waiting[i]
		if j.minCPU > maxFree || j.Stored && !storedAllowed || j.sealing != nil {
			continue
		}
		if c.placeJob(now, j, open) {
			maxFree = maxFreeCPU(open)
		}
		if j.pending == 0 {
			j.isWaiting = false
			c.waiting = slices.Delete(c.waiting, i, i+1)
			i--
		}
	}
}

// openTargets returns the workers on which tasks may be placed now.
func (c *Core) openTargets(now time.Time) []*target {
	var open []*target
	for _, name := range c.agentNames {
		t := c.targets[name]
		if c.isUsable(now, t) && now.After(t.backoffUntil) {
			open = append(open, t)
		}
	}
	return open
}

// isUsable reports whether a worker is in contact, takes starts, is neither draining nor
// evacuated, and belongs to this home.
func (c *Core) isUsable(now time.Time, t *target) bool {
	contactTimeout := max(c.cfg.SuspectAfter, c.cfg.SuspectIdleAfter)
	if len(t.runs) > 0 {
		contactTimeout = c.cfg.SuspectAfter
	}
	return t.ready && !t.excluded && !t.Draining && !c.isEvacuated(t) && now.Sub(t.lastContact) <= contactTimeout
}

// maxFreeCPU returns the largest free CPU capacity of any worker. Under load
// placeWaiting skips jobs that fit nowhere by it.
func maxFreeCPU(open []*target) int {
	maxFree := 0
	for _, t := range open {
		maxFree = max(maxFree, t.free().CPU)
	}
	return maxFree
}

// placeJob places as many tasks of a job as it can and reports whether it placed any.
func (c *Core) placeJob(now time.Time, j *job, open []*target) bool {
	previous := j.pending
	for i := range j.tasks {
		if j.Step(i).Gang {
			c.placeGang(now, j, i, open)
			continue
		}
		for k := range j.tasks[i] {
			if j.tasks[i][k].state != pending {
				continue
			}
			t := c.chooseTarget(now, j, i, open)
			if t == nil {
				break
			}
			c.startRun(now, t, j, i, k, j.nextRun(i, k))
		}
	}
	return j.pending < previous
}

// placeGang places either all tasks of a step, under one run number, or none.
func (c *Core) placeGang(now time.Time, j *job, slot int, open []*target) {
	number := 0
	for k := range j.tasks[slot] {
		if j.tasks[slot][k].state != pending {
			return
		}
		number = max(number, j.nextRun(slot, k))
	}
	chosen := make([]*target, 0, len(j.tasks[slot]))
	for range j.tasks[slot] {
		t := c.chooseTarget(now, j, slot, open)
		if t == nil {
			break
		}
		t.used = t.used.Add(j.Step(slot).Room)
		chosen = append(chosen, t)
	}
	for _, t := range chosen {
		t.used = t.used.Sub(j.Step(slot).Room)
	}
	if len(chosen) < len(j.tasks[slot]) {
		return
	}
	for k, t := range chosen {
		c.startRun(now, t, j, slot, k, number)
	}
}

// chooseTarget returns the slowest worker with free capacity that still meets the
// objective. If only workers without free capacity meet it, chooseTarget returns
// nil, and the task waits for one of them while that can still be in time.
// Otherwise it returns the fastest worker with free capacity. Kinds of task that slow
// each other down change only which worker is returned, never whether there is one.
func (c *Core) chooseTarget(now time.Time, j *job, slot int, open []*target) *target {
	step := j.Step(slot)
	baseTime := c.expectedTime(j, slot)
	var best, fastest *target
	var bestTime, fastestTime time.Duration
	var bestConflict conflict
	worthWaiting := false
	for _, t := range open {
		if !c.isEligible(j, slot, t) {
			continue
		}
		expected := time.Duration(float64(baseTime) * t.slowness() * c.distanceFactor(step, t))
		inTime := c.meetsObjective(now, j, expected)
		if !t.free().Holds(step.Room) {
			worthWaiting = worthWaiting || inTime
			continue
		}
		x := c.conflictOn(now, j, t, expected)
		if inTime && (best == nil || x.isLess(bestConflict) || x == bestConflict && isBetter(expected, t, bestTime, best)) {
			best, bestTime, bestConflict = t, expected, x
		}
		expected = x.stretch(expected)
		if fastest == nil || expected < fastestTime {
			fastest, fastestTime = t, expected
		}
	}
	if best != nil || worthWaiting {
		return best
	}
	return fastest
}

// The real work of a task may be between these multiples of its estimate. The
// objective scales with the real work, too.
const (
	minWorkFactor = 0.5
	maxWorkFactor = 2.0
)

// meetsObjective reports whether a task that is placed now with an expected run time
// would meet the job's objective at both limits of its real work.
func (c *Core) meetsObjective(now time.Time, j *job, expected time.Duration) bool {
	elapsed := now.Sub(j.receivedAt) + c.cfg.Margin
	workSlack := float64(j.objective.Sub(j.receivedAt)-j.Queue.Target) - float64(expected)
	fixedSlack := float64(j.Queue.Target - elapsed)
	return fixedSlack+minWorkFactor*workSlack >= 0 && fixedSlack+maxWorkFactor*workSlack >= 0
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
	n := 0
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
		if t != excluded && t.ready && !t.Draining && !j.avoid[name] && c.suits(j, step, t) && (!j.Lasts || t.free().Holds(step.Room)) {
			return true
		}
	}
	return false
}

// startRun places a task on a worker and orders its agent to start the run.
func (c *Core) startRun(now time.Time, t *target, j *job, slot, index, number int) {
	run := j.currentRun(slot, index)
	run.Number = number
	tk := c.placeRun(now, t, j, run)
	step := j.Step(slot)
	if c.decisions.Starts == nil {
		c.decisions.Starts = make(map[string][]work.Start)
	}
	estimate, expected := time.Duration(float64(step.Estimate)*c.distanceFactor(step, t)), tk.expected
	if j.Lasts {
		estimate, expected = 0, 0
	}
	c.decisions.Starts[t.agent] = append(c.decisions.Starts[t.agent], work.Start{Run: run, Spec: j.Spec, Room: step.Room, Estimate: estimate, Expected: expected, Trace: j.Trace, Stored: j.Stored, Checkpoint: tk.checkpoint})
}

// placeRun records that a run of a pending task is on a worker since startedAt.
func (c *Core) placeRun(startedAt time.Time, t *target, j *job, run work.Run) *task {
	slot := j.Slot(run.Task)
	step := j.Step(slot)
	tk := &j.tasks[slot][run.Task.Index]
	tk.state, tk.runNumber, tk.agent, tk.startedAt = placed, run.Number, t.agent, startedAt
	tk.slowdown = t.slowdown
	tk.expected = time.Duration(float64(c.expectedTime(j, slot)) * t.slowness() * c.distanceFactor(step, t))
	j.pending--
	c.queued--
	j.running++
	if !j.wasSent {
		j.wasSent, j.firstPlacedAt = true, startedAt
	}
	tk.beside = c.kindsOn(t)
	t.runs[run.Task] = run
	t.used = t.used.Add(step.Room)
	return tk
}
