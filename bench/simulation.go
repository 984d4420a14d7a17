package bench

import (
	"fmt"
	"strconv"
	"time"

	"masticbay/credit"
	"masticbay/dispatch"
	"masticbay/gate"
	"masticbay/job"
	"masticbay/member"
	"masticbay/wire"
)

// simulation runs one Scenario over the real decision code: the entries, the
// agents and the messages between them.
type simulation struct {
	clock
	scenario            *Scenario
	registry            member.Registry
	entries             []*entry
	agents              []*agent
	taskTimes           map[job.Key][]time.Duration // run times at speed 1
	arrivedAt           map[job.Key]time.Duration
	responseTimes       map[job.Key]time.Duration // of completed jobs
	startsByTask        map[gate.TaskID]int
	homeByJob           map[job.Key]int // index of the entry that runs the job
	result              Result
	failureCount        int                       // runs that the failing target has failed
	countStartsFrom     time.Duration             // time of the failing target's 20th failure
	startsAfterFailures [2]int                    // in the 10 s after countStartsFrom: at the failing target, in all
	slotTimeInBurst     map[job.Key]time.Duration // time that the tasks of a job occupied slots in the burst
}

// entry is an entry process: a dispatch.Core and its connections to the agents.
type entry struct {
	sim            *simulation
	id             string
	index          int
	core           *dispatch.Core
	dead           bool
	timerAt        time.Duration
	lastContact    []time.Duration // with each agent
	receivingEntry map[job.Key]int // index of the entry that took the job from its caller
}

// agent is an agent process with its target: a gate.Gate and a credit.Lender.
type agent struct {
	sim     *simulation
	id      string
	index   int
	gate    *gate.Gate
	lender  *credit.Lender
	speed   float64
	dead    bool
	onDeath []func() // fail the calls that the agent was sent
}

// startTime is the start of virtual time.
var startTime = time.Unix(1_700_000_000, 0)

const (
	retention   = 3 * time.Minute
	stampMaxAge = 30 * time.Second
	initialAge  = retention // of the agents when the run begins, so that their join window is over
)

// time returns the current virtual time as a time.Time.
func (s *simulation) time() time.Time { return startTime.Add(initialAge + s.elapsed) }

// Run simulates a scenario and returns its figures.
func Run(sc Scenario) Result {
	arrivals := sc.arrivals()
	ideal := sc.idealResponseTimes(arrivals)
	if sc.Strategy != Credits {
		return sc.summarize(arrivals, ideal, sc.runBaseline(arrivals))
	}
	s := newSimulation(&sc)
	s.scheduleEvents(arrivals)
	s.run(s.processEntries)
	s.result.Scenario = sc
	return sc.summarize(arrivals, ideal, s.measurements())
}

// measurements are the figures of a run before the comparison with the ideal.
type measurements struct {
	result        Result
	responseTimes map[job.Key]time.Duration
}

func (s *simulation) measurements() measurements {
	for _, n := range s.startsByTask {
		s.result.Tasks += n
		if n > 1 {
			s.result.StartedTwice++
		}
	}
	if s.result.Tasks > 0 {
		s.result.MessagesPerTask = float64(s.result.MessageCounts.total()) / float64(s.result.Tasks)
	}
	s.result.Goodput = s.goodput()
	if s.startsAfterFailures[1] > 0 {
		s.result.FailingTargetShare = float64(s.startsAfterFailures[0]) / float64(s.startsAfterFailures[1])
	}
	return measurements{s.result, s.responseTimes}
}

// goodput returns the share of the slot time in the burst that was spent on jobs
// that completed.
func (s *simulation) goodput() float64 {
	var used time.Duration
	for key, slotTime := range s.slotTimeInBurst {
		if _, complete := s.responseTimes[key]; complete {
			used += slotTime
		}
	}
	return float64(used) / float64(numAgents*numSlots*burstDuration)
}

