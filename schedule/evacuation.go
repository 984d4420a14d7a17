package schedule

import (
	"slices"
	"time"

	"masticbay/evacuation"
	"masticbay/work"
)

// A data centre that is evacuated gets no new task. Its runs go on to their end, except
// those of lasting jobs, which have none and are moved.

// HoldPlacement keeps all tasks waiting until SetEvacuated is called: a home that has just
// started does not know which data centres are evacuated.
func (c *Core) HoldPlacement() { c.placementHeld = true }

// PlacementHeld reports whether tasks wait for SetEvacuated.
func (c *Core) PlacementHeld() bool { return c.placementHeld }

// SetEvacuated sets which data centres are evacuated. Tasks that wait for their workers are
// placed elsewhere, and jobs that no other worker can run are rejected.
func (c *Core) SetEvacuated(now time.Time, set evacuation.Set) {
	c.placementHeld, c.evacuated = false, set
	for _, d := range c.demand {
		d.capacity = nil // counted anew
	}
	for _, name := range c.agentNames {
		c.stopLasting(now, c.targets[name])
	}
	c.placeWaiting(now)
	c.rejectHopeless(now)
}

// isEvacuated reports whether a worker is in an evacuated data centre, as this home or the
// worker's agent knows.
func (c *Core) isEvacuated(t *target) bool {
	return t.saysEvacuated || c.evacuated.Has(t.Zone)
}

// needsEvacuated reports whether all workers that could run some task of a job are evacuated.
func (c *Core) needsEvacuated(now time.Time, j *job, capacity *serviceCapacity) bool {
	if capacity.evacuated == 0 || now.Before(c.startupUntil) {
		return false
	}
	if capacity.others == 0 {
		return true
	}
	return slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Label != "" && c.onlyEvacuatedSuit(now, j, &s) })
}

// onlyEvacuatedSuit reports whether all workers that could run tasks of a step are evacuated.
func (c *Core) onlyEvacuatedSuit(now time.Time, j *job, step *work.Step) bool {
	found := false
	for _, name := range c.agentNames {
		t := c.targets[name]
		if c.obstacleOfKind(j, step, t) != noObstacle {
			continue
		}
		if !c.isEvacuated(t) {
			if c.mayReturn(now, t) {
				return false
			}
			continue
		}
		found = true
	}
	return found
}

// mayReturn reports whether a worker that gets no task at present may get some soon: it has
// not left, and is not lost.
func (c *Core) mayReturn(now time.Time, t *target) bool {
	return !t.excluded && !t.Draining && now.Sub(t.lastContact) <= c.cfg.RunsLostAfter
}
