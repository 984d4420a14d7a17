package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"masticbay/platform"
	"masticbay/schedule"
	daemon "masticbay/site"
	"masticbay/work"
	"masticbay/worker"
)

// replay is the run of a Pattern: one home and one agent a worker with the
// limits of the product, messages that take modelHop, and modelled workers. It
// is a function of the pattern: time is virtual and chance comes from its seed.
type replay struct {
	pattern     *Pattern
	clock       clock
	rng         *rand.Rand
	core        *schedule.Core
	guardConfig worker.Config
	workers     []*modelWorker
	byAgent     map[string]*modelWorker
	jobs        map[string]*modelJob
	order       []*modelJob
	burst       map[string]float64 // by queue: how many times as many jobs
	started     int
	wasted      time.Duration
	blind       bool // the home does not hear of slow progress
}

// modelJob is a job of a replay.
type modelJob struct {
	queue     *PatternQueue
	submitted time.Duration
	objective time.Duration
	work      []time.Duration // by task, at slowness 1
	outcome   work.State      // empty until it is answered
	answered  time.Duration
}

// start of virtual time.
var modelEpoch = time.Unix(1_000_000, 0)

const modelHome = "home"

// afterLoad is how long a replay goes on after the last job, as long as any
// caller waits.
const afterLoad = 8 * time.Second

// Replay runs a pattern.
func Replay(p *Pattern) *ReplayResult { return newReplay(p).run() }

func newReplay(p *Pattern) *replay {
	node := &platform.Node{LongestLease: time.Second, FarFactor: 1.5}
	return &replay{
		pattern: p, rng: rand.New(rand.NewPCG(p.Seed, 0)), core: schedule.NewCore(daemon.HomeConfig(node)), guardConfig: daemon.GuardConfig(node),
		byAgent: make(map[string]*modelWorker), jobs: make(map[string]*modelJob), burst: make(map[string]float64),
		clock: clock{ending: seconds(p.Seconds) + afterLoad},
	}
}

func (r *replay) now() time.Time { return modelEpoch.Add(r.clock.now) }

func (r *replay) run() *ReplayResult {
	for _, w := range r.pattern.Workers {
		for range w.Count {
			m := newModelWorker(r, len(r.workers), w)
			r.workers = append(r.workers, m)
			r.byAgent[m.agent] = m
		}
	}
	for i := range r.pattern.Queues {
		r.arrive(&r.pattern.Queues[i])
	}
	for i := range r.pattern.Events {
		r.schedule(&r.pattern.Events[i])
	}
	r.tick()
	r.clock.run(func() {})
	return r.result()
}

// arrive plans the next job of a queue.
func (r *replay) arrive(q *PatternQueue) {
	rate := q.PerSecond * max(r.burst[""], 1) * max(r.burst[q.Name], 1)
	r.clock.after(seconds(r.rng.ExpFloat64()/rate), func() {
		if r.clock.now > seconds(r.pattern.Seconds) {
			return
		}
		r.submit(q)
		r.arrive(q)
	})
}

// vary returns a value around a mean with a log-normal spread.
func (r *replay) vary(mean, spread float64) float64 {
	return mean * math.Exp(spread*r.rng.NormFloat64()-spread*spread/2)
}

func (r *replay) submit(q *PatternQueue) {
	length := min(r.vary(q.WorkMs, workSpread), 4*q.WorkMs)
	n := int(math.Round(min(max(r.vary(q.Tasks, tasksSpread), 1), 4*q.Tasks)))
	m := &modelJob{queue: q, submitted: r.clock.now}
	longest := time.Duration(0)
	for range n {
		d := millis(r.vary(length, taskSpread))
		m.work = append(m.work, d)
		longest = max(longest, d)
	}
	wq := q.queue()
	m.objective = wq.Objective(longest)
	id := strconv.Itoa(1_000_000 + len(r.order))
	r.jobs[id], r.order = m, append(r.order, m)
	j := work.Job{
		ID: id, Queue: wq, Left: millis(q.DeadlineMs),
		Steps: []work.Step{{Count: n, Room: work.Room{CPU: int(r.vary(q.CPU, cpuSpread))}, Estimate: millis(r.vary(length, estimateSpread))}},
	}
	r.clock.after(modelHop, func() {
		r.core.Submit(r.now(), j, 0)
		r.take()
	})
}

// taskWork returns how long a task takes at slowness 1.
func (r *replay) taskWork(t work.TaskRef) time.Duration { return r.jobs[t.Job].work[t.Index] }

// take hands out what the home has decided.
func (r *replay) take() {
	d := r.core.Take()
	for _, e := range d.Outcomes {
		if m := r.jobs[e.Job]; m.outcome == "" {
			m.outcome, m.answered = e.Outcome.State, r.clock.now+modelHop
		}
	}
	for _, w := range r.workers {
		starts, stops := d.Starts[w.agent], d.Stops[w.agent]
		if len(starts)+len(stops) == 0 {
			continue
		}
		echo := r.now()
		r.clock.after(modelHop, func() {
			w.guard.Order(r.now(), modelHome, echo, starts, stops)
			w.perform()
			r.report(w)
		})
	}
}

// report tells the home what an agent knows.
func (r *replay) report(w *modelWorker) {
	w.guard.Hear(modelHome, r.now())
	life, acked := r.core.Taken(w.agent)
	if life == "" {
		acked = 0
	}
	rep := schedule.ReportOf(w.guard, modelHome, acked)
	rep.Life = "1"
	if r.blind {
		rep.Slow = nil
	}
	r.clock.after(modelHop, func() {
		r.core.Report(r.now(), w.agent, &rep)
		r.take()
	})
}

func (r *replay) tick() {
	r.core.Tick(r.now())
	r.take()
	r.clock.after(modelTick, r.tick)
}

// schedule plans the begin and the end of an event.
func (r *replay) schedule(e *PatternEvent) {
	r.clock.after(seconds(e.At), func() { r.apply(e, true) })
	r.clock.after(seconds(e.At+e.For), func() { r.apply(e, false) })
}

func (r *replay) apply(e *PatternEvent, on bool) {
	if e.Kind == EventBurst {
		r.burst[e.Queue] = 1
		if on {
			r.burst[e.Queue] = e.Times
		}
		return
	}
	for _, i := range e.Workers {
		r.workers[i].apply(e, on)
	}
}

func (w *modelWorker) apply(e *PatternEvent, on bool) {
	switch e.Kind {
	case EventSlow:
		w.change(func() {
			w.slow = 1
			if on {
				w.slow = e.Times
			}
		})
	case EventStall:
		w.change(func() { w.stalled = on })
	case EventFail:
		w.fails = on
	case EventCrash:
		if on {
			w.crash()
		} else {
			w.restart()
		}
	case EventDrain:
		w.beat(on)
	}
}
