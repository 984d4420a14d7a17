package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"masticbay/platform"
	"masticbay/schedule"
	"masticbay/site"
	"masticbay/work"
	"masticbay/worker"
)

// replay is the run of a Pattern: the homes of all cells, one agent per worker with the
// limits of the product, messages that take messageDelay, and simulated workers. The
// result depends on the pattern alone: time is virtual, and random draws come from its
// seed.
type replay struct {
	pattern           *Pattern
	clock             clock
	rng               *rand.Rand
	homes             []*modelHome
	guardConfig       worker.Config
	workers           []*modelWorker
	byAgent           map[string]*modelWorker
	jobs              map[string]*modelJob
	submitted         []*modelJob
	burstFactors      map[string]float64 // factors of the arrival rate by queue; that of "" applies to all
	burstZone         map[string]string  // data centre of the additional jobs, by queue
	startCount        int                // runs that workers started
	wastedWork        time.Duration      // of runs that were stopped or lost, at slowness 1
	withholdsSlowness bool               // reports to the home leave out slow progress
}

// modelJob is a job of a replay, and the answer to it.
type modelJob struct {
	queue       *PatternQueue
	zone        int // index of the data centre of its caller
	submittedAt time.Duration
	objective   time.Duration
	taskTimes   []time.Duration // run times at slowness 1, by task
	outcome     work.State      // empty until the job is answered
	answeredAt  time.Duration
	job         work.Job   // as submitted
	home        *modelHome // that has the job
	handedOn    bool       // its first home has rejected it
	wasSent     bool       // a task of it was sent to an agent
	firstRun    int
}

// replayStartTime is the start of virtual time.
var replayStartTime = time.Unix(1_000_000, 0)

// tailDuration is how long a replay continues after the last arrival: the longest
// time that any caller waits.
const tailDuration = 8 * time.Second

// Replay replays a pattern and returns its figures.
func Replay(p *Pattern) *ReplayResult { return newReplay(p).run() }

func newReplay(p *Pattern) *replay {
	node := &platform.Node{MaxWorkerLease: time.Second, RemoteFactor: cmp.Or(p.RemoteFactor, defaultRemoteFactor)}
	return &replay{
		pattern: p, rng: rand.New(rand.NewPCG(p.Seed, 0)), homes: newModelHomes(p, node), guardConfig: site.GuardConfig(node),
		byAgent: make(map[string]*modelWorker), jobs: make(map[string]*modelJob), burstFactors: make(map[string]float64), burstZone: make(map[string]string),
		clock: clock{endAt: seconds(p.Seconds) + tailDuration},
	}
}

func (r *replay) now() time.Time { return replayStartTime.Add(r.clock.elapsed) }

func (r *replay) run() *ReplayResult {
	for _, w := range r.pattern.Workers {
		for range w.Count {
			m := newModelWorker(r, len(r.workers), w)
			r.workers = append(r.workers, m)
			r.byAgent[m.agent] = m
		}
	}
	r.divide()
	for _, w := range r.workers {
		w.begin()
	}
	for i := range r.pattern.Queues {
		r.scheduleArrival(&r.pattern.Queues[i])
	}
	for i := range r.pattern.Events {
		r.scheduleEvent(&r.pattern.Events[i])
	}
	r.tick()
	r.clock.run(func() {})
	return r.result()
}

// scheduleArrival schedules the next job of a queue.
func (r *replay) scheduleArrival(q *PatternQueue) {
	rate := q.PerSecond * max(r.burstFactors[""], 1) * max(r.burstFactors[q.Name], 1)
	r.clock.after(seconds(r.rng.ExpFloat64()/rate), func() {
		if r.clock.elapsed > seconds(r.pattern.Seconds) {
			return
		}
		r.submit(q)
		r.scheduleArrival(q)
	})
}

// drawLogNormal draws a value from the log-normal distribution with a mean, and with
// spread as the standard deviation of the logarithm.
func (r *replay) drawLogNormal(mean, spread float64) float64 {
	return mean * math.Exp(spread*r.rng.NormFloat64()-spread*spread/2)
}

// submit draws a job of a queue and submits it to the home. The order of the random
// draws decides what a seed means.
func (r *replay) submit(q *PatternQueue) {
	meanTime := min(r.drawLogNormal(q.WorkMs, workSpread), 4*q.WorkMs)
	n := int(math.Round(min(max(r.drawLogNormal(q.Tasks, tasksSpread), 1), 4*q.Tasks)))
	m := &modelJob{queue: q, submittedAt: r.clock.elapsed}
	longest := time.Duration(0)
	for range n {
		taskTime := millis(r.drawLogNormal(meanTime, taskSpread))
		if q.TailShare > 0 && r.rng.Float64() < q.TailShare {
			taskTime = time.Duration(float64(taskTime) * q.TailFactor)
		}
		m.taskTimes = append(m.taskTimes, taskTime)
		longest = max(longest, taskTime)
	}
	m.zone = r.drawZone(q)
	jobQueue := q.queue()
	m.objective = jobQueue.Objective(longest)
	id := strconv.Itoa(1_000_000 + len(r.submitted))
	r.jobs[id], r.submitted = m, append(r.submitted, m)
	j := work.Job{
		ID: id, Queue: jobQueue, Left: millis(q.DeadlineMs),
		Steps: []work.Step{{Count: n, Room: work.Room{CPU: int(r.drawLogNormal(q.CPU, cpuSpread))}, Estimate: millis(r.drawLogNormal(meanTime, estimateSpread))}},
	}
	if q.NearShare > 0 && r.rng.Float64() < q.NearShare {
		j.Steps[0].Affinity = rackLabel(r.drawRack(q))
	}
	m.job = j
	if delay := r.pattern.handoverDelay(m.zone); delay > 0 {
		r.clock.after(delay, func() { r.handOver(m) })
		return
	}
	r.handOver(m)
}

