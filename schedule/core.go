// Package schedule decides which task runs where and when. It runs at a home, the
// coordinator that places the tasks of a site or of a cell of a large site.
//
// # Model
//
// All jobs of a service are queued at the home. It computes the free capacity of
// every worker from the runs that it placed there and from the agents' reports.
// Jobs wait in the order of their queue's priority and their objective, a soft
// deadline. When a worker has free capacity, it gets the first waiting task for
// which it is a good choice: the slowest worker that still meets the job's
// objective, so that fast workers stay free for the tasks that need them. A task with an
// affinity to a rack runs there if that ends sooner, wait included.
//
// A job's cutoff is its hard deadline: its caller leaves then, or its end is of no
// use any more. A job that can not end before its cutoff is rejected as soon as that
// is known, and only while none of its tasks has been sent to an agent.
//
// A run ends when its agent reports an event, or when the agent has been out of
// contact for so long that both leases of the run have expired. Only then may the
// task start again.
//
// A job that another home may have started is placed once all agents have sealed it, so
// that no earlier run of it is left; see Handover. At the beginning of a term no job is known, so
// each may have been started: jobs wait until the agents have listed what they run; see BeginTerm.
//
// Stored jobs outlive the home. Their tasks are placed only under a tenure: the
// ledger holder's term, a lease with an epoch. A life is one incarnation of a
// process.
//
// Core holds this state. It has no goroutines, sockets, clocks or random
// numbers: each method takes the time. Orders and outcomes are collected until
// Take is called.
//
// # Usage
//
//	c := schedule.NewCore(cfg)
//	c.BeginTerm(now, agents, formerHomes, until)
//	c.Submit(now, job, 0)
//	c.Report(now, "10.1.0.14:7720", report)
//	d := c.Take() // orders for agents, outcomes for entries
package schedule

import (
	"slices"
	"time"

	"masticbay/ejection"
	"masticbay/evacuation"
	"masticbay/interference"
	"masticbay/work"
	"masticbay/worker"
)

// Config holds the limits of a Core.
type Config struct {
	SuspectAfter time.Duration // time without contact after which an agent gets no new task
	// SuspectIdleAfter is the same for an agent without tasks, which is polled less often.
	SuspectIdleAfter    time.Duration
	RunsLostAfter       time.Duration // time without contact after which an agent's runs have ended
	StoredRunsLostAfter time.Duration // the same for runs of stored jobs
	RemoteFactor        float64       // run time of a task away from its data, as a multiple of that near it; at least 1
	CutoffFactor        float64       // multiple of the objective after which a job's end is of no use
	Margin              time.Duration // time for the messages that start a run and report its end
	MaxRemembered       int           // number of outcomes kept for callers that submit a job again
	MaxQueued           int           // waiting tasks beyond which new jobs are rejected
	// ShedLoad turns on the rules for overload; see overload.go.
	ShedLoad bool
	// RunsOfOthersEndAfter is the time after which runs that another home has ordered have ended, at
	// agents that are out of contact with both.
	RunsOfOthersEndAfter time.Duration
	// TransitTime is the time from the last contact with an agent until none of the starts that it has sent
	// is carried out any more and no run goes on that such a start has begun. Zero means that it is not known;
	// then nothing is awaited at a lost agent.
	TransitTime time.Duration
	// MaxSealingAgents is the number of agents up to which they are asked to seal a job. A
	// lost home may have had hundreds of jobs, and each agent is asked about each of them.
	MaxSealingAgents int
	// A cold worker gets at most ColdOverage times its service's rate of new runs, plus ColdSlack in
	// any span. Slow start is off if one of them is 0.
	ColdOverage, ColdSlack float64
}

// Core is the state of a home. NewCore makes one.
type Core struct {
	cfg            Config
	targets        map[string]*target
	agentNames     []string // of targets, sorted, so that decisions do not depend on map order
	jobs           map[string]*job
	waiting        []*job // have tasks to place; in the order in which they are served
	queued         int    // pending tasks of all jobs
	outcomes       map[string]work.Outcome
	outcomeOrder   []string               // keys of outcomes, oldest first
	sentJobs       map[string]int         // jobs that were answered without a result after a task of them was sent: highest number of a run
	sentOrder      []string               // keys of sentJobs, oldest first
	biases         map[string]*bias       // by queue
	cold           map[string]coldFigures // by service
	startupUntil   time.Time              // until then more workers are expected to make contact
	lastKindUpdate time.Time              // when the mean slowness of each kind of worker was computed
	racks          []*rack                // that tasks have an affinity to
	timed          []*job                 // have occurrences that are not due yet
	withdrawn      []withdrawal           // by stopAt
	sealing        []*sealing             // of jobs that are not placed before agents have sealed them
	earlier        earlierHomes
	others         []*otherHome // of a site of several cells: are awaited
	hasTerm        bool         // agents have to follow this home
	shares         bool         // agents have to follow this home and those of the other cells
	termBegunAt    time.Time
	tenure         Tenure
	highestEpoch   uint64 // of all tenures so far
	evacuated      evacuation.Set
	placementHeld  bool // until the evacuated data centres are known
	ejection       *ejection.Tracker
	demand         map[string]*serviceDemand // by service
	open           []*target                 // the result of openTargets, whose memory is used again
	minWaitingCPU  int                       // no waiting job has a smaller minCPU
	pairs          *interference.Detector
	heldRuns       []heldRun // of lost agents
	decisions      Decisions
}

