package bench

import (
	"strconv"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// modelWorker is a worker with its agent. Its runs advance at a speed that
// events change.
type modelWorker struct {
	r        *replay
	target   work.Target
	agent    string
	guard    *worker.Guard
	slowness float64
	slow     float64 // factor of EventSlow
	stalled  bool
	fails    bool
	down     bool
	runs     map[work.TaskRef]*modelRun
	ended    []worker.Ended
	number   uint64
	born     time.Duration
	taken    int // life counter, so that calls to an earlier life have no effect
}

type modelRun struct {
	run     work.Run
	room    work.Room
	left    time.Duration // work, at slowness 1
	total   time.Duration
	since   time.Duration // when left was right
	version int           // of the planned end
}

// The times of a model.
const (
	modelHop  = time.Millisecond      // a message between two processes
	modelLook = 50 * time.Millisecond // looks without an end; two wait side by side for 100 ms
	modelStop = 30 * time.Millisecond // a stop takes at most 50 ms
	modelTick = 10 * time.Millisecond // of a home with work
)

func (w *modelWorker) rate() float64 {
	if w.stalled {
		return 0
	}
	return 1 / (w.slowness * w.slow)
}

// change applies f to the worker's speed.
func (w *modelWorker) change(f func()) {
	for _, m := range w.runs {
		w.advance(m)
	}
	f()
	for _, m := range w.runs {
		w.plan(m)
	}
}

func (w *modelWorker) advance(m *modelRun) {
	now := w.r.clock.now
	m.left -= time.Duration(float64(now-m.since) * w.rate())
	m.since = now
}

func (w *modelWorker) plan(m *modelRun) {
	m.version++
	if w.rate() == 0 {
		return
	}
	version, life := m.version, w.taken
	w.r.clock.after(time.Duration(float64(max(m.left, 0))/w.rate()), func() {
		if w.taken == life && w.runs[m.run.Task] == m && m.version == version {
			w.end(m, work.Done)
		}
	})
}

// start carries out an order.
func (w *modelWorker) start(o worker.Order) {
	if w.down {
		w.guard.Unanswered(o.Start.Run)
		return
	}
	w.r.started++
	total := w.r.taskWork(o.Start.Run.Task)
	m := &modelRun{run: o.Start.Run, room: o.Start.Room, left: total, total: total, since: w.r.clock.now}
	w.runs[m.run.Task] = m
	if w.fails {
		w.r.clock.after(modelHop, func() {
			if w.runs[m.run.Task] == m {
				w.end(m, work.Failed)
			}
		})
	} else {
		w.plan(m)
	}
	w.r.clock.after(modelHop, func() {
		w.guard.Started(w.r.now(), o.Start.Run, "", false)
		w.perform()
	})
}

func (w *modelWorker) stop(r work.Run) {
	w.r.clock.after(modelStop, func() {
		if m, ok := w.runs[r.Task]; ok && m.run == r {
			w.advance(m)
			w.r.wasted += m.total - m.left
			w.end(m, work.Stopped)
		}
	})
}

func (w *modelWorker) end(m *modelRun, how work.End) {
	delete(w.runs, m.run.Task)
	w.number++
	w.ended = append(w.ended, worker.Ended{Number: w.number, Run: m.run, End: how})
	w.r.clock.after(modelHop, w.look)
}

// perform carries out what the guard has decided.
func (w *modelWorker) perform() {
	for _, o := range w.guard.Take() {
		w.r.clock.after(modelHop, func() {
			if o.Stop {
				w.stop(o.Start.Run)
			} else {
				w.start(o)
			}
		})
	}
}

// look lets the agent see what runs and what has ended.
func (w *modelWorker) look() {
	now := w.r.now()
	if w.down {
		w.guard.LookFailed(now)
		w.r.report(w)
		return
	}
	l := worker.Look{Token: w.guard.Token(), Born: w.target.Born, Clock: w.r.clock.now - w.born + time.Second, Running: make(map[work.Run]int), Ended: w.ended}
	for _, m := range w.runs {
		w.advance(m)
		l.Running[m.run] = int(100 * float64(m.total-m.left) / float64(m.total))
	}
	w.ended = nil
	w.guard.Until(now)
	w.guard.Looked(now, l)
	w.perform()
	w.r.report(w)
}

// lookDuty looks again and again.
func (w *modelWorker) lookDuty() {
	w.look()
	w.guard.Tick(w.r.now())
	w.perform()
	w.r.clock.after(modelLook, w.lookDuty)
}

func (w *modelWorker) crash() {
	w.down = true
	w.taken++
	for _, m := range w.runs {
		w.r.wasted += m.total - m.left
	}
	w.runs, w.ended, w.number = make(map[work.TaskRef]*modelRun), nil, 0
}

// restart is the begin of a new life.
func (w *modelWorker) restart() {
	w.down, w.born = false, w.r.clock.now
	w.target.Born++
	w.beat(false)
}

// beat is a heartbeat of the worker.
func (w *modelWorker) beat(draining bool) {
	w.target.Draining = draining
	w.guard.Report(w.r.now(), w.target, w.r.clock.now-w.born+time.Second)
	w.r.report(w)
}

func newModelWorker(r *replay, i int, p PatternWorker) *modelWorker {
	name := "agent" + strconv.Itoa(100+i)
	w := &modelWorker{
		r: r, agent: name, guard: worker.NewGuard(r.guardConfig), slowness: p.Slowness, slow: 1, runs: make(map[work.TaskRef]*modelRun),
		target: work.Target{ID: name, Born: 1, Service: patternService, Labels: p.Labels, Capacity: work.Room{CPU: p.CPU, Memory: 1 << 20}},
	}
	w.beat(false)
	// Looks of the workers are spread over time.
	r.clock.after(time.Duration(i)*modelLook/time.Duration(r.pattern.workers()), w.lookDuty)
	return w
}
