package dispatch

import (
	"time"

	"masticbay/gate"
	"masticbay/job"
	"masticbay/wire"
)

// schedule dispatches waiting tasks of s while agents with credits can take
// them.
func (c *Core) schedule(now time.Time, s *service) {
	for s.queue.Len() > 0 && c.serviceAllows(s) {
		it, ok := s.queue.Next(c.teamAllows)
		if !ok {
			c.actions.QuotaShort = true
			return
		}
		j := c.jobs[it.Key]
		if c.wouldMissDeadline(now, s, j) {
			j.missesDeadline = true
			s.queue.Remove(it.Key) // otherwise the loop would not end
			c.stopQueued(now, j, reasonLate)
			continue
		}
		a := c.pickAgent(now, s, j)
		if a == nil && c.parkJob(now, s, j) {
			continue
		}
		if a == nil {
			c.askIfStarved(now, s)
			return
		}
		if better := c.fasterAgent(now, s, j, a); better != nil {
			c.ask(now, s, better)
			return
		}
		c.dispatch(now, s, j, a)
	}
}

func (c *Core) serviceAllows(s *service) bool {
	return c.limits.Services[s.name].allows(s.running)
}

func (c *Core) teamAllows(team string) bool {
	return c.limits.Teams[team].allows(c.runningOf(team))
}

// wouldMissDeadline reports whether a task that started now would miss the
// deadline even if it took half the mean run time of the fastest agent.
func (c *Core) wouldMissDeadline(now time.Time, s *service, j *activeJob) bool {
	fastest := s.runTimes.Mean()
	for _, a := range s.agents {
		if m := a.health.Mean(); m > 0 && m < fastest {
			fastest = m
		}
	}
	return now.Add(fastest / 2).After(j.deadline)
}

// pickAgent returns the usable agent with the lowest cost. It prefers agents
// with slots that are not reserved for other teams.
func (c *Core) pickAgent(now time.Time, s *service, j *activeJob) *agent {
	var best candidate
	reserved := c.reserveForOthers(now, s, j.spec.Team)
	for _, a := range s.agents {
		if !c.usable(now, a, j) {
			continue
		}
		if next := (candidate{a, c.cost(s, a), reserved && a.tasksByTeam[j.spec.Team]+a.reserved >= a.status.Slots}); next.betterThan(best) {
			best = next
		}
	}
	return best.agent
}

// candidate is an agent that could take a task. The zero candidate is none.
type candidate struct {
	agent             *agent
	cost              time.Duration
	reservedForOthers bool // the slots that are left are reserved for other teams
}

func (x candidate) betterThan(y candidate) bool {
	switch {
	case y.agent == nil:
		return true
	case x.reservedForOthers != y.reservedForOthers:
		return y.reservedForOthers
	case x.cost != y.cost:
		return x.cost < y.cost
	}
	return x.agent.inFlight < y.agent.inFlight
}

// usable reports whether a task of j can be dispatched to a now.
func (c *Core) usable(now time.Time, a *agent, j *activeJob) bool {
	if a.balance.Available() == 0 || !c.acceptsWork(now, a) || now.Sub(a.stampReceived) >= c.cfg.StampMaxAge {
		return false
	}
	return a.eligible(j) && !c.registry.Suspended[a.id]
}

// eligible reports whether the agent's gate would take a task of j.
func (a *agent) eligible(j *activeJob) bool {
	if j.spec.Idempotent {
		return true
	}
	listed := a.status.Listed > 0 && a.status.Listed <= j.registry
	return listed && (!a.status.Young || j.claimed)
}

// eligibleOnClaim reports whether the agent's gate would take a task of j once
// j is claimed over the registry that the Core holds.
func (c *Core) eligibleOnClaim(a *agent) bool {
	return a.status.Listed > 0 && a.status.Listed <= c.registry.Revision
}

// parkJob takes out of the queue a job that no agent with credits may take now:
// to claim it, if that makes an agent with credits eligible, or to wait, if no
// agent of the service is eligible at all. It reports whether it did so.
func (c *Core) parkJob(now time.Time, s *service, j *activeJob) bool {
	if j.spec.Idempotent {
		return false
	}
	blocked := true
	for _, a := range s.agents {
		if !a.reachable || a.status.Draining {
			continue
		}
		if a.eligible(j) {
			blocked = false
			continue
		}
		if a.balance.Available() > 0 && c.eligibleOnClaim(a) && a.health.Allows(now) && !now.Before(j.optionalClaimAt) {
			c.startClaim(now, j, optionalClaim)
			return true
		}
	}
	if !blocked {
		return false
	}
	s.queue.Remove(j.spec.Key)
	c.timers.add(now.Add(c.cfg.AskInterval), timer{kind: requeueTimer, key: j.spec.Key})
	c.askIfStarved(now, s)
	return true
}

func (c *Core) cost(s *service, a *agent) time.Duration {
	cost := a.health.Mean()
	if cost == 0 {
		cost = s.runTimes.Mean()
	}
	if a.dataCentre != c.cfg.DataCentre {
		cost += c.cfg.FarPenalty
	}
	return cost
}