// NewCore returns a Core that knows no workers.
func NewCore(cfg Config) *Core {
	return &Core{
		cfg: cfg, targets: make(map[string]*target), jobs: make(map[string]*job),
		outcomes: make(map[string]work.Outcome), sentJobs: make(map[string]int), biases: make(map[string]*bias), ejection: ejection.NewTracker(), cold: make(map[string]coldFigures),
		demand: make(map[string]*serviceDemand),
		pairs:  interference.NewDetector(),
	}
}

// Decisions are the orders, outcomes and log notes that a Core has collected.
type Decisions struct {
	Starts   map[string][]work.Start  // by agent
	Stops    map[string][]work.Run    // by agent
	Seals    map[string][]worker.Seal // by agent
	Outcomes []JobOutcome
	RunEnds  []RunEnd
	Notes    []Note
}

// JobOutcome is the outcome of a job.
type JobOutcome struct {
	Job     string
	Outcome work.Outcome
}

// Note is a decision for the log.
type Note struct {
	Job    string
	Agent  string
	Run    work.Run
	Former string // agent of the previous run, for a run that starts again
	Kind   string
	Reason string
	Values map[string]float64 // the figures behind the decision
}

// Take returns the decisions since the last call.
func (c *Core) Take() Decisions {
	d := c.decisions
	c.decisions = Decisions{}
	return d
}

func (c *Core) addNote(n Note) { c.decisions.Notes = append(c.decisions.Notes, n) }

// Load returns the number of waiting tasks and timed jobs, and of running tasks.
func (c *Core) Load() (waiting, running int) {
	for _, t := range c.targets {
		running += len(t.runs)
	}
	return c.queued + len(c.timed), running
}

// HasJob reports whether a job is not answered yet or has runs, and whether it is not answered.
func (c *Core) HasJob(id string) (known, isOpen bool) {
	j, ok := c.jobs[id]
	return ok, ok && !j.answered
}

// HasOpenJobs reports whether OpenJobs would return a job.
func (c *Core) HasOpenJobs() bool {
	for _, j := range c.jobs {
		if !j.Stored {
			return true
		}
	}
	return slices.ContainsFunc(c.sealing, func(s *sealing) bool { return !s.byRunList })
}

// OpenJobs returns, by ID, the jobs that are not answered yet or may have a run, and above which
// number the runs of each are numbered. Stored jobs are left out, since the next holder of the ledger
// goes on with them.
func (c *Core) OpenJobs() map[string]int {
	open := make(map[string]int)
	for _, s := range c.sealing {
		if !s.byRunList { // otherwise its agents list the runs that it may have
			open[s.job] = max(open[s.job], s.RunNumberBase)
		}
	}
	for id, j := range c.jobs {
		if !j.Stored {
			open[id] = max(open[id], j.runNumberBase, j.highestRun())
		}
	}
	return open
}

// Delay returns how long a new job of the lowest priority would wait.
func (c *Core) Delay(now time.Time) time.Duration {
	ahead, speed := 0.0, 0.0
	for _, j := range c.waiting {
		ahead += c.pendingWork(j)
	}
	if ahead == 0 {
		return 0
	}
	for _, name := range c.agentNames {
		if t := c.targets[name]; c.isUsable(now, t) {
			speed += t.coldSpeed(ahead / float64(max(c.queued, 1)))
		}
	}
	return time.Duration(min(ahead/max(speed, 1), ms(maxDelay)) * float64(time.Millisecond))
}

// maxDelay bounds the result of Delay.
const maxDelay = time.Minute

// Waiting returns, by queue, the number of jobs of which no task has begun. A task whose start was
// refused has not.
func (c *Core) Waiting() map[string]int {
	counts := make(map[string]int)
	for i := 0; i < len(c.waiting); {
		name, n := c.waiting[i].Queue.Name, 0 // jobs of one queue are mostly side by side
		for ; i < len(c.waiting) && c.waiting[i].Queue.Name == name; i++ {
			if j := c.waiting[i]; !j.begun && j.running == 0 {
				n++
			}
		}
		if n > 0 {
			counts[name] += n
		}
	}
	return counts
}

// Submit adds a job, unless it is known. Take returns its outcome, maybe at once. The
// runs of each task are numbered from runNumberBase+1.
func (c *Core) Submit(now time.Time, w work.Job, runNumberBase int) {
	c.submit(now, w, runNumberBase, nil)
}

