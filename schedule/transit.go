package schedule

import (
	"time"

	"masticbay/work"
)

// A worker may carry out a start late that it has not answered. Until that is ruled out, the agent does
// not report the run as ended, and the task starts nowhere else. If the run does not run
// meanwhile, its room is free for other tasks; see package worker.

// takeTransits applies what an agent reports on the starts in transit of runs of this home, and reports
// whether room of the worker has changed.
func (c *Core) takeTransits(now time.Time, t *target, r *Report) (changed bool) {
	t.transitVersion = max(t.transitVersion, r.TransitVersion)
	for _, tr := range r.Transits {
		j, ok := c.jobs[tr.Run.Task.Job]
		if !ok || t.runs[tr.Run.Task] != tr.Run || !j.HasTask(tr.Run.Task) {
			continue
		}
		tk := j.task(tr.Run)
		tk.transitUntil = time.Time{}
		if tr.Left > 0 {
			tk.transitUntil = now.Add(tr.Left)
		}
		changed = c.setIdle(now, t, j, tk, tr.Run, tr.Idle) || changed
	}
	return changed
}

// setIdle sets whether the run of a placed task does not run and takes no room, and reports whether
// that has changed.
func (c *Core) setIdle(now time.Time, t *target, j *job, tk *task, r work.Run, isIdle bool) bool {
	if tk.idle == isIdle {
		return false
	}
	tk.idle = isIdle
	step := j.Step(j.Slot(r.Task))
	c.countRunning(j, tk, -tk.speed)
	if !isIdle {
		t.occupy(step, tk, j.Lasts)
		return true
	}
	t.release(step, tk)
	c.ejection.Unproven(now, t.agent, r)
	c.addNote(Note{Job: j.ID, Agent: t.agent, Run: r, Kind: "runWaits", Reason: "a start of it may still be carried out",
		Values: map[string]float64{"leftMs": ms(tk.transitUntil.Sub(now)), "sinceStartMs": ms(now.Sub(tk.startedAt))}})
	return true
}

// heldRun is a run of a lost agent, of which a start may still be carried out.
type heldRun struct {
	agent  string
	run    work.Run
	until  time.Time
	reason string // why it then counts as lapsed
}

// holdTransit reports whether the run of a lost agent has to be awaited, as the agent has reported that
// a start of it may still be carried out.
func (c *Core) holdTransit(now time.Time, t *target, r work.Run, reason string) bool {
	j, ok := c.jobs[r.Task.Job]
	if !ok {
		return false
	}
	tk := j.task(r)
	if tk.isHeld {
		return true // endHeldRuns ends it
	}
	until := t.lastContact.Add(c.cfg.TransitTime)
	if c.cfg.TransitTime == 0 || !now.Before(tk.transitUntil) || !now.Before(until) {
		return false
	}
	c.setIdle(now, t, j, tk, r, true)
	tk.isHeld = true
	c.heldRuns = append(c.heldRuns, heldRun{t.agent, r, until, reason})
	return true
}

// endHeldRuns ends the runs that were held and of which no start can be carried out any more.
func (c *Core) endHeldRuns(now time.Time) {
	n := 0
	for _, h := range c.heldRuns {
		t, ok := c.targets[h.agent]
		switch {
		case !ok || t.runs[h.run.Task] != h.run:
		case now.Before(h.until):
			c.heldRuns[n] = h
			n++
		default:
			c.applyEvent(now, t, Event{Run: h.run, End: work.Lapsed, Reason: h.reason})
		}
	}
	c.heldRuns = c.heldRuns[:n]
}

// releaseRun accounts for the end of the run of a task.
func (c *Core) releaseRun(t *target, j *job, slot int, tk *task) {
	if !tk.idle {
		t.release(j.Step(slot), tk)
		c.countRunning(j, tk, -tk.speed)
	}
	tk.idle, tk.isHeld, tk.transitUntil = false, false, time.Time{}
}

// TransitVersion returns the version of the last report of an agent on starts in transit.
func (c *Core) TransitVersion(agent string) uint64 {
	if t, ok := c.targets[agent]; ok {
		return t.transitVersion
	}
	return 0
}
