package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// usage counts the tasks that a team runs by this entry.
type usage struct {
	running         int // dispatched tasks
	peak            int // most running tasks in the current period
	previousPeak    int // most running tasks in the period before
	periodStartedAt time.Time
}

// usagePeriod is the shortest time for which a team's peak is remembered.
const usagePeriod = 15 * time.Second

func (u *usage) add(now time.Time, n int) {
	if now.Sub(u.periodStartedAt) >= usagePeriod {
		u.previousPeak, u.peak, u.periodStartedAt = u.peak, u.running, now
	}
	u.running += n
	u.peak = max(u.peak, u.running)
}

// recentPeak returns the most tasks that the team has run at once in the current
// period and the one before.
func (u *usage) recentPeak(now time.Time) int {
	switch age := now.Sub(u.periodStartedAt); {
	case age >= 2*usagePeriod:
		return u.running
	case age >= usagePeriod:
		return u.peak
	}
	return max(u.peak, u.previousPeak)
}

// addRunning adds n to the running tasks of a team, and to those at the agent a
// unless it is nil.
func (c *Core) addRunning(now time.Time, team string, a *agent, n int) {
	u := c.teams[team]
	if u == nil {
		u = &usage{}
		c.teams[team] = u
	}
	u.add(now, n)
	if a == nil {
		return
	}
	a.inFlight += n
	if a.tasksByTeam == nil {
		a.tasksByTeam = make(map[string]int)
	}
	a.tasksByTeam[team] += n
	if a.tasksByTeam[team] == 0 {
		delete(a.tasksByTeam, team)
	}
}

// runningOf returns the number of dispatched tasks of a team.
func (c *Core) runningOf(team string) int {
	if u := c.teams[team]; u != nil {
		return u.running
	}
	return 0
}

// reserveForOthers reserves the fastest slots of s for the other teams, as many
// as they have used recently, if the team has a limit and has been served
// more tasks without a break than any other. Otherwise its flood of tasks would
// hold all fast targets and leave the slow ones to teams that submit now and
// then. It reports whether it reserved slots.
func (c *Core) reserveForOthers(now time.Time, s *service, team string) bool {
	if !c.limits.Teams[team].Limited || !s.queue.InLongestBusyPeriod(team) {
		return false
	}
	others := 0
	for name, u := range c.teams {
		if name != team {
			others += u.recentPeak(now)
		}
	}
	if others == 0 {
		return false
	}
	for _, a := range c.rankAgents(now, s) {
		a.reserved = min(a.status.Slots, others)
		others -= a.reserved
	}
	return true
}

// rankInterval is how long the order of the agents by cost is reused.
const rankInterval = time.Second

// rankAgents returns the agents of s in the order of their cost, the lowest first.
func (c *Core) rankAgents(now time.Time, s *service) []*agent {
	if now.Sub(s.rankedAt) < rankInterval && len(s.agentsByCost) == len(s.agents) {
		return s.agentsByCost
	}
	s.rankedAt = now
	s.agentsByCost = slices.Clone(s.agents)
	slices.SortStableFunc(s.agentsByCost, func(a, b *agent) int { return cmp.Compare(c.cost(s, a), c.cost(s, b)) })
	return s.agentsByCost
}
