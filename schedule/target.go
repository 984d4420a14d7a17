package schedule

import (
	"math"
	"slices"
	"time"

	"masticbay/work"
)

// target is a worker behind its agent.
type target struct {
	work.Target
	agent  string
	life   string // incarnation of the agent
	heard  time.Time
	ready  bool      // the agent takes starts
	used   work.Room // by runs that were placed here
	others work.Room // by runs of other entries, as told
	runs   map[work.TaskRef]work.Run
	seq    uint64    // last event that was taken
	factor float64   // slowness, computed from slow and prior
	prior  float64   // mean of slow over the workers of its kind
	slow   mean      // log of run time over expected time on a worker of speed 1
	streak int       // failures in a row
	resume time.Time // no placement before
}

// mean is an exponential moving average that starts as a plain one.
type mean struct {
	n     int
	value float64
}

func (m *mean) add(v float64, window int) {
	m.n = min(m.n+1, window)
	m.value += (v - m.value) / float64(m.n)
}

const (
	speedWindow = 40 // runs; the estimates of single runs are off by 40%
	biasWindow  = 300
	priorRuns   = 4 // runs as which the mean of a worker's kind counts
)

// slowness returns how much longer than on a worker of speed 1 a run takes. A
// worker of which little is known counts like the others of its kind.
func (t *target) slowness() float64 { return t.factor }

// judge computes the slowness from what is known.
func (t *target) judge() {
	weight := float64(t.slow.n) / float64(t.slow.n+priorRuns)
	t.factor = math.Exp(t.slow.value*weight + t.prior*(1-weight))
}

// kind returns the label that tells the kind of a worker.
func (t *target) kind() string {
	if len(t.Labels) == 0 {
		return ""
	}
	return t.Service + "/" + t.Labels[0]
}

// updatePriors gives every worker the mean of its kind.
func (c *Core) updatePriors() {
	sum, n := make(map[string]float64), make(map[string]float64)
	for _, name := range c.names {
		t := c.targets[name]
		weight := float64(min(t.slow.n, priorRuns))
		sum[t.kind()] += weight * t.slow.value
		n[t.kind()] += weight
	}
	for _, t := range c.targets {
		t.prior = sum[t.kind()] / max(n[t.kind()], 1)
		t.judge()
	}
}

// priorsEvery is the pause between updates of the means of kinds.
const priorsEvery = 100 * time.Millisecond

func (t *target) free() work.Room { return t.Capacity.Sub(t.used).Sub(t.others) }

// Report is what an agent tells about itself and its worker.
type Report struct {
	Life    string // incarnation of the agent
	Target  work.Target
	Ready   bool      // it takes starts
	Settled bool      // nothing runs there that this incarnation did not start
	Others  work.Room // that runs of other entries take
	Pace    Pace      // as the agent has seen it; told at the first contact
	Events  []Event
	Idle    []work.Run // runs that are not young and have made no progress
}

// Pace is how long a worker's runs take against their estimates.
type Pace struct {
	Runs int
	Log  float64 // mean of the logarithm of run time over estimate
}

// Event tells how a run ended.
type Event struct {
	Seq    uint64
	Run    work.Run
	End    work.End
	Reason string
	Took   time.Duration
}

// settleTime is how long after a worker came into contact more are expected.
// Until then no job is turned away for the work that waits before it.
const settleTime = 400 * time.Millisecond

// Report takes what an agent told.
func (c *Core) Report(now time.Time, agent string, r *Report) {
	t, ok := c.targets[agent]
	if !ok {
		t = &target{agent: agent, life: r.Life, factor: 1, runs: make(map[work.TaskRef]work.Run)}
		c.settle = now.Add(settleTime)
		c.targets[agent] = t
		c.names = append(c.names, agent)
		slices.Sort(c.names)
	}
	if t.life != r.Life {
		if !r.Settled {
			t.ready = false
			return // what it ran before may not have ended yet
		}
		c.loseRuns(now, t, "agent started anew")
		t.life, t.seq = r.Life, 0
	}
	if t.Born != r.Target.Born {
		t.slow, t.streak = mean{n: min(r.Pace.Runs, speedWindow), value: r.Pace.Log}, 0
		t.judge()
	}
	more := r.Ready != t.ready || r.Target.Born != t.Born || r.Others != t.others || now.Sub(t.heard) > c.cfg.Suspect
	t.Target, t.ready, t.others, t.heard = r.Target, r.Ready, r.Others, now
	for _, e := range r.Events {
		if e.Seq > t.seq {
			t.seq = e.Seq
			c.take(now, t, e)
		}
	}
	c.observe(now, t, r.Idle)
	if more || len(r.Events) > 0 {
		c.place(now)
	}
}

