package schedule

import (
	"math"
	"slices"
	"time"

	"masticbay/work"
)

// The reasons for which a job is rejected.
const (
	reasonNoWorkers  = "no worker of the service is in contact"
	reasonPassedOver = "the workers follow another home"
	reasonTooLate    = "it could not end in time"
	reasonTooMany    = "too many tasks wait"
	reasonTooLarge   = "no worker has the room that a task asks for"
	reasonEvacuated  = "all workers that could run it are in evacuated data centres"
)

// defaultRetry is the retry time when the waiting work gives no better figure.
const defaultRetry = time.Second

// rejectReason returns why a job that has no task sent yet can not be served, or "",
// and after what time a retry is likely to succeed. For a new job it also counts
// the work that waits before it.
func (c *Core) rejectReason(now time.Time, j *job, capacity *serviceCapacity, isNew bool) (reason string, retry time.Duration) {
	if !j.Lasts && j.Times == 0 && c.needsEvacuated(now, j, capacity) {
		return reasonEvacuated, defaultRetry
	}
	if capacity.speed == 0 && len(capacity.cold) == 0 {
		if capacity.passedOver {
			return reasonPassedOver, defaultRetry
		}
		return reasonNoWorkers, defaultRetry
	}
	if isNew && c.queued > c.cfg.MaxQueued {
		return reasonTooMany, defaultRetry
	}
	for i := range j.Steps {
		if !capacity.maxCapacity.Holds(j.Steps[i].Room) {
			return reasonTooLarge, defaultRetry
		}
	}
	delay := time.Duration(0)
	if isNew && !c.isStarting(now) {
		delay = time.Duration(c.workAhead(j) / c.speedFor(j, capacity) * float64(time.Millisecond))
	}
	if s := j.sealing; s != nil && (!s.Complete || s.Silent || s.byRunList && (c.awaitsSilentAgent(now) || c.awaitsLost(now, s))) {
		delay = max(delay, c.sealedBy(s).Sub(now))
	}
	need := time.Duration(float64(c.chainTime(j))*capacity.minSlowness) + c.cfg.Margin
	if now.Add(delay + need).After(j.cutoff) {
		return reasonTooLate, max(delay, need)
	}
	return "", 0
}

// chainTime returns the expected time of the job's longest chain of steps on workers
// of slowness 1.
func (c *Core) chainTime(j *job) time.Duration {
	return time.Duration(float64(j.chain) * c.biasOf(j).runTimeFactor)
}

// serviceCapacity sums up the usable workers of a service.
type serviceCapacity struct {
	cpu         float64   // total CPU in thousandths of a core
	speed       float64   // the same, scaled to slowness 1
	maxCapacity work.Room // largest of each resource on any worker
	minSlowness float64   // of the fastest worker
	cold        []*target // usable workers that are cold; not in speed
	passedOver  bool      // the workers follow another home
	evacuated   int       // number of evacuated workers, which count for nothing else
	others      int       // number of other workers that have not left
}

func (c *Core) serviceCapacity(now time.Time, service string) *serviceCapacity {
	capacity := &serviceCapacity{minSlowness: math.Inf(1)}
	ejected := 0.0
	for _, name := range c.agentNames {
		t := c.targets[name]
		c.refreshCold(now, t)
		if t.Service != service {
			continue
		}
		if c.isEvacuated(t) {
			capacity.evacuated++
		} else if c.mayReturn(now, t) {
			capacity.others++
		}
		if !c.isUsable(now, t) {
			continue
		}
		if c.ejection.Ejected(name) {
			ejected += float64(t.Capacity.CPU) / t.slowness()
		} else if t.cold.active {
			capacity.cold = append(capacity.cold, t)
		} else {
			capacity.cpu += float64(t.Capacity.CPU)
			capacity.speed += float64(t.Capacity.CPU) / t.slowness()
		}
		capacity.minSlowness = min(capacity.minSlowness, t.slowness())
		capacity.maxCapacity.CPU = max(capacity.maxCapacity.CPU, t.Capacity.CPU)
		capacity.maxCapacity.Memory = max(capacity.maxCapacity.Memory, t.Capacity.Memory)
		capacity.maxCapacity.GPUs = max(capacity.maxCapacity.GPUs, t.Capacity.GPUs)
	}
	if capacity.speed == 0 {
		capacity.speed = ejected // the others are gone; see probeTargets
	}
	capacity.passedOver = capacity.speed == 0 && c.IsPassedOver(now)
	return capacity
}

