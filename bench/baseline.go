package bench

import (
	"math/rand/v2"
	"time"

	"masticbay/job"
)

// baseline simulates a push strategy: an entry sends each task to an agent at
// once, and the task waits there for a slot. Only the faults Straggler and Burst
// apply to baselines.
type baseline struct {
	clock
	scenario   *Scenario
	rand       *rand.Rand
	nextAgent  []int // by entry, for RoundRobin
	agents     []baselineAgent
	unfinished map[job.Key]int
	measured   measurements
}

// baselineAgent is an agent with a queue of tasks that wait for a slot.
type baselineAgent struct {
	speed   float64
	running int
	waiting []func()
}

// runBaseline runs the arrivals with a baseline strategy.
func (sc *Scenario) runBaseline(arrivals []arrival) measurements {
	b := &baseline{
		scenario: sc, rand: rand.New(rand.NewPCG(sc.Seed, 13)), nextAgent: make([]int, numEntries),
		unfinished: make(map[job.Key]int), measured: measurements{responseTimes: make(map[job.Key]time.Duration)},
	}
	b.endAt = 1 << 62
	for _, speed := range sc.Workload.speeds() {
		b.agents = append(b.agents, baselineAgent{speed: speed})
	}
	for i := range arrivals {
		b.after(arrivals[i].at, func() { b.submit(&arrivals[i]) })
	}
	b.run(func() {})
	result := &b.measured.result
	if result.Tasks > 0 {
		result.MessagesPerTask = float64(result.MessageCounts.total()) / float64(result.Tasks)
	}
	return b.measured
}

func (b *baseline) submit(a *arrival) {
	b.unfinished[a.spec.Key] = len(a.taskTimes)
	for _, size := range a.taskTimes {
		b.place(a, size)
	}
}

// place chooses an agent for a task. LeastOfTwo first asks two agents for their
// load, which costs a round trip and four messages.
func (b *baseline) place(a *arrival, size time.Duration) {
	latency := b.scenario.Workload.Latency
	switch b.scenario.Strategy {
	case RoundRobin:
		i := b.nextAgent[a.entryIndex] % numAgents
		b.nextAgent[a.entryIndex]++
		b.after(latency, func() { b.enqueue(a, i, size) })
	case LeastOfTwo:
		chosen, other := b.rand.IntN(numAgents), b.rand.IntN(numAgents)
		b.measured.result.MessageCounts.Asks += 4
		b.after(latency, func() {
			if b.taskCount(other) < b.taskCount(chosen) {
				chosen = other
			}
			b.after(2*latency, func() { b.enqueue(a, chosen, size) })
		})
	default:
		i := b.rand.IntN(numAgents)
		b.after(latency, func() { b.enqueue(a, i, size) })
	}
}

func (b *baseline) taskCount(i int) int {
	return b.agents[i].running + len(b.agents[i].waiting)
}

// enqueue starts a task at agent i, or lets it wait there for a slot.
func (b *baseline) enqueue(a *arrival, i int, size time.Duration) {
	agent := &b.agents[i]
	b.measured.result.MessageCounts.Runs += 2
	start := func() {
		agent.running++
		b.measured.result.Tasks++
		b.after(b.scenario.runTime(i, b.elapsed, size, agent.speed), func() { b.finishTask(a, i) })
	}
	if agent.running < numSlots {
		start()
		return
	}
	agent.waiting = append(agent.waiting, start)
}

// finishTask gives the slot of a task that has ended to the next one.
func (b *baseline) finishTask(a *arrival, i int) {
	agent := &b.agents[i]
	agent.running--
	if len(agent.waiting) > 0 {
		next := agent.waiting[0]
		agent.waiting = agent.waiting[1:]
		next()
	}
	key := a.spec.Key
	b.unfinished[key]--
	if b.unfinished[key] == 0 {
		b.measured.result.Complete++
		b.measured.responseTimes[key] = b.elapsed + b.scenario.Workload.Latency - a.at
	}
}
