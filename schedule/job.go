package schedule

import (
	"time"

	"masticbay/work"
)

// job is a job that has not been answered, or of which something still runs.
type job struct {
	work.Job
	receivedAt     time.Time // when the system got it
	objective      time.Time
	cutoff         time.Time // after it an answer is of no use
	tasks          [][]task  // by slot
	unfinished     []int     // by slot: tasks that are not done
	pending        int       // tasks to place, of steps whose turn has come
	running        int
	minCPU         int             // of any task, in thousandths of a core
	wasSent        bool            // something of it was sent to an agent
	withdrawn      bool            // nobody waits for it
	answered       bool            // it has been answered
	missesDeadline bool            // it can no longer be in time, and has to be done all the same
	isWaiting      bool            // it is in Core.waiting
	avoid          map[string]bool // agents where a run failed or stalled
	firstPlacedAt  time.Time       // first placement
	requeues       int             // runs that had to be repeated
	lastRun        runTimes        // the run that ended last
}

// runTimes tells what a job waited for in the end.
type runTimes struct {
	agent    string
	wait     time.Duration // from the job's begin to the placement
	took     time.Duration
	expected time.Duration
}

type taskState int

const (
	blocked taskState = iota // its step's turn has not come
	pending
	placed
	done
)

type task struct {
	state      taskState
	runNumber  int    // number of the last run
	checkpoint string // checkpoint to resume from; empty for none
	failures   int
	agent      string
	startedAt  time.Time
	expected   time.Duration
	slowdown   float64 // of the worker when the task was placed
	stopping   bool
}

func newJob(now time.Time, w work.Job, firstRun int) *job {
	j := &job{Job: w, receivedAt: now.Add(-w.Age), tasks: make([][]task, w.Slots()), unfinished: make([]int, w.Slots())}
	j.objective = j.receivedAt.Add(w.Queue.Objective(w.Chain()))
	j.minCPU = w.Steps[0].Room.CPU
	for i := range j.tasks {
		j.minCPU = min(j.minCPU, w.Step(i).Room.CPU)
		j.tasks[i] = make([]task, w.Step(i).Count)
		j.unfinished[i] = w.Step(i).Count
		for k := range j.tasks[i] {
			j.tasks[i][k].runNumber = firstRun
		}
	}
	return j
}

// stepReady reports whether all steps before that of slot i are done.
func (j *job) stepReady(i int) bool {
	first := i - i%len(j.Steps) // slot of the occurrence
	for _, before := range j.Step(i).After {
		if j.unfinished[first+before] > 0 {
			return false
		}
	}
	return true
}

// currentRun returns the last run of a task.
func (j *job) currentRun(slot, index int) work.Run {
	return work.Run{Task: j.Ref(slot, index), Number: j.tasks[slot][index].runNumber}
}

// cutoff returns the time after which the end of a job is of no use to its
// caller, if that waits.
func (c *Core) cutoff(j *job) time.Time {
	return j.receivedAt.Add(time.Duration(float64(j.Queue.Objective(j.Chain())) * c.cfg.Late))
}

// unblock makes the tasks pending whose time has come and whose earlier steps are
// done.
func (c *Core) unblock(now time.Time, j *job) {
	for i := range j.tasks {
		if now.Before(j.Due(i)) {
			break
		}
		if !j.stepReady(i) {
			continue
		}
		for k := range j.tasks[i] {
			if t := &j.tasks[i][k]; t.state == blocked {
				t.state = pending
				j.pending++
				c.queued++
			}
		}
	}
}
