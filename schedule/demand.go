package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// serviceDemand is what the queues of a service ask of its workers. Work is in
// thousandths of a core times milliseconds at slowness 1, so that a rate of work is a
// number of thousandths of a core.
type serviceDemand struct {
	shedsLoad    bool           // as in Config.ShedLoad
	queues       []*queueDemand // by priority
	byName       map[string]*queueDemand
	capacity     *serviceCapacity
	measuredAt   time.Time // capacity and waiting were counted then
	firstArrival time.Time
}

// queueDemand is the demand of one queue.
type queueDemand struct {
	service  *serviceDemand
	name     string
	priority int
	recent   decayingRate // of the work that arrives
	usual    decayingRate // the same over a longer time
	waiting  float64      // work of the waiting jobs that can be in time
	running  float64      // speed of the workers' capacity that its runs use
	// guarantee is the speed below which the queue goes before those of a higher
	// priority; 0 while none is given.
	guarantee float64
}

// Over recentTime arrivals are averaged to predict a wait, over usualTime to find the
// queue's part of the demand: bursts on the users' sites last 4 to 6 s and hardly change it.
const (
	recentTime = 700 * time.Millisecond
	usualTime  = 10 * time.Second
)

// measureInterval is how often the capacity and the waiting work are counted anew.
const measureInterval = 5 * time.Millisecond

// guaranteedPart is the part of a queue's share of the demand that it is guaranteed. At 1,
// queues of a higher priority would have no advantage.
const guaranteedPart = 0.8

// queueRetention is the time without jobs after which a queue is forgotten, so that one
// which the operator has removed does not count as one of another priority.
const queueRetention = time.Minute

// decayingRate is a rate of events with weights that decay exponentially.
type decayingRate struct {
	value float64 // per millisecond, as of at
	at    time.Time
}

func (r *decayingRate) add(now time.Time, weight float64, span time.Duration) {
	r.value = r.rate(now, span) + weight/ms(span)
	r.at = now
}

func (r *decayingRate) rate(now time.Time, span time.Duration) float64 {
	return r.value * math.Exp(-max(float64(now.Sub(r.at)), 0)/float64(span))
}

// demandOf returns the demand on a service, with its figures at most measureInterval old.
func (c *Core) demandOf(now time.Time, service string) *serviceDemand {
	d, ok := c.demand[service]
	if !ok {
		d = &serviceDemand{shedsLoad: c.cfg.ShedLoad, byName: make(map[string]*queueDemand)}
		c.demand[service] = d
	}
	if d.capacity == nil || now.Sub(d.measuredAt) >= measureInterval {
		c.measure(now, service, d)
	}
	return d
}

// remeasure has the capacity of a service counted anew when it is needed next.
func (c *Core) remeasure(service string) {
	if d, ok := c.demand[service]; ok {
		d.capacity = nil
	}
}

// measure counts the capacity of a service and the work that waits for it.
func (c *Core) measure(now time.Time, service string, d *serviceDemand) {
	d.measuredAt, d.capacity = now, c.serviceCapacity(now, service)
	d.queues = slices.DeleteFunc(d.queues, func(q *queueDemand) bool {
		unused := q.waiting == 0 && q.running < 1 && now.Sub(q.usual.at) > queueRetention
		if unused {
			delete(d.byName, q.name)
		}
		return unused
	})
	for _, q := range d.queues {
		q.waiting = 0
	}
	c.minWaitingCPU = math.MaxInt
	for _, j := range c.waiting {
		c.minWaitingCPU = min(c.minWaitingCPU, j.minCPU)
		if j.demand != nil && j.Queue.Service == service && !j.late && !j.missesDeadline {
			j.demand.waiting += c.pendingWork(j)
		}
	}
	for _, q := range d.queues {
		q.guarantee = 0
		if d.ranked() && q.waiting > 0 {
			q.guarantee = d.guaranteed(now, q)
		}
	}
}

// countArrival counts a new job and notes its queue's demand in it.
func (c *Core) countArrival(now time.Time, j *job) {
	d := c.demandOf(now, j.Queue.Service)
	q, ok := d.byName[j.Queue.Name]
	if !ok {
		q = &queueDemand{service: d, name: j.Queue.Name, priority: j.Queue.Priority}
		d.byName[q.name] = q
		d.queues = append(d.queues, q)
		if d.firstArrival.IsZero() {
			d.firstArrival = now
		}
	}
	if !ok || q.priority != j.Queue.Priority {
		q.priority = j.Queue.Priority
		slices.SortStableFunc(d.queues, func(a, b *queueDemand) int { return cmp.Compare(a.priority, b.priority) })
	}
	work := 0.0
	for i := range j.Steps {
		work += float64(j.Steps[i].Count*j.Steps[i].Room.CPU) * ms(c.expectedTime(j, i))
	}
	q.recent.add(now, work, recentTime)
	q.usual.add(now, work, usualTime)
	j.demand = q
}

