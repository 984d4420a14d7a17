package schedule

import (
	"time"

	"masticbay/ejection"
	"masticbay/work"
	"masticbay/worker"
)

// This file connects the placement to package ejection: the ends of runs are its evidence,
// and a worker that is ejected gets one run at a time as a probe.

// Ejected returns the number of workers that are ejected.
func (c *Core) Ejected() int { return c.ejection.Count() }

// recordDone records a run that was done as evidence for its worker.
func (c *Core) recordDone(now time.Time, t *target, j *job, r work.Run) {
	if c.ejection.Done(now, t.agent, j.Queue.Name, r, j.task(r).startedAt) {
		c.addNote(Note{Job: j.ID, Agent: t.agent, Run: r, Kind: "workerReadmitted", Reason: "its probe was done"})
	}
}

// recordFailure records a run that failed or made no progress.
func (c *Core) recordFailure(now time.Time, t *target, j *job, r work.Run) {
	j.failures++
	c.ejection.Failed(now, t.agent, j.Queue.Name, r, j.task(r).startedAt)
	c.reviewWorkers(now)
}

// recordUnproven records a run that neither was done nor failed.
func (c *Core) recordUnproven(now time.Time, t *target, j *job, e *Event) {
	if e.End == work.Done || e.End == work.Failed {
		return
	}
	switch {
	case e.End == work.Lapsed && e.Reason == worker.Unlisted:
		c.recordFailure(now, t, j, e.Run) // the worker has answered falsely
		j.avoidAgent(t.agent)
		return
	case e.End == work.Lapsed && e.Reason == worker.Unanswering:
		c.ejection.Lost(now, t.agent)
	}
	c.ejection.Unproven(now, t.agent, e.Run)
}

// recordIncarnation records that another incarnation of a worker, or another worker, runs.
func (c *Core) recordIncarnation(now time.Time, t *target, reported *work.Target) {
	switch {
	case t.ID != "" && reported.ID != t.ID:
		c.ejection.Forget(t.agent)
	case t.Born != 0 && reported.Born > t.Born:
		c.ejection.Restarted(now, t.agent)
	}
}

// reviewWorkers ejects workers on the evidence of their runs.
func (c *Core) reviewWorkers(now time.Time) {
	if !c.ejection.HasSuspects(now) {
		return
	}
	var services []string
	loads := make(map[string][]ejection.Load)
	for _, name := range c.agentNames {
		t := c.targets[name]
		if !c.isUsable(now, t) {
			continue
		}
		if _, ok := loads[t.Service]; !ok {
			services = append(services, t.Service)
		}
		loads[t.Service] = append(loads[t.Service], ejection.Load{Worker: name, Capacity: float64(t.Capacity.CPU), Used: float64(t.used.Add(t.usedByOthers).CPU)})
	}
	for _, service := range services {
		for _, change := range c.ejection.Review(now, loads[service]) {
			kind := "workerEjected"
			if !change.Ejected {
				kind = "ejectionPutOff"
			}
			c.addNote(Note{Agent: change.Worker, Kind: kind, Reason: change.Reason, Values: map[string]float64{
				"score": change.Score, "restCpu": change.Rest, "loadCpu": change.Load, "workers": float64(len(loads[service])), "ejected": float64(c.ejection.Count()),
			}})
		}
	}
}

// probeTargets returns the ejected workers that may get a run now.
func (c *Core) probeTargets(now time.Time) []*target {
	if c.ejection.Count() == 0 {
		return nil
	}
	var probes []*target
	for _, name := range c.agentNames {
		if t := c.targets[name]; c.ejection.Ejected(name) && c.isUsable(now, t) && now.After(t.backoffUntil) {
			probes = append(probes, t)
		}
	}
	return probes
}

// mayProbe reports whether a task of a job may run on an ejected worker as a probe: one that has
// further attempts. An attempt of a stored job is dearer, so such tasks leave the probe to others
// for storedProbeDelay.
func (c *Core) mayProbe(now time.Time, j *job, step *work.Step, t *target) bool {
	if j.failures > 0 || j.Queue.MaxAttempts <= 1 || step.Gang || j.Lasts {
		return false
	}
	if j.Stored {
		now = now.Add(-storedProbeDelay)
	}
	return c.ejection.ProbeDue(now, t.agent)
}

// storedProbeDelay is the time for which a probe that is due is left to jobs that are not stored.
const storedProbeDelay = time.Second
