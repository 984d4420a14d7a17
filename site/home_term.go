package site

import (
	"slices"
	"time"

	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/work"
)

// This file begins and ends the terms of a home, in which it places tasks. The home claims that all
// agents follow it, and places new jobs once it knows which runs of earlier homes are left; see
// schedule.Core.BeginTerm. The homes of a site of several cells share their agents, and claim nothing.

// updateRole begins or ends a term if this entry has become home of a cell or is not home any more.
// It reports whether this entry is home. The caller holds mu.
func (h *home) updateRole() bool {
	homes, now := h.e.homes(), h.e.now()
	isHome := slices.ContainsFunc(homes, func(m roster.Member) bool { return m.Life == h.e.life })
	isAlone := isHome && len(homes) == 1
	last := h.updateHomeSet(now, homes, isHome)
	if isHome && !h.wasHome {
		h.importPairs(now)
		h.hasListed = false
	}
	wasAlone := h.wasAlone
	h.wasHome, h.wasAlone = isHome, isAlone
	h.core.ShareAgents(isHome && !isAlone)
	if isHome && homes[0].Life == h.e.life {
		h.keepRegistry(homes[0].Term)
	} else {
		h.keepRegistry(0)
	}
	switch {
	case isAlone && (!wasAlone || homes[0].Term != h.term):
		h.beginTerm(now, homes[0].Term, last)
	case !isAlone && wasAlone:
		if isHome {
			h.term = 0
		} else {
			h.giveJobsBack(now)
		}
		h.core.EndTerm()
		h.deliverDecisions()
	}
	return isHome
}

// giveJobsBack has the entries of jobs that wait for lists hand them to the next home. The caller holds
// mu.
func (h *home) giveJobsBack(now time.Time) {
	for _, id := range h.core.JobsToGiveBack() {
		for _, w := range h.waiters[id] {
			w.done <- work.Outcome{State: movedJob}
		}
		delete(h.waiters, id)
		h.core.Withdraw(now, id)
		h.log.Info().Str("job", id).Msg("job given back to its entry")
	}
}

// movedJob is the state of a job that a home gives back to its entry. It does not leave home.run.
const movedJob work.State = "moved"

// beginTerm begins a term in which this entry is the only home, after those of the given set. The caller
// holds mu.
func (h *home) beginTerm(now time.Time, term uint64, last []roster.Member) {
	clear(h.listedHomes)
	h.term = term
	former, agentsOfFormer := h.e.homesToAsk(now)
	for _, m := range last {
		if m.Life != h.e.life && !containsLife(former, m.Life) && h.e.isInContact(m) {
			former = append(former, m)
		}
	}
	lives := make([]string, len(former))
	for i, m := range former {
		lives[i] = m.Life
		go h.awaitFormerHome(m)
	}
	agents, complete := h.e.agentsToList(now, agentsOfFormer)
	if !complete {
		agents = append(agents, schedule.UnknownAgent)
	}
	h.core.BeginTerm(now, agents, lives, now.Add(formerRunsEndAfter))
	h.lastLinkUpdate = time.Time{} // the agents are asked at once
	h.notify()
}

// agentsToList returns the agents which may have runs of lost homes that reached up to ofLost agents. The list
// is not complete if others know of more agents, or nobody in contact can tell.
func (e *Entry) agentsToList(now time.Time, ofLost int) (agents []string, complete bool) {
	agents, complete, _ = e.agentsSeen(now, ofLost)
	most, isKnown := e.agentsOfOthers(now, ofLost)
	return agents, complete || len(agents) >= most && isKnown
}

// updateAgentsKnown ends the wait for unknown agents once this entry knows as many as others do, or has read
// those that the homes before it knew. The caller holds mu.
func (h *home) updateAgentsKnown(now time.Time) {
	if !h.core.AwaitsUnknownAgent() {
		return
	}
	_, agentsOfFormer := h.e.homesToAsk(now)
	agents, _, _ := h.e.agentsSeen(now, 0)
	most, isKnown := h.e.agentsOfOthers(now, agentsOfFormer)
	var registered []string
	if h.registry.wasRead() && !h.e.isIsolated() && (!isKnown || len(agents) < most) {
		registered, isKnown = h.registry.sorted(), true
	}
	if isKnown && len(union(agents, registered)) >= most {
		h.core.AgentsKnown(now, agents, registered, now.Add(registeredAgentWait))
	}
}

