// Package ledger keeps the stored jobs of a site in the platform's key-value
// store, so that they outlive every process.
//
// # Model
//
// One entry at a time holds the ledger. Its tenure is a key in the store that
// names it; every commit of the holder is conditional on that key's revision. So
// the commits of a former holder fail once another entry has taken the key, and
// those that were not answered fail once the holder has written it anew (see
// Flight). The number of the tenure, its epoch, goes to agents with every
// order; they take none of an earlier epoch.
//
// A job has one item from its acceptance on. A short one elsewhere takes its place
// when the job has ended, and is deleted Config.Keep later. What is done of an open
// job stands in a second item. So a new holder reads the open jobs at once, however
// many have ended; before it accepts new ones, it has to know those, too. An agent that may get tasks of stored jobs is
// enrolled first, so that the next holder knows whom to ask what still runs.
//
// Ledger holds this state in memory. It has no goroutines, sockets or clocks:
// Next returns what to commit, and Took, Conflict, Refused and Lost take what came
// of it.
//
// # Usage
//
//	l := ledger.New(cfg, "entry-1")
//	l.Find(item) // the holder as the store names it
//	l.Claim()
//	if f, err := l.Next(now, wall); f != nil {
//		rev, err := st.Commit(ctx, f.Commit())
//		facts := l.Took(f, rev)
//	}
package ledger

import (
	"slices"
	"time"

	"masticbay/work"
)

// Config holds the limits of a Ledger.
type Config struct {
	Keep    time.Duration // how long the state of an ended job can be asked for
	Refresh time.Duration // the longest time between commits while jobs are open
	Gap     time.Duration // the shortest time between commits, so that changes share them
	Entries int           // most conditions, writes and deletions of a commit
	Flights int           // most commits side by side
}

// phase is what an entry knows of the ledger.
type phase int

const (
	unread  phase = iota // the store has not told who holds it
	vacant               // nobody ever held it, so nothing is stored
	foreign              // another entry holds it
	loading              // this entry holds it and has not read the jobs yet
	held
)

// Ledger is the view of one entry. New makes one.
type Ledger struct {
	cfg    Config
	life   string
	phase  phase
	claims bool // this entry wants to hold it
	tenure tenure
	rev    uint64 // of the key of the tenure

	owned   time.Time       // when the last commit that was carried out was sent
	sent    time.Time       // when the last commit was sent first
	failing time.Time       // since when no commit was carried out although some were sent; zero if the last was
	turn    *Flight         // that writes the tenure
	flights []*Flight       // the others
	lost    []*Flight       // of these, those that were not answered
	busy    map[string]bool // jobs in flights and lost
	trash   []string        // keys to delete
	jobs    map[string]*Job
	changes map[string][]Fact // by job: what has to be committed about it
	order   []string          // of changes
	ended   []*Job            // kept, the longest first
	agents  map[string]bool   // enrolled; false: with the next commit
	roll    bool              // agents differs from what was committed last
	whole   bool              // the ended jobs have been read, too
}

// New returns the ledger as an entry knows it that has just started.
func New(cfg Config, life string) *Ledger {
	l := &Ledger{cfg: cfg, life: life}
	l.forget()
	return l
}

func (l *Ledger) forget() {
	l.turn, l.flights, l.lost, l.trash = nil, nil, nil, nil
	l.order, l.ended, l.roll, l.whole, l.failing = nil, nil, false, false, time.Time{}
	l.jobs, l.changes, l.agents = make(map[string]*Job), make(map[string][]Fact), make(map[string]bool)
	l.busy = make(map[string]bool)
}

// Job is a stored job.
type Job struct {
	work.Job
	Submitted time.Time
	Done      [][]int              // by slot: the tasks that are done
	Failures  map[work.TaskRef]int // failed runs of tasks that are not done
	State     work.State           // empty while it is open
	Ended     time.Time
	stored    bool // its item is in the store
	tried     bool // its item may be in the store
	closed    bool // the store has its end
	progress  bool // the item about its progress is, too
}

// FactKind tells what a commit has made last.
type FactKind int

// The kinds of facts.
const (
	Accepted FactKind = iota
	RunEnded
	JobEnded
)

