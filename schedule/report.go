package schedule

import (
	"slices"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// Report is what an agent reports about itself and its worker.
type Report struct {
	Life    string // incarnation of the agent
	Target  work.Target
	Ready   bool      // it takes starts
	Settled bool      // no unknown runs: this incarnation has started all that run there
	Others  work.Room // used by runs of other entries
	Pace    Pace      // as the agent measured it; used at the first contact
	Events  []Event
	Idle    []work.Run   // stalled runs: mature, and without progress
	Slow    []Projection // runs that go far slower than expected
	// Transits holds the runs that have changed with regard to their starts in transit since the version
	// for which the home has asked, and TransitVersion the present one.
	Transits       []TransitRun
	TransitVersion uint64
	Epoch          uint64 // of the tenure that the agent obeys
	Asked          bool   // Kept was requested and is complete
	Kept           []Kept // inherited runs: those of stored jobs that a previous holder placed
	// Evacuated is set if the agent refuses starts because its data centre is evacuated.
	Evacuated bool
	// RunsOfOthers holds, by job, the highest number of a run that another home has ordered, stored
	// jobs aside. ListsAllRuns is set if no other home can start a run that is not in it.
	RunsOfOthers map[string]int
	ListsAllRuns bool
	// Follows is set if the agent follows this home, and FollowsOther if it refuses starts because it
	// follows another one.
	Follows, FollowsOther bool
	// AskedAt is when the home asked for the report. The home sets it.
	AskedAt time.Time
	// LeavesIn is the least time until a draining worker is removed, if KnowsLeave is set.
	LeavesIn   time.Duration
	KnowsLeave bool
	// ColdLeft is how much longer the worker is slow after its start.
	ColdLeft time.Duration
}

// Event reports how a run ended.
type Event = worker.Event

// Pace is how long the worker's runs take relative to their estimates.
type Pace = worker.Pace

// Projection is the least run time to expect of a slow run.
type Projection = worker.Projection

// TransitRun is a run of which a start may still be carried out.
type TransitRun = worker.TransitRun

// ReportOf returns the report of a worker's guard to a home, without the incarnation
// of the agent.
func ReportOf(g *worker.Guard, home string, acked uint64) Report {
	t, serves := g.Target()
	_, others := g.Used(home)
	return Report{
		Epoch: g.Epoch(), Evacuated: g.Evacuated(),
		RunsOfOthers: g.RunsOfOthers(home), ListsAllRuns: g.ListsAllRuns(home), Follows: g.Follows(home), FollowsOther: !g.TakesStartsOf(home),
		Target: t, Ready: serves && !g.OutOfContact() && !g.StartsHeld() && !g.RenewalPaused() && !g.LeaseWithheld(), Settled: g.Settled() && !g.RenewalPaused(), Others: others,
		Pace: g.Pace(), Idle: g.StalledRuns(home), Slow: g.Slow(home), Events: g.Events(home, acked),
	}
}

// Report applies the report of an agent. The caller must leave out reports that a later one of the
// agent has overtaken.
func (c *Core) Report(now time.Time, agent string, r *Report) {
	t, ok := c.targets[agent]
	if !ok {
		t = &target{agent: agent, life: r.Life, knownSince: now, baseSlowness: 1, slowdown: 1, runs: make(map[work.TaskRef]work.Run)}
		c.startupUntil = now.Add(startupTime)
		c.targets[agent] = t
		c.agentNames = append(c.agentNames, agent)
		slices.Sort(c.agentNames)
		c.requireSeals(agent)
		c.awaitNew(now, t)
	}
	if t.life != r.Life {
		if !r.Settled {
			t.ready = false
			return // runs of its previous incarnation may not have ended yet
		}
		c.awaitFollower(now, t)
		c.lapseRuns(now, t, "agent started anew", true)
		t.life, t.lastSeq, t.confirmedEpoch, t.uncommitted, t.knownSince, t.transitVersion = r.Life, 0, 0, nil, now, 0
		c.requireSeals(agent)
	}
	if t.Born != r.Target.Born {
		c.recordIncarnation(now, t, &r.Target)
		t.resetSlowness(now, r.Pace)
	}
	changed := c.takeRunList(now, t, r)
	changed = changed || r.Ready != t.ready || r.Target.Born != t.Born || r.Others != t.usedByOthers || r.Evacuated != t.saysEvacuated || now.Sub(t.lastContact) > c.cfg.SuspectAfter
	moved := !slices.Equal(t.Labels, r.Target.Labels)
	t.Target, t.ready, t.usedByOthers, t.saysEvacuated, t.lastContact = r.Target, r.Ready, r.Others, r.Evacuated, now
	if moved {
		c.assignRack(t)
	}
	c.reportCold(now, t, r.ColdLeft)
	confirmed := c.adopt(now, t, r)
	changed = confirmed || changed
	for _, e := range r.Events {
		// An end that was received before this home held the ledger was left to the next holder,
		// which may be this home.
		if e.Seq > t.lastSeq || confirmed && e.Stored {
			t.lastSeq = max(t.lastSeq, e.Seq)
			c.applyEvent(now, t, e)
		}
	}
	changed = c.takeTransits(now, t, r) || changed
	c.orderSeals(agent)
	c.stopLasting(now, t)
	c.recordLeave(now, t, r)
	c.takeStalled(now, t, r.Idle)
	c.detectStraggler(now, t, r.Slow)
	if changed {
		c.remeasure(t.Service)
	}
	if changed || len(r.Events) > 0 {
		c.placeWaiting(now)
	}
}

// Exclude sets whether new tasks are kept away from an agent, which then belongs to
// another home.
func (c *Core) Exclude(agent string, excluded bool) {
	if t, ok := c.targets[agent]; ok {
		t.excluded = excluded
	}
}

// LastReceived returns the sequence number of the last event received from an agent, and
// the incarnation of the agent that sent it.
func (c *Core) LastReceived(agent string) (life string, seq uint64) {
	if t, ok := c.targets[agent]; ok {
		return t.life, t.lastSeq
	}
	return "", 0
}

// Acked returns the sequence number up to which an agent may discard its events.
func (c *Core) Acked(agent string) uint64 {
	t, ok := c.targets[agent]
	switch {
	case !ok:
		return 0
	case len(t.uncommitted) > 0:
		return slices.Min(t.uncommitted) - 1
	}
	return t.lastSeq
}

// expireAgents ends the runs of agents that have been out of contact for longer than
// the leases of these runs, and deletes agents without runs after agentRetention.
func (c *Core) expireAgents(now time.Time) {
	for _, name := range c.agentNames {
		t := c.targets[name]
		if now.Sub(t.lastContact) > c.cfg.RunsLostAfter && len(t.runs) > 0 {
			c.lapseRuns(now, t, "agent out of contact", now.Sub(t.lastContact) > c.cfg.StoredRunsLostAfter)
		}
	}
	c.agentNames = slices.DeleteFunc(c.agentNames, func(name string) bool {
		t := c.targets[name]
		expired := now.Sub(t.lastContact) > agentRetention && len(t.runs) == 0
		if expired {
			delete(c.targets, name)
			c.ejection.Forget(name)
		}
		return expired
	})
}

// agentRetention is the time without contact after which an agent without runs is
// deleted.
const agentRetention = 30 * time.Second

// lapseRuns ends the runs at an agent as lapsed, with or without those of stored jobs.
func (c *Core) lapseRuns(now time.Time, t *target, reason string, includeStored bool) {
	for _, r := range t.sortedRuns() {
		if j, ok := c.jobs[r.Task.Job]; ok && j.Stored && !includeStored {
			continue
		}
		if c.holdTransit(now, t, r, reason) {
			continue
		}
		c.applyEvent(now, t, Event{Run: r, End: work.Lapsed, Reason: reason})
	}
}

// HasRuns reports whether an agent has runs of this home.
func (c *Core) HasRuns(agent string) bool {
	t, ok := c.targets[agent]
	return ok && len(t.runs) > 0
}