func (c *Core) dispatch(now time.Time, s *service, j *activeJob, a *agent) {
	i := j.nextQueued()
	s.queue.Take(j.spec.Key)
	t := &j.tasks[i]
	c.lastAttempt++
	t.state = job.Dispatched
	t.attempt = c.lastAttempt
	t.agent = a.id
	t.sentAt = now
	t.unclearSince = time.Time{}
	t.epoch = a.balance.Spend()
	c.attempts[t.attempt] = taskRef{j.spec.Key, i}
	c.occupy(now, s, j, a)
	c.counters.Dispatched++
	elapsed := now.Sub(a.stampReceived)
	c.actions.Runs = append(c.actions.Runs, Run{Agent: a.id, Args: wire.RunArgs{
		Epoch:  t.epoch,
		Demand: s.queue.Len(),
		Dispatch: gate.Dispatch{
			Task:        j.taskID(i),
			Entry:       c.id,
			Agent:       a.id,
			Attempt:     t.attempt,
			Ballot:      j.ballot,
			Registry:    j.registry,
			Idempotent:  j.spec.Idempotent,
			Stamp:       a.status.Stamp,
			StartWithin: elapsed + j.deadline.Sub(now),
			Service:     s.name,
			Team:        j.spec.Team,
			Payload:     j.spec.Tasks[i].Payload,
		},
	}})
}

// nextQueued returns the index of the first queued task, or the number of tasks
// if there is none.
func (j *activeJob) nextQueued() int {
	for j.scanFrom < len(j.tasks) && j.tasks[j.scanFrom].state != job.Queued {
		j.scanFrom++
	}
	return j.scanFrom
}

func (c *Core) occupy(now time.Time, s *service, j *activeJob, a *agent) {
	s.running++
	c.addRunning(now, j.spec.Team, a, 1)
	a.health.Begin()
}

// release undoes occupy and deletes the attempt of t.
func (c *Core) release(now time.Time, s *service, j *activeJob, t *task) {
	delete(c.attempts, t.attempt)
	if t.adopted {
		return
	}
	s.running--
	a := c.agents[t.agent]
	c.addRunning(now, j.spec.Team, a, -1)
	if a != nil {
		a.health.Abort()
	}
}

// fasterAgent returns an agent with free slots, but without a credit for this
// entry, that is so much faster than a that asking it for a credit pays off.
func (c *Core) fasterAgent(now time.Time, s *service, j *activeJob, a *agent) *agent {
	if c.cfg.AskGain == 0 {
		return nil
	}
	bound := time.Duration(float64(c.cost(s, a)) * c.cfg.AskGain)
	var best *agent
	for _, b := range s.agents {
		if b == a || b.askPending || b.status.Idle == 0 || b.balance.Available() > 0 || !c.acceptsWork(now, b) || !b.eligible(j) {
			continue
		}
		if cost := c.cost(s, b); cost < bound {
			best, bound = b, cost
		}
	}
	return best
}

// askIfStarved asks an agent for credits when tasks wait and no credit is at
// hand. While tasks run, their replies bring credits back, so it asks only an
// agent that is known to have free slots.
func (c *Core) askIfStarved(now time.Time, s *service) {
	if s.queue.Len() < c.cfg.AskThreshold && s.running > 0 {
		return
	}
	a := c.agentToAsk(now, s)
	switch {
	case a != nil && now.Sub(s.lastAsk) >= c.cfg.AskInterval:
		c.ask(now, s, a)
	case a != nil || s.running == 0:
		c.timers.add(now.Add(c.cfg.AskInterval), timer{kind: scheduleTimer, name: s.name})
	}
}

// ask sends a request for credits. Its reply schedules s again.
func (c *Core) ask(now time.Time, s *service, a *agent) {
	s.lastAsk = now
	a.askPending = true
	a.status.Idle = 0 // until its next status
	c.actions.Asks = append(c.actions.Asks, Ask{Agent: a.id, Demand: max(1, s.queue.Len())})
	c.timers.add(now.Add(askTimeout), timer{kind: scheduleTimer, name: s.name})
}

// askTimeout is when waiting tasks are scheduled again if no reply has come.
const askTimeout = 100 * time.Millisecond

// agentToAsk returns the agent with the most free slots that are not lent to
// this entry, by its last status, or nil. An agent without a free slot is a
// candidate as well if its status is older than idleMaxAge or no task runs.
func (c *Core) agentToAsk(now time.Time, s *service) *agent {
	var best *agent
	for _, a := range s.agents {
		idleIsCurrent := now.Sub(a.stampReceived) < idleMaxAge && s.running > 0
		if a.askPending || !c.acceptsWork(now, a) || (idleIsCurrent && a.status.Idle == 0) {
			continue
		}
		if best == nil || a.status.Idle > best.status.Idle {
			best = a
		}
	}
	return best
}

// idleMaxAge is how long an agent's status without a free slot is trusted. The
// agent knows the demand of this entry and offers credits when slots become
// free, so it need not be asked in that time.
const idleMaxAge = 5 * time.Second

// acceptsWork reports whether an agent can be sent dispatches and requests for
// credits.
func (c *Core) acceptsWork(now time.Time, a *agent) bool {
	return a.reachable && !a.status.Draining && a.health.Allows(now)
}
