package schedule

import (
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// A worker gets no tasks for a backoff time after refused starts. Package ejection decides
// what follows from failed runs.
const (
	unwellBackoff = 200 * time.Millisecond // a worker that refuses all starts
	noRoomBackoff = 15 * time.Millisecond  // a worker that uses resources in a way that the home does not know
)

// applyEvent records the end of a run and decides what follows from it.
func (c *Core) applyEvent(now time.Time, t *target, e Event) {
	if e.End == work.Sealed {
		c.applySeal(now, t.agent, &e)
		return
	}
	current, ok := t.runs[e.Run.Task]
	if !ok && c.adoptEnded(now, t, &e) {
		current, ok = e.Run, true
	}
	if !ok || current != e.Run {
		c.leaveToHolder(t, &e)
		c.countEarlierFailure(now, t, &e)
		return
	}
	delete(t.runs, e.Run.Task)
	j, ok := c.jobs[e.Run.Task.Job]
	if !ok {
		return
	}
	if j.Stored && !j.Lasts && (e.End == work.Done || e.End == work.Failed) {
		c.commitEnd(t, &e)
	}
	slot, index := j.Slot(e.Run.Task), e.Run.Task.Index
	tk := &j.tasks[slot][index]
	c.releaseRun(t, j, slot, tk)
	j.running--
	tk.stopping = false
	j.recordEnd(now, t, tk, e.End)
	if e.Checkpoint != "" {
		j.setCheckpoint(slot, index, e.Checkpoint)
	}
	j.lastRun = runTimes{agent: t.agent, wait: tk.startedAt.Sub(j.receivedAt), took: e.Took, expected: tk.expected}
	if e.End != work.Done {
		j.requeues++
		c.noteRunEnded(t, j, tk, &e)
	}
	switch {
	case tk.state == done:
		// The end of another task of its gang stands for this one.
	case j.Lasts:
		c.backOff(now, t, e)
		c.recordUnproven(now, t, j, &e)
		c.restartTask(now, t, j, slot, index, &e)
	case e.End == work.Done:
		c.recordDone(now, t, j, e.Run)
		t.normalEnds.add(now, e.Took, tk.expected)
		c.recordBeside(now, t, j, slot, index, e.Took)
		c.recordRunTime(now, t, j, slot, index, e.Took)
		c.finishTask(now, j, slot, index)
	case e.End == work.Failed:
		c.failTask(now, t, j, slot, index)
	case e.Reason == worker.SealedJob && e.Run.Number > j.runNumberBase:
		c.requeue(j, slot, index)
		c.closeSealed(now, j)
	default:
		c.backOff(now, t, e)
		c.recordUnproven(now, t, j, &e)
		c.requeue(j, slot, index)
	}
	c.releaseJob(j)
}

// recordEnd records that a run of a task has ended, unless it had not begun. The run of a worker
// that is out of contact may have ended when it was last heard of.
func (j *job) recordEnd(now time.Time, t *target, tk *task, end work.End) {
	if end == work.Refused || end == work.Alone {
		return
	}
	tk.readySince, j.begun = now, true
	if end == work.Lapsed {
		tk.readySince = t.lastContact
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// finishTask marks a task as done, and answers its job if it was the last one. The tasks of a
// gang are done together.
func (c *Core) finishTask(now time.Time, j *job, slot, index int) {
	first, last := index, index
	if j.Step(slot).Gang {
		first, last = 0, len(j.tasks[slot])-1
	}
	for k := first; k <= last; k++ {
		c.markDone(j, slot, k)
	}
	if j.answered {
		return
	}
	if j.unfinished[slot] == 0 {
		c.unblock(now, j)
		c.enqueue(j)
	}
	if j.finished() {
		c.close(j, work.Outcome{State: work.Completed})
	}
}

// markDone marks a task as done, whatever is known of its last run.
func (c *Core) markDone(j *job, slot, index int) {
	t := &j.tasks[slot][index]
	switch t.state {
	case done:
		return
	case pending:
		j.pending--
		c.queued--
		if j.pending == 0 {
			c.dequeue(j)
		}
	}
	t.state = done
	j.unfinished[slot]--
}

// finished reports whether all tasks are done.
func (j *job) finished() bool {
	for _, n := range j.unfinished {
		if n > 0 {
			return false
		}
	}
	return true
}

// failTask counts a failed run of a task, and repeats the task or fails its job.
func (c *Core) failTask(now time.Time, t *target, j *job, slot, index int) {
	c.recordFailure(now, t, j, j.currentRun(slot, index))
	if c.countFailure(now, t, j, j.currentRun(slot, index)) {
		return
	}
	c.requeue(j, slot, index)
}

// countFailure counts a failed run as an attempt of its task, and reports whether it was the last
// one, with which the job has failed.
func (c *Core) countFailure(now time.Time, t *target, j *job, r work.Run) (last bool) {
	tk := j.task(r)
	tk.failures++
	tk.failedRuns = append(tk.failedRuns, r.Number)
	j.avoidAgent(t.agent)
	if tk.failures < j.Queue.MaxAttempts {
		return false
	}
	c.close(j, work.Outcome{State: work.JobFailed, Reason: r.Task.String() + " failed"})
	c.stopAll(now, j, 0)
	return true
}

func (j *job) avoidAgent(agent string) {
	if j.avoid == nil {
		j.avoid = make(map[string]bool)
	}
	j.avoid[agent] = true
}

// requeue makes a task pending again.
func (c *Core) requeue(j *job, slot, index int) {
	j.tasks[slot][index].state = pending
	j.pending++
	c.queued++
	c.enqueue(j)
}

// backOff keeps tasks away from a worker that refused a start, for a backoff time.
func (c *Core) backOff(now time.Time, t *target, e Event) {
	backoff := time.Duration(0)
	switch {
	case e.End != work.Refused, e.Reason == worker.Evacuated:
		return // an evacuated worker is not usable, by the report that holds e
	case e.Reason == refusedUnwell:
		backoff = unwellBackoff
	case e.Reason == refusedOld:
		return
	default:
		backoff = noRoomBackoff
	}
	if until := now.Add(backoff); until.After(t.backoffUntil) {
		t.backoffUntil = until
	}
}

// Reasons with which workers refuse starts, as agents report them.
const (
	refusedUnwell = "unwell"
	refusedOld    = "old"
)
