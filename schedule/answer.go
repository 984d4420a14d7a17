package schedule

import (
	"masticbay/work"
)

// close answers a job.
func (c *Core) close(j *job, out work.Outcome) {
	if j.over {
		return
	}
	j.over = true
	c.dequeue(j)
	c.noteEnd(j, out)
	c.out.Outcomes = append(c.out.Outcomes, Ending{j.ID, out})
	switch {
	case j.Stored:
		// The ledger remembers it.
	case out.State == work.Completed, out.State == work.JobFailed:
		c.remember(j.ID, out)
	default:
		c.rememberBegin(j)
	}
	c.discard(j)
}

// noteEnd tells how a job went, for the log.
func (c *Core) noteEnd(j *job, out work.Outcome) {
	if !j.sent {
		return // a rejection has a note of its own
	}
	c.note(Note{Job: j.ID, Agent: j.last.agent, What: "jobEnded", Why: string(out.State) + " " + out.Reason, Values: map[string]float64{
		"firstStartMs": ms(j.first.Sub(j.begun)), "objectiveMs": ms(j.objective.Sub(j.begun)), "tasks": float64(j.Tasks()),
		"lastWaitMs": ms(j.last.wait), "lastRunMs": ms(j.last.took), "lastExpectedMs": ms(j.last.expected), "repeated": float64(j.again),
	}})
}

// discard forgets a job that is answered once nothing of it runs.
func (c *Core) discard(j *job) {
	if j.over && j.running == 0 {
		delete(c.jobs, j.ID)
		c.queued -= j.pending
		j.pending = 0
	}
}

func (c *Core) remember(id string, out work.Outcome) {
	if len(c.endings) >= c.cfg.Remember {
		delete(c.ended, c.endings[0])
		c.endings = c.endings[1:]
	}
	c.ended[id] = out
	c.endings = append(c.endings, id)
}

// rememberBegin keeps in mind that something of a job may have run, so that it
// is not said to have not run when its caller submits it again.
func (c *Core) rememberBegin(j *job) {
	if !j.sent || c.began[j.ID] {
		return
	}
	if len(c.begins) >= c.cfg.Remember {
		delete(c.began, c.begins[0])
		c.begins = c.begins[1:]
	}
	c.began[j.ID] = true
	c.begins = append(c.begins, j.ID)
}