// speedFor returns the speed at which the workers take up work like that of a job, of which cold
// workers take only so many runs.
func (c *Core) speedFor(j *job, capacity *serviceCapacity) float64 {
	if len(capacity.cold) == 0 {
		return capacity.speed
	}
	speed, runWork := capacity.speed, float64(j.Step(0).Room.CPU)*ms(c.expectedTime(j, 0))
	for _, t := range capacity.cold {
		speed += t.coldSpeed(runWork)
	}
	return max(speed, 1)
}

// workAhead returns the work that waits before a job, in thousandths of a core times
// milliseconds, at slowness 1.
func (c *Core) workAhead(j *job) float64 {
	sum := 0.0
	if d := c.demand[j.Queue.Service]; d != nil && d.ranked() {
		for _, q := range d.queues {
			if q.priority <= j.Queue.Priority {
				sum += q.waiting
			}
		}
		return sum
	}
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

// pendingWork returns the work of a job's pending tasks, in the unit of workAhead.
func (c *Core) pendingWork(j *job) float64 {
	step := j.Step(0) // the steps of a job are much alike
	return float64(j.pending*step.Room.CPU) * ms(c.expectedTime(j, 0))
}

// rejectHopeless sheds load: it rejects waiting jobs that can no longer end in time.
// A job that has had a task sent is answered as unknown instead once its time is over.
// A job that only lacks workers waits for them until its objective.
func (c *Core) rejectHopeless(now time.Time) {
	for i := 0; i < len(c.waiting); i++ {
		j := c.waiting[i]
		if j.wasSent || j.Stored {
			continue
		}
		capacity := c.demandOf(now, j.Queue.Service).capacity
		if reason, retry := c.rejectReason(now, j, capacity, false); reason != "" && (reason != reasonNoWorkers || now.After(j.objective) && !c.mayGetWorkers(now, j)) {
			c.reject(now, j, reason, retry)
			i--
		}
	}
}

// reject answers a job that has had no task sent to an agent since its submission.
// If tasks were sent after an earlier submission of the job, its outcome is unknown.
func (c *Core) reject(now time.Time, j *job, reason string, retry time.Duration) {
	c.rejectWith(now, j, reason, retry, make(map[string]float64))
}

// rejectWith is reject with the figures behind the decision, to which it adds.
func (c *Core) rejectWith(now time.Time, j *job, reason string, retry time.Duration, values map[string]float64) {
	values["waitedMs"], values["queuedTasks"] = ms(now.Sub(j.receivedAt)), float64(c.queued)
	values["retryMs"], values["cutoffMs"] = ms(retry), ms(j.cutoff.Sub(now))
	c.addNote(Note{Job: j.ID, Kind: "rejected", Reason: reason, Values: values})
	out := work.Outcome{State: work.Rejected, Reason: reason, RetryAfter: retry}
	if j.mayHaveRun || c.wasSent(j.ID) {
		out = work.Outcome{State: work.Unknown, Reason: "ran before its caller was lost; now " + reason}
	}
	s := j.sealing
	c.close(j, out)
	if s != nil && s.byRunList && len(s.asked) == 0 && !c.hasTerm {
		// The other candidate may have the job now. If it comes back, the lists are awaited anew.
		c.sealing = slices.DeleteFunc(c.sealing, func(o *sealing) bool { return o == s })
	}
}
