package dispatch

import (
	"encoding/json"
	"time"

	"masticbay/gate"
	"masticbay/job"
	"masticbay/wire"
)

// RunAnswered applies an agent's reply to a dispatch.
func (c *Core) RunAnswered(now time.Time, attempt uint64, dec *gate.Decision, st *wire.Status) {
	ref, open := c.attempts[attempt]
	c.applyStatus(now, st)
	if open {
		j := c.jobs[ref.key]
		c.applyDecision(now, j, ref.index, dec)
	}
	if a := c.agents[st.Agent]; a != nil {
		c.schedule(now, c.service(a.service))
	}
}

// RunCallFailed handles the failure of a call that carried a dispatch. If the dispatch
// never left this process, the task is queued again; otherwise its outcome is
// unclear.
func (c *Core) RunCallFailed(now time.Time, attempt uint64, sent bool) {
	ref, open := c.attempts[attempt]
	if !open {
		return
	}
	j := c.jobs[ref.key]
	t := &j.tasks[ref.index]
	if sent {
		c.markUnclear(now, j, ref.index)
		return
	}
	if a := c.agents[t.agent]; a != nil {
		a.balance.Refund(t.epoch)
	}
	c.requeue(now, j, ref.index)
	c.schedule(now, c.service(j.spec.Service))
}

// applyDecision applies a decision about the open attempt of a task. An agent
// deletes its records after the retention; its answer after that time that the
// attempt did not start proves nothing.
func (c *Core) applyDecision(now time.Time, j *activeJob, i int, dec *gate.Decision) {
	if dec.Verdict != gate.Recorded && now.Sub(j.tasks[i].sentAt) >= c.cfg.Retention {
		c.markUnclear(now, j, i)
		return
	}
	switch dec.Verdict {
	case gate.Recorded:
		c.applyReport(now, j, i, &dec.Report)
	case gate.Refused:
		c.recordRefusal(&j.tasks[i], dec.Reason)
		c.requeue(now, j, i)
	case gate.Sealed:
		c.requeue(now, j, i)
	case gate.Held:
		c.lostToRival(now, j, i, dec.Holder)
	case gate.Lost, gate.Start:
		c.markUnclear(now, j, i)
	}
}

// lostToRival gives a job up to a claim with a higher ballot. If that is a later
// claim of this entry itself, only the task is queued again, since it was
// dispatched before the claim.
func (c *Core) lostToRival(now time.Time, j *activeJob, i int, holder gate.Ballot) {
	c.lastBallot = max(c.lastBallot, holder.N)
	if holder.Entry != c.id {
		c.yieldJob(now, j, holder)
		return
	}
	if j.ballot.Less(holder) {
		j.ballot = holder // the agent obeys no lower ballot
	}
	c.requeue(now, j, i)
}

// recordRefusal updates the status of an agent by the reason of its refusal, so
// that the Core does not repeat a dispatch that would be refused again.
func (c *Core) recordRefusal(t *task, reason gate.Reason) {
	a := c.agents[t.agent]
	if a == nil {
		return
	}
	switch reason {
	case gate.Draining, gate.TargetDown:
		a.status.Draining = true
	case gate.Young, gate.OldRegistry:
		a.status.Young = true
	case gate.Unlisted:
		a.status.Listed = 0
	case gate.WrongAgent:
		a.reachable = false
	}
}

// applyReport applies an agent's record of a started task.
func (c *Core) applyReport(now time.Time, j *activeJob, i int, rep *gate.Report) {
	t := &j.tasks[i]
	switch rep.Phase {
	case gate.Running:
		c.markUnclear(now, j, i)
		t.unclearSince = now
	case gate.Succeeded:
		t.result = rep.Result
		c.updateHealth(now, j, t, rep)
		c.finishTask(now, j, i, job.Done)
	case gate.Errored:
		t.err = rep.Error
		c.updateHealth(now, j, t, rep)
		c.finishTask(now, j, i, job.Failed)
	}
}

// updateHealth records the outcome and run time of a task that ended.
func (c *Core) updateHealth(now time.Time, j *activeJob, t *task, rep *gate.Report) {
	a := c.agents[t.agent]
	if a == nil || t.adopted {
		return
	}
	s := c.service(j.spec.Service)
	failed := rep.Phase == gate.Errored
	a.health.End(now, failed, c.onlySuccessful(now, s, a), rep.Took)
	if !failed {
		s.lastSuccess[a.id] = now
		s.runTimes.End(now, false, true, rep.Took)
	}
}

// successMaxAge is how long a success of one target shows that the tasks of its
// service can succeed, so that failures count against the other targets.
const successMaxAge = 30 * time.Second

