package schedule

import (
	"hash/fnv"
	"time"
)

// The rules for overload. They apply if Config.ShedLoad is set, to services whose queues
// differ in priority, and have no effect while jobs do not wait.
//
//   - A new job is rejected if the predicted wait in its queue leaves it no time to meet
//     its objective. So the jobs that are accepted are in time, and the others know at once.
//   - A queue that gets less than its guaranteed share of the capacity goes before
//     those of a higher priority.
//   - A job that can only be late waits behind those that can be in time.

const (
	// overloadFactor is the demand over the capacity from which on a queue counts as one that
	// stays. At 1, random peaks on small sites counted.
	overloadFactor = 1.1
	// longQueuePart is the part of a job's slack that it may wait at most while the demand
	// exceeds the capacity by that. Estimates are off by 40%, and so is the slack; a shorter queue
	// does not reduce the work that gets done while jobs wait at all.
	longQueuePart = 0.25
	// shortQueuePart is the same for a queue that will be gone soon, since the demand is lower.
	shortQueuePart = 1.0
	// minWaitLimit is a wait for which no job is rejected. Shorter queues are no sign of
	// overload.
	minWaitLimit = 20 * time.Millisecond
)

const reasonOverload = "its queue is too long for it to end in time"

// managed reports whether the rules for overload apply to a job.
func (c *Core) managed(j *job) bool {
	return j.demand != nil && !j.Stored && !j.Lasts && j.Times == 0 && j.demand.service.ranked()
}

// slack returns how long a job can wait and still meet its objective on a worker of
// mean slowness.
func (c *Core) slack(now time.Time, d *serviceDemand, j *job) time.Duration {
	need := time.Duration(float64(c.chainTime(j)) * d.meanSlowness())
	return j.objective.Sub(now) - need - c.cfg.Margin
}

// admit decides whether a new job is accepted under the load, and rejects it if not.
func (c *Core) admit(now time.Time, j *job) bool {
	if !c.managed(j) || j.sealing != nil || !now.After(c.startupUntil) {
		return true
	}
	d := c.demandOf(now, j.Queue.Service)
	if d.capacity.speed == 0 {
		return true // it waits for workers until its objective; see rejectHopeless
	}
	wait := d.wait(now, j.demand, j.demand.waiting)
	part := shortQueuePart
	if d.recentDemand(now) > overloadFactor*d.capacity.speed {
		part = longQueuePart
	}
	limit := max(time.Duration(part*float64(c.slack(now, d, j))), minWaitLimit)
	if wait <= limit {
		j.demand.waiting += c.pendingWork(j)
		return true
	}
	c.rejectWith(now, j, reasonOverload, c.retryAfter(now, d, j, wait), map[string]float64{
		"predictedMs": ms(wait), "limitMs": ms(limit), "waitingWork": j.demand.waiting, "runningSpeed": j.demand.running,
		"guaranteedSpeed": d.guaranteed(now, j.demand), "capacitySpeed": d.capacity.speed,
	})
	return false
}

// Retries of rejected jobs are spread over retrySpread times the demand over the capacity.
const (
	retrySpread    = 2 * time.Second
	maxRetrySpread = 10 * time.Second
)

// retryAfter returns when a rejected job should be submitted again: after the wait in its
// queue, plus a part of a longer time that depends on the job, so that the jobs that are
// rejected in one moment do not return in one.
func (c *Core) retryAfter(now time.Time, d *serviceDemand, j *job, wait time.Duration) time.Duration {
	spread := min(float64(retrySpread)*max(d.recentDemand(now)/max(d.capacity.speed, 1), 1), float64(maxRetrySpread))
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID))
	return wait + time.Duration(spread*float64(h.Sum32()%1024)/1024)
}

// demoteOnlyLate moves the jobs that can only be late behind the others.
func (c *Core) demoteOnlyLate(now time.Time) {
	for i := 0; i < len(c.waiting); i++ {
		j := c.waiting[i]
		if j.late || !c.managed(j) || !c.onlyLate(now, c.demandOf(now, j.Queue.Service), j) {
			continue
		}
		c.dequeue(j)
		j.late = true
		c.enqueue(j)
		i--
	}
}

// onlyLate reports whether a job can not meet its objective even if its pending tasks
// start at once on the fastest worker.
func (c *Core) onlyLate(now time.Time, d *serviceDemand, j *job) bool {
	if len(j.tasks) > 1 {
		return now.After(j.objective)
	}
	return now.Add(time.Duration(float64(c.chainTime(j)) * d.capacity.minSlowness)).After(j.objective)
}
