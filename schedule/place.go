package schedule

import (
	"slices"
	"time"

	"masticbay/work"
)

// enqueue puts a job with tasks to place among those that wait.
func (c *Core) enqueue(j *job) {
	if j.waits || j.over || j.pending == 0 {
		return
	}
	j.waits = true
	i, _ := slices.BinarySearchFunc(c.waiting, j, before)
	c.waiting = slices.Insert(c.waiting, i, j)
}

// before orders jobs: those that can be in time first, by priority, then by the objective, then by name.
func before(a, b *job) int {
	switch {
	case a.late != b.late:
		if a.late {
			return 1
		}
		return -1
	case a.Queue.Priority != b.Queue.Priority:
		return a.Queue.Priority - b.Queue.Priority
	case !a.objective.Equal(b.objective):
		return a.objective.Compare(b.objective)
	case a.ID < b.ID:
		return -1
	default:
		return 1
	}
}

func (c *Core) dequeue(j *job) {
	if !j.waits {
		return
	}
	j.waits = false
	c.waiting = slices.DeleteFunc(c.waiting, func(o *job) bool { return o == j })
}

// place gives waiting tasks to workers with room.
func (c *Core) place(now time.Time) {
	open := c.open(now)
	if len(open) == 0 {
		return
	}
	most := mostFree(open)
	tenured := c.tenured(now)
	for i := 0; i < len(c.waiting); i++ {
		j := c.waiting[i]
		if j.leastCPU > most || j.Stored && !tenured {
			continue
		}
		if c.placeJob(now, j, open) {
			most = mostFree(open)
		}
		if j.pending == 0 {
			j.waits = false
			c.waiting = slices.Delete(c.waiting, i, i+1)
			i--
		}
	}
}

// open returns the workers that take starts.
func (c *Core) open(now time.Time) []*target {
	var open []*target
	for _, name := range c.names {
		t := c.targets[name]
		if c.usable(now, t) && now.After(t.resume) {
			open = append(open, t)
		}
	}
	return open
}

// usable reports whether a worker is in contact and serves.
func (c *Core) usable(now time.Time, t *target) bool {
	silence := max(c.cfg.Suspect, c.cfg.SuspectIdle)
	if len(t.runs) > 0 {
		silence = c.cfg.Suspect
	}
	return t.ready && !t.Draining && now.Sub(t.heard) <= silence
}

// mostFree returns the largest free processor room of any worker, so that jobs
// that can not fit anywhere are passed over quickly under load.
func mostFree(open []*target) int {
	most := 0
	for _, t := range open {
		most = max(most, t.free().CPU)
	}
	return most
}

// placeJob places what it can of a job and reports whether that was anything.
func (c *Core) placeJob(now time.Time, j *job, open []*target) bool {
	before := j.pending
	for i := range j.tasks {
		if j.Step(i).Gang {
			c.placeGang(now, j, i, open)
			continue
		}
		for k := range j.tasks[i] {
			if j.tasks[i][k].state != pending {
				continue
			}
			t := c.choose(now, j, i, open)
			if t == nil {
				break
			}
			c.assign(now, t, j, i, k, j.tasks[i][k].run+1)
		}
	}
	return j.pending < before
}

// placeGang places all tasks of a step under one run number, or none.
func (c *Core) placeGang(now time.Time, j *job, step int, open []*target) {
	number := 0
	for k := range j.tasks[step] {
		if j.tasks[step][k].state != pending {
			return
		}
		number = max(number, j.tasks[step][k].run+1)
	}
	chosen := make([]*target, 0, len(j.tasks[step]))
	for range j.tasks[step] {
		t := c.choose(now, j, step, open)
		if t == nil {
			break
		}
		t.used = t.used.Add(j.Step(step).Room)
		chosen = append(chosen, t)
	}
	for _, t := range chosen {
		t.used = t.used.Sub(j.Step(step).Room)
	}
	if len(chosen) < len(j.tasks[step]) {
		return
	}
	for k, t := range chosen {
		c.assign(now, t, j, step, k, number)
	}
}

