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
func (c *Core) hopeless(now time.Time, j *job, p *power, isNew bool) (why string, retry time.Duration) {
	if p.speed == 0 {
		return reasonNoWorkers, defaultRetry
	}
	if isNew && c.queued > c.cfg.MaxQueued {
		return reasonTooMany, defaultRetry
	}
	for i := range j.Steps {
		if !p.largest.Holds(j.Steps[i].Room) {
			return reasonTooLarge, defaultRetry
		}
	}
	delay := time.Duration(0)
	if isNew && now.After(c.settle) {
		delay = time.Duration(c.ahead(j) / p.speed * float64(time.Millisecond))
	}
	need := time.Duration(float64(c.chain(j))*p.fastest) + c.cfg.Margin
	if now.Add(delay + need).After(j.cutoff) {
		return reasonTooLate, max(delay, need)
	}
	return "", 0
}

// chain returns the expected time of the longest chain on a worker of slowness 1.
func (c *Core) chain(j *job) time.Duration {
	return time.Duration(float64(j.Chain()) * c.queueBias(j.Queue.Name).factor)
}

// power is what the workers of a service can do together.
type power struct {
	speed   float64   // thousandths of cores, at slowness 1
	largest work.Room // of any of them
	fastest float64   // least slowness
}

func (c *Core) power(now time.Time, service string) *power {
	p := &power{fastest: math.Inf(1)}
	for _, name := range c.names {
		t := c.targets[name]
		if t.Service != service || !c.usable(now, t) {
			continue
		}
		p.speed += float64(t.Capacity.CPU) / t.slowness()
		p.fastest = min(p.fastest, t.slowness())
		p.largest.CPU = max(p.largest.CPU, t.Capacity.CPU)
		p.largest.Memory = max(p.largest.Memory, t.Capacity.Memory)
		p.largest.GPUs = max(p.largest.GPUs, t.Capacity.GPUs)
	}
	return p
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
	step := j.Step(0) // steps of a job are much alike
	return float64(j.pending*step.Room.CPU) * ms(c.expect(j, 0))
}

// shed rejects waiting jobs that can no longer end in time. A job of which
// something was sent is answered as unknown instead when its time is over.
func (c *Core) shed(now time.Time) {
	powers := make(map[string]*power)
	for i := 0; i < len(c.waiting); i++ {
		j := c.waiting[i]
		if j.sent || j.Stored {
			continue
		}
		p, ok := powers[j.Queue.Service]
		if !ok {
			p = c.power(now, j.Queue.Service)
			powers[j.Queue.Service] = p
		}
		if why, retry := c.hopeless(now, j, p, false); why != "" && (why != reasonNoWorkers || now.After(j.objective)) {
			c.reject(now, j, why, retry)
			i--
		}
	}
}

// reject answers a job of which nothing was sent to an agent since it was
// submitted. If it was submitted before and some of it was sent then, its
// outcome is unknown.
func (c *Core) reject(now time.Time, j *job, why string, retry time.Duration) {
	c.note(Note{Job: j.ID, What: "rejected", Why: why, Values: map[string]float64{
		"waitedMs": ms(now.Sub(j.begun)), "queuedTasks": float64(c.queued), "retryMs": ms(retry), "cutoffMs": ms(j.cutoff.Sub(now)),
	}})
	out := work.Outcome{State: work.Rejected, Reason: why, RetryAfter: retry}
	if c.began[j.ID] {
		out = work.Outcome{State: work.Unknown, Reason: "ran before its caller was lost; now " + why}
	}
	c.close(j, out)
}
