package bench

import (
	"slices"
	"strconv"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// modelWorker simulates a worker, together with the guard of its agent. Events
// change the speed at which its runs make progress.
type modelWorker struct {
	replay        *replay
	target        work.Target
	agent         string
	home          *modelHome // of its cell
	guard         *worker.Guard
	baseSlowness  float64
	slowFactor    float64 // Factor of EventSlow, else 1
	stalled       bool
	failsRuns     bool
	down          bool
	runs          map[work.TaskRef]*modelRun
	ended         []worker.Ended
	lastEndNumber uint64 // sequence number of the last end
	startedAt     time.Duration
	incarnation   int           // counts crashes, so that events of an earlier incarnation have no effect
	pollOffset    time.Duration // spreads the polls of the workers evenly over the interval
}

// modelRun is a run on a modelWorker.
type modelRun struct {
	run             work.Run
	resources       work.Room
	remaining       time.Duration // remaining run time at slowness 1, as of updatedAt
	total           time.Duration // run time at slowness 1
	updatedAt       time.Duration
	scheduleVersion int // changes with the speed; a scheduled end of an earlier version has no effect
}

// Times of the simulated processes.
const (
	messageDelay     = time.Millisecond      // of a message between two processes
	pollInterval     = 50 * time.Millisecond // between polls that report no end: an agent has two long polls of 100 ms open at a time
	stopDelay        = 30 * time.Millisecond // until a run has stopped, which takes at most 50 ms
	homeTickInterval = 10 * time.Millisecond // of a home that has work
)

// speed returns the run time at slowness 1 that a run gets done per unit of time.
func (w *modelWorker) speed() float64 {
	if w.stalled {
		return 0
	}
	return 1 / (w.baseSlowness * w.slowFactor)
}

// changeSpeed calls change, which changes the speed, and reschedules the ends of runs.
func (w *modelWorker) changeSpeed(change func()) {
	for _, m := range w.runs {
		w.updateProgress(m)
	}
	change()
	for _, m := range w.runs {
		w.scheduleEnd(m)
	}
}

// updateProgress applies the progress since the last update to a run.
func (w *modelWorker) updateProgress(m *modelRun) {
	now := w.replay.clock.elapsed
	m.remaining -= time.Duration(float64(now-m.updatedAt) * w.speed())
	m.updatedAt = now
}

// scheduleEnd schedules the end of a run at the present speed.
func (w *modelWorker) scheduleEnd(m *modelRun) {
	m.scheduleVersion++
	if w.speed() == 0 {
		return
	}
	version, incarnation := m.scheduleVersion, w.incarnation
	w.replay.clock.after(time.Duration(float64(max(m.remaining, 0))/w.speed()), func() {
		if w.incarnation == incarnation && w.runs[m.run.Task] == m && m.scheduleVersion == version {
			w.end(m, work.Done)
		}
	})
}

// start carries out an order to start a run.
func (w *modelWorker) start(o worker.Order) {
	if w.down {
		w.guard.Unanswered(w.replay.now(), o.Start.Run)
		return
	}
	w.replay.startCount++
	total := w.replay.taskTime(o.Start.Run.Task)
	if rack := w.replay.jobs[o.Start.Run.Task.Job].job.Steps[0].Affinity; rack != "" && !slices.Contains(w.target.Labels, rack) {
		total = time.Duration(float64(total) * w.replay.homes[0].node.RemoteFactor)
	}
	m := &modelRun{run: o.Start.Run, resources: o.Start.Room, remaining: total, total: total, updatedAt: w.replay.clock.elapsed}
	w.runs[m.run.Task] = m
	if w.failsRuns {
		w.replay.clock.after(messageDelay, func() {
			if w.runs[m.run.Task] == m {
				w.end(m, work.Failed)
			}
		})
	} else {
		w.scheduleEnd(m)
	}
	w.replay.clock.after(messageDelay, func() {
		w.guard.Started(w.replay.now(), o.Start.Run, "", false)
		w.performOrders()
	})
}

func (w *modelWorker) stop(r work.Run) {
	w.replay.clock.after(stopDelay, func() {
		if m, ok := w.runs[r.Task]; ok && m.run == r {
			w.updateProgress(m)
			w.replay.wastedWork += m.total - m.remaining
			w.end(m, work.Stopped)
		}
	})
}

func (w *modelWorker) end(m *modelRun, end work.End) {
	delete(w.runs, m.run.Task)
	w.lastEndNumber++
	w.ended = append(w.ended, worker.Ended{Number: w.lastEndNumber, Run: m.run, End: end})
	w.replay.clock.after(messageDelay, w.poll)
}

// performOrders sends the worker the orders that the guard has decided.
func (w *modelWorker) performOrders() {
	for _, o := range w.guard.Take() {
		w.replay.clock.after(messageDelay, func() {
			if o.Stop {
				w.stop(o.Start.Run)
			} else {
				w.start(o)
			}
		})
	}
}

// poll hands the guard a snapshot of the running and ended runs, or a failed poll
// if the worker is down.
func (w *modelWorker) poll() {
	now := w.replay.now()
	if w.down {
		w.guard.PollFailed(now)
		w.replay.sendReport(w)
		return
	}
	snapshot := worker.Snapshot{Token: w.guard.Token(), Round: w.guard.PollRound(), Born: w.target.Born, Clock: w.replay.clock.elapsed - w.startedAt + time.Second, Running: make(map[work.Run]int), Ended: w.ended}
	for _, m := range w.runs {
		w.updateProgress(m)
		snapshot.Running[m.run] = int(100 * float64(m.total-m.remaining) / float64(m.total))
	}
	w.ended = nil
	w.guard.LeaseUntil(now) // records the lease that the poll grants
	w.guard.PollAnswered(now, snapshot)
	w.performOrders()
	w.replay.sendReport(w)
}

// pollLoop polls at an interval.
func (w *modelWorker) pollLoop() {
	w.poll()
	w.guard.Tick(w.replay.now())
	w.performOrders()
	w.replay.clock.after(pollInterval, w.pollLoop)
}

func (w *modelWorker) crash() {
	w.down = true
	w.incarnation++
	for _, m := range w.runs {
		w.replay.wastedWork += m.total - m.remaining
	}
	w.runs, w.ended, w.lastEndNumber = make(map[work.TaskRef]*modelRun), nil, 0
}

// restart begins a new incarnation of the worker.
func (w *modelWorker) restart() {
	w.down, w.startedAt = false, w.replay.clock.elapsed
	w.target.Born++
	w.sendHeartbeat(false)
}

// sendHeartbeat sends a heartbeat of the worker to its agent.
func (w *modelWorker) sendHeartbeat(draining bool) {
	w.target.Draining = draining
	w.guard.TakeHeartbeat(w.replay.now(), w.target, w.replay.clock.elapsed-w.startedAt+time.Second, 0)
	w.replay.sendReport(w)
}

func newModelWorker(r *replay, i int, p PatternWorker) *modelWorker {
	name := "agent" + strconv.Itoa(100+i)
	w := &modelWorker{
		replay: r, agent: name, guard: worker.NewGuard(r.guardConfig), baseSlowness: p.Slowness, slowFactor: 1, runs: make(map[work.TaskRef]*modelRun),
		target: work.Target{ID: name, Born: 1, Service: patternService, Labels: p.Labels, Capacity: work.Room{CPU: p.CPU, Memory: 1 << 20}},
	}
	if n := r.pattern.racks(); n > 0 {
		// Each rack has workers of all kinds.
		w.target.Labels = append(slices.Clone(p.Labels), rackLabel(i%n))
	}
	w.pollOffset = time.Duration(i) * pollInterval / time.Duration(r.pattern.workers())
	return w
}

// begin sends the first heartbeat and poll, and starts the poll loop.
func (w *modelWorker) begin() {
	w.sendHeartbeat(false)
	w.poll()
	w.replay.clock.after(w.pollOffset, w.pollLoop)
}
