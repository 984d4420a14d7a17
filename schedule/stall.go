package schedule

import (
	"time"

	"masticbay/work"
)

// A run that makes progress is abandoned when it takes overdueFactor times as long
// as expected, and another worker gets the task. Estimates are wrong by up to four
// times, and slow workers take up to seven times as long. Runs of a queue with a tail
// may take longer: overdueTailFactor times what hardly any run exceeds, so that runs
// which are longer than all before still end and are learned.
const (
	minOverdueFactor  = 12
	overdueTailFactor = 2
	minOverdueTime    = time.Second
)

// overdueFactor returns the multiple of its expected time after which a run is abandoned.
func (c *Core) overdueFactor(j *job) float64 {
	return max(minOverdueFactor, overdueTailFactor*c.queueBias(j.Queue.Name).ratios.long)
}

// abandonOverdue abandons runs that take far longer than expected.
func (c *Core) abandonOverdue(now time.Time) {
	for _, name := range c.agentNames {
		t := c.targets[name]
		if len(t.runs) == 0 {
			continue
		}
		if !c.hasOverdue(now, t) {
			continue // by far the most workers, whose runs need not be sorted then
		}
		for _, r := range t.sortedRuns() {
			if j, ok := c.jobs[r.Task.Job]; ok && c.isOverdue(now, t, j, r) {
				c.abandonRun(now, t, j, r, "takes far longer than expected")
			}
		}
	}
}

// hasOverdue reports whether a worker has a run that takes far longer than expected.
func (c *Core) hasOverdue(now time.Time, t *target) bool {
	for _, r := range t.runs {
		if j, ok := c.jobs[r.Task.Job]; ok && c.isOverdue(now, t, j, r) {
			return true
		}
	}
	return false
}

func (c *Core) isOverdue(now time.Time, t *target, j *job, r work.Run) bool {
	if j.Lasts {
		return false
	}
	tk := &j.tasks[j.Slot(r.Task)][r.Task.Index]
	if tk.idle {
		return false // its worker is not at fault
	}
	limit := max(time.Duration(c.overdueFactor(j)*float64(tk.expected)), minOverdueTime)
	return !tk.stopping && now.Sub(tk.startedAt) > limit && now.Sub(t.lastContact) < c.cfg.SuspectAfter
}

// abandonRun stops a run and counts it as a failure of its worker.
func (c *Core) abandonRun(now time.Time, t *target, j *job, r work.Run, reason string) {
	tk := &j.tasks[j.Slot(r.Task)][r.Task.Index]
	c.addNote(Note{Job: j.ID, Agent: t.agent, Run: r, Kind: "runGivenUp", Reason: reason,
		Values: map[string]float64{"ranMs": ms(now.Sub(tk.startedAt)), "expectedMs": ms(tk.expected)}})
	j.avoidAgent(t.agent)
	c.recordFailure(now, t, j, r)
	c.stopTask(j, j.Slot(r.Task), r.Task.Index)
}

// takeStalled abandons runs that make no progress.
func (c *Core) takeStalled(now time.Time, t *target, stalled []work.Run) {
	for _, r := range stalled {
		current, ok := t.runs[r.Task]
		j := c.jobs[r.Task.Job]
		if !ok || current != r || j == nil || j.Lasts {
			continue
		}
		tk := &j.tasks[j.Slot(r.Task)][r.Task.Index]
		if !tk.stopping {
			c.abandonRun(now, t, j, r, "makes no progress")
		}
	}
}
