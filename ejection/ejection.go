// Package ejection decides which workers get no tasks because runs fail there, although
// the workers report that they are well.
//
// # Model
//
// The evidence for and against a worker is how its runs end. Each end changes the worker's
// score by the log of how much likelier the end is on a worker that fails its runs than on
// a healthy one; the score does not fall below 0 (a CUSUM test). A worker whose score
// reaches a threshold is ejected: it gets no tasks but for probes, of which one runs at a
// time, after intervals that double. A probe that is done readmits the worker on probation,
// where one failure ejects it again.
//
// A task that fails on two workers, of which one has done a run since, is at fault itself:
// the evidence that its job gave is taken back. The share of such tasks in a queue is how
// likely a run fails on a healthy worker, so that a queue of tasks that can't be done ejects
// no workers. The failures of one job count once for a worker.
//
// A worker that goes down and up gives another kind of evidence: its runs end well between
// the restarts. It is ejected after two restarts in a short time, and probed once it has
// stayed up for a while.
//
// Workers are ejected only while the others hold at least half of the capacity and carry
// the load. A worker with overwhelming evidence carries no load, so only the half counts.
//
// Tracker holds this state, which is lost with its process and learned again from further
// runs. It has no goroutines, clocks or random numbers: every method takes the time.
//
// # Usage
//
//	t := ejection.NewTracker()
//	t.Failed(now, "10.1.0.14:7720", "card-check", run.Task)
//	for _, change := range t.Review(now, loads) { ... }
//	if t.Ejected(worker) && !t.ProbeDue(now, worker) { ... }
package ejection

import (
	"math"
	"slices"
	"time"

	"masticbay/work"
)

const (
	// failsOnBad is the share of the runs on a bad worker that fail.
	failsOnBad = 0.95
	// minFailRate is the least assumed share of runs that fail on a healthy worker.
	minFailRate = 0.01
	maxFailRate = 0.9
	// threshold is the score from which a worker is ejected: two failures of different jobs
	// at minFailRate, three at 0.05, seven at 0.3. A run that is done outweighs one failure
	// at minFailRate to two thirds.
	threshold = 8
	// overwhelming is the score of a worker that carries no load: four failures at minFailRate.
	overwhelming = 2 * threshold
	maxScore     = 3 * threshold
	// evidenceTime is the time after the last failure after which a score is void.
	evidenceTime = 30 * time.Second
	// rateWindow is the number of ends in the mean of a queue.
	rateWindow = 100

	firstProbeAfter = 500 * time.Millisecond
	maxProbeAfter   = 2 * time.Second
	// probeTimeout is the time after which a probe without an end is given up.
	probeTimeout = 5 * time.Second
	// retryAfter is the time without an end after which a probe does not hold up urgent runs.
	retryAfter = time.Second
	// calmTime is the time without an ejection after which the interval starts anew.
	calmTime = 10 * time.Second

	maxRestarts   = 2 // within restartWindow
	restartWindow = 5 * time.Second
	// sameRestart is the time within which lost runs and a restart are one event.
	sameRestart = 700 * time.Millisecond
	// upTime is how long a worker that restarted again and again stays up before a probe.
	upTime = 1500 * time.Millisecond

	// recentTime is how long a run that was done speaks for its worker.
	recentTime = 2 * time.Second

	// maxEjected is the largest share of the capacity of a service that is ejected.
	maxEjected = 0.5
	// fullLoad is the share of the capacity that can be used.
	fullLoad = 0.9
	// maxFaults bounds the jobs whose failures are remembered.
	maxFaults = 2048
	// maxEvidence bounds the jobs that are remembered for a worker.
	maxEvidence = 16
)

// Tracker decides which workers are ejected. NewTracker makes one.
type Tracker struct {
	workers map[string]*worker
	rates   map[string]float64 // by queue: share of the ends that are failures of faulty tasks
	jobs    map[string]*faults // with failures
	order   []string           // keys of jobs, oldest first; may hold removed ones
}

type worker struct {
	score        float64
	lastDone     time.Time
	lastFail     time.Time
	jobs         []string    // that gave evidence, the last ones
	suspectSince time.Time   // start of the first run that failed, while score is above 0
	putOff       bool        // its ejection was reported as put off
	restarts     []time.Time // within restartWindow
	flaps        bool        // ejected for its restarts
	ejected      bool
	changed      time.Time // of ejected
	interval     time.Duration
	probeAt      time.Time
	probe        work.Run // zero if none runs
	probedAt     time.Time
}

// faults are the failures of a job.
type faults struct {
	tasks     map[work.TaskRef]string // worker where the task failed first
	evidence  map[string]evidence     // by worker
	twice     bool                    // a task failed on two workers
	onHealthy bool                    // one of the workers has done a run since
	faulty    bool                    // it is at fault itself
}

// evidence is what a job says against a worker.
type evidence struct {
	weight    float64   // in its score
	startedAt time.Time // of the last run that failed
}

// NewTracker returns a Tracker that knows no worker.
func NewTracker() *Tracker {
	return &Tracker{workers: make(map[string]*worker), rates: make(map[string]float64), jobs: make(map[string]*faults)}
}

func (t *Tracker) worker(name string) *worker {
	w, ok := t.workers[name]
	if !ok {
		w = &worker{interval: firstProbeAfter}
		t.workers[name] = w
	}
	return w
}

