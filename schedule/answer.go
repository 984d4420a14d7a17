package schedule

import (
	"masticbay/work"
)

// close answers a job with its outcome.
func (c *Core) close(j *job, out work.Outcome) {
	if j.answered {
		return
	}
	j.answered = true
	c.dequeue(j)
	c.noteOutcome(j, out)
	c.decisions.Outcomes = append(c.decisions.Outcomes, JobOutcome{j.ID, out})
	switch {
	case j.Stored:
		// The ledger keeps the outcome.
	case out.State == work.Completed, out.State == work.JobFailed:
		c.rememberOutcome(j.ID, out)
	default:
		c.rememberSent(j)
	}
	c.releaseJob(j)
}

// noteOutcome adds a log note on how a job went.
func (c *Core) noteOutcome(j *job, out work.Outcome) {
	if !j.wasSent {
		return // a rejection has its own note
	}
	values := map[string]float64{
		"firstStartMs": ms(j.firstPlacedAt.Sub(j.receivedAt)), "objectiveMs": ms(j.objective.Sub(j.receivedAt)), "tasks": float64(j.Tasks()),
		"lastWaitMs": ms(j.lastRun.wait), "lastRunMs": ms(j.lastRun.took), "lastExpectedMs": ms(j.lastRun.expected), "repeated": float64(j.requeues),
	}
	if j.running > 0 {
		values["running"] = float64(j.running)
	}
	c.addNote(Note{Job: j.ID, Agent: j.lastRun.agent, Kind: "jobEnded", Reason: string(out.State) + " " + out.Reason, Values: values})
}

// releaseJob deletes a job that is answered and has no runs.
func (c *Core) releaseJob(j *job) {
	if j.answered && j.running == 0 {
		delete(c.jobs, j.ID)
		c.queued -= j.pending
		j.pending = 0
	}
}

// rememberOutcome keeps an outcome for callers that submit the job again.
func (c *Core) rememberOutcome(id string, out work.Outcome) {
	if len(c.outcomeOrder) >= c.cfg.MaxRemembered {
		delete(c.outcomes, c.outcomeOrder[0])
		c.outcomeOrder = c.outcomeOrder[1:]
	}
	c.outcomes[id] = out
	c.outcomeOrder = append(c.outcomeOrder, id)
}

// MayHaveRun reports whether the outcome of a job is remembered, or that a task of it may have run.
func (c *Core) MayHaveRun(id string) bool {
	_, ok := c.outcomes[id]
	return ok || c.wasSent(id)
}

// wasSent reports whether a job was answered without a result after a task of it was sent.
func (c *Core) wasSent(id string) bool {
	_, ok := c.sentJobs[id]
	return ok
}

// rememberSent records that a task of a job may have run, so that the job is not
// reported as not run when its caller submits it again, and that its runs are numbered on.
func (c *Core) rememberSent(j *job) {
	if !j.wasSent {
		return
	}
	wasRemembered := c.wasSent(j.ID)
	c.sentJobs[j.ID] = max(c.sentJobs[j.ID], j.highestRun())
	if wasRemembered {
		return
	}
	if len(c.sentOrder) >= c.cfg.MaxRemembered {
		delete(c.sentJobs, c.sentOrder[0])
		c.sentOrder = c.sentOrder[1:]
	}
	c.sentOrder = append(c.sentOrder, j.ID)
}
