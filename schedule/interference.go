package schedule

import (
	"math"
	"time"

	"masticbay/interference"
	"masticbay/work"
)

// recordBeside adds a run that is done to the evidence on interference. After the last task of
// a step the evidence is complete. It is called before the slowness of the worker is updated.
func (c *Core) recordBeside(now time.Time, t *target, j *job, slot, index int, took time.Duration) {
	tk := &j.tasks[slot][index]
	if j.Step(slot).Gang {
		return // its tasks are done together, whatever their run times
	}
	if took > 0 && tk.expected > 0 && tk.slowdown == 1 && t.slowdown == 1 && !tk.wasCold {
		if j.doneRuns == nil {
			j.doneRuns = make(map[int][]interference.Run)
		}
		j.doneRuns[slot] = append(j.doneRuns[slot], interference.Run{
			Worker: t.agent, Class: t.kind(), Residual: math.Log(float64(took) / float64(tk.expected)), Beside: tk.beside})
	}
	if j.unfinished[slot] > 1 {
		return
	}
	runs := j.doneRuns[slot]
	delete(j.doneRuns, slot)
	if len(runs) > 1 {
		c.notePairs(c.pairs.Observe(now, j.Queue.Name, runs))
	}
}

// kindsOn returns the kinds of the tasks that run on a worker.
func (c *Core) kindsOn(t *target) (kinds interference.Set) {
	for ref := range t.runs {
		if j, ok := c.jobs[ref.Job]; ok {
			kinds |= c.pairs.Kind(j.Queue.Name)
		}
	}
	return kinds
}

// notePairs adds log notes on pairs that were found or dropped.
func (c *Core) notePairs(changes []interference.Change) {
	for _, ch := range changes {
		kind := "interferenceDropped"
		if ch.Found {
			kind = "interferenceFound"
		}
		c.addNote(Note{Kind: kind, Reason: ch.Kind + " beside " + ch.Beside,
			Values: map[string]float64{"factor": ch.Factor, "confidence": ch.Confidence, "jobs": float64(ch.Jobs)}})
	}
}

// InterferingPairs returns the found pairs of highest confidence, at most limit.
func (c *Core) InterferingPairs(limit int) []interference.Pair { return c.pairs.Export(limit) }

// NumInterferingPairs returns the number of found pairs.
func (c *Core) NumInterferingPairs() int { return c.pairs.NumFound() }

// ImportPairs takes the pairs that another home has found.
func (c *Core) ImportPairs(now time.Time, pairs []interference.Pair) {
	c.notePairs(c.pairs.Import(now, pairs))
}

// conflict is the interference that a new task would have with the tasks on a worker. The
// zero value is none.
type conflict struct {
	level  conflictLevel
	factor float64 // log of the factors of both directions
	own    float64 // log of the factor on the new task
}

type conflictLevel int

const (
	noConflict   conflictLevel = iota
	slower                     // tasks run longer, all in time
	delaysOthers               // the new task would make a running one late
	delaysItself               // the new task would be late
)

// isLess reports whether c is to be preferred to o.
func (c conflict) isLess(o conflict) bool {
	return c.level < o.level || c.level == o.level && c.factor < o.factor
}

// stretch returns the run time of the new task.
func (c conflict) stretch(expected time.Duration) time.Duration {
	if c.own == 0 {
		return expected
	}
	return time.Duration(float64(expected) * math.Exp(c.own))
}

// conflictOn returns the interference of a new task with those on a worker, on which it would
// be expected to take a time if it ran alone.
func (c *Core) conflictOn(now time.Time, j *job, t *target, expected time.Duration) (x conflict) {
	if !c.pairs.Concerns(j.Queue.Name) {
		return x
	}
	kinds := c.kindsOn(t)
	x.own = math.Log(c.pairs.Factor(j.Queue.Name, kinds))
	x.factor = x.own
	newKind := c.pairs.Kind(j.Queue.Name)
	for _, r := range t.sortedRuns() {
		o := c.jobs[r.Task.Job]
		if o == nil || o.answered {
			continue
		}
		f := c.pairs.Factor(o.Queue.Name, newKind)
		if f <= 1 {
			continue
		}
		x.factor += math.Log(f)
		if c.becomesLate(now, t, o, r, f) {
			x.level = delaysOthers
		}
	}
	switch {
	case x.own > 0 && !c.slackOf(now, j).meetsObjective(x.stretch(expected)):
		x.level = delaysItself
	case x.factor > 0:
		x.level = max(x.level, slower)
	}
	return x
}

// becomesLate reports whether a run that is expected to be in time would be late if the rest of
// it took longer by a factor.
func (c *Core) becomesLate(now time.Time, t *target, j *job, r work.Run, factor float64) bool {
	tk := c.placedTask(t, r)
	if tk == nil || j.Lasts {
		return false
	}
	remaining := max(tk.startedAt.Add(tk.expected).Sub(now), 0)
	return !now.Add(remaining).After(j.objective) && now.Add(time.Duration(float64(remaining)*factor)).After(j.objective)
}
