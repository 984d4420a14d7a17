package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// Jobs that run at set times, and jobs whose tasks last until they are cancelled.
// Both are stored.

// unhurried is far longer than work waits: jobs without a time by which they have to
// end are not rejected for what waits before them.
const unhurried = 24 * time.Hour

// startDue makes the tasks of occurrences pending whose time has come. The times of
// jobs are those of the home's clock here.
func (c *Core) startDue(now time.Time) {
	c.timed = slices.DeleteFunc(c.timed, func(j *job) bool {
		if j.over {
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

// restart makes a task pending again that has to run until its job is cancelled. A
// worker where it failed gets it again only if there is no other.
func (c *Core) restart(now time.Time, t *target, j *job, step, index int, how work.End) {
	if how == work.Failed {
		c.blame(now, t)
		j.shun(t.agent)
	}
	if !j.over {
		c.again(j, step, index)
	}
}

// evacuate stops the tasks that last on a worker that is about to leave, so that they
// go on elsewhere.
func (c *Core) evacuate(t *target) {
	if !t.Draining {
		return
	}
	for _, r := range t.sorted() {
		if j, ok := c.jobs[r.Task.Job]; ok && j.Lasts && !j.over {
			c.stop(j, j.Slot(r.Task), r.Task.Index)
		}
	}
}

// save notes where a task can resume. Any member of a gang speaks for all.
func (j *job) save(step, index int, checkpoint string) {
	if !j.Step(step).Gang {
		j.tasks[step][index].saved = checkpoint
		return
	}
	for k := range j.tasks[step] {
		j.tasks[step][k].saved = checkpoint
	}
}
