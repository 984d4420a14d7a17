// Package schedule decides which task runs where and when, at the entry that
// is the home of a service.
//
// # Model
//
// All jobs of a service meet at its home, which knows the room of every worker
// from what it placed there and from what the agents report. A job waits by
// the priority of its queue and the time by which it has to begin. When a
// worker has room, the first waiting task for which the worker is a good
// choice goes there. A good choice is the slowest worker that still meets the
// job's objective, so that fast workers are free for the tasks that need them.
//
// A job that can not end before its caller leaves, or so late that it is of no
// use, is rejected as early as that is known, and only while none of it has
// been sent to an agent.
//
// A run ends by an event of its agent, or when the agent has been out of
// contact for so long that both leases of the run have ended. Only then the
// task may start again.
//
// Core holds this state. It has no goroutines, sockets, clocks or random
// numbers: each method takes the time. Orders and outcomes are collected until
// Take is called.
//
// # Usage
//
//	c := schedule.NewCore(cfg)
//	c.Submit(now, job)
//	c.Report(now, "10.1.0.14:7720", report)
//	d := c.Take() // orders for agents, outcomes for entries
package schedule

import (
	"time"

	"masticbay/work"
)

// Config holds the limits of a Core.
type Config struct {
	Suspect time.Duration // silence of an agent after which it gets no new task
	// SuspectIdle is the same for an agent without tasks, which is asked less often.
	SuspectIdle time.Duration
	Lost        time.Duration // silence of an agent after which its runs have ended
	LostHeld    time.Duration // the same for runs of stored jobs
	Far         float64       // multiple of its run time that a task takes away from its data; 1 if less
	Late        float64       // multiple of the objective after which an answer is of no use
	Margin      time.Duration // time for messages between a placement and its start, and back
	Remember    int           // ended jobs whose outcome is kept for callers that ask again
	MaxQueued   int           // tasks that wait
}

// Core is the state of a home. NewCore makes one.
type Core struct {
	cfg     Config
	targets map[string]*target
	names   []string // of targets, sorted, so that decisions do not depend on map order
	jobs    map[string]*job
	waiting []*job // with tasks to place, in the order in which they are served
	queued  int    // tasks that wait
	ended   map[string]work.Outcome
	endings []string         // keys of ended, oldest first
	began   map[string]bool  // jobs that were withdrawn after something of them was sent
	begins  []string         // keys of began, oldest first
	bias    map[string]*bias // by queue
	settle  time.Time        // until then more workers are expected to come into contact
	priors  time.Time        // when the means of the kinds of workers were computed
	timed   []*job           // with occurrences whose time has not come
	tenure  Tenure
	epoch   uint64 // of the last tenure
	out     Decisions
}

// NewCore returns a Core that knows no workers.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg: cfg, targets: make(map[string]*target), jobs: make(map[string]*job),
		ended: make(map[string]work.Outcome), began: make(map[string]bool), bias: make(map[string]*bias),
	}
}

// Decisions are what a Core wants done.
type Decisions struct {
	Starts   map[string][]work.Start // by agent
	Stops    map[string][]work.Run   // by agent
	Outcomes []Ending
	Marks    []Mark
	Notes    []Note
}

// Ending is the outcome of a job.
type Ending struct {
	Job     string
	Outcome work.Outcome
}

// Note is a decision worth a line in the log.
type Note struct {
	Job    string
	Agent  string
	Run    work.Run
	What   string
	Why    string
	Values map[string]float64 // what the decision depended on
}

// Take returns what was decided since the last call.
func (c *Core) Take() Decisions {
	d := c.out
	c.out = Decisions{}
	return d
}

func (c *Core) note(n Note) { c.out.Notes = append(c.out.Notes, n) }