// Acked returns the number of the last event of an agent that was taken, and
// the incarnation of the agent that it belongs to.
func (c *Core) Acked(agent string) (life string, seq uint64) {
	if t, ok := c.targets[agent]; ok {
		return t.life, t.seq
	}
	return "", 0
}

// Lost tells that all runs at an agent have ended, as far as leases tell.
func (c *Core) loseAgents(now time.Time) {
	for _, name := range c.names {
		t := c.targets[name]
		if now.Sub(t.heard) > c.cfg.Lost && len(t.runs) > 0 {
			c.loseRuns(now, t, "agent out of contact")
		}
	}
	c.names = slices.DeleteFunc(c.names, func(name string) bool {
		t := c.targets[name]
		gone := now.Sub(t.heard) > forgetAgent && len(t.runs) == 0
		if gone {
			delete(c.targets, name)
		}
		return gone
	})
}

// forgetAgent is the silence after which nothing is kept about an agent.
const forgetAgent = 30 * time.Second

func (c *Core) loseRuns(now time.Time, t *target, why string) {
	refs := make([]work.Run, 0, len(t.runs))
	for _, r := range t.runs {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, func(a, b work.Run) int { return compareRefs(a.Task, b.Task) })
	for _, r := range refs {
		c.take(now, t, Event{Run: r, End: work.Lapsed, Reason: why})
	}
}

func compareRefs(a, b work.TaskRef) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Step != b.Step:
		return a.Step - b.Step
	default:
		return a.Index - b.Index
	}
}

// The quarantine of a worker on which runs fail one after the other.
const (
	failStreak  = 2
	failPause   = 1500 * time.Millisecond
	unwellPause = 200 * time.Millisecond // a worker that refuses all starts
	roomPause   = 15 * time.Millisecond  // room that is taken in a way not known here
)