// Done records that a run which started at startedAt was done. It reports whether the worker
// is readmitted for it. A run that started before the first one that speaks against the worker
// proves nothing about those after it.
func (t *Tracker) Done(now time.Time, name, queue string, r work.Run, startedAt time.Time) (readmitted bool) {
	t.addRate(queue, 0)
	w := t.worker(name)
	if w.ejected && w.probe == r {
		w.readmit(now)
		w.score, w.lastDone = threshold/2, now
		return true
	}
	if w.score > 0 && !startedAt.After(w.suspectSince) {
		return false
	}
	w.lastDone = now
	w.score = max(0, w.score+math.Log((1-failsOnBad)/(1-t.failRate(queue))))
	w.jobs = slices.DeleteFunc(w.jobs, func(id string) bool {
		j, ok := t.jobs[id]
		if !ok || !startedAt.After(j.evidence[name].startedAt) {
			return !ok
		}
		j.onHealthy = true
		t.takeBack(now, queue, j)
		return true
	})
	if w.ejected && !w.flaps && w.score < threshold/2 {
		w.readmit(now)
		return true
	}
	return false
}

// Failed records that a run which started at startedAt failed or made no progress.
func (t *Tracker) Failed(now time.Time, name, queue string, r work.Run, startedAt time.Time) {
	w, j := t.worker(name), t.job(r.Task.Job)
	if w.probe == r && w.ejected {
		w.postpone(now)
	}
	if j.faulty {
		t.addRate(queue, 1)
		return
	}
	if first, failedBefore := j.tasks[r.Task]; !failedBefore {
		j.tasks[r.Task] = name
	} else if first != name {
		j.twice = true
	}
	e, known := j.evidence[name]
	if !known {
		e.weight = t.addFailure(now, w, queue, startedAt)
		w.addJob(r.Task.Job)
	}
	if startedAt.After(e.startedAt) {
		e.startedAt = startedAt
	}
	j.evidence[name] = e
	t.takeBack(now, queue, j)
}

// addFailure raises the score of a worker for a failure, and returns by how much.
func (t *Tracker) addFailure(now time.Time, w *worker, queue string, startedAt time.Time) (weight float64) {
	if now.Sub(w.lastFail) > evidenceTime && !w.ejected {
		w.score = 0
	}
	if w.score == 0 {
		w.suspectSince = startedAt
	}
	w.lastFail = now
	weight = max(math.Log(failsOnBad/t.failRate(queue)), 0)
	w.score = min(w.score+weight, maxScore)
	return weight
}

// addJob records that a job gave evidence against a worker.
func (w *worker) addJob(id string) {
	if len(w.jobs) >= maxEvidence {
		w.jobs = w.jobs[1:]
	}
	w.jobs = append(w.jobs, id)
}

// takeBack takes back the evidence that a job gave, if the job is at fault itself.
func (t *Tracker) takeBack(now time.Time, queue string, j *faults) {
	if !j.twice || !j.onHealthy || j.faulty {
		return
	}
	j.faulty = true
	for range j.tasks {
		t.addRate(queue, 1)
	}
	for name, e := range j.evidence {
		w, ok := t.workers[name]
		if !ok {
			continue
		}
		w.score = max(0, w.score-e.weight)
		if w.ejected && !w.flaps && w.score < threshold {
			w.probeAt = now // it may have failed only for such tasks
		}
	}
}

// job returns the failures of a job.
func (t *Tracker) job(id string) *faults {
	j, ok := t.jobs[id]
	if ok {
		return j
	}
	for len(t.jobs) >= maxFaults && len(t.order) > 0 {
		delete(t.jobs, t.order[0])
		t.order = t.order[1:]
	}
	j = &faults{tasks: make(map[work.TaskRef]string), evidence: make(map[string]evidence)}
	t.jobs[id] = j
	t.order = append(t.order, id)
	return j
}

// Restarted records that another incarnation of a worker runs, whose runs prove nothing
// about the earlier one's.
func (t *Tracker) Restarted(now time.Time, name string) {
	w := t.worker(name)
	w.addRestart(now)
	w.probe = work.Run{}
	switch {
	case w.flaps:
		w.probeAt = now.Add(upTime)
	case w.ejected:
		w.probeAt = now
	default:
		w.score = 0
	}
}

// Lost records that the runs of a worker were lost since it did not answer. This counts
// like a restart, which may follow.
func (t *Tracker) Lost(now time.Time, name string) {
	w := t.worker(name)
	w.addRestart(now)
	if w.flaps {
		w.probe, w.probeAt = work.Run{}, now.Add(upTime)
	}
}

func (w *worker) addRestart(now time.Time) {
	if n := len(w.recentRestarts(now)); n == 0 || now.Sub(w.restarts[n-1]) > sameRestart {
		w.restarts = append(w.restarts, now)
	}
}

func (w *worker) recentRestarts(now time.Time) []time.Time {
	for len(w.restarts) > 0 && now.Sub(w.restarts[0]) > restartWindow {
		w.restarts = w.restarts[1:]
	}
	return w.restarts
}

// Forget drops what is known of a worker.
func (t *Tracker) Forget(name string) { delete(t.workers, name) }

// failRate returns the share of the runs of a queue that fail on healthy workers.
func (t *Tracker) failRate(queue string) float64 {
	return min(max(t.rates[queue], minFailRate), maxFailRate)
}

func (t *Tracker) addRate(queue string, failed float64) {
	t.rates[queue] += (failed - t.rates[queue]) / rateWindow
}
