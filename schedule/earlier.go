package schedule

import (
	"maps"
	"slices"
	"time"
)

// A home that begins its term knows no job of the homes before it. A job that is submitted then may be
// one of theirs: its caller has left, or was left, and is back. So nothing new is placed until those
// who know have told which runs are left: the agents, each of which then follows this home, and former
// homes that go on with their jobs. What an agent that does not answer runs has ended once its leases
// have expired. From then on, each report of an agent lists the runs that other homes have ordered
// there, and a job with such a run is sealed before it is placed.

// earlierHomes is what a home awaits of the homes before it. The zero value awaits nothing.
type earlierHomes struct {
	begunAt time.Time
	agents  map[string]awaitedAgent // may have runs of other homes
	homes   map[string]time.Time    // have not listed their jobs yet; by incarnation: until when they are awaited
	silent  int                     // agents that have not answered in time
}

// awaitedAgent tells for what an agent is awaited.
type awaitedAgent struct {
	since time.Time // a report counts if it was asked for since then
	lists bool      // it has to list its runs; otherwise they are known, and it has to follow this home
	until time.Time // when the leases of runs of other homes have expired there
}

// BeginTerm has jobs wait until the given agents have listed their runs, and former homes their jobs
// (see FormerHomeListed), or until the time until. That includes the jobs of an earlier term of
// this home, which another home may have got meanwhile.
func (c *Core) BeginTerm(now time.Time, agents, homes []string, until time.Time) {
	c.earlier = earlierHomes{begunAt: now, agents: make(map[string]awaitedAgent), homes: make(map[string]time.Time)}
	c.hasTerm, c.termBegunAt = true, now
	for _, a := range slices.Concat(agents, c.agentNames) {
		c.earlier.agents[a] = awaitedAgent{since: now, lists: true, until: until}
	}
	for _, h := range homes {
		c.earlier.homes[h] = now.Add(c.cfg.RunsOfOthersEndAfter)
	}
	c.addNote(Note{Kind: "termBegins", Reason: "this entry is home now", Values: map[string]float64{"agents": float64(len(agents)), "formerHomes": float64(len(homes))}})
	c.expireRunLists(now)
	c.awaitRunListsOfAll(now)
}

// EndTerm ends the term. Agents need not follow this home any more. Lists that are awaited go on being so.
func (c *Core) EndTerm() { c.hasTerm = false }

// ShareAgents sets whether agents have to follow this home together with those of the other cells.
func (c *Core) ShareAgents(shares bool) { c.shares = shares }

