package dispatch

import (
	"maps"
	"slices"
	"time"

	"masticbay/job"
	"masticbay/wire"
)

// AgentInfo identifies an agent.
type AgentInfo struct {
	ID         string // incarnation
	Service    string
	DataCentre string
}

// AgentUp takes the status of an agent that is new or reachable again.
func (c *Core) AgentUp(now time.Time, info AgentInfo, st *wire.Status) {
	a := c.agents[info.ID]
	s := c.service(info.Service)
	if a == nil {
		a = &agent{id: info.ID, service: info.Service, dataCentre: info.DataCentre}
		c.agents[info.ID] = a
		s.agents = append(s.agents, a)
	}
	c.applyStatus(now, st)
	c.schedule(now, s)
}

// AgentDown marks an agent as unreachable until its next status.
func (c *Core) AgentDown(id string) {
	if a := c.agents[id]; a != nil {
		a.reachable = false
	}
}

// AgentGone removes an incarnation of an agent that has ended for good. If it
// handed its records over, the attempts at it are sealed at its successor;
// otherwise its tasks are unknown.
func (c *Core) AgentGone(now time.Time, id string, handedOver bool) {
	a := c.agents[id]
	if a == nil {
		return
	}
	delete(c.agents, id)
	s := c.service(a.service)
	for i, other := range s.agents {
		if other == a {
			s.agents = append(s.agents[:i], s.agents[i+1:]...)
			break
		}
	}
	delete(s.lastSuccess, id)
	if !handedOver {
		c.abandonTasksAt(now, id)
	}
}

// abandonTasksAt ends the tasks of an agent that can never be asked again.
func (c *Core) abandonTasksAt(now time.Time, id string) {
	for _, ref := range c.taskRefsAt(id) {
		j := c.jobs[ref.key]
		if j == nil || j.answer != nil {
			continue
		}
		j.setReason("an agent was lost")
		c.finishTask(now, j, ref.index, job.Unknown)
	}
}

// taskRefsAt returns the open tasks at an agent in the order of their attempts.
func (c *Core) taskRefsAt(agent string) (refs []taskRef) {
	for _, attempt := range slices.Sorted(maps.Keys(c.attempts)) {
		ref := c.attempts[attempt]
		if c.jobs[ref.key].tasks[ref.index].agent == agent {
			refs = append(refs, ref)
		}
	}
	return refs
}

// ApplyStatus applies the status in an agent's message and dispatches what it allows.
func (c *Core) ApplyStatus(now time.Time, st *wire.Status) {
	c.applyStatus(now, st)
	if a := c.agents[st.Agent]; a != nil {
		c.schedule(now, c.service(a.service))
	}
}

// applyStatus takes the credits of a status, and the rest of it unless a newer
// one has arrived.
func (c *Core) applyStatus(now time.Time, st *wire.Status) {
	a := c.agents[st.Agent]
	if a == nil {
		return
	}
	a.balance.Apply(st.Offer)
	a.reachable = true
	if st.Stamp < a.status.Stamp {
		return
	}
	a.status = *st
	a.stampReceived = now
}

// AskAnswered takes the reply to a request for credits; st is nil if the call failed.
func (c *Core) AskAnswered(now time.Time, agent string, st *wire.Status) {
	a := c.agents[agent]
	if a == nil {
		return
	}
	a.askPending = false
	if st == nil {
		return
	}
	c.applyStatus(now, st)
	c.schedule(now, c.service(a.service))
}

// Recall returns idle credits to an agent that recalls them, or none if tasks
// wait. It gives the epoch of the loan, the total returned in it, and the number
// of waiting tasks.
func (c *Core) Recall(agent string) (epoch, total uint64, demand int) {
	a := c.agents[agent]
	if a == nil {
		return 0, 0, 0
	}
	demand = c.service(a.service).queue.Len()
	n := 0
	if demand == 0 {
		n = c.creditsToReturn(a.balance.Available())
	}
	epoch, total = a.balance.Return(n)
	return epoch, total, demand
}

// creditsToReturn returns how many of the idle credits to return on a recall:
// all, or only half if AskGain is set. It is set where many small jobs are
// submitted, so more of them are likely to come soon.
func (c *Core) creditsToReturn(idle int) int {
	if c.cfg.AskGain > 0 {
		return (idle + 1) / 2
	}
	return idle
}

// SetRegistry replaces the registry if r is newer.
func (c *Core) SetRegistry(r Registry) {
	if r.Revision > c.registry.Revision {
		c.registry = r
	}
}

// SetIsolated sets whether some listed entry is out of contact. Claims then ask
// the agents as well.
func (c *Core) SetIsolated(on bool) { c.isolated = on }

// SetLimits replaces the limits and dispatches what they newly allow.
func (c *Core) SetLimits(now time.Time, l Limits) {
	c.limits = l
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		c.schedule(now, c.services[name])
	}
}

// Want returns the number of tasks of a team that run here or wait.
func (c *Core) Want(team string) int {
	n := c.runningOf(team)
	for _, s := range c.services {
		n += s.queue.WaitingOf(team)
	}
	return n
}

// AgentState describes an agent for operators.
type AgentState struct {
	AgentInfo
	Status      wire.Status
	Reachable   bool
	Quarantined bool
	Credits     int
	InFlight    int
	Mean        time.Duration
}

// Agents returns the state of all known agents.
func (c *Core) Agents() (states []AgentState) {
	for _, a := range c.agents {
		states = append(states, AgentState{
			AgentInfo:   AgentInfo{a.id, a.service, a.dataCentre},
			Status:      a.status,
			Reachable:   a.reachable,
			Quarantined: a.health.Quarantined(),
			Credits:     a.balance.Available(),
			InFlight:    a.inFlight,
			Mean:        a.health.Mean(),
		})
	}
	return states
}

// QueueState describes the queue of a service for operators.
type QueueState struct {
	Service string
	Waiting int
	Jobs    int
	Running int
	Mean    time.Duration
}

// Queues returns the state of the queues of all services.
func (c *Core) Queues() (states []QueueState) {
	for _, s := range c.services {
		states = append(states, QueueState{s.name, s.queue.Len(), s.queue.Jobs(), s.running, s.runTimes.Mean()})
	}
	return states
}

// Open returns the number of jobs without an answer.
func (c *Core) Open() (n int) {
	for _, j := range c.jobs {
		if j.answer == nil {
			n++
		}
	}
	return n
}