// job is a job that has not been answered, or of which something still runs.
type job struct {
	work.Job
	begun     time.Time // when the system got it
	objective time.Time
	cutoff    time.Time // after it an answer is of no use
	tasks     [][]task  // by slot
	left      []int     // by slot: tasks that are not done
	pending   int       // tasks to place, of steps whose turn has come
	running   int
	leastCPU  int             // of any task, in thousandths of a core
	sent      bool            // something of it was sent to an agent
	withdrawn bool            // nobody waits for it
	over      bool            // it has been answered
	late      bool            // it can no longer be in time, and has to be done all the same
	waits     bool            // it is in Core.waiting
	avoid     map[string]bool // agents where a run failed or stalled
	first     time.Time       // first placement
	again     int             // runs that had to be repeated
	last      lastRun         // the run that ended last
}

// lastRun tells what a job waited for in the end.
type lastRun struct {
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
	state    taskState
	run      int    // number of the last run
	saved    string // checkpoint to resume from; empty for none
	failures int
	agent    string
	began    time.Time
	expected time.Duration
	slowdown float64 // of the worker when the task was placed
	stopping bool
}

// Load returns the tasks and jobs at set times that wait, and the tasks that run.
func (c *Core) Load() (waiting, running int) {
	for _, t := range c.targets {
		running += len(t.runs)
	}
	return c.queued + len(c.timed), running
}

// Waiting returns, by queue, how many jobs have not begun.
func (c *Core) Waiting() map[string]int {
	counts := make(map[string]int)
	for _, j := range c.waiting {
		if !j.sent {
			counts[j.Queue.Name]++
		}
	}
	return counts
}

// Submit takes a job. Its outcome follows with Take, maybe at once.
func (c *Core) Submit(now time.Time, w work.Job, firstRun int) {
	if out, ok := c.ended[w.ID]; ok {
		c.out.Outcomes = append(c.out.Outcomes, Ending{w.ID, out})
		return
	}
	if j, ok := c.jobs[w.ID]; ok {
		c.rejoin(now, j)
		return
	}
	j := newJob(now, w, firstRun)
	j.cutoff = c.cutoff(j)
	if end := now.Add(w.Left); end.Before(j.cutoff) {
		j.cutoff = end
	}
	c.jobs[w.ID] = j
	c.unblock(now, j)
	if why, retry := c.hopeless(now, j, c.power(now, w.Queue.Service), true); why != "" && why != reasonNoWorkers {
		c.reject(now, j, why, retry)
		return
	}
	c.enqueue(j)
	c.place(now)
}

// cutoff returns the time after which the end of a job is of no use to its
// caller, if that waits.
func (c *Core) cutoff(j *job) time.Time {
	return j.begun.Add(time.Duration(float64(j.Queue.Objective(j.Chain())) * c.cfg.Late))
}

func newJob(now time.Time, w work.Job, firstRun int) *job {
	j := &job{Job: w, begun: now.Add(-w.Age), tasks: make([][]task, w.Slots()), left: make([]int, w.Slots())}
	j.objective = j.begun.Add(w.Queue.Objective(w.Chain()))
	j.leastCPU = w.Steps[0].Room.CPU
	for i := range j.tasks {
		j.leastCPU = min(j.leastCPU, w.Step(i).Room.CPU)
		j.tasks[i] = make([]task, w.Step(i).Count)
		j.left[i] = w.Step(i).Count
		for k := range j.tasks[i] {
			j.tasks[i][k].run = firstRun
		}
	}
	return j
}

// rejoin lets a caller wait again for a job that had been withdrawn.
func (c *Core) rejoin(now time.Time, j *job) {
	if !j.withdrawn {
		return
	}
	j.withdrawn, j.over = false, false
	c.enqueue(j)
	c.place(now)
}

