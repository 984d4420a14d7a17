package schedule

import (
	"slices"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// Report is what an agent tells about itself and its worker.
type Report struct {
	Life    string // incarnation of the agent
	Target  work.Target
	Ready   bool      // it takes starts
	Settled bool      // nothing runs there that this incarnation did not start
	Others  work.Room // that runs of other entries take
	Pace    Pace      // as the agent has seen it; told at the first contact
	Events  []Event
	Idle    []work.Run   // runs that are not young and have made no progress
	Slow    []Projection // runs that go far slower than expected
	Epoch   uint64       // of the tenure that the agent obeys
	Asked   bool         // Kept was asked for and is complete
	Kept    []Kept       // runs of stored jobs
}

// Event tells how a run ended.
type Event = worker.Event

// Pace is how long the worker's runs take against their estimates.
type Pace = worker.Pace

// Projection is how long a run that goes slowly will take at least.
type Projection = worker.Projection

// ReportOf returns what the guard of a worker has to tell a home, but for the
// incarnation of the agent.
func ReportOf(g *worker.Guard, home string, acked uint64) Report {
	t, serves := g.Target()
	_, others := g.Used(home)
	return Report{
		Epoch:  g.Epoch(),
		Target: t, Ready: serves && !g.Silent() && !g.Lapsing(), Settled: g.Settled() && !g.Lapsing(), Others: others,
		Pace: g.Pace(), Idle: g.Idle(home), Slow: g.Slow(home), Events: g.Events(home, acked),
	}
}

// startupTime is how long after a worker came into contact more are expected.
// Until then no job is turned away for the work that waits before it.
const startupTime = 400 * time.Millisecond

// Report takes what an agent told.
func (c *Core) Report(now time.Time, agent string, r *Report) {
	t, ok := c.targets[agent]
	if !ok {
		t = &target{agent: agent, life: r.Life, baseSlowness: 1, slowdown: 1, runs: make(map[work.TaskRef]work.Run)}
		c.startupUntil = now.Add(startupTime)
		c.targets[agent] = t
		c.agentNames = append(c.agentNames, agent)
		slices.Sort(c.agentNames)
	}
	if t.life != r.Life {
		if !r.Settled {
			t.ready = false
			return // what it ran before may not have ended yet
		}
		c.lapseRuns(now, t, "agent started anew", true)
		t.life, t.lastSeq, t.confirmedEpoch, t.uncommitted = r.Life, 0, 0, nil
	}
	if t.Born != r.Target.Born {
		t.slowdown = 1
		t.logSlowness, t.consecutiveFailures = movingMean{n: min(r.Pace.Runs, speedWindow), value: r.Pace.Log}, 0
		t.updateSlowness()
	}
	more := r.Ready != t.ready || r.Target.Born != t.Born || r.Others != t.usedByOthers || now.Sub(t.lastContact) > c.cfg.Suspect
	t.Target, t.ready, t.usedByOthers, t.lastContact = r.Target, r.Ready, r.Others, now
	more = c.adopt(now, t, r) || more
	for _, e := range r.Events {
		if e.Seq > t.lastSeq {
			t.lastSeq = e.Seq
			c.applyEvent(now, t, e)
		}
	}
	c.stopLasting(t)
	c.takeStalled(now, t, r.Idle)
	c.detectStraggler(now, t, r.Slow)
	if more || len(r.Events) > 0 {
		c.placeWaiting(now)
	}
}

// Taken returns the number of the last event of an agent that was taken, and the
// incarnation of the agent that it belongs to.
func (c *Core) Taken(agent string) (life string, seq uint64) {
	if t, ok := c.targets[agent]; ok {
		return t.life, t.lastSeq
	}
	return "", 0
}

// Acked returns the number up to which an agent may forget its events.
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

// Lost tells that all runs at an agent have ended, as far as leases tell.
func (c *Core) expireAgents(now time.Time) {
	for _, name := range c.agentNames {
		t := c.targets[name]
		if now.Sub(t.lastContact) > c.cfg.Lost && len(t.runs) > 0 {
			c.lapseRuns(now, t, "agent out of contact", now.Sub(t.lastContact) > c.cfg.LostHeld)
		}
	}
	c.agentNames = slices.DeleteFunc(c.agentNames, func(name string) bool {
		t := c.targets[name]
		expired := now.Sub(t.lastContact) > agentRetention && len(t.runs) == 0
		if expired {
			delete(c.targets, name)
		}
		return expired
	})
}

// agentRetention is the silence after which nothing is kept about an agent.
const agentRetention = 30 * time.Second

// lapseRuns ends the runs at an agent, with or without those of stored jobs.
func (c *Core) lapseRuns(now time.Time, t *target, reason string, stored bool) {
	for _, r := range t.sortedRuns() {
		if j, ok := c.jobs[r.Task.Job]; ok && j.Stored && !stored {
			continue
		}
		c.applyEvent(now, t, Event{Run: r, End: work.Lapsed, Reason: reason})
	}
}

// Uses reports whether something runs at an agent.
func (c *Core) Uses(agent string) bool {
	t, ok := c.targets[agent]
	return ok && len(t.runs) > 0
}