// recordSlotTime adds the part of a task's run that falls within the burst.
func (s *simulation) recordSlotTime(key job.Key, took time.Duration) {
	from, to := max(s.elapsed, faultAt), min(s.elapsed+took, faultAt+burstDuration)
	s.slotTimeInBurst[key] += max(0, to-from)
}

// summarize compares the measured response times with the ideal ones.
func (sc *Scenario) summarize(arrivals []arrival, ideal map[job.Key]time.Duration, run measurements) Result {
	result := run.result
	result.Scenario = *sc
	result.Jobs = len(arrivals)
	var measured, idealTimes, teamTimes []float64
	for i := range arrivals {
		key := arrivals[i].spec.Key
		took, ok := run.responseTimes[key]
		if arrivals[i].at < warmUp || !ok {
			continue
		}
		if arrivals[i].spec.Team == teamName && arrivals[i].at >= faultAt {
			teamTimes = append(teamTimes, took.Seconds())
		}
		measured = append(measured, took.Seconds())
		idealTimes = append(idealTimes, ideal[key].Seconds())
	}
	if len(measured) == 0 {
		return result
	}
	result.MeanRatio = mean(measured) / mean(idealTimes)
	result.P99Ratio = percentile(measured, 0.99) / percentile(idealTimes, 0.99)
	result.TeamP99 = time.Duration(percentile(teamTimes, 0.99) * float64(time.Second))
	return result
}

func newSimulation(sc *Scenario) *simulation {
	s := &simulation{
		scenario: sc, taskTimes: make(map[job.Key][]time.Duration), arrivedAt: make(map[job.Key]time.Duration),
		responseTimes: make(map[job.Key]time.Duration), startsByTask: make(map[gate.TaskID]int), homeByJob: make(map[job.Key]int),
		slotTimeInBurst: make(map[job.Key]time.Duration),
	}
	s.endAt = sc.length() + 2*time.Minute
	s.registry.Revision = 1
	for i := range numEntries {
		s.registry.Entries = append(s.registry.Entries, member.Entry{ID: "e" + strconv.Itoa(i)})
	}
	for i, speed := range sc.Workload.speeds() {
		id := fmt.Sprintf("a%02d", i)
		a := &agent{sim: s, id: id, index: i, speed: speed, lender: credit.NewLender(sc.Workload.Threshold)}
		a.gate = gate.New(id, gate.Config{Window: retention, StampMaxAge: stampMaxAge}, startTime)
		a.gate.SetListed(1)
		a.lender.SetSlots(numSlots)
		s.agents = append(s.agents, a)
		s.registry.Agents = append(s.registry.Agents, member.Agent{ID: id, Service: service, Joined: 1})
	}
	for i := range numEntries {
		s.entries = append(s.entries, s.newEntry(i))
	}
	for range 2 { // the first round creates the loans that the second takes into account
		for _, a := range s.agents {
			for _, e := range s.entries {
				a.lender.LendEvenShare(e.id)
				st := a.status(e)
				e.core.AgentUp(s.time(), dispatch.AgentInfo{ID: a.id, Service: service}, &st)
			}
		}
	}
	return s
}

func (s *simulation) newEntry(i int) *entry {
	w := s.scenario.Workload
	e := &entry{sim: s, id: s.registry.Entries[i].ID, index: i, lastContact: make([]time.Duration, numAgents), receivingEntry: make(map[job.Key]int), timerAt: -1}
	e.core = dispatch.New(e.id, dispatch.Config{
		Window: time.Minute, Retention: retention, UnclearLimit: 10 * time.Second, ClaimLimit: 3 * time.Second,
		ShortClaim: 300 * time.Millisecond, SealRetry: 50 * time.Millisecond, StampMaxAge: stampMaxAge - time.Second,
		AskThreshold: w.Threshold, AskGain: w.AskGain, AskInterval: 20 * time.Millisecond, MaxWaiting: 200_000,
	})
	e.core.SetRegistry(dispatch.NewRegistry(e.id, &s.registry))
	if q := s.scenario.Quota; q > 0 {
		share := dispatch.Share{Weight: 1, Limited: true, Cap: q}
		e.core.SetLimits(s.time(), dispatch.Limits{Teams: map[string]dispatch.Share{teamName: share, floodTeam: share}})
	}
	return e
}