// unblock makes the tasks pending whose time has come and whose earlier steps are
// done.
func (c *Core) unblock(now time.Time, j *job) {
	for i := range j.tasks {
		if now.Before(j.Due(i)) {
			break
		}
		if !j.turn(i) {
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

// turn reports whether all steps before that of slot i are done.
func (j *job) turn(i int) bool {
	first := i - i%len(j.Steps) // slot of the occurrence
	for _, before := range j.Step(i).After {
		if j.left[first+before] > 0 {
			return false
		}
	}
	return true
}

// Withdraw takes back a job for which nobody waits any more. Runs that have
// long to go are stopped.
func (c *Core) Withdraw(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.withdrawn || j.over {
		return
	}
	j.withdrawn = true
	c.close(j, work.Outcome{State: work.Cancelled, Reason: "nobody waits for it"})
	c.stopAll(now, j, withdrawnRest)
	c.place(now)
}

// withdrawnRest is the rest of a run that is let to its end although nobody
// waits for it; a stop takes 50 ms of the worker's time by itself.
const withdrawnRest = 60 * time.Millisecond

// close answers a job.
func (c *Core) close(j *job, out work.Outcome) {
	if j.over {
		return
	}
	j.over = true
	c.dequeue(j)
	c.noteEnd(j, out)
	c.out.Outcomes = append(c.out.Outcomes, Ending{j.ID, out})
	switch {
	case j.Stored:
		// The ledger remembers it.
	case out.State == work.Completed, out.State == work.JobFailed:
		c.remember(j.ID, out)
	default:
		c.rememberBegin(j)
	}
	c.discard(j)
}

// noteEnd tells how a job went, for the log.
func (c *Core) noteEnd(j *job, out work.Outcome) {
	if !j.sent {
		return // a rejection has a note of its own
	}
	c.note(Note{Job: j.ID, Agent: j.last.agent, What: "jobEnded", Why: string(out.State) + " " + out.Reason, Values: map[string]float64{
		"firstStartMs": ms(j.first.Sub(j.begun)), "objectiveMs": ms(j.objective.Sub(j.begun)), "tasks": float64(j.Tasks()),
		"lastWaitMs": ms(j.last.wait), "lastRunMs": ms(j.last.took), "lastExpectedMs": ms(j.last.expected), "repeated": float64(j.again),
	}})
}

// discard forgets a job that is answered once nothing of it runs.
func (c *Core) discard(j *job) {
	if j.over && j.running == 0 {
		delete(c.jobs, j.ID)
		c.queued -= j.pending
		j.pending = 0
	}
}

func (c *Core) remember(id string, out work.Outcome) {
	if len(c.endings) >= c.cfg.Remember {
		delete(c.ended, c.endings[0])
		c.endings = c.endings[1:]
	}
	c.ended[id] = out
	c.endings = append(c.endings, id)
}

// rememberBegin keeps in mind that something of a job may have run, so that it
// is not said to have not run when its caller submits it again.
func (c *Core) rememberBegin(j *job) {
	if !j.sent || c.began[j.ID] {
		return
	}
	if len(c.begins) >= c.cfg.Remember {
		delete(c.began, c.begins[0])
		c.begins = c.begins[1:]
	}
	c.began[j.ID] = true
	c.begins = append(c.begins, j.ID)
}

// stopAll stops the runs of a job that are expected to have more than rest to go, or
// all of them.
func (c *Core) stopAll(now time.Time, j *job, rest time.Duration) {
	for i := range j.tasks {
		for k := range j.tasks[i] {
			t := &j.tasks[i][k]
			if t.state == placed && (rest == 0 || now.Add(rest).Before(t.began.Add(t.expected))) {
				c.stop(j, i, k)
			}
		}
	}
}

func (c *Core) stop(j *job, step, index int) {
	t := &j.tasks[step][index]
	if t.stopping {
		return
	}
	t.stopping = true
	c.order(t.agent, j.ref(step, index))
}

// order orders an agent to stop a run.
func (c *Core) order(agent string, r work.Run) {
	if c.out.Stops == nil {
		c.out.Stops = make(map[string][]work.Run)
	}
	c.out.Stops[agent] = append(c.out.Stops[agent], r)
}

// ref returns the last run of a task.
func (j *job) ref(step, index int) work.Run {
	return work.Run{Task: j.Ref(step, index), Number: j.tasks[step][index].run}
}

// Tick is called every few milliseconds while jobs wait, and at least a few
// times in Config.Suspect.
func (c *Core) Tick(now time.Time) {
	if now.Sub(c.priors) > priorsEvery {
		c.priors = now
		c.updatePriors()
	}
	c.loseAgents(now)
	c.stopStalled(now)
	c.expireSlowdowns(now)
	c.startDue(now)
	c.shed(now)
	c.age(now)
	c.place(now)
}
