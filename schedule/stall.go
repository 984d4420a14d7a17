package schedule

import (
	"time"

	"masticbay/work"
)

// A run that makes progress is given up when it takes this many times as long
// as expected, and then another worker tries. Estimates are off by up to four
// times, and slow workers take up to seven times as long.
const (
	stallFactor = 12
	stallLeast  = time.Second
)

// stopStalled stops runs that take far longer than expected.
func (c *Core) stopStalled(now time.Time) {
	for _, name := range c.names {
		t := c.targets[name]
		if len(t.runs) == 0 {
			continue
		}
		for _, r := range t.sorted() {
			j, ok := c.jobs[r.Task.Job]
			if !ok || j.Lasts {
				continue
			}
			tk := &j.tasks[j.Slot(r.Task)][r.Task.Index]
			limit := max(stallFactor*tk.expected, stallLeast)
			if !tk.stopping && now.Sub(tk.began) > limit && now.Sub(t.heard) < c.cfg.Suspect {
				c.giveUp(now, t, j, r, "takes far longer than expected")
			}
		}
	}
}

func (c *Core) giveUp(now time.Time, t *target, j *job, r work.Run, why string) {
	tk := &j.tasks[j.Slot(r.Task)][r.Task.Index]
	c.note(Note{Job: j.ID, Agent: t.agent, Run: r, What: "runGivenUp", Why: why,
		Values: map[string]float64{"ranMs": ms(now.Sub(tk.began)), "expectedMs": ms(tk.expected)}})
	j.shun(t.agent)
	c.blame(now, t)
	c.stop(j, j.Slot(r.Task), r.Task.Index)
}

// observe gives up runs that make no progress.
func (c *Core) observe(now time.Time, t *target, idle []work.Run) {
	for _, r := range idle {
		have, ok := t.runs[r.Task]
		j := c.jobs[r.Task.Job]
		if !ok || have != r || j == nil || j.Lasts {
			continue
		}
		tk := &j.tasks[j.Slot(r.Task)][r.Task.Index]
		if !tk.stopping {
			c.giveUp(now, t, j, r, "makes no progress")
		}
	}
}