// scheduleEvents schedules the arrivals, the faults and the control messages.
func (s *simulation) scheduleEvents(arrivals []arrival) {
	for i := range arrivals {
		a := &arrivals[i]
		s.taskTimes[a.spec.Key], s.arrivedAt[a.spec.Key] = a.taskTimes, a.at
		s.after(a.at, func() { s.submitArrival(a) })
	}
	s.after(faultAt, s.injectFaults)
	s.sendHeartbeats()
	s.after(s.scenario.Workload.PeerInterval, s.countPeerMessages)
}

// submitArrival submits a job at an entry, which forwards it to the job's home.
func (s *simulation) submitArrival(a *arrival) {
	e := s.entries[a.entryIndex]
	if e.dead {
		e = s.entries[(a.entryIndex+1)%numEntries] // the load balancer's choice
	}
	home := s.homeOf(a)
	claim := s.registry.Entries[home.index].ID != s.preferredEntry(a).ID && !a.spec.Idempotent
	if home == e {
		e.submit(a, e, claim)
		return
	}
	s.result.MessageCounts.Forwards += 2
	s.after(s.scenario.Workload.Latency, func() { home.submit(a, e, claim) })
}

// preferredEntry returns the entry that ranks first for a job in the registry.
func (s *simulation) preferredEntry(a *arrival) member.Entry {
	return s.registry.Rank(a.spec.Service)[0]
}

// homeOf returns the home of a job, the entry that dispatches its tasks: the
// highest-ranking one that is alive.
func (s *simulation) homeOf(a *arrival) *entry {
	for _, p := range s.registry.Rank(a.spec.Service) {
		if e := s.entryByID(p.ID); !e.dead {
			return e
		}
	}
	return nil
}

func (s *simulation) entryByID(id string) *entry {
	for _, e := range s.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (s *simulation) agentByID(id string) *agent {
	for _, a := range s.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// submit submits a job that entry from received to the core of e.
func (e *entry) submit(a *arrival, from *entry, claim bool) {
	if e.dead {
		return
	}
	spec := a.spec
	e.receivingEntry[spec.Key] = from.index
	if _, err := e.core.Submit(e.sim.time(), &spec, dispatch.Admission{Submission: "s", Claim: claim}); err != nil {
		e.sim.result.Refused++
		return
	}
	e.sim.homeByJob[spec.Key] = e.index
}

// recordAnswer records the answer to a job as its caller sees it.
func (e *entry) recordAnswer(ans *job.Answer) {
	s := e.sim
	s.result.NotRun += ans.Counts.NotRun
	s.result.Unknown += ans.Counts.Unknown
	delete(s.homeByJob, ans.Key)
	if ans.Status != job.StatusComplete {
		s.result.Failed++
		return
	}
	s.result.Complete++
	took := s.elapsed - s.arrivedAt[ans.Key]
	if e.receivingEntry[ans.Key] != e.index {
		took += s.scenario.Workload.Latency
	}
	s.responseTimes[ans.Key] = took
}

func (a *agent) status(e *entry) wire.Status {
	now := a.sim.time()
	return wire.Status{
		Agent: a.id, Stamp: a.gate.Stamp(now), Offer: a.lender.Offer(e.id), Listed: a.gate.Joined(),
		Young: a.gate.Young(now), Draining: a.gate.Draining(), Slots: a.lender.Slots(), Running: a.gate.Running(), Idle: a.lender.Idle(e.id),
	}
}
