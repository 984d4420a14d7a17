package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// This file handles timed jobs, whose occurrences start at set times, and lasting
// jobs, whose tasks run until the job is cancelled. Both are stored.

// noDeadline is far longer than any wait, so that jobs without a deadline are not
// rejected for the work that waits before them.
const noDeadline = 24 * time.Hour

// unblockTimed makes the tasks of due occurrences pending. An occurrence is due by
// the clock of the home.
func (c *Core) unblockTimed(now time.Time) {
	c.timed = slices.DeleteFunc(c.timed, func(j *job) bool {
		if j.answered {
			return true
		}
		previous := j.pending
		c.unblock(now, j)
		if j.pending > previous {
			c.enqueue(j)
		}
		return !now.Before(j.Due(j.Slots() - 1))
	})
}

// restartTask requeues a task of a lasting job. A worker where it failed gets it
// again only if there is no other.
func (c *Core) restartTask(now time.Time, t *target, j *job, slot, index int, e *Event) {
	if e.End == work.Failed {
		c.recordFailure(now, t, j, e.Run)
		j.avoidAgent(t.agent)
	}
	if !j.answered {
		c.requeue(j, slot, index)
	}
}

// stopLasting stops the tasks of lasting jobs on a worker that is draining or evacuated, so
// that they restart on other workers. On an evacuated worker they go on while there is no
// other.
func (c *Core) stopLasting(now time.Time, t *target) {
	if !t.Draining && !c.isEvacuated(t) {
		return
	}
	for _, r := range t.sortedRuns() {
		if j, ok := c.jobs[r.Task.Job]; ok && j.Lasts && !j.answered && (t.Draining || c.canStartElsewhere(now, j, j.Slot(r.Task), t)) {
			c.stopTask(j, j.Slot(r.Task), r.Task.Index)
		}
	}
}

// setCheckpoint records where a task can resume. The checkpoint of a gang's member
// holds for all its members.
func (j *job) setCheckpoint(slot, index int, checkpoint string) {
	if !j.Step(slot).Gang {
		j.tasks[slot][index].checkpoint = checkpoint
		return
	}
	for k := range j.tasks[slot] {
		j.tasks[slot][k].checkpoint = checkpoint
	}
}