// choose returns the slowest worker with room that still meets the objective.
// If only workers without room do, it returns nil: the task waits for one of
// them as long as that can still be in time. Else it returns the fastest one
// with room.
func (c *Core) choose(now time.Time, j *job, step int, open []*target) *target {
	st := j.Step(step)
	nominal := c.expect(j, step)
	var meets, fastest *target
	var meetsTime, fastestTime time.Duration
	worthWaiting := false
	for _, t := range open {
		if !c.suits(j, step, t) {
			continue
		}
		took := time.Duration(float64(nominal) * t.slowness() * c.distance(st, t))
		inTime := c.meets(now, j, took)
		if !t.free().Holds(st.Room) {
			worthWaiting = worthWaiting || inTime
			continue
		}
		if inTime && (meets == nil || better(took, t, meetsTime, meets)) {
			meets, meetsTime = t, took
		}
		if fastest == nil || took < fastestTime {
			fastest, fastestTime = t, took
		}
	}
	if meets != nil || worthWaiting {
		return meets
	}
	return fastest
}

// The real work of a task may be this many times its estimate; the objective
// follows the real work, too.
const (
	leastWork = 0.5
	mostWork  = 2.0
)

// meets reports whether a task that is placed now on a worker where it is
// expected to take a time would meet the job's objective, be its real work
// smaller or larger than estimated.
func (c *Core) meets(now time.Time, j *job, took time.Duration) bool {
	gone := now.Sub(j.begun) + c.cfg.Margin
	gain := float64(j.objective.Sub(j.begun)-j.Queue.Target) - float64(took)
	fixed := float64(j.Queue.Target - gone)
	return fixed+leastWork*gain >= 0 && fixed+mostWork*gain >= 0
}

// better prefers the clearly slower worker, then the one with more room.
func better(took time.Duration, t *target, bestTook time.Duration, best *target) bool {
	if diff := took - bestTook; diff > bestTook/similarSpeed || -diff > bestTook/similarSpeed {
		return took > bestTook
	}
	return t.free().CPU > best.free().CPU
}

// similarSpeed is the part of a run time below which two workers count as
// equally fast: a fifth, since estimates are far less exact.
const similarSpeed = 5

// distance returns how many times as long a task takes on a worker as it would
// near its data.
func (c *Core) distance(st *work.Step, t *target) float64 {
	if st.Affinity != "" && !slices.Contains(t.Labels, st.Affinity) {
		return max(c.cfg.Far, 1)
	}
	return 1
}

// suits reports whether a worker may run tasks of a step.
func (c *Core) suits(j *job, step int, t *target) bool {
	st := j.Step(step)
	if j.Stored && !c.obeys(t) {
		return false
	}
	if t.Service != j.Queue.Service || j.avoid[t.agent] && c.alternative(j, t) {
		return false
	}
	if st.Label != "" && !slices.Contains(t.Labels, st.Label) {
		return false
	}
	if st.MaxPerOne == 0 {
		return true
	}
	n := 0
	for ref := range t.runs {
		if ref.Job == j.ID && j.Slot(ref) == step {
			n++
		}
	}
	return n < st.MaxPerOne
}

// alternative reports whether some worker of the service is not avoided.
func (c *Core) alternative(j *job, not *target) bool {
	for _, name := range c.names {
		t := c.targets[name]
		if t != not && t.ready && !t.Draining && t.Service == j.Queue.Service && !j.avoid[name] {
			return true
		}
	}
	return false
}

// assign starts a run of a task.
func (c *Core) assign(now time.Time, t *target, j *job, step, index, number int) {
	run := j.ref(step, index)
	run.Number = number
	tk := c.put(now, t, j, run)
	st := j.Step(step)
	if c.out.Starts == nil {
		c.out.Starts = make(map[string][]work.Start)
	}
	here, expected := time.Duration(float64(st.Estimate)*c.distance(st, t)), tk.expected
	if j.Lasts {
		here, expected = 0, 0
	}
	c.out.Starts[t.agent] = append(c.out.Starts[t.agent], work.Start{Run: run, Spec: j.Spec, Room: st.Room, Estimate: here, Expected: expected, Trace: j.Trace, Stored: j.Stored, Checkpoint: tk.saved})
}

// put notes that a run of a pending task is at a worker since began.
func (c *Core) put(began time.Time, t *target, j *job, run work.Run) *task {
	step := j.Slot(run.Task)
	st := j.Step(step)
	tk := &j.tasks[step][run.Task.Index]
	tk.state, tk.run, tk.agent, tk.began = placed, run.Number, t.agent, began
	tk.slowdown = t.slowdown
	tk.expected = time.Duration(float64(c.expect(j, step)) * t.slowness() * c.distance(st, t))
	j.pending--
	c.queued--
	j.running++
	if !j.sent {
		j.sent, j.first = true, began
	}
	t.runs[run.Task] = run
	t.used = t.used.Add(st.Room)
	return tk
}
