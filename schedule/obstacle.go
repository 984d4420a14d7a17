package schedule

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticbay/work"
)

// This file decides whether a task may start on a worker, and what keeps it from doing so. Some
// obstacles are mere preferences: a task that they keep waiting starts in spite of them after
// maxPreferenceWait, or at once if no other worker can run it. A task with few attempts waits in
// any case for as long as another worker of its kind exists: repeated at once on the worker where
// it failed, it would mostly fail again.

// obstacle is what keeps a task from starting on a worker.
type obstacle int

const (
	noObstacle obstacle = iota
	// The preferences, the weakest first.
	unproven   // a run of the job failed, and the worker has done none lately
	failedHere // a run of the job failed or stalled on the worker
	ejected    // runs fail on the worker
	// These obstacles pass by themselves, unless the runs on the worker last.
	noRoom
	atLimit   // the worker has as many tasks of the step as it may
	slowStart // it is cold and got as many runs as it may
	backingOff
	// These don't pass, as far as the home knows.
	unusable    // out of contact, draining, or another home's
	evacuated   // its data centre is
	unconfirmed // its agent has not confirmed the tenure
	tooSmall
	noLabel
	otherService
)

var obstacleNames = [...]string{
	noObstacle: "free", unproven: "unproven", failedHere: "failed here", ejected: "ejected", noRoom: "no room", atLimit: "at the limit",
	slowStart: "slow start", backingOff: "refuses", unusable: "not usable", evacuated: "evacuated", unconfirmed: "tenure not confirmed",
	tooSmall: "too small", noLabel: "without the label", otherService: "other service",
}

func (o obstacle) String() string { return obstacleNames[o] }

func (o obstacle) isPreference() bool { return o >= unproven && o <= ejected }

// maxPreferenceWait is the time for which a task that could start waits for a better worker.
const maxPreferenceWait = 2500 * time.Millisecond

// obstacle returns the worst obstacle of a task of a slot on a worker.
func (c *Core) obstacle(now time.Time, j *job, slot int, t *target) obstacle {
	switch o := c.obstacleOfKind(j, j.Step(slot), t); {
	case o != noObstacle:
		return o
	case c.isEvacuated(t):
		return evacuated
	case !c.isUsable(now, t):
		return unusable
	case !now.After(t.backoffUntil):
		return backingOff
	}
	return c.obstacleOnOpen(now, j, slot, t)
}

// obstacleOnOpen is obstacle for a worker that openTargets or probeTargets has returned.
func (c *Core) obstacleOnOpen(now time.Time, j *job, slot int, t *target) obstacle {
	step := j.Step(slot)
	if o := c.obstacleOfKind(j, step, t); o != noObstacle {
		return o
	}
	switch {
	case !t.mayStart():
		return slowStart
	case step.MaxPerOne > 0 && t.countOf(j, slot) >= step.MaxPerOne:
		return atLimit
	case !t.free().Holds(step.Room):
		return noRoom
	}
	return c.preferenceAgainst(now, j, step, t)
}

// obstacleOfKind returns what keeps all tasks of a step from a worker, whatever runs there.
func (c *Core) obstacleOfKind(j *job, step *work.Step, t *target) obstacle {
	switch {
	case j.Stored && !c.tenureConfirmedBy(t):
		return unconfirmed
	case t.Service != j.Queue.Service:
		return otherService
	case !t.Capacity.Holds(step.Room):
		return tooSmall
	case step.Label != "" && !slices.Contains(t.Labels, step.Label):
		return noLabel
	}
	return noObstacle
}

// preferenceAgainst returns why tasks of a job should rather start on another worker.
func (c *Core) preferenceAgainst(now time.Time, j *job, step *work.Step, t *target) obstacle {
	switch {
	case c.ejection.Ejected(t.agent) && !c.mayProbe(now, j, step, t):
		return ejected
	case j.avoid[t.agent]:
		return failedHere
	case j.failures > 0 && !c.ejection.Ejected(t.agent) && !c.ejection.Trusted(now, t.agent):
		return unproven
	}
	return noObstacle
}

// countOf returns how many tasks of a slot a worker has, those that are being placed included.
func (t *target) countOf(j *job, slot int) int {
	n := t.planned
	for ref := range t.runs {
		if ref.Job == j.ID && j.Slot(ref) == slot {
			n++
		}
	}
	return n
}

// mayOverride reports whether a task of a slot may start on a worker in spite of a preference. On
// an ejected worker it does not spend an attempt unless a probe is due; a task that lasts has
// none to spend.
func (c *Core) mayOverride(now time.Time, j *job, slot int, t *target, preference obstacle) bool {
	if c.hasWaited(now, j, slot) {
		return preference != ejected || j.Lasts || c.ejection.RetryDue(now, t.agent) || !c.hasSound(now, j, slot)
	}
	if preference == ejected {
		return !c.hasSound(now, j, slot)
	}
	return !c.hasOther(t, func(o *target) bool { return c.mayGetBetter(now, j, slot, o, preference) })
}

