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

// hopeless returns why a job of which nothing was sent can not be served, and
// when another one probably could. A new job is also judged by the work that
// waits before it.
func (c *Core) hopeless(now time.Time, j *job, isNew bool) (why string, retry time.Duration) {
	speed, largest := c.power(now, j.Queue.Service)
	if speed == 0 {
		return reasonNoWorkers, defaultRetry
	}
	if isNew && c.queued > c.cfg.MaxQueued {
		return reasonTooMany, defaultRetry
	}
	for i := range j.Steps {
		if !largest.Holds(j.Steps[i].Room) {
			return reasonTooLarge, defaultRetry
		}
	}
	delay := time.Duration(0)
	if isNew && now.After(c.settle) {
		delay = time.Duration(c.ahead(j) / speed * float64(time.Millisecond))
	}
	need := time.Duration(float64(c.chain(j))*c.fastest(now, j.Queue.Service)) + c.cfg.Margin
	if now.Add(delay + need).After(j.cutoff) {
		return reasonTooLate, max(delay, need)
	}
	return "", 0
}

// chain returns the expected time of the longest chain on a worker of slowness 1.
func (c *Core) chain(j *job) time.Duration {
	return time.Duration(float64(j.Chain()) * math.Exp(c.queueBias(j.Queue.Name).value))
}

// power returns the work that all workers of a service do, in core-thousandths
// at slowness 1, and the largest room of any of them.
func (c *Core) power(now time.Time, service string) (speed float64, largest work.Room) {
	for _, name := range c.names {
		t := c.targets[name]
		if t.Service != service || !c.usable(now, t) {
			continue
		}
		speed += float64(t.Capacity.CPU) / t.slowness()
		largest.CPU = max(largest.CPU, t.Capacity.CPU)
		largest.Memory = max(largest.Memory, t.Capacity.Memory)
		largest.GPUs = max(largest.GPUs, t.Capacity.GPUs)
	}
	return speed, largest
}

// fastest returns the least slowness of a service's workers.
func (c *Core) fastest(now time.Time, service string) float64 {
	least := math.Inf(1)
	for _, name := range c.names {
		if t := c.targets[name]; t.Service == service && c.usable(now, t) {
			least = min(least, t.slowness())
		}
	}
	return least
}

// ahead returns the work that waits before a job, in core-thousandths times
// milliseconds at slowness 1.
func (c *Core) ahead(j *job) float64 {
	sum := 0.0
	for _, o := range c.waiting {
		if o.Queue.Priority > j.Queue.Priority {
			break
		}
		if o.Queue.Service == j.Queue.Service {
			sum += c.backlog(o)
		}
	}
	return sum
}

// backlog returns the work of a job's pending tasks.
func (c *Core) backlog(j *job) float64 {
	sum := 0.0
	for i := range j.tasks {
		n := 0
		for k := range j.tasks[i] {
			if j.tasks[i][k].state == pending {
				n++
			}
		}
		sum += float64(n*j.Steps[i].Room.CPU) * ms(c.expect(j, i))
	}
	return sum
}

// shed rejects waiting jobs that can no longer end in time. A job of which
// something was sent is answered as unknown instead when its time is over.
func (c *Core) shed(now time.Time) {
	for i := 0; i < len(c.waiting); i++ {
		j := c.waiting[i]
		if j.sent {
			continue
		}
		if why, retry := c.hopeless(now, j, false); why != "" && (why != reasonNoWorkers || now.After(j.objective)) {
			c.reject(now, j, why, retry)
			i--
		}
	}
}

// reject answers a job of which nothing was sent to an agent.
func (c *Core) reject(now time.Time, j *job, why string, retry time.Duration) {
	c.note(Note{Job: j.ID, What: "rejected", Why: why, Values: map[string]float64{
		"waitedMs": ms(now.Sub(j.begun)), "queuedTasks": float64(c.queued), "retryMs": ms(retry), "cutoffMs": ms(j.cutoff.Sub(now)),
	}})
	c.close(j, work.Outcome{State: work.Rejected, Reason: why, RetryAfter: retry})
}
