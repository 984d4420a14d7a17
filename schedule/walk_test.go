package schedule_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"masticbay/evacuation"
	"masticbay/schedule"
	"masticbay/work"
)

// The bounds of a task's wait while there is room for it twice over and at most half of the
// capacity is in use. A task that lasts has to start within walkLastsBound of its last run.
const (
	walkBound      = 3 * time.Second
	walkLastsBound = 6 * time.Second
	walkStep       = 50 * time.Millisecond
	walkSpan       = 25 * time.Second
	// walkLease is the time without contact after which the runs of a worker have ended.
	walkLease = 1300 * time.Millisecond
)

// walk plays random workers, jobs and faults against a Core in virtual time. What tasks may
// expect is computed from its own records, without the scheduler.
type walk struct {
	rng       *rand.Rand
	c         *schedule.Core
	now       time.Time
	workers   []*walkWorker
	jobs      []*walkJob // without outcome
	byID      map[string]*walkJob
	evacuated string // data centre; empty if none is
	shortJobs bool   // a short job comes with each step
	log       []string
	err       error
}

type walkWorker struct {
	work.Target
	agent        string
	seq          uint64
	runs         []*walkRun
	slowness     float64
	events       []schedule.Event // not reported yet
	others       work.Room
	lastReport   time.Time
	mutedUntil   time.Time // out of contact until then
	failsUntil   time.Time
	refusesUntil time.Time
	drainsUntil  time.Time
}

type walkRun struct {
	work.Run
	job    *walkJob
	worker *walkWorker
	start  time.Time
	endsAt time.Time // zero if it lasts
	end    work.End
}

type walkJob struct {
	work.Job
	tasks   [][]walkTask // by step
	started bool         // a start was sent
	begun   bool         // a run has ended that was not refused
	unclear bool         // a refusal may have been lost
	flaky   float64      // chance that a run fails
	waits   time.Time    // since when it has had nothing running although there is room
}

type walkTask struct {
	run      *walkRun
	number   int
	done     bool
	failures int
	lastRun  time.Time // end of the last run
	waits    time.Time // see walkJob
}

func newWalk(seed uint64) *walk {
	w := &walk{rng: rand.New(rand.NewPCG(seed, 43)), now: time.Unix(1000, 0), byID: make(map[string]*walkJob)}
	walkCfg := cfg
	walkCfg.RemoteFactor = pick(w.rng, 1, 1.5, 3)
	w.c = schedule.NewCore(walkCfg)
	w.shortJobs = w.rng.IntN(2) == 0
	for i := range 2 + w.rng.IntN(7) {
		x := &walkWorker{agent: "w" + strconv.Itoa(i), slowness: pick(w.rng, 0.5, 1, 1, 2)}
		x.Target = work.Target{ID: x.agent, Born: 1, Service: "s", Zone: pick(w.rng, "east", "west"), Capacity: work.Room{CPU: pick(w.rng, 20, 40, 64)}}
		x.Labels = append(x.Labels, pick(w.rng, "r1", "r2"))
		if w.rng.IntN(3) == 0 {
			x.Labels = append(x.Labels, "x")
		}
		w.workers = append(w.workers, x)
	}
	tenure := schedule.Tenure{Epoch: 1, Until: w.now.Add(time.Hour), Agents: make(map[string]bool)}
	for _, x := range w.workers {
		tenure.Agents[x.agent] = true
	}
	w.report()
	w.c.SetTenure(w.now, tenure)
	w.report()
	return w
}

func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// play advances time to the end of the walk, or to the first expectation that is not met.
func (w *walk) play() error {
	for end := w.now.Add(walkSpan); w.now.Before(end) && w.err == nil; {
		w.now = w.now.Add(walkStep)
		w.disturb()
		w.submitJobs()
		w.endRuns()
		w.report()
		w.c.Tick(w.now)
		w.take()
		w.checkWaits()
		w.checkPending()
	}
	return w.err
}

func (w *walk) note(format string, args ...any) {
	w.log = append(w.log, w.now.Format("05.00 ")+fmt.Sprintf(format, args...))
}

func (w *walk) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
		w.note(format, args...)
	}
}

// disturb starts faults and ends them.
func (w *walk) disturb() {
	for _, x := range w.workers {
		x.Draining = w.now.Before(x.drainsUntil)
	}
	if w.rng.IntN(40) != 0 {
		return
	}
	x := pick(w.rng, w.workers...)
	span := time.Duration(500+w.rng.IntN(5000)) * time.Millisecond
	switch w.rng.IntN(8) {
	case 0, 1:
		x.failsUntil = w.now.Add(span)
		w.note("%s fails its runs for %v", x.agent, span)
	case 2:
		x.refusesUntil = w.now.Add(span)
		w.note("%s refuses for %v", x.agent, span)
	case 3:
		x.drainsUntil = w.now.Add(span)
		w.note("%s drains for %v", x.agent, span)
	case 4:
		w.restart(x)
	case 5:
		w.mute(x)
	case 6:
		w.evacuate()
	case 7:
		x.others = work.Room{CPU: pick(w.rng, 0, x.Capacity.CPU/2, x.Capacity.CPU)}
		w.note("%s: others use %d", x.agent, x.others.CPU)
	}
}