// recentDemand returns the rate of work that has arrived of late, in the unit of the capacity.
func (d *serviceDemand) recentDemand(now time.Time) float64 {
	sum := 0.0
	for _, q := range d.queues {
		sum += q.recent.rate(now, recentTime)
	}
	return sum
}

// ranked reports whether the rules for overload apply: they are turned on, and the queues of
// the service differ in priority.
func (d *serviceDemand) ranked() bool {
	return d.shedsLoad && len(d.queues) > 1 && d.queues[0].priority != d.queues[len(d.queues)-1].priority
}

// meanSlowness returns the mean slowness of the service's capacity.
func (d *serviceDemand) meanSlowness() float64 {
	if d.capacity.speed == 0 {
		return 1
	}
	return d.capacity.cpu / d.capacity.speed
}

// guaranteed returns the part of the capacity that a queue is guaranteed while its jobs
// wait. It follows the queue's part of the demand; a new home, which has not seen any,
// starts with equal parts.
func (d *serviceDemand) guaranteed(now time.Time, q *queueDemand) float64 {
	sum := 0.0
	for _, o := range d.queues {
		sum += o.usual.rate(now, usualTime)
	}
	share := 1 / float64(len(d.queues))
	if sum > 0 {
		unknown := math.Exp(-float64(now.Sub(d.firstArrival)) / float64(recentTime))
		share = unknown*share + (1-unknown)*q.usual.rate(now, usualTime)/sum
	}
	return guaranteedPart * share * d.capacity.speed
}

// reserved returns the part of the capacity that a queue of a lower priority takes first:
// its guarantee, or less while its runs use more than that, since the jobs of higher
// priorities get the surplus when these runs end.
func (q *queueDemand) reserved() float64 {
	return max(q.guarantee-surplusWeight*max(q.running-q.guarantee, 0), 0)
}

// With surplusWeight a queue reserves nothing once it uses a third more than its guarantee:
// its runs that end within the predicted wait are less work than that surplus.
const surplusWeight = 3

// wait predicts how long a job waits behind some work of its own queue.
func (d *serviceDemand) wait(now time.Time, q *queueDemand, ahead float64) time.Duration {
	guaranteed := d.guaranteed(now, q)
	left, before := d.capacity.speed, ahead
	for _, o := range d.queues {
		rate := o.recent.rate(now, recentTime)
		switch {
		case o == q:
		case o.priority < q.priority:
			left -= rate
			before += o.waiting
		case o.priority > q.priority:
			left -= min(rate, o.reserved())
		default:
			before += o.waiting // of equal priority, in the order of objectives
		}
	}
	if before == 0 {
		return 0
	}
	wait := math.Inf(1)
	if left > 0 {
		wait = before / left
	}
	if guaranteed > 0 {
		wait = min(wait, ahead/guaranteed)
	}
	return time.Duration(min(wait, ms(maxDelay)) * float64(time.Millisecond))
}

// countRunning counts the speed that a run uses, negative when it has ended.
func (c *Core) countRunning(j *job, tk *task, speed float64) {
	tk.speed = speed
	if j.demand != nil {
		j.demand.running = max(j.demand.running+speed, 0)
	}
}

// countPlaced subtracts a placed task from the waiting work, which measure counts anew only
// after measureInterval.
func (c *Core) countPlaced(j *job, slot int) {
	if j.demand != nil && !j.late {
		j.demand.waiting = max(j.demand.waiting-float64(j.Step(slot).Room.CPU)*ms(c.expectedTime(j, slot)), 0)
	}
}

// belowGuarantee reports whether the job's queue gets less than it is guaranteed.
func (j *job) belowGuarantee() bool {
	return j.demand != nil && !j.late && j.demand.running < j.demand.guarantee
}

// guaranteeApplies reports whether a queue gets less than it is guaranteed.
func (c *Core) guaranteeApplies(now time.Time) bool {
	for service, d := range c.demand {
		if !d.ranked() {
			continue
		}
		for _, q := range c.demandOf(now, service).queues {
			if q.running < q.guarantee {
				return true
			}
		}
	}
	return false
}