// take takes the end of a run.
func (c *Core) take(now time.Time, t *target, e Event) {
	have, ok := t.runs[e.Run.Task]
	if !ok || have != e.Run {
		return
	}
	delete(t.runs, e.Run.Task)
	j, ok := c.jobs[e.Run.Task.Job]
	if !ok {
		return
	}
	step, index := e.Run.Task.Step, e.Run.Task.Index
	t.used = t.used.Sub(j.Steps[step].Room)
	j.running--
	tk := &j.tasks[step][index]
	tk.stopping = false
	j.last = lastRun{agent: t.agent, wait: tk.began.Sub(j.begun), took: e.Took, expected: tk.expected}
	if e.End != work.Done {
		j.again++
		c.note(Note{Job: j.ID, Agent: t.agent, Run: e.Run, What: "runEnded", Why: string(e.End) + " " + e.Reason,
			Values: map[string]float64{"tookMs": ms(e.Took), "expectedMs": ms(tk.expected)}})
	}
	switch e.End {
	case work.Done:
		c.learn(t, j, step, e.Took)
		c.finish(j, step, index)
	case work.Failed:
		c.fail(now, t, j, step, index)
	default:
		c.setBack(now, t, e)
		c.again(j, step, index)
	}
	c.discard(j)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (c *Core) finish(j *job, step, index int) {
	j.tasks[step][index].state = done
	j.left[step]--
	if j.over {
		return
	}
	if j.left[step] == 0 {
		c.unblock(j)
		c.enqueue(j)
	}
	for _, n := range j.left {
		if n > 0 {
			return
		}
	}
	c.close(j, work.Outcome{State: work.Completed})
}

func (c *Core) fail(now time.Time, t *target, j *job, step, index int) {
	tk := &j.tasks[step][index]
	tk.failures++
	if tk.failures == 1 {
		// A task that failed elsewhere before says little about this worker.
		c.blame(now, t)
	}
	j.shun(t.agent)
	if tk.failures >= j.Queue.MaxAttempts {
		c.close(j, work.Outcome{State: work.JobFailed, Reason: j.ref(step, index).Task.String() + " failed"})
		c.stopAll(now, j, 0)
		return
	}
	c.again(j, step, index)
}

// blame counts a run that failed or stalled against a worker.
func (c *Core) blame(now time.Time, t *target) {
	t.streak++
	if t.streak >= failStreak && now.After(t.resume) {
		t.resume = now.Add(failPause)
		c.note(Note{Agent: t.agent, What: "quarantine", Why: "runs failed or stalled one after the other"})
	}
}

func (j *job) shun(agent string) {
	if j.avoid == nil {
		j.avoid = make(map[string]bool)
	}
	j.avoid[agent] = true
}

// again makes a task pending that has to run once more.
func (c *Core) again(j *job, step, index int) {
	j.tasks[step][index].state = pending
	j.pending++
	c.queued++
	c.enqueue(j)
}

// setBack keeps tasks away from a worker that does not take them for now.
func (c *Core) setBack(now time.Time, t *target, e Event) {
	pause := time.Duration(0)
	switch {
	case e.End != work.Refused:
		return
	case e.Reason == refusedUnwell:
		pause = unwellPause
	case e.Reason == refusedOld:
		return
	default:
		pause = roomPause
	}
	if until := now.Add(pause); until.After(t.resume) {
		t.resume = until
	}
}

// Reasons of refusals that agents pass on.
const (
	refusedUnwell = "unwell"
	refusedOld    = "old"
)

// learn takes the run time of a task that was done.
func (c *Core) learn(t *target, j *job, step int, took time.Duration) {
	t.streak = 0
	est := j.Steps[step].Estimate
	if est <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(est))
	b := c.queueBias(j.Queue.Name)
	t.slow.add(ratio-b.value, speedWindow)
	t.judge()
	b.add(ratio-t.slow.value, biasWindow)
	b.factor = math.Exp(b.value)
}

// bias is how far off the estimates of a queue are.
type bias struct {
	mean
	factor float64 // run time over estimate on a worker of slowness 1
}

func (c *Core) queueBias(queue string) *bias {
	b, ok := c.bias[queue]
	if !ok {
		b = &bias{factor: 1}
		c.bias[queue] = b
	}
	return b
}

// expect returns the run time of a task of a step on a worker of slowness 1.
func (c *Core) expect(j *job, step int) time.Duration {
	est := max(j.Steps[step].Estimate, time.Millisecond)
	return time.Duration(float64(est) * c.queueBias(j.Queue.Name).factor)
}

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
		for _, r := range t.runs {
			j, ok := c.jobs[r.Task.Job]
			if !ok {
				continue
			}
			tk := &j.tasks[r.Task.Step][r.Task.Index]
			limit := max(stallFactor*tk.expected, stallLeast)
			if !tk.stopping && now.Sub(tk.began) > limit && now.Sub(t.heard) < c.cfg.Suspect {
				c.giveUp(now, t, j, r, "takes far longer than expected")
			}
		}
	}
}

func (c *Core) giveUp(now time.Time, t *target, j *job, r work.Run, why string) {
	tk := &j.tasks[r.Task.Step][r.Task.Index]
	c.note(Note{Job: j.ID, Agent: t.agent, Run: r, What: "runGivenUp", Why: why,
		Values: map[string]float64{"ranMs": ms(now.Sub(tk.began)), "expectedMs": ms(tk.expected)}})
	j.shun(t.agent)
	c.blame(now, t)
	c.stop(j, r.Task.Step, r.Task.Index)
}

// observe gives up runs that make no progress.
func (c *Core) observe(now time.Time, t *target, idle []work.Run) {
	for _, r := range idle {
		have, ok := t.runs[r.Task]
		j := c.jobs[r.Task.Job]
		if !ok || have != r || j == nil {
			continue
		}
		tk := &j.tasks[r.Task.Step][r.Task.Index]
		if !tk.stopping {
			c.giveUp(now, t, j, r, "makes no progress")
		}
	}
}

// Uses reports whether something runs at an agent.
func (c *Core) Uses(agent string) bool {
	t, ok := c.targets[agent]
	return ok && len(t.runs) > 0
}
