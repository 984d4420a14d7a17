package dispatch

import (
	"maps"
	"slices"
	"time"

	"masticbay/gate"
	"masticbay/job"
)

// pendingClaim is a claim that waits for answers: it asks which tasks of a job
// were started. It completes when every listed entry has answered, or when every
// registered agent has.
type pendingClaim struct {
	ballot         gate.Ballot
	startedAt      time.Time
	registry       uint64
	hasLostEntries bool // the answers of the entries do not suffice
	agentsAsked    bool
	awaitedAgents  map[string]struct{} // agents without an answer so far
	awaitedEntries map[string]struct{} // entries without an answer so far
	expiresAt      time.Time
	purpose        claimPurpose
}

// claimPurpose says why a job is claimed.
type claimPurpose uint8

const (
	requiredClaim claimPurpose = iota // another entry may have run the job
	optionalClaim                     // makes more agents eligible, but is not needed
	proofClaim                        // proves that waiting tasks did not run elsewhere
)

// claimRetryInterval is the interval at which members that have not answered are
// asked again.
const claimRetryInterval = 200 * time.Millisecond

// startClaim begins a claim of j over the registry that the Core holds. It takes
// the waiting tasks of j out of the queue until the claim has ended.
func (c *Core) startClaim(now time.Time, j *activeJob, purpose claimPurpose) {
	c.counters.Claims++
	c.lastBallot++
	limit := c.cfg.ClaimLimit
	if j.spec.Idempotent {
		limit = c.cfg.ShortClaim
	}
	cl := &pendingClaim{
		ballot:         gate.Ballot{N: c.lastBallot, Entry: c.id},
		startedAt:      now,
		registry:       c.registry.Revision,
		hasLostEntries: c.registry.HasLostEntries,
		awaitedAgents:  make(map[string]struct{}),
		awaitedEntries: make(map[string]struct{}),
		expiresAt:      now.Add(limit),
		purpose:        purpose,
	}
	if j.claim != nil {
		cl.expiresAt = j.claim.expiresAt
		cl.purpose = j.claim.purpose
	}
	j.claim = cl
	c.service(j.spec.Service).queue.Remove(j.spec.Key)
	for _, id := range c.registry.Entries {
		cl.awaitedEntries[id] = struct{}{}
		c.sendInquiry(id, cl, j.spec.Key)
	}
	if c.isolated {
		c.askAgents(j)
	}
	c.timers.add(now.Add(claimRetryInterval), timer{kind: claimTimer, key: j.spec.Key, n: cl.ballot.N})
	c.checkClaim(now, j)
}

// askAgents sends the claim of j to the registered agents. A registry without
// agents of the service proves nothing, so they then do not count as asked.
func (c *Core) askAgents(j *activeJob) {
	cl := j.claim
	cl.agentsAsked = len(c.registry.Agents[j.spec.Service]) > 0
	for _, id := range c.registry.Agents[j.spec.Service] {
		cl.awaitedAgents[id] = struct{}{}
		c.sendClaim(id, cl, j.spec.Key)
	}
}

// sendClaim adds a job to the claim that is about to be sent to an agent.
func (c *Core) sendClaim(agent string, cl *pendingClaim, k job.Key) {
	i, ok := c.claimIndex[agent]
	if !ok {
		i = len(c.actions.Claims)
		c.claimIndex[agent] = i
		c.actions.Claims = append(c.actions.Claims, gate.Claim{Entry: c.id, Agent: agent, Registry: cl.registry})
	}
	out := &c.actions.Claims[i]
	out.Registry = min(out.Registry, cl.registry)
	out.Jobs = append(out.Jobs, gate.ClaimItem{Job: k, Ballot: cl.ballot})
}

// ClaimAnswered takes an agent's answers to a claim.
func (c *Core) ClaimAnswered(now time.Time, agent string, grants []gate.Grant) {
	for i := range grants {
		c.applyGrant(now, agent, &grants[i])
	}
}

func (c *Core) applyGrant(now time.Time, agent string, g *gate.Grant) {
	j := c.jobs[g.Job]
	if j == nil || j.claim == nil || j.claim.ballot != g.Ballot {
		return
	}
	switch {
	case g.OK:
		delete(j.claim.awaitedAgents, agent)
		c.adoptReports(now, j, agent, g.Reports)
		c.checkClaim(now, j)
	case !g.Holder.Zero():
		c.lastBallot = max(c.lastBallot, g.Holder.N)
		c.yieldJob(now, j, g.Holder)
	case g.Registry > j.claim.registry:
		c.actions.WantRegistry = max(c.actions.WantRegistry, g.Registry)
	}
}

// yieldJob gives a job up to the entry whose claim has a higher ballot and
// redirects the callers of the job there. If that entry cannot be reached, the
// caller of the Core submits the job again with a claim.
func (c *Core) yieldJob(now time.Time, j *activeJob, holder gate.Ballot) {
	if j.answer != nil {
		return
	}
	c.removeJob(now, j)
	c.actions.Redirects = append(c.actions.Redirects, Redirect{Key: j.spec.Key, Holder: holder.Entry})
}

// removeJob deletes a job for which another entry answers. It keeps the traces
// of what was dispatched.
func (c *Core) removeJob(now time.Time, j *activeJob) {
	c.recordTraces(now, j)
	s := c.service(j.spec.Service)
	s.queue.Remove(j.spec.Key)
	for i := range j.tasks {
		if j.tasks[i].state == job.Dispatched {
			c.release(now, s, j, &j.tasks[i])
		}
	}
	delete(c.jobs, j.spec.Key)
}

