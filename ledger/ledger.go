// Package ledger stores the jobs of a site in the platform's key-value store, so
// that they survive every process.
//
// # Model
//
// One entry at a time holds the ledger. Its tenure is its term as holder: a lease
// with an epoch, stored under a key that names the holder. Every commit of the
// holder is conditional on that key's revision. So the commits of a previous holder
// fail once another entry has taken the key; the previous holder is then "deposed",
// that is, superseded by a higher epoch. The holder's own unanswered commits fail
// once it has written the key again (see PendingCommit). Every order to an agent
// carries the epoch, and agents accept no order of an earlier epoch.
//
// A job has one item from its acceptance on. When the job has ended, a short item
// under another prefix replaces it, and is deleted after Config.EndedRetention. The
// progress of an open job is in a second item. So a new holder can read the open
// jobs at once, however many have ended; before it accepts new jobs, it must read
// the ended ones too. An agent that may get tasks of stored jobs is enrolled first,
// so that the next holder knows which agents to ask for active runs.
//
// Ledger holds this state in memory. It has no goroutines, sockets or clocks:
// Next returns what to commit, and Committed, Conflict, Refused and Unanswered
// record the result.
//
// # Usage
//
//	l := ledger.New(cfg, "entry-1")
//	l.SetHolder(item) // as read from the store
//	l.Acquire()
//	if p, err := l.Next(now, wall); p != nil {
//		rev, err := st.Commit(ctx, p.Commit())
//		changes := l.Committed(p, rev)
//	}
package ledger

import (
	"slices"
	"time"

	"masticbay/work"
)

// Config holds the limits of a Ledger.
type Config struct {
	EndedRetention   time.Duration // how long the state of an ended job can be queried
	RenewalInterval  time.Duration // longest time between commits while jobs are open
	CommitInterval   time.Duration // shortest time between commits, so that changes share them
	MaxCommitEntries int           // most conditions, writes and deletions of a commit
	MaxInFlight      int           // most commits in flight
}

// phase is what an entry knows about the ledger.
type phase int

const (
	unread  phase = iota // the store has not shown who holds it
	vacant               // nobody has ever held it, so nothing is stored
	foreign              // another entry holds it
	loading              // this entry holds it and has not read the jobs yet
	held
)

// Ledger is the view of one entry. New makes one.
type Ledger struct {
	cfg       Config
	life      string
	phase     phase
	acquiring bool // this entry wants to hold it
	tenure    tenure
	rev       uint64 // of the key of the tenure
	// highestRev is the highest revision of that key so far; the key may be deleted.
	highestRev uint64

	renewedAt         time.Time        // when the last commit that succeeded was sent
	lastSentAt        time.Time        // when the last commit was first sent
	failingSince      time.Time        // since when no commit has succeeded although some were sent; zero if the last one did
	tenureCommit      *PendingCommit   // the commit that writes the tenure; nil if there is none
	inFlight          []*PendingCommit // the other commits that await a result
	unanswered        []*PendingCommit // the other commits that were not answered
	busy              map[string]bool  // jobs in inFlight and unanswered
	keysToDelete      []string         // deletions to repeat
	jobs              map[string]*Job
	changes           map[string][]Change // to commit, by job
	changedJobs       []string            // the keys of changes, in the order of their first change
	ended             []*Job              // retained ended jobs, by the time of their end
	agents            map[string]bool     // enrolled agents; false until that is committed
	enrollmentUnknown bool                // the stored list of agents could not be read
	enrollmentChanged bool                // agents differs from what was last committed
	endedLoaded       bool                // the ended jobs have been read too
}

// New returns the ledger as seen by an entry that has just started.
func New(cfg Config, life string) *Ledger {
	l := &Ledger{cfg: cfg, life: life}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.tenureCommit, l.inFlight, l.unanswered, l.keysToDelete = nil, nil, nil, nil
	l.changedJobs, l.ended, l.enrollmentChanged, l.enrollmentUnknown, l.endedLoaded, l.failingSince = nil, nil, false, false, false, time.Time{}
	l.jobs, l.changes, l.agents = make(map[string]*Job), make(map[string][]Change), make(map[string]bool)
	l.busy = make(map[string]bool)
}

// Job is a stored job.
type Job struct {
	work.Job
	Submitted       time.Time
	Done            [][]int                // by slot: indices of the tasks that are done
	Failures        map[work.TaskRef]int   // number of failed runs of tasks that are not done
	FailedRuns      map[work.TaskRef][]int // their run numbers, as far as they are known
	State           work.State             // empty while it is open
	Ended           time.Time
	stored          bool // its item is in the store
	maybeStored     bool // its item may be in the store
	endStored       bool // the store has its end
	unreadable      bool // its progress could not be read
	hasProgressItem bool // an item with its progress may be in the store
}

// ChangeKind is the kind of a committed change.
type ChangeKind int

// The kinds of changes.
const (
	Accepted ChangeKind = iota
	RunEnded
	JobEnded
)