// onlySuccessful reports whether no target except that of a succeeded lately.
func (c *Core) onlySuccessful(now time.Time, s *service, a *agent) bool {
	for id, at := range s.lastSuccess {
		if id != a.id && now.Sub(at) < successMaxAge {
			return false
		}
	}
	return true
}

// immediateRequeues is how often a task is queued again without a backoff. The
// backoff after that keeps the messages few when a refusal repeats.
const immediateRequeues = 3

// maxRequeueBackoff bounds the backoff between refused attempts.
const maxRequeueBackoff = time.Second

// requeue queues a task again whose attempt is proven not to have started.
func (c *Core) requeue(now time.Time, j *activeJob, i int) {
	t := &j.tasks[i]
	c.release(now, c.service(j.spec.Service), j, t)
	others := t.otherAttempts
	c.recordNotStarted(now, j, i)
	t.agent = ""
	t.unclearSince = time.Time{}
	t.backoff = 0
	t.adopted = false
	t.originEntry, t.otherAttempts = "", nil
	t.state = job.Queued
	j.scanFrom = min(j.scanFrom, i)
	if len(others) > 0 {
		c.mergeTaskTraces(now, j, i, others)
		return
	}
	if reason := j.stopReason(now); reason != "" {
		c.stopQueued(now, j, reason)
		return
	}
	c.counters.Requeued++
	t.requeues++
	if j.claim != nil {
		return // the end of the claim queues the task
	}
	if t.requeues <= immediateRequeues {
		c.pushTasks(j, 1)
		return
	}
	backoff := min(c.cfg.AskInterval<<min(t.requeues-immediateRequeues, maxBackoffShift), maxRequeueBackoff)
	c.timers.add(now.Add(backoff), timer{kind: requeueTimer, key: j.spec.Key})
}

// maxBackoffShift keeps the doubled backoff from overflowing.
const maxBackoffShift = 10

// finishTask sets the final state of a task and answers the job if it was the
// last one.
func (c *Core) finishTask(now time.Time, j *activeJob, i int, s job.State) {
	t := &j.tasks[i]
	if t.state.Final() {
		return
	}
	if s == job.NotRun && t.rerun {
		s = job.Unknown // it may have run under an earlier submission
	}
	if t.state == job.Dispatched {
		c.release(now, c.service(j.spec.Service), j, t)
	}
	t.state = s
	t.unclearSince = time.Time{}
	switch s {
	case job.NotRun:
		c.counters.NotRun++
	case job.Unknown:
		c.counters.Unknown++
	}
	j.openTasks--
	if j.openTasks == 0 {
		c.finishJob(now, j)
		return
	}
	if reason := j.stopReason(now); reason != "" && s != job.NotRun {
		c.stopQueued(now, j, reason)
	}
}

func (c *Core) finishJob(now time.Time, j *activeJob) {
	ans := job.Answer{Key: j.spec.Key, Submission: j.submission, Counts: j.counts()}
	if ans.Counts.Done == len(j.tasks) {
		c.counters.Complete++
		ans.Status = job.StatusComplete
		ans.Results = j.results()
	} else {
		c.counters.Failed++
		ans.Status = job.StatusFailed
		ans.Reason = j.failureReason(ans.Counts)
		ans.States = j.states()
	}
	j.answer = &ans
	c.recordTraces(now, j)
	j.releaseTasks()
	c.actions.Answers = append(c.actions.Answers, ans)
	j.expiresAt = later(now, j.deadline).Add(c.cfg.Window)
	c.timers.add(j.expiresAt, timer{kind: expiryTimer, key: j.spec.Key})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (j *activeJob) results() []json.RawMessage {
	rs := make([]json.RawMessage, len(j.tasks))
	for i := range j.tasks {
		rs[i] = j.tasks[i].result
	}
	return rs
}

func (j *activeJob) states() []job.State {
	ss := make([]job.State, len(j.tasks))
	for i := range j.tasks {
		ss[i] = j.tasks[i].state
	}
	return ss
}

// releaseTasks frees the memory that only a job without an answer needs.
func (j *activeJob) releaseTasks() {
	j.tasks = nil
	j.spec.Tasks = nil
}

func (j *activeJob) failureReason(n job.Counts) string {
	if j.reason != "" {
		return j.reason
	}
	if n.Failed == 0 {
		return "some tasks did not end"
	}
	for i := range j.tasks {
		if j.tasks[i].err != "" {
			return "a task failed: " + j.tasks[i].err
		}
	}
	return "a task failed"
}