// JobsToGiveBack returns the jobs that wait for lists, and of which no task was sent. They can be handed
// to the next home.
func (c *Core) JobsToGiveBack() (ids []string) {
	for id, j := range c.jobs {
		if !j.answered && !j.wasSent && j.sealing != nil && j.sealing.byRunList {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// awaitRunListsOfAll has all open jobs wait.
func (c *Core) awaitRunListsOfAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if j := c.jobs[id]; !j.answered && j.sealing == nil {
			c.awaitRunLists(now, j)
		}
	}
}

// FormerHomeListed records that a former home has listed its jobs, or is lost. If it knew all runs
// of the homes before it, agents that are out of contact are not awaited any more. The others still
// have to follow this home, as they may have followed another one since.
func (c *Core) FormerHomeListed(now time.Time, life string, knewAllRuns bool) {
	if !c.AwaitsFormerHome(life) {
		return
	}
	delete(c.earlier.homes, life)
	for name, a := range c.earlier.agents {
		if end := now.Add(c.cfg.SuspectAfter); knewAllRuns && end.Before(a.until) {
			a.until = end
			c.earlier.agents[name] = a
		}
	}
	if knewAllRuns {
		delete(c.earlier.agents, UnknownAgent)
	}
	c.expireRunLists(now)
	c.releaseSealed(now)
	c.placeWaiting(now)
}

// UnknownAgent stands for agents whose names are not known in the arguments of BeginTerm. It never
// lists its runs.
const UnknownAgent = ""

// AwaitsUnknownAgent reports whether UnknownAgent is awaited.
func (c *Core) AwaitsUnknownAgent() bool { return c.AwaitsAgent(UnknownAgent) }

// AgentsKnown records that there are no agents but the given ones, which replace UnknownAgent. Those that are
// only registered may have left long ago, and are awaited until the time until.
func (c *Core) AgentsKnown(now time.Time, agents, registered []string, until time.Time) {
	unknown, ok := c.earlier.agents[UnknownAgent]
	if !ok {
		return
	}
	delete(c.earlier.agents, UnknownAgent)
	for _, agent := range agents {
		if _, ok := c.targets[agent]; !ok {
			c.earlier.agents[agent] = unknown
		}
	}
	for _, agent := range registered {
		if _, ok := c.targets[agent]; !ok && !slices.Contains(agents, agent) {
			a := unknown
			if until.Before(a.until) {
				a.until = until
			}
			c.earlier.agents[agent] = a
		}
	}
	c.expireRunLists(now)
	c.releaseSealed(now)
	c.placeWaiting(now)
}

// awaitNew has jobs wait until an agent that reports for the first time follows this home. Soon after the
// beginning of the term it may have runs of earlier homes.
func (c *Core) awaitNew(now time.Time, t *target) {
	if c.hasTerm && !c.earlier.agents[t.agent].lists {
		end := now.Add(c.cfg.RunsOfOthersEndAfter)
		c.await(t.agent, awaitedAgent{since: now, lists: now.Sub(c.termBegunAt) <= c.cfg.RunsOfOthersEndAfter, until: end})
	}
}

// awaitFollower has jobs wait until a new incarnation of an agent follows this home.
func (c *Core) awaitFollower(now time.Time, t *target) {
	if c.hasTerm && !c.earlier.agents[t.agent].lists {
		c.await(t.agent, awaitedAgent{since: now, until: now.Add(c.cfg.RunsOfOthersEndAfter)})
	}
}

// countsSince reports whether a report was asked for since the agent is awaited.
func (a *awaitedAgent) countsSince(r *Report) bool {
	return r.AskedAt.IsZero() || !r.AskedAt.Before(a.since)
}

// listed ends the wait for an agent.
func (c *Core) listed(now time.Time, agent string) {
	delete(c.earlier.agents, agent)
	c.expireRunLists(now)
	c.releaseSealed(now)
}

func (c *Core) await(agent string, a awaitedAgent) {
	if c.earlier.agents == nil {
		c.earlier = earlierHomes{begunAt: a.since, agents: make(map[string]awaitedAgent), homes: make(map[string]time.Time)}
	}
	c.earlier.agents[agent] = a
}

// awaitReturn has jobs wait while an agent follows another home, which may start any job at the
// agents that follow it, and then until all agents have listed their runs again.
func (c *Core) awaitReturn(now time.Time, t *target, isFirst bool) {
	a := awaitedAgent{since: now, lists: true, until: now.Add(c.cfg.RunsOfOthersEndAfter)}
	c.await(t.agent, a)
	if !isFirst {
		return
	}
	for _, agent := range c.agentNames {
		c.await(agent, a)
	}
	c.awaitRunListsOfAll(now)
}

// keepsToOther reports whether an agent goes on to follow another home, although this one claims it. An agent
// leaves a home that was lost sooner.
func (c *Core) keepsToOther(now time.Time, t *target) bool {
	return c.hasTerm && t.followsOther() && min(now.Sub(t.followsSince), now.Sub(c.termBegunAt)) > 2*c.cfg.SuspectAfter
}

// IsPassedOver reports whether this home can start nothing, as all workers go on to follow another one.
func (c *Core) IsPassedOver(now time.Time) bool {
	n := 0
	for _, t := range c.targets {
		switch {
		case !c.isServing(now, t):
		case !c.keepsToOther(now, t):
			return false
		default:
			n++
		}
	}
	return n > 0
}

// AwaitsAgent reports whether an agent has to list its runs or to follow this home.
func (c *Core) AwaitsAgent(agent string) bool {
	_, ok := c.earlier.agents[agent]
	return ok || slices.ContainsFunc(c.others, func(o *otherHome) bool { return o.agents[agent] })
}

// AwaitsFormerHome reports whether a former home has not listed its jobs yet.
func (c *Core) AwaitsFormerHome(life string) bool {
	_, ok := c.earlier.homes[life]
	return ok
}

// MayClaim reports whether agents may be asked to follow this home. A former home in contact, which goes on
// with its jobs, gets some time to list them before.
func (c *Core) MayClaim(now time.Time) bool {
	return c.hasTerm && (len(c.earlier.homes) == 0 || now.Sub(c.termBegunAt) > c.cfg.SuspectAfter)
}

// AwaitsRunLists reports whether there may be runs of earlier homes that are not listed.
func (c *Core) AwaitsRunLists() bool {
	return len(c.earlier.agents) > 0 || len(c.earlier.homes) > 0
}

// expireRunLists ends the wait for agents when their runs have ended, and notes the end of the whole wait.
func (c *Core) expireRunLists(now time.Time) {
	for name, a := range c.earlier.agents {
		if !now.Before(a.until) {
			delete(c.earlier.agents, name)
			c.earlier.silent++
		}
	}
	// The agents follow this home by now, so a former home that does not answer can start nothing there.
	maps.DeleteFunc(c.earlier.homes, func(_ string, until time.Time) bool { return !now.Before(until) })
	if c.earlier.begunAt.IsZero() || c.AwaitsRunLists() {
		return
	}
	c.addNote(Note{Kind: "earlierRunsListed", Reason: "new jobs are placed", Values: map[string]float64{"waitedMs": ms(now.Sub(c.earlier.begunAt)), "agentsSilent": float64(c.earlier.silent)}})
	c.earlier = earlierHomes{}
}

// awaitsSilentAgent reports whether an agent whose runs are not listed is out of contact.
func (c *Core) awaitsSilentAgent(now time.Time) bool {
	if now.Sub(c.earlier.begunAt) <= c.cfg.SuspectAfter {
		return false
	}
	for name := range c.earlier.agents {
		if c.isSilent(now, name) {
			return true
		}
	}
	return false
}

func (c *Core) isSilent(now time.Time, agent string) bool {
	t, ok := c.targets[agent]
	return !ok || now.Sub(t.lastContact) > c.cfg.SuspectAfter
}

// awaitRunLists keeps a new job from being placed while it may have runs of other homes.
func (c *Core) awaitRunLists(now time.Time, j *job) {
	highest, others := c.highestRunOfOthers(j.ID), c.othersWith(j.ID)
	if j.Stored || highest == 0 && !c.AwaitsRunLists() && len(others) == 0 {
		return // the ledger knows stored jobs
	}
	s := &sealing{job: j.ID, startedAt: now, asked: make(map[string]bool), byRunList: true, others: others}
	s.Complete, s.RunNumberBase, s.RunsEndAt = true, max(j.runNumberBase, highest), now.Add(c.cfg.RunsOfOthersEndAfter)
	for _, a := range c.agentNames {
		if _, ok := c.targets[a].runsOfOthers[j.ID]; ok {
			s.asked[a] = false
		}
	}
	j.mayHaveRun = j.mayHaveRun || highest > 0
	c.startSealing(now, j, s)
}

// sealedBy returns when the runs that a sealing waits for have ended at the latest.
func (c *Core) sealedBy(s *sealing) time.Time {
	if !s.byRunList || len(s.asked) > 0 {
		return s.RunsEndAt
	}
	var end time.Time
	for _, a := range c.earlier.agents {
		if a.until.After(end) {
			end = a.until
		}
	}
	for _, o := range s.others {
		if !o.ended && o.until.After(end) {
			end = o.until
		}
	}
	return end
}

// takeRunList records the runs of other homes that an agent lists, and has those of jobs that wait
// sealed. It reports whether the agent has begun or ceased to take starts, or a wait may have ended.
func (c *Core) takeRunList(now time.Time, t *target, r *Report) (changed bool) {
	changed = t.followsOther() != r.FollowsOther
	if r.FollowsOther && (c.hasTerm || c.shares) {
		c.awaitReturn(now, t, !t.followsOther())
	}
	switch {
	case !r.FollowsOther:
		t.followsSince = time.Time{}
	case changed:
		t.followsSince = now
	}
	t.runsOfOthers = r.RunsOfOthers
	for _, s := range c.sealing {
		if n, ok := t.runsOfOthers[s.job]; ok {
			c.sealListed(now, s, t.agent, n)
		}
	}
	if r.ListsAllRuns && c.listedForLostHomes(now, r.AskedAt, t.agent) {
		changed = true
	}
	a, ok := c.earlier.agents[t.agent]
	if !ok || !a.countsSince(r) || !r.ListsAllRuns && (a.lists || !r.Follows) {
		return changed
	}
	if len(c.earlier.agents) == 1 && c.earlier.silent == 0 {
		clear(c.earlier.homes) // no former home can start anything any more
	}
	c.listed(now, t.agent)
	return true
}

// sealListed has an agent seal a job of which it lists a run of another home.
func (c *Core) sealListed(now time.Time, s *sealing, agent string, n int) {
	if end := now.Add(c.cfg.RunsOfOthersEndAfter); end.After(s.RunsEndAt) {
		s.RunsEndAt = end // the run has not ended yet
	}
	if n > s.RunNumberBase {
		s.RunNumberBase = n
		for a := range s.asked {
			s.asked[a] = false
		}
		if !s.byRunList {
			c.requireSeal(s)
		}
		if j, ok := c.jobs[s.job]; ok && j.sealing == s {
			j.runNumberBase, j.mayHaveRun = n, true
		}
	}
	if _, pending := s.asked[agent]; !pending {
		s.asked[agent] = false
	}
}

// highestRunOfOthers returns the highest number of a run of a job that another home has ordered, as
// agents list it; 0 if there is none.
func (c *Core) highestRunOfOthers(id string) (n int) {
	for _, t := range c.targets {
		n = max(n, t.runsOfOthers[id])
	}
	return n
}

// ListsAllRuns reports whether OpenJobs holds all jobs of which this home, or one before it, may have
// a run.
func (c *Core) ListsAllRuns() bool {
	if c.AwaitsRunLists() {
		return false
	}
	for _, t := range c.targets {
		if len(t.runsOfOthers) > 0 {
			return false
		}
	}
	return true
}
