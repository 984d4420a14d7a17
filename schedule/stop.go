package schedule

import (
	"time"

	"masticbay/work"
)

// stopAll stops the runs of a job that are expected to have more than rest to go, or
// all of them.
func (c *Core) stopAll(now time.Time, j *job, rest time.Duration) {
	for i := range j.tasks {
		for k := range j.tasks[i] {
			t := &j.tasks[i][k]
			if t.state == placed && (rest == 0 || now.Add(rest).Before(t.startedAt.Add(t.expected))) {
				c.stopTask(j, i, k)
			}
		}
	}
}

func (c *Core) stopTask(j *job, slot, index int) {
	t := &j.tasks[slot][index]
	if t.stopping {
		return
	}
	t.stopping = true
	c.orderStop(t.agent, j.currentRun(slot, index))
}

// orderStop orders an agent to stop a run.
func (c *Core) orderStop(agent string, r work.Run) {
	if c.decisions.Stops == nil {
		c.decisions.Stops = make(map[string][]work.Run)
	}
	c.decisions.Stops[agent] = append(c.decisions.Stops[agent], r)
}
