// Package bench measures the scheduling policies in virtual time.
//
// # Scenarios
//
// A Scenario is a workload, a load and faults. Run simulates it with the real
// decision code (dispatch.Core, gate.Gate, credit.Lender), an event queue in
// virtual time and a simulated network that only delays messages, so a seed gives
// the same figures on every run and machine. It measures response times, relative
// to an ideal, and messages per task. The ideal is one central queue over the same
// slots without a network, which orders jobs as package queue does and takes the
// fastest free slot. Baseline strategies, which push tasks to agents at once to
// wait there, run with the same arrivals.
//
// # Load patterns
//
// A Pattern is a load on the workers of a service, and events such as bursts and
// crashes. Replay runs it with the decision code of a home (the coordinator that
// places the tasks of a site; schedule.Core) and of its agents (worker.Guard), and
// measures how much of the jobs' worth was earned by answers in time.
//
// # Usage
//
//	res := bench.Run(bench.Scenario{Workload: &bench.Hillside, Load: 0.8, Strategy: bench.Credits, Seed: 1})
package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"masticbay/job"
)

// Workload describes the jobs, the network and the settings of a run.
type Workload struct {
	Name              string
	Latency           time.Duration // one way between processes
	Slowest           float64       // speed of the slowest target; the fastest has 1
	Threshold         int           // waiting tasks from which an entry asks for credits, and credits move to it
	AskGain           float64       // as in dispatch.Config
	HeartbeatInterval time.Duration
	PeerInterval      time.Duration
	Kinds             []Kind
}

// Kind describes one kind of job in a workload.
type Kind struct {
	Share      float64 // of the jobs
	MinTasks   int
	MaxTasks   int
	Median     time.Duration // run time at speed 1
	Sigma      float64       // of the log-normal run times
	Idempotent bool
}

// Hillside is the workload of single gate checks, renewals and reprices, with
// the preset "response".
var Hillside = Workload{
	Name: "hillside", Latency: 1500 * time.Microsecond, Slowest: 0.5, Threshold: 2,
	HeartbeatInterval: 5 * time.Second, PeerInterval: 2 * time.Second,
	Kinds: []Kind{
		{Share: 0.85, MinTasks: 1, MaxTasks: 1, Median: 150 * time.Millisecond, Sigma: 0.6, Idempotent: true},
		{Share: 0.12, MinTasks: 1, MaxTasks: 2, Median: 400 * time.Millisecond, Sigma: 0.6},
		{Share: 0.03, MinTasks: 5, MaxTasks: 30, Median: 200 * time.Millisecond, Sigma: 0.6},
	},
}

// RetourPlateau is the workload of jobs of hundreds of tasks on slow and mixed
// targets, with the preset "messages".
var RetourPlateau = Workload{
	Name: "retour-plateau", Latency: 500 * time.Microsecond, Slowest: 0.35, Threshold: 6,
	HeartbeatInterval: 10 * time.Second, PeerInterval: 6 * time.Second,
	Kinds: []Kind{
		{Share: 0.7, MinTasks: 50, MaxTasks: 400, Median: 200 * time.Millisecond, Sigma: 0.7},
		{Share: 0.3, MinTasks: 1, MaxTasks: 20, Median: 300 * time.Millisecond, Sigma: 0.7, Idempotent: true},
	},
}

// The size of the simulated installation.
const (
	numEntries = 4
	numAgents  = 10
	numSlots   = 8 // per target
	service    = "desk"
)

// The teams that submit jobs.
const (
	teamName  = "t"
	floodTeam = "flood"
)

// arrival is a job that arrives in a run.
type arrival struct {
	at         time.Duration
	entryIndex int // of the entry that receives the job
	spec       job.Spec
	taskTimes  []time.Duration // run times at speed 1
}

// speeds returns the speed of each target, from 1 down to Slowest.
func (w *Workload) speeds() []float64 {
	s := make([]float64, numAgents)
	for i := range s {
		s[i] = 1 - (1-w.Slowest)*float64(i)/(numAgents-1)
	}
	return s
}

// meanWork returns the mean run time of all tasks of a job together, at speed 1.
func (w *Workload) meanWork() (seconds float64) {
	for _, k := range w.Kinds {
		tasks := float64(k.MinTasks+k.MaxTasks) / 2
		seconds += k.Share * tasks * k.Median.Seconds() * math.Exp(k.Sigma*k.Sigma/2)
	}
	return seconds
}

// capacity returns the work that all slots do in a second, in seconds at speed 1.
func (w *Workload) capacity() (c float64) {
	for _, s := range w.speeds() {
		c += s * numSlots
	}
	return c
}

// arrivals draws the jobs of a run. The order of the random draws decides what a
// seed means.
func (sc *Scenario) arrivals() []arrival {
	as := sc.arrivalsOf(teamName, rand.New(rand.NewPCG(sc.Seed, 11)), sc.Load, 0)
	if sc.Flood {
		as = append(as, sc.arrivalsOf(floodTeam, rand.New(rand.NewPCG(sc.Seed, 17)), floodFactor, faultAt)...)
	}
	return as
}

// arrivalsOf draws the jobs that a team submits from a point in time on.
func (sc *Scenario) arrivalsOf(team string, r *rand.Rand, load float64, from time.Duration) (as []arrival) {
	rate := load * sc.Workload.capacity() / sc.Workload.meanWork()
	for at := from; ; {
		gap := r.ExpFloat64() / rate
		if sc.has(Burst) && at >= faultAt && at < faultAt+burstDuration {
			gap /= burstFactor
		}
		at += time.Duration(gap * float64(time.Second))
		if at >= sc.length() {
			return as
		}
		as = append(as, sc.arrival(r, team, at, len(as)))
	}
}

func (sc *Scenario) arrival(r *rand.Rand, team string, at time.Duration, n int) arrival {
	k := sc.pickKind(r.Float64())
	a := arrival{at: at, entryIndex: r.IntN(numEntries)}
	a.spec = job.Spec{
		Key: job.MakeKey(team, strconv.Itoa(n)), Team: team, Service: service,
		Idempotent: k.Idempotent, Deadline: sc.deadline(),
	}
	if sc.has(NeverRun) && r.IntN(5) == 0 {
		a.spec.Service = "nothing"
	}
	for range k.MinTasks + r.IntN(k.MaxTasks-k.MinTasks+1) {
		size := float64(k.Median) * math.Exp(k.Sigma*r.NormFloat64())
		a.taskTimes = append(a.taskTimes, time.Duration(size))
		declared := time.Duration(size)
		if sc.has(WrongSizes) {
			declared = time.Duration(size * math.Pow(10, 2*r.Float64()-1))
		}
		a.spec.Tasks = append(a.spec.Tasks, job.Task{Size: declared})
	}
	return a
}

// pickKind returns the kind of job for a number in [0, 1).
func (sc *Scenario) pickKind(x float64) Kind {
	for _, k := range sc.Workload.Kinds {
		if x < k.Share {
			return k
		}
		x -= k.Share
	}
	return sc.Workload.Kinds[0]
}
