package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// Stored jobs outlive their home. The entry that holds the ledger (package
// ledger) places their tasks under its tenure. Agents obey only the latest tenure
// and keep the runs that the previous holder placed; the new holder adopts them.
// The end of a run is committed to the ledger before its agent may discard it.

// Tenure is the ledger holder's term, a lease with an epoch: the right to place the
// tasks of stored jobs.
type Tenure struct {
	Epoch uint64 // 0 if this home does not hold the tenure
	// Until is when the tenure ends if it is not renewed.
	Until time.Time
	// Agents are those that may get tasks.
	Agents map[string]bool
	// PreviousAgents are the agents on which the previous holder may have placed tasks. No
	// task is placed until each of them has confirmed this tenure, or until
	// LeasesEndAt, when the leases that the previous holder granted have expired.
	PreviousAgents []string
	// PreviousUnknown is set if PreviousAgents may lack some.
	PreviousUnknown bool
	LeasesEndAt     time.Time
}

// RunEnd is the end of a run of a stored job, as done or failed, that the home has to
// commit to the ledger. The agent retains the event until EventCommitted is called.
type RunEnd struct {
	Agent string
	Life  string // incarnation of the agent
	Seq   uint64 // of the event
	Run   work.Run
	End   work.End
}

// Kept is an inherited run: a run of a stored job that a previous holder placed.
type Kept struct {
	Run work.Run
	Age time.Duration
}

// SetTenure sets the tenure. If its epoch changes, the stored jobs and their runs are
// dropped: they belong to another holder or are restored.
func (c *Core) SetTenure(now time.Time, t Tenure) {
	if t.Epoch != c.tenure.Epoch {
		c.dropStoredJobs()
	}
	c.tenure, c.highestEpoch = t, max(c.highestEpoch, t.Epoch)
	c.placeWaiting(now)
}

