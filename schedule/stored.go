package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// Stored jobs outlive their home. The entry that holds the ledger (package
// ledger) places their tasks under its tenure; agents obey only the latest one
// and keep the runs of the one before, which the new holder adopts. The end of a
// run is saved in the ledger before its agent may forget it.

// Tenure is the right to place the tasks of stored jobs.
type Tenure struct {
	Epoch uint64 // 0: there is no such right
	// Until is when the right ends if it is not renewed.
	Until time.Time
	// Agents are those that may get tasks.
	Agents map[string]bool
	// Former are those that a former holder may have given tasks. No task is
	// placed until each of them has confirmed this tenure, or Clear, when the
	// leases of a holder without contact have ended.
	Former []string
	Clear  time.Time
}

// Mark tells that a run of a stored job has ended as done or failed. Its agent
// keeps the event until Saved is called.
type Mark struct {
	Agent string
	Life  string // incarnation of the agent
	Seq   uint64 // of the event
	Run   work.Run
	End   work.End
}

// Kept is a run of a stored job that an agent has from a former holder.
type Kept struct {
	Run work.Run
	Age time.Duration
}

// Hold sets the tenure. If it is over, stored jobs and their runs are forgotten:
// another home has them.
func (c *Core) Hold(now time.Time, t Tenure) {
	if t.Epoch != c.tenure.Epoch {
		c.dropStoredJobs()
	}
	c.tenure, c.highestEpoch = t, max(c.highestEpoch, t.Epoch)
	c.placeWaiting(now)
}

func (c *Core) dropStoredJobs() {
	for _, name := range c.agentNames {
		t := c.targets[name]
		t.confirmedEpoch = 0 // but unsaved stays: the next holder has to hear of those ends
		for _, r := range t.sortedRuns() {
			if j, ok := c.jobs[r.Task.Job]; ok && j.Stored {
				delete(t.runs, r.Task)
				t.used = t.used.Sub(j.Step(j.Slot(r.Task)).Room)
			}
		}
	}
	for id, j := range c.jobs {
		if j.Stored {
			c.dequeue(j)
			c.queued -= j.pending
			delete(c.jobs, id)
		}
	}
	c.timed = nil
}

// Admit returns why a new job should be rejected, and when to come back, or "".
func (c *Core) Admit(now time.Time, w *work.Job) (reason string, retry time.Duration) {
	j := newJob(now, *w, 0)
	if j.cutoff = c.cutoff(j); w.Lasts || w.Times > 0 {
		j.cutoff = now.Add(noDeadline)
	}
	if reason, retry = c.rejectReason(now, j, c.serviceCapacity(now, w.Queue.Service), true); reason == reasonNoWorkers {
		return "", 0 // it is stored and can wait
	}
	return reason, retry
}

// Restore takes a job that has been stored, with what is done of it.
func (c *Core) Restore(now time.Time, w work.Job, firstRun int, finished [][]int, failures map[work.TaskRef]int) {
	if _, ok := c.jobs[w.ID]; ok {
		return
	}
	j := newJob(now, w, firstRun)
	j.cutoff = c.cutoff(j)
	for slot, indices := range finished {
		for _, i := range indices {
			j.tasks[slot][i].state = done
			j.unfinished[slot]--
		}
	}
	for t, n := range failures {
		j.tasks[j.Slot(t)][t.Index].failures = n
	}
	c.jobs[w.ID] = j
	if w.Times > 0 {
		c.timed = append(c.timed, j)
	}
	c.unblock(now, j)
	if j.finished() {
		c.close(j, work.Outcome{State: work.Completed})
		return
	}
	c.enqueue(j)
	c.placeWaiting(now)
}

// Cancel ends a stored job whose end has been saved, and stops its runs.
func (c *Core) Cancel(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.answered {
		return
	}
	c.stopAll(now, j, 0)
	c.close(j, work.Outcome{State: work.Cancelled})
	c.placeWaiting(now)
}

// Begun reports whether something of a job was sent to an agent.
func (c *Core) Begun(id string) bool {
	j, ok := c.jobs[id]
	return ok && j.wasSent
}

// Saved lets an agent forget an event.
func (c *Core) Saved(agent, life string, seq uint64) {
	if t, ok := c.targets[agent]; ok && t.life == life {
		t.uncommitted = slices.DeleteFunc(t.uncommitted, func(n uint64) bool { return n == seq })
	}
}