// isIsolated reports whether this entry knows others and is in contact with none.
func (e *Entry) isIsolated() bool {
	return len(e.entriesInContact()) == 0 && slices.ContainsFunc(e.knownEntries.all(), func(a string) bool { return a != e.node.Internal })
}

// agentsOfOthers returns the largest number of agents that a lost home was in contact with, or another
// entry is. It is known if such an entry is not fresh.
func (e *Entry) agentsOfOthers(now time.Time, ofLostHome int) (most int, isKnown bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	most = ofLostHome
	for _, m := range e.roster.InContact(now) {
		most, isKnown = max(most, m.Agents), isKnown || !m.Fresh && m.Agents > 0
	}
	return most, isKnown
}

// homesToAsk returns the entries in contact that are or were home beside or before this one, and the
// largest number of agents that a lost home was in contact with.
func (e *Entry) homesToAsk(now time.Time) (former []roster.Member, agents int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.roster.InContact(now) {
		if _, wasHome := e.formerLives[m.Life]; m.Life != e.life && (wasHome || m.Term > 0 || m.Places) {
			former = append(former, m)
		}
	}
	for _, n := range e.formerLives {
		agents = max(agents, n)
	}
	return former, agents
}

// claimFor returns the claim that is sent to an agent. The caller holds mu.
func (h *home) claimFor(agent string) (c claimArgs) {
	now := h.e.now()
	if !h.wasHome || h.wasAlone && !h.core.MayClaim(now) {
		return c
	}
	h.e.mu.Lock()
	defer h.e.mu.Unlock()
	homes := h.e.roster.Homes(now)
	switch {
	case len(homes) > 1:
		c.Shared, c.Homes = true, slices.Sorted(slices.Values(lives(homes)))
	case len(homes) == 0 || homes[0].Life != h.e.life:
		return c
	}
	c.Term = homes[0].Term
	h.claimedTerm = max(h.claimedTerm, c.Term)
	inContact := h.e.roster.InContact(now)
	h.lastClaim++
	c.Seq, c.Reach = h.lastClaim, 1+len(inContact)
	for _, m := range inContact {
		if term, ok := h.listedHomes[m.Life]; ok && m.Term == 0 && !m.Places {
			if c.Former == nil {
				c.Former = make(map[string]uint64)
			}
			c.Former[m.Life] = term
		}
	}
	c.Listed = !h.core.AwaitsAgent(agent)
	return c
}

// awaitFormerHome asks a former home for its open jobs until it answers or is out of contact.
func (h *home) awaitFormerHome(m roster.Member) {
	for n := 0; h.e.ending.Err() == nil; n++ {
		listed, term := h.e.fetchOpenJobs(m)
		if n == 0 && !listed {
			h.e.log.Info().Str("entry", m.Name).Msg("former home has not given its role away yet")
		}
		if listed || !h.e.isInContact(m) || !h.awaits(m) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.core.FormerHomeListed(h.e.now(), m.Life, listed && term > 0 && term+1 == h.term)
			h.deliverDecisions()
			return
		}
		sleep(h.e.ending, formerRetryInterval)
	}
}

// awaits reports whether a former home is awaited.
func (h *home) awaits(m roster.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.AwaitsFormerHome(m.Life)
}

// formerRetryInterval is the time between questions to a former home that has not given its role
// away yet or does not answer.
const formerRetryInterval = 15 * time.Millisecond

// isInContact reports whether an incarnation of another entry is in contact.
func (e *Entry) isInContact(m roster.Member) bool {
	return containsLife(e.entriesInContact(), m.Life)
}

// recordHomes remembers the homes of the site until there are others, of which this entry may be
// one. The caller holds mu of the entry.
func (e *Entry) recordHomes(homes []roster.Member) {
	if len(homes) == 0 {
		return
	}
	if e.formerLives == nil {
		e.formerLives = make(map[string]int)
	}
	if slices.ContainsFunc(homes, func(m roster.Member) bool { return m.Life == e.life }) {
		return
	}
	clear(e.formerLives)
	for _, m := range homes {
		e.formerLives[m.Life] = m.Agents
	}
}