// Change is a change that the store acknowledges with a commit.
type Change struct {
	Kind  ChangeKind
	Job   string
	State work.State // of JobEnded
	Event EventRef   // of RunEnded
}

// EventRef names the event of an agent that reported the end of a run.
type EventRef struct {
	Agent string
	Life  string // incarnation of the agent
	Seq   uint64
}

// Epoch returns the epoch of the tenure; 0 if this entry does not hold the ledger.
func (l *Ledger) Epoch() uint64 {
	if l.phase < loading {
		return 0
	}
	return l.tenure.Epoch
}

// Held reports whether this entry holds the ledger and has read the open jobs.
func (l *Ledger) Held() bool { return l.phase == held }

// EndedLoaded reports whether this entry has read the ended jobs too, and can accept new ones.
func (l *Ledger) EndedLoaded() bool { return l.phase == held && l.endedLoaded }

// RenewedAt returns when the tenure was last known to hold.
func (l *Ledger) RenewedAt() time.Time { return l.renewedAt }

// StoreOutage returns how long the store has carried out no commit although some were
// sent.
func (l *Ledger) StoreOutage(now time.Time) time.Duration {
	if l.failingSince.IsZero() {
		return 0
	}
	return now.Sub(l.failingSince)
}

// Job returns a job. It reports false if the ledger has none of that ID.
func (l *Ledger) Job(id string) (*Job, bool) {
	j, ok := l.jobs[id]
	return j, ok
}

// Open returns the jobs that have not ended, in the order of their submission, except those
// whose progress could not be read.
func (l *Ledger) Open() []*Job {
	var open []*Job
	for _, j := range l.jobs {
		if j.State == "" && !j.unreadable {
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

// Accept adds a job. It is stored once the change Accepted is committed.
func (l *Ledger) Accept(submitted time.Time, w *work.Job) {
	j := &Job{Job: *w, Submitted: submitted, Done: make([][]int, w.Slots()), Failures: make(map[work.TaskRef]int), FailedRuns: make(map[work.TaskRef][]int)}
	l.jobs[w.ID] = j
	l.addChange(w.ID, Change{Kind: Accepted, Job: w.ID})
}

// Stored reports whether a job has been stored.
func (l *Ledger) Stored(id string) bool {
	j, ok := l.jobs[id]
	return ok && j.stored
}

// MaybeStored reports whether a job is stored, or was sent to the store in a commit that may
// still be carried out.
func (l *Ledger) MaybeStored(id string) bool {
	j, ok := l.jobs[id]
	return ok && (j.stored || j.maybeStored)
}

// EndRun records that a run has ended as done or failed. A failure that is reported again
// counts once.
func (l *Ledger) EndRun(r work.Run, end work.End, m EventRef) {
	t := r.Task
	j, ok := l.jobs[t.Job]
	if ok && j.State == "" {
		switch {
		case end == work.Done:
			j.Done[j.Slot(t)] = append(j.Done[j.Slot(t)], t.Index)
			delete(j.Failures, t)
			delete(j.FailedRuns, t)
		case end == work.Failed && !slices.Contains(j.FailedRuns[t], r.Number):
			j.Failures[t]++
			j.FailedRuns[t] = append(j.FailedRuns[t], r.Number)
		}
	}
	l.addChange(t.Job, Change{Kind: RunEnded, Job: t.Job, Event: m})
}

// EndJob records the state in which a job has ended, and the wall time of its end.
func (l *Ledger) EndJob(wall time.Time, id string, s work.State) {
	j, ok := l.jobs[id]
	if !ok || j.State != "" {
		return
	}
	j.State, j.Ended = s, wall
	l.ended = append(l.ended, j)
	l.addChange(id, Change{Kind: JobEnded, Job: id, State: s})
}

// EndPending reports whether a job has an end that the store has not acknowledged.
func (l *Ledger) EndPending(id string) bool {
	j, ok := l.jobs[id]
	return ok && j.State != "" && !j.endStored
}

// Enroll ensures that the next holder will ask an agent which runs are active there.
func (l *Ledger) Enroll(agent string) {
	if _, ok := l.agents[agent]; !ok && l.phase == held {
		l.agents[agent], l.enrollmentChanged = false, true
	}
}

// Unenroll undoes Enroll for an agent at which nothing can run any more.
func (l *Ledger) Unenroll(agent string) {
	if _, ok := l.agents[agent]; ok && l.phase == held {
		delete(l.agents, agent)
		l.enrollmentChanged = true
	}
}

// Enrolled returns the agents whose enrollment is stored.
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

// EnrollmentKnown reports whether Enrolled names all agents that may run tasks of the previous
// holder.
func (l *Ledger) EnrollmentKnown() bool { return !l.enrollmentUnknown }

func (l *Ledger) addChange(id string, c Change) {
	if _, ok := l.changes[id]; !ok {
		l.changedJobs = append(l.changedJobs, id)
	}
	l.changes[id] = append(l.changes[id], c)
}
