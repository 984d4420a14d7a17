package site

import (
	"slices"
	"time"

	"masticbay/roster"
)

// This file follows the set of homes of a site of several cells. When it changes, a job may go to a home
// that does not have it, while a home of the set before has. So each home asks the others for their open
// jobs; see schedule.Core.AwaitHome.

// homeSet is the last set of homes of which this entry knew, and the members of earlier ones. It is
// guarded by home.mu.
type homeSet struct {
	members []roster.Member
	earlier []earlierMember
}

// earlierMember is a home of an earlier set, runs of which have ended at the time until if it is lost.
type earlierMember struct {
	roster.Member
	until time.Time
}

// updateHomeSet has the jobs wait that another home of the last set may have, if the set is another one now.
// It returns the last set. The caller holds mu.
func (h *home) updateHomeSet(now time.Time, homes []roster.Member, isHome bool) (last []roster.Member) {
	last = h.homeSet.members
	if len(homes) == 0 || slices.Equal(lives(homes), lives(last)) {
		return last
	}
	h.homeSet.replace(now, homes)
	if !isHome || len(homes) == 1 {
		return last // a home that is alone asks all agents
	}
	mayHave, others := h.mayHaveSince(last), last
	if !containsLife(last, h.e.life) {
		others = slices.Clone(homes)
		for _, m := range h.homeSet.earlier {
			others = append(others, m.Member)
		}
		if now.Sub(h.e.startedAt) < formerRunsEndAfter { // it knows no homes that were lost before
			h.core.AwaitHome(now, "", now.Add(formerRunsEndAfter), func(string) bool { return true })
			h.core.AwaitHome(now, lifeOfRegistered, now.Add(formerRunsEndAfter), func(string) bool { return true })
			go h.awaitAgentsOf(roster.Member{})
		}
	}
	for _, m := range homes { // one that had been out of contact may have been home meanwhile
		if !containsLife(others, m.Life) && h.e.hasOpenJobs(m) {
			others = append(slices.Clip(others), m)
		}
	}
	for i, m := range others {
		if m.Life == h.e.life || containsLife(others[:i], m.Life) {
			continue
		}
		h.core.AwaitHome(now, m.Life, now.Add(formerRunsEndAfter), func(id string) bool { return mayHave(m, id) })
		go h.awaitHome(m)
	}
	h.lastLinkUpdate = time.Time{}
	h.notify()
	return last
}

func (s *homeSet) replace(now time.Time, homes []roster.Member) {
	s.earlier = slices.DeleteFunc(s.earlier, func(m earlierMember) bool { return now.After(m.until) })
	for _, m := range s.members {
		s.earlier = append(s.earlier, earlierMember{m, now.Add(formerRunsEndAfter)})
	}
	s.members = slices.Clone(homes)
}

// mayHaveSince returns whether another home may have a job that this one does not have, since the given set
// was in force. A job of which this home was the first candidate is elsewhere only if it has declined it.
// A home that was not of the set can not tell.
func (h *home) mayHaveSince(last []roster.Member) func(m roster.Member, id string) bool {
	if !containsLife(last, h.e.life) {
		return func(roster.Member, string) bool { return true }
	}
	return func(m roster.Member, id string) bool {
		if !containsLife(last, m.Life) {
			return true
		}
		c := roster.Candidates(last, id)
		if c[0].Life == h.e.life {
			_, declined := h.declinedUntil[id]
			return declined && containsLife(c, m.Life)
		}
		return containsLife(c, m.Life)
	}
}

// awaitHome asks another home for its open jobs until it answers or is lost, and then its agents.
func (h *home) awaitHome(m roster.Member) {
	for h.e.ending.Err() == nil {
		askedAt := h.e.now()
		listed, _ := h.e.fetchOpenJobs(m)
		if !listed && !h.e.isInContact(m) {
			h.awaitAgentsOf(m)
			return
		}
		if h.homeAnswered(m, askedAt, listed) {
			return
		}
		sleep(h.e.ending, formerRetryInterval)
	}
}

// homeAnswered records whether another home has listed its jobs. It reports whether the home is not to be
// asked again.
func (h *home) homeAnswered(m roster.Member, askedAt time.Time, listed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return true
	}
	if listed {
		h.core.HomeListed(h.e.now(), askedAt, m.Life)
	}
	h.deliverDecisions()
	return !h.core.AwaitsHome(m.Life)
}

// awaitAgentsOf has jobs wait for the agents which may run jobs of a lost home.
func (h *home) awaitAgentsOf(m roster.Member) {
	agents, complete := h.e.agentsToList(h.e.now(), m.Agents)
	var registered []string // only
	if !complete {
		var all []string
		all, complete = h.e.registeredAgents(agents)
		registered = all[len(agents):]
		most, _ := h.e.agentsOfOthers(h.e.now(), m.Agents)
		complete = complete && len(all) >= most
	}
	if m.Life != "" {
		agents, registered = append(agents, registered...), nil
	}
	if !complete || len(agents)+len(registered) > maxSealingAgents {
		agents, registered = nil, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	now := h.e.now()
	h.core.HomeLost(now, m.Life, agents, now.Add(formerRunsEndAfter))
	switch {
	case m.Life != "":
	case len(registered) > 0:
		h.core.HomeLost(now, lifeOfRegistered, registered, now.Add(registeredAgentWait))
	default:
		h.core.HomeListed(now, now, lifeOfRegistered)
	}
	for _, a := range append(agents, registered...) {
		if _, ok := h.links[a]; !ok {
			h.links[a] = newLink(h, a)
		}
	}
	h.deliverDecisions()
}

// lifeOfRegistered stands for lost homes whose agents are only known from the store.
const lifeOfRegistered = "registered"

// hasOpenJobs reports whether jobs are open at another home, as it has said last.
func (e *Entry) hasOpenJobs(m roster.Member) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.homeReports[m.Address].open
}

func containsLife(members []roster.Member, life string) bool {
	return slices.ContainsFunc(members, func(m roster.Member) bool { return m.Life == life })
}

// homesAre reports whether the homes of the site are those of the given incarnations, in any order.
func (e *Entry) homesAre(others []string) bool {
	own := lives(e.homes())
	return len(own) == len(others) && !slices.ContainsFunc(own, func(l string) bool { return !slices.Contains(others, l) })
}
