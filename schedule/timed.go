package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// Jobs that run at set times, and jobs whose tasks last until they are cancelled.
// Both are stored.

// noDeadline is far longer than work waits: jobs without a time by which they have to
// end are not rejected for what waits before them.
const noDeadline = 24 * time.Hour

// unblockTimed makes the tasks of occurrences pending whose time has come. The times of
// jobs are those of the home's clock here.
func (c *Core) unblockTimed(now time.Time) {
	c.timed = slices.DeleteFunc(c.timed, func(j *job) bool {
		if j.answered {
			return true
		}
		before := j.pending
		c.unblock(now, j)
		if j.pending > before {
			c.enqueue(j)
		}
		return !now.Before(j.Due(j.Slots() - 1))
	})
}

// restartTask makes a task pending again that has to run until its job is cancelled. A
// worker where it failed gets it again only if there is no other.
func (c *Core) restartTask(now time.Time, t *target, j *job, slot, index int, end work.End) {
	if end == work.Failed {
		c.countFailure(now, t)
		j.avoidAgent(t.agent)
	}
	if !j.answered {
		c.requeue(j, slot, index)
	}
}

// stopLasting stops the tasks that last on a worker that is about to leave, so that they
// go on elsewhere.
func (c *Core) stopLasting(t *target) {
	if !t.Draining {
		return
	}
	for _, r := range t.sortedRuns() {
		if j, ok := c.jobs[r.Task.Job]; ok && j.Lasts && !j.answered {
			c.stopTask(j, j.Slot(r.Task), r.Task.Index)
		}
	}
}

// setCheckpoint notes where a task can resume. Any member of a gang speaks for all.
func (j *job) setCheckpoint(slot, index int, checkpoint string) {
	if !j.Step(slot).Gang {
		j.tasks[slot][index].checkpoint = checkpoint
		return
	}
	for k := range j.tasks[slot] {
		j.tasks[slot][k].checkpoint = checkpoint
	}
}
