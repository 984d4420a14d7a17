package schedule

import (
	"time"

	"masticbay/work"
)

// A worker that is removed announces the least time that is left. No task is placed on it.
// A run that is not expected to end in that time is stopped and started elsewhere, if it is
// expected to end in time there. What the worker has left is not used for short tasks: the
// platform counts each start on a draining worker as a fault.

// recordLeave records when a draining worker leaves, and moves its runs.
func (c *Core) recordLeave(now time.Time, t *target, r *Report) {
	if !r.KnowsLeave {
		t.leavesAt = time.Time{}
		return
	}
	// The report may have been under way for a moment.
	t.leavesAt = now.Add(r.LeavesIn - c.cfg.Margin)
	if len(t.runs) > 0 {
		c.moveFromLeaving(now, t)
	}
}

// moveFromLeaving stops the runs on a leaving worker that end in time only elsewhere.
func (c *Core) moveFromLeaving(now time.Time, t *target) {
	open := c.openTargets(now)
	claimed := c.claimMoved(now, open)
	for _, r := range t.sortedRuns() {
		j, ok := c.jobs[r.Task.Job]
		if !ok || j.answered || j.Lasts {
			continue
		}
		slot := j.Slot(r.Task)
		tk, step := j.task(r), j.Step(slot)
		if tk.stopping || step.Gang {
			continue
		}
		elapsed, left := now.Sub(tk.startedAt), t.leavesAt.Sub(now)
		remaining := tk.expected - elapsed
		if remaining <= left {
			continue
		}
		// Even if the real work is much less than expected, the run may not end here.
		inTime := j.objective
		if time.Duration(minWorkFactor*float64(tk.expected))-elapsed > left {
			inTime = j.cutoff
		}
		o, there := c.fastestWithRoom(now, j, slot, open, claimed)
		if o == nil || now.Add(there).After(inTime) {
			continue
		}
		claimed[o.agent] = claimed[o.agent].Add(step.Room)
		c.addNote(Note{Job: j.ID, Agent: t.agent, Run: r, Kind: "runMoved", Reason: "its worker leaves",
			Values: map[string]float64{"leavesMs": ms(left), "leftMs": ms(remaining), "thereMs": ms(there), "ranMs": ms(elapsed)}})
		c.stopTask(j, slot, r.Task.Index)
	}
}

// claimMoved returns the room that tasks will take on other workers whose runs are being
// stopped on draining ones.
func (c *Core) claimMoved(now time.Time, open []*target) map[string]work.Room {
	claimed := make(map[string]work.Room)
	for _, name := range c.agentNames {
		t := c.targets[name]
		if !t.Draining {
			continue
		}
		for _, r := range t.sortedRuns() {
			j, ok := c.jobs[r.Task.Job]
			if !ok || j.answered || !j.task(r).stopping {
				continue
			}
			slot := j.Slot(r.Task)
			if o, _ := c.fastestWithRoom(now, j, slot, open, claimed); o != nil {
				claimed[o.agent] = claimed[o.agent].Add(j.Step(slot).Room)
			}
		}
	}
	return claimed
}

// fastestWithRoom returns the worker on which a task of a slot would end first if it were
// moved there now, and the time until then, the stop included. Claimed is the room that
// other moved tasks will take.
func (c *Core) fastestWithRoom(now time.Time, j *job, slot int, open []*target, claimed map[string]work.Room) (best *target, until time.Duration) {
	step := j.Step(slot)
	baseTime := float64(c.expectedTime(j, slot))
	for _, t := range open {
		if c.obstacleOnOpen(now, j, slot, t) > unproven || !t.free().Sub(claimed[t.agent]).Holds(step.Room) {
			continue
		}
		if there := stopCost + time.Duration(baseTime*t.slowness()*c.distanceFactor(step, t)); best == nil || there < until {
			best, until = t, there
		}
	}
	return best, until
}
