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
	cfg            Config
	targets        map[string]*target
	agentNames     []string // of targets, sorted, so that decisions do not depend on map order
	jobs           map[string]*job
	waiting        []*job // with tasks to place, in the order in which they are served
	queued         int    // tasks that wait
	outcomes       map[string]work.Outcome
	outcomeOrder   []string         // keys of ended, oldest first
	sentJobs       map[string]bool  // jobs that were withdrawn after something of them was sent
	sentOrder      []string         // keys of began, oldest first
	biases         map[string]*bias // by queue
	startupUntil   time.Time        // until then more workers are expected to come into contact
	lastKindUpdate time.Time        // when the means of the kinds of workers were computed
	timed          []*job           // with occurrences whose time has not come
	tenure         Tenure
	highestEpoch   uint64 // of the last tenure
	decisions      Decisions
}

// NewCore returns a Core that knows no workers.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg: cfg, targets: make(map[string]*target), jobs: make(map[string]*job),
		outcomes: make(map[string]work.Outcome), sentJobs: make(map[string]bool), biases: make(map[string]*bias),
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
	d := c.decisions
	c.decisions = Decisions{}
	return d
}

func (c *Core) addNote(n Note) { c.decisions.Notes = append(c.decisions.Notes, n) }

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
		if !j.wasSent {
			counts[j.Queue.Name]++
		}
	}
	return counts
}

// Submit takes a job. Its outcome follows with Take, maybe at once.
func (c *Core) Submit(now time.Time, w work.Job, firstRun int) {
	if out, ok := c.outcomes[w.ID]; ok {
		c.decisions.Outcomes = append(c.decisions.Outcomes, Ending{w.ID, out})
		return
	}
	if j, ok := c.jobs[w.ID]; ok {
		c.reattach(now, j)
		return
	}
	j := newJob(now, w, firstRun)
	j.cutoff = c.cutoff(j)
	if end := now.Add(w.Left); end.Before(j.cutoff) {
		j.cutoff = end
	}
	c.jobs[w.ID] = j
	c.unblock(now, j)
	if reason, retry := c.rejectReason(now, j, c.serviceCapacity(now, w.Queue.Service), true); reason != "" && reason != reasonNoWorkers {
		c.reject(now, j, reason, retry)
		return
	}
	c.enqueue(j)
	c.placeWaiting(now)
}

// reattach lets a caller wait again for a job that had been withdrawn.
func (c *Core) reattach(now time.Time, j *job) {
	if !j.withdrawn {
		return
	}
	j.withdrawn, j.answered = false, false
	c.enqueue(j)
	c.placeWaiting(now)
}

// Withdraw takes back a job for which nobody waits any more. Runs that have
// long to go are stopped.
func (c *Core) Withdraw(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.withdrawn || j.answered {
		return
	}
	j.withdrawn = true
	c.close(j, work.Outcome{State: work.Cancelled, Reason: "nobody waits for it"})
	c.stopAll(now, j, withdrawnGrace)
	c.placeWaiting(now)
}

// withdrawnGrace is the rest of a run that is let to its end although nobody
// waits for it; a stop takes 50 ms of the worker's time by itself.
const withdrawnGrace = 60 * time.Millisecond

// Tick is called every few milliseconds while jobs wait, and at least a few
// times in Config.Suspect.
func (c *Core) Tick(now time.Time) {
	if now.Sub(c.lastKindUpdate) > kindUpdateInterval {
		c.lastKindUpdate = now
		c.updateKindSlowness()
	}
	c.expireAgents(now)
	c.abandonOverdue(now)
	c.expireSlowdowns(now)
	c.unblockTimed(now)
	c.rejectHopeless(now)
	c.demoteLate(now)
	c.placeWaiting(now)
}