// adoptReports takes over what an agent started of j under another claim.
func (c *Core) adoptReports(now time.Time, j *activeJob, agent string, reports []gate.Report) {
	for i := range reports {
		rep := &reports[i]
		if rep.Task.Rerun != "" || rep.Task.Index >= len(j.tasks) {
			continue
		}
		if j.tasks[rep.Task.Index].state != job.Queued {
			continue
		}
		c.adoptTask(j, rep.Task.Index, agent).sentAt = now
		c.applyReport(now, j, rep.Task.Index, rep)
	}
}

// adoptTask marks a task as dispatched to an agent under an earlier claim or
// submission, and gives it an attempt of this entry, by which it is tracked.
func (c *Core) adoptTask(j *activeJob, i int, agent string) *task {
	t := &j.tasks[i]
	t.state = job.Dispatched
	t.agent = agent
	t.adopted = true
	c.lastAttempt++
	t.attempt = c.lastAttempt
	c.attempts[t.attempt] = taskRef{j.spec.Key, i}
	return t
}

// checkClaim ends the claim of j when all entries or all agents have answered.
func (c *Core) checkClaim(now time.Time, j *activeJob) {
	if j.claim == nil || !(c.allEntriesAnswered(j.claim) || c.allAgentsGranted(j.claim)) {
		return
	}
	if !c.allAgentsGranted(j.claim) {
		c.mergeTraces(now, j)
	}
	j.ballot = j.claim.ballot
	j.registry = j.claim.registry
	j.claimed = true
	j.claim = nil
	if j.answer != nil {
		return
	}
	switch reason := j.stopReason(now); {
	case reason != "" && j.hasDispatched():
		j.setReason(reason)
		return // claimed again when those tasks have ended
	case reason != "":
		c.endQueued(now, j, job.NotRun, reason)
		return
	}
	c.enqueue(j)
	c.schedule(now, c.service(j.spec.Service))
}

// allEntriesAnswered reports whether every entry that may have run the job has
// answered. A registry that is older than that of another claim may lack an
// entry.
func (c *Core) allEntriesAnswered(cl *pendingClaim) bool {
	return !cl.hasLostEntries && cl.registry > 0 && cl.registry >= c.highestRegistry && len(cl.awaitedEntries) == 0
}

// allAgentsGranted reports whether every registered agent has granted the claim. A
// registry that is older than that of another claim may lack an agent.
func (c *Core) allAgentsGranted(cl *pendingClaim) bool {
	return cl.agentsAsked && cl.registry >= c.highestRegistry && len(cl.awaitedAgents) == 0
}

// onClaim asks again, or ends a claim whose time has run out. The waiting tasks
// are then unknown, unless the claim was optional or the job is idempotent and
// may run again.
func (c *Core) onClaim(now time.Time, k job.Key, n uint64) {
	j := c.jobs[k]
	if j == nil || j.claim == nil || j.claim.ballot.N != n {
		return
	}
	if j.answer != nil {
		j.claim = nil
		return
	}
	if now.Before(j.claim.expiresAt) {
		c.retryClaim(now, j)
		return
	}
	c.counters.ClaimsIncomplete++
	cl := j.claim
	j.claim = nil
	if cl.purpose == optionalClaim && j.stopReason(now) == "" {
		c.proceedUnclaimed(now, j, cl)
		return
	}
	if j.spec.Idempotent && j.stopReason(now) == "" {
		c.rerunQueued(now, j, cl)
		return
	}
	c.endQueued(now, j, job.Unknown, "neither all entries nor all agents that may have started tasks did answer")
}

func (c *Core) retryClaim(now time.Time, j *activeJob) {
	if c.highestRegistry > c.registry.Revision {
		c.actions.WantRegistry = max(c.actions.WantRegistry, c.highestRegistry)
	}
	if c.registry.Revision > j.claim.registry {
		c.startClaim(now, j, j.claim.purpose)
		return
	}
	for _, id := range slices.Sorted(maps.Keys(j.claim.awaitedEntries)) {
		c.sendInquiry(id, j.claim, j.spec.Key)
	}
	if !j.claim.agentsAsked {
		c.askAgents(j)
	} else {
		for _, id := range slices.Sorted(maps.Keys(j.claim.awaitedAgents)) {
			c.sendClaim(id, j.claim, j.spec.Key)
		}
	}
	c.timers.add(now.Add(claimRetryInterval), timer{kind: claimTimer, key: j.spec.Key, n: j.claim.ballot.N})
}

// optionalClaimInterval is how long agents that need a claim get no task of a
// job after an optional claim has failed.
const optionalClaimInterval = 500 * time.Millisecond

// proceedUnclaimed queues the tasks of j after an optional claim has failed. The
// agents that granted it obey no lower ballot, so dispatches carry its ballot.
func (c *Core) proceedUnclaimed(now time.Time, j *activeJob, cl *pendingClaim) {
	j.optionalClaimAt = now.Add(optionalClaimInterval)
	j.ballot = cl.ballot
	c.enqueue(j)
	c.schedule(now, c.service(j.spec.Service))
}

// rerunQueued queues the tasks of an idempotent job after a claim has failed.
// They may run a second time, so they get names of this submission.
func (c *Core) rerunQueued(now time.Time, j *activeJob, cl *pendingClaim) {
	j.ballot = cl.ballot
	for i := range j.tasks {
		if j.tasks[i].state == job.Queued {
			j.tasks[i].rerun = true
		}
	}
	c.enqueue(j)
	c.schedule(now, c.service(j.spec.Service))
}