// submit is Submit, or TakeOver if h is not nil.
func (c *Core) submit(now time.Time, w work.Job, runNumberBase int, h *Handover) {
	c.noteSubmittedAgain(w.ID, runNumberBase)
	if out, ok := c.outcomes[w.ID]; ok {
		c.decisions.Outcomes = append(c.decisions.Outcomes, JobOutcome{w.ID, out})
		return
	}
	if j, ok := c.jobs[w.ID]; ok {
		c.reattach(now, j, h)
		return
	}
	c.learnCold(now, &w.Queue)
	j := newJob(now, w, runNumberBase)
	j.numberRunsFrom(c.sentJobs[w.ID])
	j.cutoff = c.cutoff(j)
	if end := now.Add(w.Left); end.Before(j.cutoff) {
		j.cutoff = end
	}
	c.jobs[w.ID] = j
	switch earlier := c.sealingOf(w.ID); {
	case h != nil:
		c.awaitSeals(now, j, h)
	case earlier != nil:
		earlier.await(c.othersWith(w.ID))
		j.sealing, j.runNumberBase = earlier, earlier.RunNumberBase
	default:
		c.awaitRunLists(now, j)
	}
	c.unblock(now, j)
	if reason, retry := c.rejectReason(now, j, c.demandOf(now, w.Queue.Service).capacity, true); reason != "" && (reason != reasonNoWorkers || w.Alternative) {
		c.reject(now, j, reason, retry)
		return
	}
	c.recordDemand(now, j)
	if !j.Stored {
		c.countArrival(now, j)
	}
	if !c.admit(now, j) {
		return
	}
	c.enqueue(j)
	c.placeWaiting(now)
}

// reattach lets a caller wait again for a job that was withdrawn, and which may have
// been at another home meanwhile.
func (c *Core) reattach(now time.Time, j *job, h *Handover) {
	wasWithdrawn := j.withdrawn
	if wasWithdrawn {
		j.withdrawn, j.answered = false, false
	}
	if h != nil && h.RunNumberBase > j.runNumberBase {
		c.awaitSeals(now, j, h)
	}
	if !wasWithdrawn {
		return
	}
	if j.sealing == nil {
		c.awaitRunLists(now, j)
	}
	c.enqueue(j)
	c.placeWaiting(now)
}

// Withdraw cancels a job whose caller is gone. It stops the runs that are expected
// to go on for longer than withdrawnGrace; Tick stops the others if they have not
// ended by then.
func (c *Core) Withdraw(now time.Time, id string) {
	j, ok := c.jobs[id]
	if !ok || j.withdrawn || j.answered {
		return
	}
	j.withdrawn = true
	c.close(j, work.Outcome{State: work.Cancelled, Reason: "nobody waits for it"})
	c.stopAll(now, j, withdrawnGrace)
	if j.running > 0 {
		c.withdrawn = append(c.withdrawn, withdrawal{id, now.Add(withdrawnGrace)})
	}
	c.placeWaiting(now)
}

// withdrawnGrace is the remaining time within which a run of a withdrawn job may
// end by itself; a stop takes 50 ms of the worker's time.
const withdrawnGrace = 60 * time.Millisecond

// withdrawal is a withdrawn job that had runs.
type withdrawal struct {
	job    string
	stopAt time.Time // its runs are stopped then
}

// stopWithdrawn stops the runs of withdrawn jobs that have outlasted withdrawnGrace.
// The caller's entry may have handed such a job to another home.
func (c *Core) stopWithdrawn(now time.Time) {
	for len(c.withdrawn) > 0 && !now.Before(c.withdrawn[0].stopAt) {
		if j, ok := c.jobs[c.withdrawn[0].job]; ok && j.withdrawn {
			c.stopAll(now, j, 0)
		}
		c.withdrawn = c.withdrawn[1:]
	}
}

// Tick runs the decisions that depend on time. It is called every few milliseconds
// while jobs wait, and at least a few times per Config.SuspectAfter.
func (c *Core) Tick(now time.Time) {
	if now.Sub(c.lastKindUpdate) > kindUpdateInterval {
		c.lastKindUpdate = now
		c.updateKindSlowness(now)
		c.expireRacks(now)
		c.explainWaits(now)
		c.notePairs(c.pairs.Expire(now))
	}
	c.expireAgents(now)
	c.endHeldRuns(now)
	c.stopWithdrawn(now)
	c.expireRunLists(now)
	c.endOtherHomes(now)
	c.releaseSealed(now)
	c.abandonOverdue(now)
	c.expireSlowdowns(now)
	c.unblockTimed(now)
	c.reviewWorkers(now)
	c.rejectHopeless(now)
	c.demoteLate(now)
	c.demoteOnlyLate(now)
	c.placeWaiting(now)
}
