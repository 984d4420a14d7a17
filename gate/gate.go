// Package gate decides whether a task may start at a target.
//
// # Model
//
// Each agent has one Gate. All tasks of the agent's target start through it, so
// it guarantees alone that a task starts at most once there, and it can prove
// that a task did not start. For a retention window it keeps:
//
//   - a record of each started task, written before the target is called;
//   - the attempts that it refused or sealed, which can never start later;
//   - for each claimed job the marker: the highest ballot that the agent has
//     promised, as in Paxos. Lower ballots are rejected.
//
// The entries ensure that a task doesn't start at two agents: an entry sends a
// task to one agent at a time, and an entry that takes over a job first claims
// it at every registered agent. Gate.Dispatch enforces the rules that make this
// hold while messages are late, duplicated or lost, and while entries and agents
// join.
//
// A stamp is the agent's monotonic time. Entries echo the latest stamp that
// they have, so that the agent can tell how old a dispatch is. For one window
// after its start an agent is in its join window, called young on the wire.
//
// A Gate does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	g := gate.New(id, gate.Config{Window: 2 * time.Minute}, now)
//	g.SetListed(registryRevision)
//	switch decision := g.Dispatch(now, &d, slotFree); decision.Verdict {
//	case gate.Start:
//		// call the target, then
//		g.Finish(now, report)
//	}
package gate

import (
	"time"

	"masticbay/job"
)

// Config holds the time limits on what a Gate records and accepts.
type Config struct {
	Window      time.Duration // how long records, closed attempts and claims are kept
	StampMaxAge time.Duration // maximum age of a dispatch's stamp
}

// Gate decides about the starts of one agent's incarnation and records them.
type Gate struct {
	id           string
	cfg          Config
	startedAt    time.Time
	joined       uint64 // registry revision that listed this agent; 0 if none did
	registry     uint64 // highest registry revision seen
	draining     bool
	running      int
	jobs         map[job.Key]*jobRecord
	closed       map[attempt]struct{}
	expiries     []expiry
	adoptedUntil map[string]time.Time // by incarnation of a predecessor: until when this agent answers for it
}

// attempt identifies one dispatch by its entry and the entry's attempt number.
type attempt struct {
	entry string
	n     uint64
}

type jobRecord struct {
	marker    Ballot
	tasks     map[taskRef]*Report
	running   int
	touchedAt time.Time
}

type taskRef struct {
	rerun string
	index int
}

// expiry is due at a time; it names either a closed attempt or a job.
type expiry struct {
	due     time.Time
	attempt attempt
	job     job.Key
}

// New returns a Gate of the agent's incarnation id, which starts at now.
func New(id string, cfg Config, now time.Time) *Gate {
	return &Gate{
		id:           id,
		cfg:          cfg,
		startedAt:    now,
		jobs:         make(map[job.Key]*jobRecord),
		closed:       make(map[attempt]struct{}),
		adoptedUntil: make(map[string]time.Time),
	}
}

// ID returns the agent's incarnation.
func (g *Gate) ID() string { return g.id }

// Running returns the number of tasks that have started and not ended.
func (g *Gate) Running() int { return g.running }

// Records returns the number of jobs and of closed attempts that are recorded.
func (g *Gate) Records() (jobs, attempts int) {
	return len(g.jobs), len(g.closed)
}

// Joined returns the registry revision that listed the agent, or 0.
func (g *Gate) Joined() uint64 { return g.joined }

// Registry returns the highest registry revision that the agent has seen.
func (g *Gate) Registry() uint64 { return g.registry }

// Young reports whether the agent is in its join window, in which claims that
// were made before it joined may still be in force.
func (g *Gate) Young(now time.Time) bool {
	return now.Sub(g.startedAt) < g.cfg.Window
}

// Stamp returns the agent's monotonic time, for entries to echo.
func (g *Gate) Stamp(now time.Time) time.Duration {
	return now.Sub(g.startedAt)
}

// SetListed records that the registry has listed this agent since revision rev.
func (g *Gate) SetListed(rev uint64) {
	if g.joined == 0 {
		g.joined = rev
	}
	g.ObserveRegistry(rev)
}

// ObserveRegistry records that a process acts on registry revision rev.
func (g *Gate) ObserveRegistry(rev uint64) {
	g.registry = max(g.registry, rev)
}

// Drain makes the gate refuse all new work, or accept it again if on is false.
func (g *Gate) Drain(on bool) { g.draining = on }

// Draining reports whether new work is refused.
func (g *Gate) Draining() bool { return g.draining }

// Dispatch decides about d and records the start if the verdict is Start. A
// slot is free for the task if slotFree is set.
func (g *Gate) Dispatch(now time.Time, d *Dispatch, slotFree bool) Decision {
	g.Expire(now)
	if report := g.findReport(d.Task); report != nil {
		return Decision{Verdict: Recorded, Report: *report}
	}
	decision := g.decide(now, d, slotFree)
	if decision.Verdict != Start {
		g.close(now, d.Entry, d.Attempt)
		return decision
	}
	g.start(now, d.Task)
	return decision
}