// drawRack draws the rack near which a job runs.
func (r *replay) drawRack(q *PatternQueue) int {
	if r.rng.Float64() < q.HotShare {
		return 0
	}
	return r.rng.IntN(r.pattern.racks())
}

// taskTime returns the run time of a task at slowness 1 near its data.
func (r *replay) taskTime(t work.TaskRef) time.Duration { return r.jobs[t.Job].taskTimes[t.Index] }

// performDecisions records the outcomes of jobs that a home has decided, and sends its
// orders to the agents.
func (r *replay) performDecisions(h *modelHome) {
	decisions := h.core.Take()
	for _, e := range decisions.Outcomes {
		if m := r.jobs[e.Job]; m.outcome == "" && m.home == h && !r.handOn(m, e.Outcome.State) {
			m.outcome, m.answeredAt = e.Outcome.State, r.clock.elapsed+messageDelay
		}
	}
	for _, starts := range decisions.Starts {
		for i := range starts {
			r.jobs[starts[i].Run.Task.Job].wasSent = true
		}
	}
	for _, w := range r.workers {
		starts, stops, seals := decisions.Starts[w.agent], decisions.Stops[w.agent], decisions.Seals[w.agent]
		if len(starts)+len(stops)+len(seals) == 0 {
			continue
		}
		echo := r.now()
		r.clock.after(messageDelay, func() {
			w.guard.Seal(r.now(), h.name, seals)
			w.guard.Order(r.now(), h.name, echo, starts, stops)
			w.performOrders()
			r.sendReport(w)
		})
	}
}

// sendReport sends the report of an agent to the home of its cell, and to homes that
// wait for it to seal jobs.
func (r *replay) sendReport(w *modelWorker) {
	for _, h := range r.homes {
		if h == w.home || h.core.AwaitsSeal(w.agent) {
			r.sendReportTo(w, h)
		}
	}
}

func (r *replay) sendReportTo(w *modelWorker, h *modelHome) {
	if h.down {
		return
	}
	w.guard.RecordContact(r.now(), h.name, r.now())
	incarnation, acked := h.core.LastReceived(w.agent)
	if incarnation == "" {
		acked = 0
	}
	report := schedule.ReportOf(w.guard, h.name, acked)
	report.Life = "1"
	if r.withholdsSlowness {
		report.Slow = nil
	}
	core := h.core
	r.clock.after(messageDelay, func() {
		if h.core == core && !h.down {
			h.core.Report(r.now(), w.agent, &report)
			h.core.Exclude(w.agent, w.home != h)
			r.performDecisions(h)
		}
	})
}

// tick runs the timers of the homes at an interval.
func (r *replay) tick() {
	for _, h := range r.homes {
		if !h.down {
			h.core.Tick(r.now())
			r.performDecisions(h)
		}
	}
	r.clock.after(homeTickInterval, r.tick)
}

// scheduleEvent schedules the start and the end of an event.
func (r *replay) scheduleEvent(e *PatternEvent) {
	r.clock.after(seconds(e.At), func() { r.applyEvent(e, true) })
	r.clock.after(seconds(e.At+e.Duration), func() { r.applyEvent(e, false) })
}

// applyEvent starts or ends an event.
func (r *replay) applyEvent(e *PatternEvent, active bool) {
	if e.Kind == EventBurst {
		r.burstFactors[e.Queue], r.burstZone[e.Queue] = 1, ""
		if active {
			r.burstFactors[e.Queue], r.burstZone[e.Queue] = e.Factor, e.Zone
		}
		return
	}
	if e.Kind == EventHomeLoss {
		if active {
			r.loseHome(r.homes[e.Home])
		}
		return
	}
	for _, i := range e.Workers {
		r.workers[i].applyEvent(e, active)
	}
}

func (w *modelWorker) applyEvent(e *PatternEvent, active bool) {
	switch e.Kind {
	case EventSlow:
		w.changeSpeed(func() {
			w.slowFactor = 1
			if active {
				w.slowFactor = e.Factor
			}
		})
	case EventStall:
		w.changeSpeed(func() { w.stalled = active })
	case EventFail:
		w.failsRuns = active
	case EventCrash:
		if active {
			w.crash()
		} else {
			w.restart()
		}
	case EventDrain:
		w.sendHeartbeat(active)
	}
}
