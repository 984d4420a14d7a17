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
			if t.state == placed && (rest == 0 || now.Add(rest).Before(t.began.Add(t.expected))) {
				c.stop(j, i, k)
			}
		}
	}
}

func (c *Core) stop(j *job, step, index int) {
	t := &j.tasks[step][index]
	if t.stopping {
		return
	}
	t.stopping = true
	c.order(t.agent, j.ref(step, index))
}

// order orders an agent to stop a run.
func (c *Core) order(agent string, r work.Run) {
	if c.out.Stops == nil {
		c.out.Stops = make(map[string][]work.Run)
	}
	c.out.Stops[agent] = append(c.out.Stops[agent], r)
}
