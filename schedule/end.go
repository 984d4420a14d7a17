package schedule

import (
	"time"

	"masticbay/work"
)

// The quarantine of a worker on which runs fail one after the other.
const (
	failStreak  = 2
	failPause   = 1500 * time.Millisecond
	unwellPause = 200 * time.Millisecond // a worker that refuses all starts
	roomPause   = 15 * time.Millisecond  // room that is taken in a way not known here
)

// take takes the end of a run.
func (c *Core) take(now time.Time, t *target, e Event) {
	have, ok := t.runs[e.Run.Task]
	if !ok && c.adopted(now, t, &e) {
		have, ok = e.Run, true
	}
	if !ok || have != e.Run {
		c.disown(t, &e)
		return
	}
	delete(t.runs, e.Run.Task)
	j, ok := c.jobs[e.Run.Task.Job]
	if !ok {
		return
	}
	if j.Stored && !j.Lasts && (e.End == work.Done || e.End == work.Failed) {
		c.mark(t, &e)
	}
	step, index := j.Slot(e.Run.Task), e.Run.Task.Index
	t.used = t.used.Sub(j.Step(step).Room)
	j.running--
	tk := &j.tasks[step][index]
	tk.stopping = false
	if e.Checkpoint != "" {
		j.save(step, index, e.Checkpoint)
	}
	j.last = lastRun{agent: t.agent, wait: tk.began.Sub(j.begun), took: e.Took, expected: tk.expected}
	if e.End != work.Done {
		j.again++
		c.note(Note{Job: j.ID, Agent: t.agent, Run: e.Run, What: "runEnded", Why: string(e.End) + " " + e.Reason,
			Values: map[string]float64{"tookMs": ms(e.Took), "expectedMs": ms(tk.expected)}})
	}
	switch {
	case j.Lasts:
		c.setBack(now, t, e)
		c.restart(now, t, j, step, index, e.End)
	case e.End == work.Done:
		t.sound.add(now, e.Took, tk.expected)
		c.learn(t, j, step, e.Took)
		c.finish(now, j, step, index)
	case e.End == work.Failed:
		c.fail(now, t, j, step, index)
	default:
		c.setBack(now, t, e)
		c.again(j, step, index)
	}
	c.discard(j)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *Core) finish(now time.Time, j *job, step, index int) {
	j.tasks[step][index].state = done
	j.left[step]--
	if j.over {
		return
	}
	if j.left[step] == 0 {
		c.unblock(now, j)
		c.enqueue(j)
	}
	if j.finished() {
		c.close(j, work.Outcome{State: work.Completed})
	}
}

// finished reports whether all tasks are done.
func (j *job) finished() bool {
	for _, n := range j.left {
		if n > 0 {
			return false
		}
	}
	return true
}

func (c *Core) fail(now time.Time, t *target, j *job, step, index int) {
	tk := &j.tasks[step][index]
	tk.failures++
	if tk.failures == 1 {
		// A task that failed elsewhere before says little about this worker.
		c.blame(now, t)
	}
	j.shun(t.agent)
	if tk.failures >= j.Queue.MaxAttempts {
		c.close(j, work.Outcome{State: work.JobFailed, Reason: j.ref(step, index).Task.String() + " failed"})
		c.stopAll(now, j, 0)
		return
	}
	c.again(j, step, index)
}

// blame counts a run that failed or stalled against a worker.
func (c *Core) blame(now time.Time, t *target) {
	t.streak++
	if t.streak >= failStreak && now.After(t.resume) {
		t.resume = now.Add(failPause)
		c.note(Note{Agent: t.agent, What: "quarantine", Why: "runs failed or stalled one after the other"})
	}
}

func (j *job) shun(agent string) {
	if j.avoid == nil {
		j.avoid = make(map[string]bool)
	}
	j.avoid[agent] = true
}

// again makes a task pending that has to run once more.
func (c *Core) again(j *job, step, index int) {
	j.tasks[step][index].state = pending
	j.pending++
	c.queued++
	c.enqueue(j)
}

// setBack keeps tasks away from a worker that does not take them for now.
func (c *Core) setBack(now time.Time, t *target, e Event) {
	pause := time.Duration(0)
	switch {
	case e.End != work.Refused:
		return
	case e.Reason == refusedUnwell:
		pause = unwellPause
	case e.Reason == refusedOld:
		return
	default:
		pause = roomPause
	}
	if until := now.Add(pause); until.After(t.resume) {
		t.resume = until
	}
}

// Reasons of refusals that agents pass on.
const (
	refusedUnwell = "unwell"
	refusedOld    = "old"
)