// adopt takes the runs that an agent has from a former holder of the ledger, and
// reports whether the agent has confirmed the tenure with this.
func (c *Core) adopt(now time.Time, t *target, r *Report) bool {
	if r.Epoch > c.highestEpoch || r.Epoch == c.tenure.Epoch && t.confirmedEpoch != r.Epoch && r.Asked {
		t.uncommitted = nil // the agent tells these ends to the holder, maybe anew
	}
	if c.tenure.Epoch == 0 || r.Epoch != c.tenure.Epoch || t.confirmedEpoch == r.Epoch || !r.Asked {
		return false
	}
	t.confirmedEpoch = r.Epoch
	c.addNote(Note{Agent: t.agent, What: "tenureConfirmed", Why: "the agent obeys this home for stored jobs", Values: map[string]float64{
		"epoch": float64(r.Epoch), "runs": float64(len(r.Kept)), "events": float64(len(r.Events)), "taken": float64(t.lastSeq),
	}})
	for _, k := range r.Kept {
		j, ok := c.jobs[k.Run.Task.Job]
		if !ok || !j.Stored || j.answered || !c.awaitsPlacement(j, k.Run.Task) {
			c.orderStop(t.agent, k.Run)
			continue
		}
		c.placeRun(now.Add(-k.Age), t, j, k.Run)
		c.addNote(Note{Job: j.ID, Agent: t.agent, Run: k.Run, What: "runAdopted", Why: "its former home is lost"})
	}
	return true
}

// commitEnd notes that an event has to be saved before its agent forgets it.
func (c *Core) commitEnd(t *target, e *Event) {
	c.decisions.Marks = append(c.decisions.Marks, Mark{Agent: t.agent, Life: t.life, Seq: e.Seq, Run: e.Run, End: e.End})
	t.uncommitted = append(t.uncommitted, e.Seq)
}

// leaveToHolder leaves the end of a run of a stored job to the holder of the ledger, if
// this home is not it.
func (c *Core) leaveToHolder(t *target, e *Event) {
	if e.Stored && t.confirmedEpoch == 0 {
		t.uncommitted = append(t.uncommitted, e.Seq)
	}
}

// adoptEnded makes the run of an event known that ended before its agent told that
// it had it.
func (c *Core) adoptEnded(now time.Time, t *target, e *Event) bool {
	j, ok := c.jobs[e.Run.Task.Job]
	if !ok || !j.Stored || e.End != work.Done && e.End != work.Failed || !c.awaitsPlacement(j, e.Run.Task) {
		return false
	}
	c.placeRun(now.Add(-e.Took), t, j, e.Run)
	return true
}

// awaitsPlacement reports whether a task is to be placed, and makes it so if it waits for
// earlier steps: a former home has started it, so these are done, and their agents
// have not told yet.
func (c *Core) awaitsPlacement(j *job, ref work.TaskRef) bool {
	tk := &j.tasks[j.Slot(ref)][ref.Index]
	if tk.state == blocked {
		tk.state = pending
		j.pending++
		c.queued++
	}
	return tk.state == pending
}

// previousRunsKnown reports whether no run of a former holder can be left that is not
// known.
func (c *Core) previousRunsKnown(now time.Time) bool {
	if now.After(c.tenure.Clear) {
		return true
	}
	for _, name := range c.tenure.Former {
		if t, ok := c.targets[name]; !ok || t.confirmedEpoch != c.tenure.Epoch {
			return false
		}
	}
	return true
}

// mayPlaceStored reports whether tasks of stored jobs may be placed now.
func (c *Core) mayPlaceStored(now time.Time) bool {
	return c.tenure.Epoch > 0 && now.Before(c.tenure.Until) && c.previousRunsKnown(now)
}

// Confirmed reports whether an agent has confirmed the tenure.
func (c *Core) Confirmed(agent string) bool {
	t, ok := c.targets[agent]
	return ok && t.confirmedEpoch == c.tenure.Epoch
}

// Heard reports whether an agent is in contact, or has been until a moment ago so
// that something may run there.
func (c *Core) Heard(now time.Time, agent string) bool {
	t, ok := c.targets[agent]
	return ok && now.Sub(t.lastContact) <= c.cfg.LostHeld
}

// tenureConfirmedBy reports whether a worker's agent takes tasks of stored jobs from here.
func (c *Core) tenureConfirmedBy(t *target) bool {
	return t.confirmedEpoch == c.tenure.Epoch && c.tenure.Agents[t.agent]
}

// demoteLate puts the jobs behind the others of their priority that can no longer be in
// time for their callers. They have to be done all the same.
func (c *Core) demoteLate(now time.Time) {
	for _, j := range slices.Clone(c.waiting) {
		if j.Stored && !j.Lasts && j.Times == 0 && !j.missesDeadline && now.After(j.cutoff) {
			c.dequeue(j)
			j.missesDeadline = true
			c.enqueue(j)
		}
	}
}
