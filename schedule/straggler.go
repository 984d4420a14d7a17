package schedule

import (
	"math"
	"slices"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// This file detects workers that become slow under load (stragglers). The ends of
// runs show it late, since runs on a slow worker take long: until the first of them
// end, its slots fill with tasks again and again. The progress of runs shows it after
// some tens of milliseconds.

// A worker counts as slow when runs of minSlowJobs jobs are slow there, and they are at
// least half of the sum of its mature runs and the runs that ended normally within
// recentWindow. The latter count because the runs that remain are mostly those with
// wrong estimates. One job proves nothing: the estimates of its tasks are wrong together.
const (
	minSlowJobs  = 2
	matureAge    = 60 * time.Millisecond  // a younger run may be slow without being detected
	recentWindow = 200 * time.Millisecond // about the run time of a task
)

// normalEnds holds the times at which runs ended about as expected, within recentWindow.
type normalEnds []time.Time

func (s *normalEnds) add(now time.Time, took, expected time.Duration) {
	if float64(took) <= worker.SlowFactor*float64(expected) {
		s.countRecent(now)
		*s = append(*s, now)
	}
}

// countRecent drops times older than recentWindow and returns how many are left.
func (s *normalEnds) countRecent(now time.Time) int {
	*s = slices.DeleteFunc(*s, func(at time.Time) bool { return now.Sub(at) > recentWindow })
	return len(*s)
}

// slowdownExpiry is how long a worker counts as slow after the last observation. Then
// a few tasks show whether it still is.
const slowdownExpiry = 1500 * time.Millisecond

// detectStraggler decides from the projections of slow runs whether a worker is slow,
// and moves such runs to other workers.
func (c *Core) detectStraggler(now time.Time, t *target, slow []Projection) {
	if len(slow) == 0 {
		return
	}
	jobs := make(map[string]bool)
	var factors []float64
	tail := 0.0
	for _, p := range slow {
		if tk := c.placedTask(t, p.Run); tk != nil && tk.expected > 0 {
			jobs[p.Run.Task.Job] = true
			factors = append(factors, float64(p.Took)/float64(tk.expected)*tk.slowdown)
			tail = max(tail, c.tailWhileRunning(p.Run.Task.Job, tk.expected))
		}
	}
	n := len(factors)
	active := c.countMatureRuns(now, t) + t.normalEnds.countRecent(now)
	if len(jobs) < minSlowJobs || 2*n < active {
		return
	}
	wasSuspect := now.Before(t.suspectUntil)
	t.suspectUntil = now.Add(recentWindow)
	if chance := atLeast(n, max(active, n), tail); chance > maxTailChance {
		if !wasSuspect {
			c.addNote(Note{Agent: t.agent, Kind: "tailSeen", Reason: "the tail of the queue explains the slow runs",
				Values: map[string]float64{"slowRuns": float64(n), "active": float64(active), "tailShare": tail, "chance": chance}})
		}
		return
	}
	slices.Sort(factors)
	slowdown := factors[n/2]
	if t.slowdown == 1 {
		c.addNote(Note{Agent: t.agent, Kind: "workerSlow", Reason: "runs of several jobs go slower than expected",
			Values: map[string]float64{"times": slowdown, "slowRuns": float64(n), "runs": float64(len(t.runs)), "tailShare": tail}})
	}
	t.slowdown, t.lastSlow = max(slowdown, 1), now
	for _, p := range slow {
		c.moveStraggler(now, t, p)
	}
}

// maxTailChance is the chance below which the slow runs of a worker are not explained by
// the tail of their queues. Two of two slow runs are beyond it where 3 in 100 tasks are
// in the tail.
const maxTailChance = 0.001

// tailWhileRunning returns the share of the active runs of a job's queue that are in the
// tail. It is more than the share of the tasks that are, as such runs take longer.
func (c *Core) tailWhileRunning(id string, expected time.Duration) float64 {
	learned := c.queueBias(c.jobs[id].Queue.Name).ratios
	tail := learned.tail
	if tail == 0 {
		return 0
	}
	times := (learned.slow*float64(expected) + float64(recentWindow)) / (float64(expected) + float64(recentWindow))
	return min(tail*times/(1-tail+tail*times), 1)
}

// atLeast returns the chance of k or more hits in n trials that hit with a probability.
func atLeast(k, n int, p float64) (sum float64) {
	term := math.Pow(1-p, float64(n)) // of exactly i hits
	if p <= 0 || p >= 1 {
		return min(max(p, 0), 1)
	}
	for i := range n + 1 {
		if i >= k {
			sum += term
		}
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return sum
}

// slowRatio is the ratio of run time to expected time from which agents report a run as
// slow; assumedSlowShare of the runs are above it by wrong estimates alone.
const (
	slowRatio        = worker.SlowFactor
	assumedSlowShare = 0.02
)

// placedTask returns the task of a run that is on a worker, or nil.
func (c *Core) placedTask(t *target, r work.Run) *task {
	current, ok := t.runs[r.Task]
	j := c.jobs[r.Task.Job]
	if !ok || current != r || j == nil {
		return nil
	}
	return &j.tasks[j.Slot(r.Task)][r.Task.Index]
}

// countMatureRuns returns how many runs on a worker are older than matureAge.
func (c *Core) countMatureRuns(now time.Time, t *target) (n int) {
	for _, r := range t.runs {
		if tk := c.placedTask(t, r); tk != nil && now.Sub(tk.startedAt) > matureAge {
			n++
		}
	}
	return n
}

// stopCost is the time that moving a run costs: the worker takes up to 50 ms to stop
// it, and messages are exchanged.
const stopCost = 60 * time.Millisecond

// moveStraggler stops a run that would miss the objective on its slow worker and
// would end clearly sooner on another worker with free capacity.
func (c *Core) moveStraggler(now time.Time, t *target, p Projection) {
	tk := c.placedTask(t, p.Run)
	j := c.jobs[p.Run.Task.Job]
	if tk == nil || tk.stopping || j.answered {
		return
	}
	remaining := tk.startedAt.Add(p.Took).Sub(now)
	if !now.Add(remaining).After(j.objective) {
		return
	}
	step := j.Step(j.Slot(p.Run.Task))
	if step.Gang {
		return // the other members of the gang would end, too
	}
	// What remains of the factor beside the worker's slowdown is the task's own work,
	// which it takes with it.
	ownWork := max(float64(p.Took)/float64(tk.expected)*tk.slowdown/t.slowdown, 1)
	baseTime := time.Duration(float64(c.expectedTime(j, j.Slot(p.Run.Task))) * ownWork)
	for _, o := range c.openTargets(now) {
		elsewhere := stopCost + time.Duration(float64(baseTime)*o.slowness()*c.distanceFactor(step, o))
		if o == t || c.obstacleOnOpen(now, j, j.Slot(p.Run.Task), o) > unproven || minMoveGain*elsewhere > remaining {
			continue
		}
		c.addNote(Note{Job: j.ID, Agent: t.agent, Run: p.Run, Kind: "runMoved", Reason: "its worker is slow",
			Values: map[string]float64{"leftMs": ms(remaining), "thereMs": ms(elsewhere), "ranMs": ms(now.Sub(tk.startedAt))}})
		j.avoidAgent(t.agent)
		c.stopTask(j, j.Slot(p.Run.Task), p.Run.Task.Index)
		return
	}
}

// minMoveGain is the least ratio of a run's remaining time to its time on another
// worker, stop included, for which it is moved.
const minMoveGain = 2

// expireSlowdowns resets the slowdown of workers after slowdownExpiry.
func (c *Core) expireSlowdowns(now time.Time) {
	for _, name := range c.agentNames {
		if t := c.targets[name]; t.slowdown > 1 && now.Sub(t.lastSlow) > slowdownExpiry {
			t.slowdown = 1
		}
	}
}