// hasWaited reports whether a task of a slot has waited for as long as preferences hold.
func (c *Core) hasWaited(now time.Time, j *job, slot int) bool {
	return now.Sub(j.readySince(slot)) >= maxPreferenceWait
}

// hasSound reports whether a worker that is not ejected could run tasks of a slot if it were idle.
func (c *Core) hasSound(now time.Time, j *job, slot int) bool {
	return c.hasOther(nil, func(o *target) bool {
		return !c.ejection.Ejected(o.agent) && c.isUsable(now, o) && c.obstacleOfKind(j, j.Step(slot), o) == noObstacle
	})
}

// mayGetBetter reports whether a worker can start a task of a slot, now or once its obstacle has
// passed, with nothing against it but weaker preferences than the given one.
func (c *Core) mayGetBetter(now time.Time, j *job, slot int, t *target, preference obstacle) bool {
	step := j.Step(slot)
	o := c.obstacle(now, j, slot, t)
	switch o {
	case noRoom:
		if j.Lasts && !t.Capacity.Sub(c.usedForGood(t)).Holds(step.Room) {
			return false
		}
	case atLimit:
		if j.Lasts {
			return false
		}
	case slowStart, backingOff:
	case unusable:
		if j.Lasts || !c.mayReturn(now, t) {
			return false
		}
	default:
		return o < preference
	}
	return c.preferenceAgainst(now, j, step, t) < preference
}

// usedForGood returns the room on a worker that tasks which last take.
func (c *Core) usedForGood(t *target) (used work.Room) {
	for _, r := range t.runs {
		if j, ok := c.jobs[r.Task.Job]; ok && j.Lasts {
			used = used.Add(j.Step(j.Slot(r.Task)).Room)
		}
	}
	return used
}

// hasOther reports whether a worker other than t matches.
func (c *Core) hasOther(t *target, match func(*target) bool) bool {
	return slices.ContainsFunc(c.agentNames, func(name string) bool {
		o := c.targets[name]
		return o != t && match(o)
	})
}

// canStartElsewhere reports whether a task could start on a worker other than t at once.
func (c *Core) canStartElsewhere(now time.Time, j *job, slot int, t *target) bool {
	return c.hasOther(t, func(o *target) bool { return c.obstacle(now, j, slot, o) <= unproven })
}

// readySince returns when the first of the pending tasks of a slot became ready to start.
func (j *job) readySince(slot int) (since time.Time) {
	for k := range j.tasks[slot] {
		if t := &j.tasks[slot][k]; t.state == pending && (since.IsZero() || t.readySince.Before(since)) {
			since = t.readySince
		}
	}
	return since
}

// explainWaits adds a log note for each job of which a task waits for longer than preferences
// explain, once per wait.
func (c *Core) explainWaits(now time.Time) {
	for _, j := range c.waiting {
		if j.waitExplained {
			continue
		}
		for slot := range j.tasks {
			since := j.readySince(slot)
			if since.IsZero() || now.Sub(since) < maxPreferenceWait {
				continue
			}
			j.waitExplained = true
			c.addNote(Note{Job: j.ID, Kind: "taskWaits", Reason: c.explainWait(now, j, slot), Values: map[string]float64{
				"step": float64(slot % len(j.Steps)), "pending": float64(j.pending), "waitedMs": ms(now.Sub(since)), "workers": float64(len(c.agentNames)),
			}})
			break
		}
	}
}

// explainWait returns why the tasks of a slot wait: the obstacles and on how many workers each is.
func (c *Core) explainWait(now time.Time, j *job, slot int) string {
	switch {
	case c.placementHeld:
		return "the evacuated data centres are not known yet"
	case j.sealing != nil:
		return "an earlier run may be left"
	case j.Stored && !c.mayPlaceStored(now):
		return "the tenure does not allow starts yet"
	}
	var counts [len(obstacleNames)]int
	for _, name := range c.agentNames {
		counts[c.obstacle(now, j, slot, c.targets[name])]++
	}
	var found []obstacle
	for o, n := range counts {
		if n > 0 {
			found = append(found, obstacle(o))
		}
	}
	slices.SortStableFunc(found, func(a, b obstacle) int { return cmp.Compare(counts[b], counts[a]) })
	var b strings.Builder
	for i, o := range found {
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(o.String() + ": " + strconv.Itoa(counts[o]))
	}
	return b.String()
}
