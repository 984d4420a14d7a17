package schedule

import (
	"time"

	"masticbay/interference"
	"masticbay/work"
)

// job is a job that has not been answered, or that still has runs.
type job struct {
	work.Job
	receivedAt     time.Time // when the system received it
	objective      time.Time // soft deadline
	cutoff         time.Time // hard deadline
	tasks          [][]task  // by slot, which is a step of one occurrence
	unfinished     []int     // by slot: tasks that are not done
	pending        int       // tasks to place, of steps that are ready
	running        int
	minCPU         int  // of any task, in thousandths of a core
	wasSent        bool // a task of it was sent to an agent
	mayHaveRun     bool // an agent has listed a run of it that another home has ordered
	begun          bool // a run of it has ended, and was not refused
	withdrawn      bool // its caller is gone
	answered       bool
	missesDeadline bool            // it can no longer meet its cutoff, but still has to be done
	leftRack       bool            // a task of it runs outside the rack of its affinity
	late           bool            // it can no longer meet its objective; see Core.demoteOnlyLate
	isWaiting      bool            // it is in Core.waiting
	waitExplained  bool            // see Core.explainWaits
	runNumberBase  int             // highest number of a run that another home may have started
	sealing        *sealing        // set until no such run is left
	avoid          map[string]bool // agents where a run failed or stalled
	firstPlacedAt  time.Time
	requeues       int                        // runs that did not end as done
	failures       int                        // runs that failed or made no progress
	lastRun        runTimes                   // the run that ended last
	chain          time.Duration              // of the estimates, at slowness 1
	bias           *bias                      // of its queue; see Core.biasOf
	demand         *queueDemand               // of its queue
	doneRuns       map[int][]interference.Run // by slot that is not done, for the evidence on interference
}

// runTimes tells where and for how long a run waited and ran.
type runTimes struct {
	agent    string
	wait     time.Duration // from the receipt of the job to the placement
	took     time.Duration
	expected time.Duration
}

type taskState int

const (
	blocked taskState = iota // its step is not ready
	pending
	placed
	done
)

type task struct {
	state      taskState
	runNumber  int    // number of the last run
	checkpoint string // where to resume; empty for the beginning
	failures   int
	failedRuns []int // numbers of the failed runs, as far as they are known
	agent      string
	readySince time.Time // when it could first start, or its last run ended
	startedAt  time.Time
	concluded  string // evidence for the end of its last run, if the worker neither listed the end nor refused the start
	expected   time.Duration
	slowdown   float64          // of the worker when the task was placed
	speed      float64          // of the worker's capacity that its run uses
	wasCold    bool             // the worker was cold when the task was placed
	beside     interference.Set // kinds that ran on the worker when the task was placed
	stopping   bool
	idle       bool // its run waits and takes no room; see takeTransits
	isHeld     bool // its run is in Core.heldRuns
	// transitUntil is when no start of its run can be carried out any more; zero if none can be.
	transitUntil time.Time
	near         bool    // its worker is in the rack of its affinity
	freed        float64 // its part of target.freed
}

func newJob(now time.Time, w work.Job, runNumberBase int) *job {
	j := &job{Job: w, receivedAt: now.Add(-w.Age), tasks: make([][]task, w.Slots()), unfinished: make([]int, w.Slots()), runNumberBase: runNumberBase}
	j.chain = w.Chain()
	j.objective = j.receivedAt.Add(w.Queue.Objective(j.chain))
	j.minCPU = w.Steps[0].Room.CPU
	for i := range j.tasks {
		j.minCPU = min(j.minCPU, w.Step(i).Room.CPU)
		j.tasks[i] = make([]task, w.Step(i).Count)
		j.unfinished[i] = w.Step(i).Count
		for k := range j.tasks[i] {
			j.tasks[i][k].runNumber = runNumberBase
		}
	}
	return j
}

// stepReady reports whether all steps that slot i depends on are done.
func (j *job) stepReady(i int) bool {
	first := i - i%len(j.Steps) // first slot of the occurrence
	for _, earlier := range j.Step(i).After {
		if j.unfinished[first+earlier] > 0 {
			return false
		}
	}
	return true
}

// currentRun returns the last run of a task.
func (j *job) currentRun(slot, index int) work.Run {
	return work.Run{Task: j.Ref(slot, index), Number: j.tasks[slot][index].runNumber}
}

// task returns the task of a run.
func (j *job) task(r work.Run) *task { return &j.tasks[j.Slot(r.Task)][r.Task.Index] }

// numberRunsFrom has the runs of all tasks numbered above n. Workers refuse a number that they have seen.
func (j *job) numberRunsFrom(n int) {
	for _, tasks := range j.tasks {
		for k := range tasks {
			tasks[k].runNumber = max(tasks[k].runNumber, n)
		}
	}
}

// highestRun returns the highest number of a run of the job.
func (j *job) highestRun() (n int) {
	for _, tasks := range j.tasks {
		for k := range tasks {
			n = max(n, tasks[k].runNumber)
		}
	}
	return n
}

// nextRun returns the number of the next run of a task.
func (j *job) nextRun(slot, index int) int {
	return max(j.tasks[slot][index].runNumber, j.runNumberBase) + 1
}

// cutoff returns the time after which the end of a job is of no use to a caller
// that waits for it.
func (c *Core) cutoff(j *job) time.Time {
	return j.receivedAt.Add(time.Duration(float64(j.Queue.Objective(j.chain)) * c.cfg.CutoffFactor))
}

// unblock makes those tasks pending that are due and whose steps are ready.
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
				t.state, t.readySince = pending, now
				j.pending++
				c.queued++
			}
		}
	}
}