func (g *Gate) decide(now time.Time, d *Dispatch, slotFree bool) Decision {
	if reason := g.refusalReason(now, d); reason != NoReason {
		return Decision{Verdict: Refused, Reason: reason}
	}
	if m := g.marker(d.Task.Job); claimBlocks(m, d) {
		return Decision{Verdict: Held, Holder: m}
	}
	if !slotFree {
		return Decision{Verdict: Refused, Reason: Busy}
	}
	return Decision{Verdict: Start}
}

func (g *Gate) refusalReason(now time.Time, d *Dispatch) Reason {
	if d.Agent != g.id {
		return WrongAgent
	}
	if _, ok := g.closed[attempt{d.Entry, d.Attempt}]; ok {
		return Repeated
	}
	if g.draining {
		return Draining
	}
	if age := g.Stamp(now) - d.Stamp; age > g.cfg.StampMaxAge || age > d.StartWithin {
		return Stale
	}
	if d.Idempotent {
		return NoReason
	}
	return g.membershipReason(now, d)
}

// membershipReason returns why to refuse non-idempotent work whose job may have
// been claimed without asking this agent, or NoReason.
func (g *Gate) membershipReason(now time.Time, d *Dispatch) Reason {
	switch {
	case g.joined == 0:
		return Unlisted
	case d.Registry < g.joined:
		return OldRegistry
	case d.Ballot.Zero() && g.Young(now):
		return Young
	}
	return NoReason
}

// claimBlocks reports whether the claim marker m prevents the start of d.
func claimBlocks(m Ballot, d *Dispatch) bool {
	if m.Zero() {
		return false
	}
	return m.Entry != d.Entry || d.Ballot.Less(m)
}

func (g *Gate) start(now time.Time, id TaskID) {
	j := g.touchJob(now, id.Job)
	j.tasks[taskRef{id.Rerun, id.Index}] = &Report{Task: id, Phase: Running}
	j.running++
	g.running++
}

// Finish records the end of a task that was started.
func (g *Gate) Finish(now time.Time, report Report) {
	recorded := g.findReport(report.Task)
	if recorded == nil || recorded.Phase != Running {
		return
	}
	*recorded = report
	j := g.touchJob(now, report.Task.Job)
	j.running--
	g.running--
}

// Abort removes the record of a start that provably did not reach the target,
// and closes the attempt.
func (g *Gate) Abort(now time.Time, d *Dispatch) Decision {
	recorded := g.findReport(d.Task)
	if recorded == nil || recorded.Phase != Running {
		return Decision{Verdict: Refused, Reason: Repeated}
	}
	j := g.jobs[d.Task.Job]
	delete(j.tasks, taskRef{d.Task.Rerun, d.Task.Index})
	j.running--
	g.running--
	g.close(now, d.Entry, d.Attempt)
	return Decision{Verdict: Refused, Reason: TargetDown}
}

// Seal closes the attempts in s and returns the state of their tasks.
func (g *Gate) Seal(now time.Time, s *Seal) []Decision {
	g.Expire(now)
	decisions := make([]Decision, len(s.Items))
	for i, item := range s.Items {
		decisions[i] = g.sealOne(now, s, item)
	}
	return decisions
}

func (g *Gate) sealOne(now time.Time, s *Seal, item SealItem) Decision {
	if !g.answersFor(s.Agent) {
		return Decision{Verdict: Lost}
	}
	if report := g.findReport(item.Task); report != nil {
		return Decision{Verdict: Recorded, Report: *report}
	}
	if !g.close(now, s.Entry, item.Attempt) {
		return Decision{Verdict: Sealed, Reason: Repeated}
	}
	return Decision{Verdict: Sealed}
}

func (g *Gate) answersFor(id string) bool {
	if id == g.id {
		return true
	}
	_, ok := g.adoptedUntil[id]
	return ok
}

func (g *Gate) findReport(id TaskID) *Report {
	j := g.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.tasks[taskRef{id.Rerun, id.Index}]
}

func (g *Gate) marker(k job.Key) Ballot {
	if j := g.jobs[k]; j != nil {
		return j.marker
	}
	return Ballot{}
}

// touchJob returns the record of a job, which it creates if needed, and marks it
// as changed now.
func (g *Gate) touchJob(now time.Time, k job.Key) *jobRecord {
	j := g.jobs[k]
	if j == nil {
		j = &jobRecord{tasks: make(map[taskRef]*Report)}
		g.jobs[k] = j
		g.expiries = append(g.expiries, expiry{due: now.Add(g.cfg.Window), job: k})
	}
	j.touchedAt = now
	return j
}

// close prevents the attempt from ever starting. It reports false if the
// attempt was already closed.
func (g *Gate) close(now time.Time, entry string, n uint64) bool {
	a := attempt{entry, n}
	if _, ok := g.closed[a]; ok {
		return false
	}
	g.closed[a] = struct{}{}
	g.expiries = append(g.expiries, expiry{due: now.Add(g.cfg.Window), attempt: a})
	return true
}
