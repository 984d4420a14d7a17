package schedule

import (
	"math"
	"time"

	"masticbay/work"
)

// The reasons for which a job is rejected.
const (
	reasonNoWorkers = "no worker of the service is in contact"
	reasonTooLate   = "it could not end in time"
	reasonTooMany   = "too many tasks wait"
	reasonTooLarge  = "no worker has the room that a task asks for"
)

// defaultRetry is told when the queue gives no better figure.
const defaultRetry = time.Second

// rejectReason returns why a job of which nothing was sent can not be served, and
// when another one probably could. A new job is also judged by the work that
// waits before it.
func (c *Core) rejectReason(now time.Time, j *job, p *serviceCapacity, isNew bool) (reason string, retry time.Duration) {
	if p.speed == 0 {
		return reasonNoWorkers, defaultRetry
	}
	if isNew && c.queued > c.cfg.MaxQueued {
		return reasonTooMany, defaultRetry
	}
	for i := range j.Steps {
		if !p.maxCapacity.Holds(j.Steps[i].Room) {
			return reasonTooLarge, defaultRetry
		}
	}
	delay := time.Duration(0)
	if isNew && now.After(c.startupUntil) {
		delay = time.Duration(c.workAhead(j) / p.speed * float64(time.Millisecond))
	}
	need := time.Duration(float64(c.chainTime(j))*p.minSlowness) + c.cfg.Margin
	if now.Add(delay + need).After(j.cutoff) {
		return reasonTooLate, max(delay, need)
	}
	return "", 0
}

// chainTime returns the expected time of the longest chain on a worker of slowness 1.
func (c *Core) chainTime(j *job) time.Duration {
	return time.Duration(float64(j.Chain()) * c.queueBias(j.Queue.Name).runTimeFactor)
}

// serviceCapacity is what the workers of a service can do together.
type serviceCapacity struct {
	speed       float64   // thousandths of cores, at slowness 1
	maxCapacity work.Room // of any of them
	minSlowness float64   // least slowness
}

func (c *Core) serviceCapacity(now time.Time, service string) *serviceCapacity {
	p := &serviceCapacity{minSlowness: math.Inf(1)}
	for _, name := range c.agentNames {
		t := c.targets[name]
		if t.Service != service || !c.isUsable(now, t) {
			continue
		}
		p.speed += float64(t.Capacity.CPU) / t.slowness()
		p.minSlowness = min(p.minSlowness, t.slowness())
		p.maxCapacity.CPU = max(p.maxCapacity.CPU, t.Capacity.CPU)
		p.maxCapacity.Memory = max(p.maxCapacity.Memory, t.Capacity.Memory)
		p.maxCapacity.GPUs = max(p.maxCapacity.GPUs, t.Capacity.GPUs)
	}
	return p
}

// workAhead returns the work that waits before a job, in core-thousandths times
// milliseconds at slowness 1.
func (c *Core) workAhead(j *job) float64 {
	sum := 0.0
	for _, o := range c.waiting {
		if o.Queue.Priority > j.Queue.Priority {
			break
		}
		if o.Queue.Service == j.Queue.Service {
			sum += c.pendingWork(o)
		}
	}
	return sum
}

// pendingWork returns the work of a job's pending tasks.
func (c *Core) pendingWork(j *job) float64 {
	step := j.Step(0) // steps of a job are much alike
	return float64(j.pending*step.Room.CPU) * ms(c.expectedTime(j, 0))
}

// rejectHopeless rejects waiting jobs that can no longer end in time. A job of which
// something was sent is answered as unknown instead when its time is over.
func (c *Core) rejectHopeless(now time.Time) {
	powers := make(map[string]*serviceCapacity)
	for i := 0; i < len(c.waiting); i++ {
		j := c.waiting[i]
		if j.wasSent || j.Stored {
			continue
		}
		p, ok := powers[j.Queue.Service]
		if !ok {
			p = c.serviceCapacity(now, j.Queue.Service)
			powers[j.Queue.Service] = p
		}
		if reason, retry := c.rejectReason(now, j, p, false); reason != "" && (reason != reasonNoWorkers || now.After(j.objective)) {
			c.reject(now, j, reason, retry)
			i--
		}
	}
}

// reject answers a job of which nothing was sent to an agent since it was
// submitted. If it was submitted before and some of it was sent then, its
// outcome is unknown.
func (c *Core) reject(now time.Time, j *job, reason string, retry time.Duration) {
	c.addNote(Note{Job: j.ID, What: "rejected", Why: reason, Values: map[string]float64{
		"waitedMs": ms(now.Sub(j.receivedAt)), "queuedTasks": float64(c.queued), "retryMs": ms(retry), "cutoffMs": ms(j.cutoff.Sub(now)),
	}})
	out := work.Outcome{State: work.Rejected, Reason: reason, RetryAfter: retry}
	if c.sentJobs[j.ID] {
		out = work.Outcome{State: work.Unknown, Reason: "ran before its caller was lost; now " + reason}
	}
	c.close(j, out)
}