// Fact is something that the store has acknowledged.
type Fact struct {
	Kind  FactKind
	Job   string
	State work.State // of JobEnded
	Mark  Mark       // of RunEnded
}

// Mark names the event of an agent that told the end of a run.
type Mark struct {
	Agent string
	Life  string // incarnation of the agent
	Seq   uint64
}

// Epoch returns the number of the tenure; 0 if this entry does not hold the
// ledger.
func (l *Ledger) Epoch() uint64 {
	if l.phase < loading {
		return 0
	}
	return l.tenure.Epoch
}

// Held reports whether this entry holds the ledger and has read the open jobs.
func (l *Ledger) Held() bool { return l.phase == held }

// Whole reports whether it has read the ended jobs, too, and can accept new ones.
func (l *Ledger) Whole() bool { return l.phase == held && l.whole }

// Owned returns when the tenure was last known to hold.
func (l *Ledger) Owned() time.Time { return l.owned }

// Stalled returns for how long the store has carried out no commit although some were
// sent.
func (l *Ledger) Stalled(now time.Time) time.Duration {
	if l.failing.IsZero() {
		return 0
	}
	return now.Sub(l.failing)
}

// Job returns a job, and false if there is none of the name.
func (l *Ledger) Job(id string) (*Job, bool) {
	j, ok := l.jobs[id]
	return j, ok
}

// Open returns the jobs that have not ended, in the order of their submission.
func (l *Ledger) Open() []*Job {
	var open []*Job
	for _, j := range l.jobs {
		if j.State == "" {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *Job) int {
		if c := a.Submitted.Compare(b.Submitted); c != 0 {
			return c
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return open
}

// Accept adds a job, which counts as stored with the fact Accepted.
func (l *Ledger) Accept(submitted time.Time, w *work.Job) {
	j := &Job{Job: *w, Submitted: submitted, Done: make([][]int, w.Slots()), Failures: make(map[work.TaskRef]int)}
	l.jobs[w.ID] = j
	l.change(w.ID, Fact{Kind: Accepted, Job: w.ID})
}

// Stored reports whether a job has been stored.
func (l *Ledger) Stored(id string) bool {
	j, ok := l.jobs[id]
	return ok && j.stored
}

// End notes that a run has ended as done or failed.
func (l *Ledger) End(t work.TaskRef, how work.End, m Mark) {
	j, ok := l.jobs[t.Job]
	if ok && j.State == "" {
		switch how {
		case work.Done:
			j.Done[j.Slot(t)] = append(j.Done[j.Slot(t)], t.Index)
			delete(j.Failures, t)
		case work.Failed:
			j.Failures[t]++
		}
	}
	l.change(t.Job, Fact{Kind: RunEnded, Job: t.Job, Mark: m})
}

// Close notes the state in which a job has ended, by the time of day.
func (l *Ledger) Close(wall time.Time, id string, s work.State) {
	j, ok := l.jobs[id]
	if !ok || j.State != "" {
		return
	}
	j.State, j.Ended = s, wall
	l.ended = append(l.ended, j)
	l.change(id, Fact{Kind: JobEnded, Job: id, State: s})
}

// Pending reports whether a job has an end that the store has not acknowledged.
func (l *Ledger) Pending(id string) bool {
	j, ok := l.jobs[id]
	return ok && j.State != "" && !j.closed
}

// Enroll makes sure that the next holder will ask an agent what runs there.
func (l *Ledger) Enroll(agent string) {
	if _, ok := l.agents[agent]; !ok && l.phase == held {
		l.agents[agent], l.roll = false, true
	}
}

// Dismiss undoes Enroll for an agent at which nothing can run any more.
func (l *Ledger) Dismiss(agent string) {
	if _, ok := l.agents[agent]; ok && l.phase == held {
		delete(l.agents, agent)
		l.roll = true
	}
}

// Enrolled returns the agents that the store names.
func (l *Ledger) Enrolled() []string {
	var agents []string
	for a, stored := range l.agents {
		if stored {
			agents = append(agents, a)
		}
	}
	slices.Sort(agents)
	return agents
}

func (l *Ledger) change(id string, f Fact) {
	if _, ok := l.changes[id]; !ok {
		l.order = append(l.order, id)
	}
	l.changes[id] = append(l.changes[id], f)
}