func (w *walk) restart(x *walkWorker) {
	w.note("%s restarts", x.agent)
	x.Born++
	for len(x.runs) > 0 {
		w.endRun(x.runs[0], work.Lapsed)
	}
}

// mute takes a worker out of contact, for a moment, for some time or for good.
func (w *walk) mute(x *walkWorker) {
	if w.isMuted(x) {
		return
	}
	span := pick(w.rng, 400*time.Millisecond, 4*time.Second, time.Hour)
	x.mutedUntil = w.now.Add(span)
	w.note("%s out of contact for %v", x.agent, span)
	for _, e := range x.events {
		w.byID[e.Run.Task.Job].unclear = true
	}
}

// evacuate evacuates a data centre, or returns it to service.
func (w *walk) evacuate() {
	w.evacuated = pick(w.rng, "", "", "east", "west")
	w.note("evacuated: %q", w.evacuated)
	var names []string
	if w.evacuated != "" {
		names = append(names, w.evacuated)
	}
	w.c.SetEvacuated(w.now, evacuation.New(1, names))
	w.take()
}

// submitJobs adds a job at times, and cancels one.
func (w *walk) submitJobs() {
	if w.shortJobs {
		w.submit(&walkJob{Job: w.newJob("short", false, 2, 3, 50*time.Millisecond)})
	}
	if w.rng.IntN(200) == 0 && len(w.jobs) > 0 {
		if j := pick(w.rng, w.jobs...); j.Stored {
			w.note("%s cancelled", j.ID)
			w.c.Cancel(w.now, j.ID)
			w.take()
		}
	}
	if w.rng.IntN(8) != 0 || w.demand() > 0.45 {
		return
	}
	stored := w.rng.IntN(4) != 0
	estimate := pick(w.rng, 50*time.Millisecond, 300*time.Millisecond, time.Second, 8*time.Second)
	j := &walkJob{Job: w.newJob("job", stored, 1+w.rng.IntN(4), pick(w.rng, 5, 10, 30), estimate)}
	s := &j.Steps[0]
	s.MaxPerOne = pick(w.rng, 0, 0, 1, 2)
	if w.rng.IntN(4) == 0 {
		s.Label = "x"
	}
	j.flaky = pick(w.rng, 0, 0, 0.2)
	switch {
	case stored && w.rng.IntN(3) == 0:
		j.Lasts, s.Estimate = true, 0
	case stored && w.rng.IntN(4) == 0:
		s.Gang = true
	case w.rng.IntN(4) == 0:
		j.Steps = append(j.Steps, work.Step{Count: 1, Room: s.Room, Estimate: s.Estimate, After: []int{0}})
	}
	w.note("%s: %+v stored %t lasts %t", j.ID, j.Steps, j.Stored, j.Lasts)
	w.submit(j)
}

func (w *walk) newJob(kind string, stored bool, tasks, cpu int, estimate time.Duration) work.Job {
	j := job(kind+strconv.Itoa(len(w.byID)), pick(w.rng, 0, 1), tasks, estimate)
	j.Stored, j.Queue.MaxAttempts = stored, pick(w.rng, 1, 2, 3)
	j.Steps[0].Room.CPU, j.Steps[0].Affinity = cpu, pick(w.rng, "", "r1", "r2")
	return j
}

func (w *walk) submit(j *walkJob) {
	for _, s := range j.Steps {
		j.tasks = append(j.tasks, make([]walkTask, s.Count))
	}
	w.jobs, w.byID[j.ID] = append(w.jobs, j), j
	if j.Stored {
		w.c.Restore(w.now, j.Job, 0, nil, schedule.Failures{})
	} else {
		w.c.Submit(w.now, j.Job, 0)
	}
	w.take()
}

// demand returns the share of the capacity that jobs use, those that wait included.
func (w *walk) demand() float64 {
	need, capacity := 0, 0
	for _, j := range w.jobs {
		need += j.Steps[0].Count * j.Steps[0].Room.CPU
	}
	for _, x := range w.workers {
		if w.isWell(x) {
			capacity += x.Capacity.CPU
			need += x.others.CPU
		}
	}
	return float64(need) / float64(max(capacity, 1))
}
