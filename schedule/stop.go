package schedule

import (
	"time"

	"masticbay/work"
)

// stopAll stops the runs of a job that are expected to go on for longer than
// remaining; zero stops all of them.
func (c *Core) stopAll(now time.Time, j *job, remaining time.Duration) {
	for i := range j.tasks {
		for k := range j.tasks[i] {
			t := &j.tasks[i][k]
			if t.state == placed && (remaining == 0 || now.Add(remaining).Before(t.startedAt.Add(t.expected))) {
				c.stopTask(j, i, k)
			}
		}
	}
}

// stopTask orders a stop of a task's current run, once.
func (c *Core) stopTask(j *job, slot, index int) {
	t := &j.tasks[slot][index]
	if t.stopping {
		return
	}
	t.stopping = true
	c.orderStop(t.agent, j.currentRun(slot, index))
}

// orderStop adds an order to an agent to stop a run.
func (c *Core) orderStop(agent string, r work.Run) {
	if c.decisions.Stops == nil {
		c.decisions.Stops = make(map[string][]work.Run)
	}
	c.decisions.Stops[agent] = append(c.decisions.Stops[agent], r)
}
