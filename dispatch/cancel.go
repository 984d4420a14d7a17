package dispatch

import (
	"time"

	"masticbay/job"
)

// Reasons why a job ends early.
const (
	reasonCancelled = "cancelled"
	reasonLate      = "the deadline can not be met"
)

// Cancel cancels a job. Waiting tasks become notRun, at once if the job is
// idempotent and after a claim otherwise. Dispatched tasks are sealed, and those
// that have started run to their end. Cancel reports whether the job is known.
func (c *Core) Cancel(now time.Time, k job.Key) bool {
	j := c.jobs[k]
	if j == nil {
		return false
	}
	if j.answer != nil || j.cancelled {
		return true
	}
	j.cancelled = true
	j.setReason(reasonCancelled)
	c.sealDispatched(j)
	c.stopQueued(now, j, reasonCancelled)
	return true
}

func (c *Core) sealDispatched(j *activeJob) {
	for i := range j.tasks {
		if j.tasks[i].state == job.Dispatched && !j.tasks[i].adopted {
			c.seal(j, i)
		}
	}
}

// stopQueued ends the waiting tasks of a job that may start no more of them.
// Tasks of a job that is not idempotent are notRun only after a claim, made when
// no task is dispatched any more, has shown that no other entry started them.
func (c *Core) stopQueued(now time.Time, j *activeJob, reason string) {
	if j.claim != nil {
		return // the end of the claim decides
	}
	if j.spec.Idempotent {
		c.endQueued(now, j, job.NotRun, reason)
		return
	}
	j.setReason(reason)
	c.service(j.spec.Service).queue.Remove(j.spec.Key)
	if j.hasQueued() && !j.hasDispatched() {
		c.startClaim(now, j, proofClaim)
	}
}

func (j *activeJob) hasDispatched() bool {
	for i := range j.tasks {
		if j.tasks[i].state == job.Dispatched {
			return true
		}
	}
	return false
}

func (j *activeJob) hasQueued() bool {
	return j.nextQueued() < len(j.tasks)
}

// stopReason returns the reason why no further task of j may start, or "".
func (j *activeJob) stopReason(now time.Time) string {
	switch {
	case j.cancelled:
		return reasonCancelled
	case !now.Before(j.deadline):
		return "the deadline has passed"
	case j.missesDeadline:
		return reasonLate
	}
	return ""
}

// endQueued removes j from its queue and gives every waiting task the final
// state s.
func (c *Core) endQueued(now time.Time, j *activeJob, s job.State, reason string) {
	c.service(j.spec.Service).queue.Remove(j.spec.Key)
	for i := 0; i < len(j.tasks); i++ {
		if j.tasks[i].state == job.Queued {
			j.setReason(reason)
			c.finishTask(now, j, i, s)
		}
	}
}
