package schedule

import (
	"math"
	"slices"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// What answers workers that turn slow under load. Ends tell it late, since runs
// there take long: until the first of them end, a worker's slots fill with tasks
// again and again. Progress tells it after some tens of milliseconds.

// A worker counts as slow when runs of slowJobs jobs go slowly there, and these
// are at least half of its runs that are not young and of those that ended as
// expected a moment ago; without the latter, what is left of runs would be those
// with wrong estimates. One job proves nothing: the estimates of its tasks are
// wrong together.
const (
	minSlowJobs  = 2
	matureAge    = 60 * time.Millisecond  // within it a slow run may not current been seen as such
	recentWindow = 200 * time.Millisecond // about the time of a task
)

// normalEnds are the times at which runs ended about as expected, a moment ago.
type normalEnds []time.Time

func (s *normalEnds) add(now time.Time, took, expected time.Duration) {
	if float64(took) <= worker.SlowTimes*float64(expected) {
		s.countRecent(now)
		*s = append(*s, now)
	}
}

// countRecent forgets what is older than recentEnds, and returns how many are left.
func (s *normalEnds) countRecent(now time.Time) int {
	*s = slices.DeleteFunc(*s, func(at time.Time) bool { return now.Sub(at) > recentWindow })
	return len(*s)
}

// slowdownExpiry is how long after the last sign a worker counts as slow. Then a few
// tasks find out.
const slowdownExpiry = 1500 * time.Millisecond

// detectStraggler takes the projections of runs that go far slower than expected.
func (c *Core) detectStraggler(now time.Time, t *target, slow []Projection) {
	jobs := make(map[string]bool)
	sum, n := 0.0, 0
	for _, p := range slow {
		if tk := c.placedTask(t, p.Run); tk != nil && tk.expected > 0 {
			jobs[p.Run.Task.Job] = true
			sum += math.Log(float64(p.Took) / float64(tk.expected) * tk.slowdown)
			n++
		}
	}
	if len(jobs) < minSlowJobs || 2*n < c.countMatureRuns(now, t)+t.normalRuns.countRecent(now) {
		return
	}
	slowdown := math.Exp(sum / float64(n))
	if t.slowdown == 1 {
		c.addNote(Note{Agent: t.agent, What: "workerSlow", Why: "runs of several jobs go slower than expected",
			Values: map[string]float64{"times": slowdown, "slowRuns": float64(n), "runs": float64(len(t.runs))}})
	}
	t.slowdown, t.lastSlow = max(slowdown, 1), now
	for _, p := range slow {
		c.moveStraggler(now, t, p)
	}
}

// placedTask returns the task of a run that is at work on a worker, or nil.
func (c *Core) placedTask(t *target, r work.Run) *task {
	current, ok := t.runs[r.Task]
	j := c.jobs[r.Task.Job]
	if !ok || current != r || j == nil {
		return nil
	}
	return &j.tasks[j.Slot(r.Task)][r.Task.Index]
}

// countMatureRuns returns how many runs on a worker are not young.
func (c *Core) countMatureRuns(now time.Time, t *target) (n int) {
	for _, r := range t.runs {
		if tk := c.placedTask(t, r); tk != nil && now.Sub(tk.startedAt) > matureAge {
			n++
		}
	}
	return n
}

// stopCost is what it costs to move a run: the worker takes up to 50 ms to stop
// it, and messages go to and fro.
const stopCost = 60 * time.Millisecond

// moveStraggler stops a run on a slow worker that would miss the objective there and end
// clearly sooner on another worker with room.
func (c *Core) moveStraggler(now time.Time, t *target, p Projection) {
	tk := c.placedTask(t, p.Run)
	j := c.jobs[p.Run.Task.Job]
	if tk == nil || tk.stopping || j.answered {
		return
	}
	left := tk.startedAt.Add(p.Took).Sub(now)
	if !now.Add(left).After(j.objective) {
		return
	}
	step := j.Step(j.Slot(p.Run.Task))
	if step.Gang {
		return // its other members would end, too
	}
	nominal := c.expectedTime(j, j.Slot(p.Run.Task))
	for _, o := range c.openTargets(now) {
		there := stopCost + time.Duration(float64(nominal)*o.slowness()*c.distanceFactor(step, o))
		if o == t || !c.isEligible(j, j.Slot(p.Run.Task), o) || !o.free().Holds(step.Room) || minMoveGain*there > left {
			continue
		}
		c.addNote(Note{Job: j.ID, Agent: t.agent, Run: p.Run, What: "runMoved", Why: "its worker is slow",
			Values: map[string]float64{"leftMs": ms(left), "thereMs": ms(there), "ranMs": ms(now.Sub(tk.startedAt))}})
		j.avoidAgent(t.agent)
		c.stopTask(j, j.Slot(p.Run.Task), p.Run.Task.Index)
		return
	}
}

// minMoveGain is how many times as long a run has to go on as it would take
// elsewhere, stop included, to be moved.
const minMoveGain = 2

// expireSlowdowns lets workers count as usual of whose slowness nothing was seen for
// long.
func (c *Core) expireSlowdowns(now time.Time) {
	for _, name := range c.agentNames {
		if t := c.targets[name]; t.slowdown > 1 && now.Sub(t.lastSlow) > slowdownExpiry {
			t.slowdown = 1
		}
	}
}