func (c *Core) dropStoredJobs() {
	for _, name := range c.agentNames {
		t := c.targets[name]
		t.confirmedEpoch = 0 // uncommitted stays: the agent has to report those ends to the next holder
		for _, r := range t.sortedRuns() {
			if j, ok := c.jobs[r.Task.Job]; ok && j.Stored {
				delete(t.runs, r.Task)
				slot := j.Slot(r.Task)
				c.releaseRun(t, j, slot, &j.tasks[slot][r.Task.Index])
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

// Admit returns why a new stored job should be rejected, or "", and when to retry.
func (c *Core) Admit(now time.Time, w *work.Job) (reason string, retry time.Duration) {
	j := newJob(now, *w, 0)
	if j.cutoff = c.cutoff(j); w.Lasts || w.Times > 0 {
		j.cutoff = now.Add(noDeadline)
	}
	if reason, retry = c.rejectReason(now, j, c.serviceCapacity(now, w.Queue.Service), true); reason == reasonNoWorkers || reason == reasonPassedOver {
		return "", 0 // it is stored and can wait
	}
	return reason, retry
}

// Failures are the failed runs of a stored job by task.
type Failures struct {
	Count map[work.TaskRef]int
	Runs  map[work.TaskRef][]int // run numbers, as far as they are known
}

// Restore adds a stored job from the ledger, with its finished tasks by slot and its
// failed runs. New runs of each task are numbered from runNumberBase+1.
func (c *Core) Restore(now time.Time, w work.Job, runNumberBase int, finished [][]int, failures Failures) {
	if _, ok := c.jobs[w.ID]; ok {
		return
	}
	c.learnCold(now, &w.Queue)
	j := newJob(now, w, runNumberBase)
	j.cutoff = c.cutoff(j)
	for slot, indices := range finished {
		if len(indices) > 0 && j.Step(slot).Gang {
			indices = allTasks(j.Step(slot))
		}
		for _, i := range indices {
			j.begun = true
			c.markDone(j, slot, i)
		}
	}
	for t, n := range failures.Count {
		j.tasks[j.Slot(t)][t.Index].failures = n
		j.begun = true
	}
	for t, runs := range failures.Runs {
		j.tasks[j.Slot(t)][t.Index].failedRuns = slices.Clone(runs)
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

// allTasks returns the indices of all tasks of a step.
func allTasks(s *work.Step) []int {
	indices := make([]int, s.Count)
	for i := range indices {
		indices[i] = i
	}
	return indices
}

// Cancel ends a stored job whose cancellation is committed, and stops its runs.
func (c *Core) Cancel(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.answered {
		return
	}
	c.stopAll(now, j, 0)
	c.close(j, work.Outcome{State: work.Cancelled})
	c.placeWaiting(now)
}

// SentAny reports whether any task of a job was sent to an agent.
func (c *Core) SentAny(id string) bool {
	j, ok := c.jobs[id]
	return ok && j.wasSent
}

// EventCommitted records that an event is committed, so that its agent may discard it.
func (c *Core) EventCommitted(agent, life string, seq uint64) {
	if t, ok := c.targets[agent]; ok && t.life == life {
		t.uncommitted = slices.DeleteFunc(t.uncommitted, func(n uint64) bool { return n == seq })
	}
}

// The kinds of the notes on what becomes of runs when another home holds the ledger.
const (
	TenureConfirmed = "tenureConfirmed"
	RunAdopted      = "runAdopted"
	EndLeft         = "endLeft"    // the agent retains the end for the holder of the ledger
	EndMissing      = "endMissing" // an end that was left is not reported again
)

// adopt takes over the runs that an agent has from a previous holder, and reports
// whether the agent confirms the tenure with this report.
func (c *Core) adopt(now time.Time, t *target, r *Report) bool {
	if r.Epoch > c.highestEpoch || r.Epoch == c.tenure.Epoch && t.confirmedEpoch != r.Epoch && r.Asked {
		c.noteMissingEnds(t, r)
		t.uncommitted = nil // the agent reports these ends again, to the holder of the epoch
	}
	if c.tenure.Epoch == 0 || r.Epoch != c.tenure.Epoch || t.confirmedEpoch == r.Epoch || !r.Asked {
		return false
	}
	t.confirmedEpoch = r.Epoch
	c.addNote(Note{Agent: t.agent, Kind: TenureConfirmed, Reason: "the agent obeys this home for stored jobs", Values: map[string]float64{
		"epoch": float64(r.Epoch), "runs": float64(len(r.Kept)), "events": float64(len(r.Events)), "endsTakenAgain": float64(t.countTaken(r.Events)), "taken": float64(t.lastSeq),
	}})
	for _, k := range r.Kept {
		j, ok := c.jobs[k.Run.Task.Job]
		if !ok || !j.Stored || j.answered || !c.awaitsPlacement(j, k.Run.Task) {
			c.orderStop(t.agent, k.Run)
			continue
		}
		c.placeRun(now.Add(-k.Age), t, j, k.Run)
		c.addNote(Note{Job: j.ID, Agent: t.agent, Run: k.Run, Kind: RunAdopted, Reason: "its former home is lost"})
	}
	return true
}

// noteMissingEnds logs ends that this home no longer has an agent retain, and that a report for the
// tenure of this home does not list.
func (c *Core) noteMissingEnds(t *target, r *Report) {
	if r.Epoch != c.tenure.Epoch {
		return // another home holds the ledger
	}
	for _, seq := range t.uncommitted {
		if !slices.ContainsFunc(r.Events, func(e Event) bool { return e.Seq == seq }) {
			c.addNote(Note{Agent: t.agent, Kind: EndMissing, Reason: "the report that confirms the tenure does not list it", Values: map[string]float64{"seq": float64(seq), "epoch": float64(r.Epoch)}})
		}
	}
}

// countTaken returns how many of the events are ends of runs of stored jobs that were taken
// before.
func (t *target) countTaken(events []Event) (n int) {
	for _, e := range events {
		if e.Stored && e.Seq <= t.lastSeq {
			n++
		}
	}
	return n
}

// commitEnd has the end of a run committed before its agent may discard the event.
func (c *Core) commitEnd(t *target, e *Event) {
	c.decisions.RunEnds = append(c.decisions.RunEnds, RunEnd{Agent: t.agent, Life: t.life, Seq: e.Seq, Run: e.Run, End: e.End})
	t.uncommitted = append(t.uncommitted, e.Seq)
}

// leaveToHolder has the agent retain the end of a run of a stored job for the holder of
// the ledger, unless this home is the holder.
func (c *Core) leaveToHolder(t *target, e *Event) {
	if e.Stored && t.confirmedEpoch == 0 {
		t.uncommitted = append(t.uncommitted, e.Seq)
		c.addNote(Note{Job: e.Run.Task.Job, Agent: t.agent, Run: e.Run, Kind: EndLeft, Reason: "the agent has not confirmed the tenure", Values: map[string]float64{"seq": float64(e.Seq), "epoch": float64(c.tenure.Epoch)}})
	}
}

// adoptEnded adopts a run that ended before its agent reported it as inherited, and
// reports whether it did. A failure that the ledger has is reported again if the home was
// lost before it acknowledged the event. Until the agent has confirmed the tenure, its ends
// are left; the report that confirms it lists them again.
func (c *Core) adoptEnded(now time.Time, t *target, e *Event) bool {
	j, ok := c.jobs[e.Run.Task.Job]
	if t.confirmedEpoch == 0 || !ok || !j.Stored || e.End != work.Done && e.End != work.Failed || !c.awaitsPlacement(j, e.Run.Task) {
		return false
	}
	if e.End == work.Failed && slices.Contains(j.tasks[j.Slot(e.Run.Task)][e.Run.Task.Index].failedRuns, e.Run.Number) {
		return false
	}
	c.placeRun(now.Add(-e.Took), t, j, e.Run)
	return true
}

// countEarlierFailure counts the failure of a run that is not the present one of its task. The home
// that started the later run was lost before it had committed the failure, or this home had taken
// the earlier run for lost.
func (c *Core) countEarlierFailure(now time.Time, t *target, e *Event) {
	j, ok := c.jobs[e.Run.Task.Job]
	if t.confirmedEpoch == 0 || e.End != work.Failed || !ok || !j.Stored || j.Lasts || j.answered || !j.HasTask(e.Run.Task) {
		return
	}
	if tk := j.task(e.Run); tk.state == done || slices.Contains(tk.failedRuns, e.Run.Number) {
		return
	}
	c.addNote(Note{Job: j.ID, Agent: t.agent, Run: e.Run, Kind: "runEnded", Reason: "failed before the present run of its task"})
	c.commitEnd(t, e)
	c.countFailure(now, t, j, e.Run)
}

// awaitsPlacement reports whether a task is pending. A blocked task becomes pending
// first: a previous home has started it, so the earlier steps are done, although
// their agents have not reported that yet.
func (c *Core) awaitsPlacement(j *job, ref work.TaskRef) bool {
	if !j.HasTask(ref) {
		return false // a malformed report
	}
	tk := &j.tasks[j.Slot(ref)][ref.Index]
	if tk.state == blocked {
		tk.state = pending
		j.pending++
		c.queued++
	}
	return tk.state == pending
}

// previousRunsKnown reports whether every run that a previous holder placed is known
// or has ended.
func (c *Core) previousRunsKnown(now time.Time) bool {
	if now.After(c.tenure.LeasesEndAt) {
		return true
	}
	if c.tenure.PreviousUnknown {
		return false
	}
	for _, name := range c.tenure.PreviousAgents {
		if t, ok := c.targets[name]; !ok || t.confirmedEpoch != c.tenure.Epoch {
			return false
		}
	}
	return true
}

// mayPlaceStored reports whether tasks of stored jobs may be placed at this time.
func (c *Core) mayPlaceStored(now time.Time) bool {
	return c.tenure.Epoch > 0 && now.Before(c.tenure.Until) && c.previousRunsKnown(now)
}

// TenureConfirmed reports whether an agent has confirmed the tenure.
func (c *Core) TenureConfirmed(agent string) bool {
	t, ok := c.targets[agent]
	return ok && t.confirmedEpoch == c.tenure.Epoch
}

// MayHaveStoredRuns reports whether an agent is in contact, or was so recently that runs of
// stored jobs may go on there.
func (c *Core) MayHaveStoredRuns(now time.Time, agent string) bool {
	t, ok := c.targets[agent]
	return ok && now.Sub(t.lastContact) <= c.cfg.StoredRunsLostAfter
}

// tenureConfirmedBy reports whether a worker's agent has confirmed the tenure and may
// get tasks of stored jobs.
func (c *Core) tenureConfirmedBy(t *target) bool {
	return t.confirmedEpoch == c.tenure.Epoch && c.tenure.Agents[t.agent]
}

// demoteLate moves stored jobs that are past their cutoff behind all jobs that are
// not. They still have to be done.
func (c *Core) demoteLate(now time.Time) {
	for i := 0; i < len(c.waiting); i++ {
		if j := c.waiting[i]; j.Stored && !j.Lasts && j.Times == 0 && !j.missesDeadline && now.After(j.cutoff) {
			c.dequeue(j)
			j.missesDeadline = true
			c.enqueue(j)
			i--
		}
	}
}
