package schedule

import (
	"math"
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
	c.minWaitingCPU = min(c.minWaitingCPU, j.minCPU)
	i, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, i, j)
}

// compareJobs orders jobs: those that can still meet their deadline first, of these those
// that can meet their objective, then by priority, by objective and by ID.
func compareJobs(a, b *job) int {
	switch {
	case a.missesDeadline != b.missesDeadline:
		if a.missesDeadline {
			return 1
		}
		return -1
	case a.late != b.late:
		if a.late {
			return 1
		}
		return -1
	case a.Queue.Priority != b.Queue.Priority:
		return a.Queue.Priority - b.Queue.Priority
	case !a.objective.Equal(b.objective):
		return a.objective.Compare(b.objective)
	case a.ID < b.ID:
		return -1
	case a.ID == b.ID:
		return 0
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
	if i, ok := slices.BinarySearchFunc(c.waiting, j, compareJobs); ok && c.waiting[i] == j {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		return
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(o *job) bool { return o == j })
}

// placeWaiting places waiting tasks on workers that have free capacity.
func (c *Core) placeWaiting(now time.Time) {
	if len(c.waiting) == 0 {
		c.minWaitingCPU = math.MaxInt
		return
	}
	open := append(c.openTargets(now), c.probeTargets(now)...)
	if c.placementHeld || maxFreeCPU(open) < c.minWaitingCPU {
		return
	}
	c.updateRacks(now, open)
	p := &placement{open: open, storedAllowed: c.mayPlaceStored(now)}
	if c.guaranteeApplies(now) {
		c.placeInOrder(now, p, true)
	}
	c.placeInOrder(now, p, false)
}

// placement is a pass over the waiting jobs.
type placement struct {
	open          []*target
	storedAllowed bool
	refusals      []refusals
}

// refusals counts the jobs of one kind that did not take the free capacity in a pass,
// since they could not be in time there. Beyond maxRefusals the others of the kind are not
// asked: otherwise each free worker would be offered to all waiting jobs again and again.
type refusals struct {
	queue, label, affinity string
	count                  int
}

const maxRefusals = 32

// refusalsOf returns the count for the kind of a job.
func (p *placement) refusalsOf(j *job) *refusals {
	step := &j.Steps[0]
	for i := range p.refusals {
		if r := &p.refusals[i]; r.queue == j.Queue.Name && r.label == step.Label && r.affinity == step.Affinity {
			return r
		}
	}
	p.refusals = append(p.refusals, refusals{queue: j.Queue.Name, label: step.Label, affinity: step.Affinity})
	return &p.refusals[len(p.refusals)-1]
}

// refusedForTime reports whether a job that was not placed would fit on an open worker, and
// so was not placed for the time that it would take there. Jobs with reasons of their own,
// such as a worker that they avoid, say nothing about others.
func refusedForTime(j *job, open []*target) bool {
	step := &j.Steps[0]
	if len(j.Steps) > 1 || j.Stored || len(j.avoid) > 0 || step.Gang || step.MaxPerOne > 0 {
		return false
	}
	return slices.ContainsFunc(open, func(t *target) bool { return t.free().Holds(step.Room) })
}

// placeInOrder places waiting tasks in the order of their jobs. With deficient, it
// does so only for queues while they get less than their guaranteed share.
func (c *Core) placeInOrder(now time.Time, p *placement, deficient bool) {
	open, storedAllowed := p.open, p.storedAllowed
	maxFree := maxFreeCPU(open)
	for i := 0; i < len(c.waiting) && maxFree >= c.minWaitingCPU; i++ {
		j := c.waiting[i]
		if deficient && !j.belowGuarantee() {
			continue
		}
		if j.minCPU > maxFree || j.Stored && !storedAllowed || j.sealing != nil {
			continue
		}
		r := p.refusalsOf(j)
		if r.count >= maxRefusals {
			continue
		}
		if c.placeJob(now, j, open) {
			maxFree = maxFreeCPU(open)
		} else if refusedForTime(j, open) {
			r.count++
		}
		if j.pending == 0 {
			j.isWaiting = false
			c.waiting = slices.Delete(c.waiting, i, i+1)
			i--
		}
	}
}

// openTargets returns the workers on which tasks may be placed now. The result is valid
// until the next call.
func (c *Core) openTargets(now time.Time) []*target {
	open := c.open[:0]
	for _, name := range c.agentNames {
		t := c.targets[name]
		c.refreshCold(now, t)
		if c.isUsable(now, t) && now.After(t.backoffUntil) && t.mayStart() && !c.ejection.Ejected(name) {
			open = append(open, t)
		}
	}
	c.open = open
	return open
}

// isUsable reports whether a worker is in contact, takes starts, is neither draining nor
// evacuated, and belongs to this home.
func (c *Core) isUsable(now time.Time, t *target) bool {
	return c.isServing(now, t) && !t.followsOther()
}

// isServing is isUsable, whichever home the agent follows.
func (c *Core) isServing(now time.Time, t *target) bool {
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
				c.recordWait(j, i)
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
		t.cold.tokens--
		t.planned++
		chosen = append(chosen, t)
	}
	for _, t := range chosen {
		t.used = t.used.Sub(j.Step(slot).Room)
		t.cold.tokens++
		t.planned = 0
	}
	if len(chosen) < len(j.tasks[slot]) {
		return
	}
	for k, t := range chosen {
		c.startRun(now, t, j, slot, k, number)
	}
}

// startRun places a task on a worker and orders its agent to start the run.
func (c *Core) startRun(now time.Time, t *target, j *job, slot, index, number int) {
	c.noteOutsideRack(now, t, j, slot)
	run := j.currentRun(slot, index)
	run.Number = number
	c.noteStartedAgain(now, t, j, run)
	tk := c.placeRun(now, t, j, run)
	t.cold.tokens--
	step := j.Step(slot)
	if c.decisions.Starts == nil {
		c.decisions.Starts = make(map[string][]work.Start)
	}
	estimate, expected := time.Duration(float64(step.Estimate)*c.distanceFactor(step, t)), tk.expected
	if j.Lasts {
		estimate, expected = 0, 0
	}
	c.decisions.Starts[t.agent] = append(c.decisions.Starts[t.agent], work.Start{
		Run: run, Spec: j.Spec, Room: step.Room, Estimate: estimate, Expected: expected, Trace: j.Trace, Stored: j.Stored,
		Repeatable: j.Lasts || step.Speculative, Checkpoint: tk.checkpoint,
	})
}

// placeRun records that a run of a pending task is on a worker since startedAt.
func (c *Core) placeRun(startedAt time.Time, t *target, j *job, run work.Run) *task {
	slot := j.Slot(run.Task)
	step := j.Step(slot)
	tk := &j.tasks[slot][run.Task.Index]
	tk.state, tk.runNumber, tk.agent, tk.startedAt = placed, run.Number, t.agent, startedAt
	tk.slowdown, tk.wasCold = t.slowdown, t.cold.active
	tk.expected = time.Duration(float64(c.expectedTime(j, slot)) * t.slowness() * c.distanceFactor(step, t))
	j.pending--
	c.queued--
	j.running++
	j.waitExplained = false
	if !j.wasSent {
		j.wasSent, j.firstPlacedAt = true, startedAt
	}
	tk.beside = c.kindsOn(t)
	t.runs[run.Task] = run
	if !j.Lasts {
		c.ejection.Probing(startedAt, t.agent, run)
	}
	t.occupy(step, tk, j.Lasts)
	c.countRunning(j, tk, float64(step.Room.CPU)/t.slowness())
	c.countPlaced(j, slot)
	return tk
}
