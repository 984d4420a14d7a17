package schedule

import (
	"slices"
	"time"
)

// On a site of several cells, a job goes to other homes when the set of homes changes. One that is
// submitted to its new home may be open at an old one, which has to list its jobs first. The runs of an
// old home that is lost are listed by the agents, or have ended once their leases have expired. Only the
// jobs that the old home may have wait.

// otherHome is a home that may have jobs which are handed to this one now.
type otherHome struct {
	life    string
	since   time.Time
	mayHave func(job string) bool
	agents  map[string]bool // if the home is lost: agents that have not listed their runs
	until   time.Time       // if the home is lost: when the leases of its runs have expired; otherwise when it is no longer awaited
	lost    bool
	ended   bool // it is not awaited any more
}

// AwaitHome has jobs that are submitted from now on wait until another home has listed its jobs, if
// mayHave holds for their IDs. It is awaited until the time until.
func (c *Core) AwaitHome(now time.Time, life string, until time.Time, mayHave func(job string) bool) {
	c.others = append(c.others, &otherHome{life: life, since: now, until: until, mayHave: mayHave})
}

// HomeListed ends the wait for a home that was asked for its jobs at askedAt.
func (c *Core) HomeListed(now, askedAt time.Time, life string) {
	for _, o := range c.others {
		o.ended = o.ended || o.life == life && !o.since.After(askedAt)
	}
	c.endOtherHomes(now)
	c.placeWaiting(now)
}

// HomeLost has jobs wait for agents instead of a home that is lost, and for the time until the leases of
// its runs have expired if there is none.
func (c *Core) HomeLost(now time.Time, life string, agents []string, until time.Time) {
	for _, o := range c.others {
		if o.life != life || o.lost {
			continue
		}
		o.lost, o.since, o.until, o.agents = true, now, until, make(map[string]bool)
		for _, a := range agents {
			o.agents[a] = true
		}
	}
	c.endOtherHomes(now)
	c.placeWaiting(now)
}

// AwaitsHome reports whether a home in contact has not listed its jobs yet.
func (c *Core) AwaitsHome(life string) bool {
	return slices.ContainsFunc(c.others, func(o *otherHome) bool { return o.life == life && !o.lost })
}

// AwaitsLostHomes reports whether there may be runs of lost homes that no agent has listed.
func (c *Core) AwaitsLostHomes() bool {
	return len(c.earlier.agents) > 0 || slices.ContainsFunc(c.others, func(o *otherHome) bool { return o.lost })
}

// listedForLostHomes records that an agent has listed its runs, in an exchange that began at askedAt.
func (c *Core) listedForLostHomes(now, askedAt time.Time, agent string) (ended bool) {
	n := len(c.others)
	for _, o := range c.others {
		if !o.agents[agent] || askedAt.Before(o.since) {
			continue
		}
		delete(o.agents, agent)
		o.ended = len(o.agents) == 0
	}
	c.endOtherHomes(now)
	return len(c.others) < n
}

// othersWith returns the homes that may have a job.
func (c *Core) othersWith(job string) (homes []*otherHome) {
	for _, o := range c.others {
		if o.mayHave(job) {
			homes = append(homes, o)
		}
	}
	return homes
}

// endOtherHomes forgets the homes that are not awaited any more, and lets the jobs be placed that waited
// for them.
func (c *Core) endOtherHomes(now time.Time) {
	n := len(c.others)
	c.others = slices.DeleteFunc(c.others, func(o *otherHome) bool {
		if o.ended = o.ended || !now.Before(o.until); !o.ended {
			return false
		}
		c.addNote(Note{Kind: "otherHomeListed", Reason: o.life, Values: map[string]float64{"waitedMs": ms(now.Sub(o.since)), "agentsSilent": float64(len(o.agents))}})
		return true
	})
	if len(c.others) < n {
		c.releaseSealed(now)
	}
}

// await adds homes that may have the job of s.
func (s *sealing) await(others []*otherHome) {
	for _, o := range others {
		if !slices.Contains(s.others, o) {
			s.others = append(s.others, o)
		}
	}
}

// awaitsOthers reports whether a home that may have the job of s is awaited.
func (s *sealing) awaitsOthers() bool {
	return slices.ContainsFunc(s.others, func(o *otherHome) bool { return !o.ended })
}

// awaitsLost reports whether the agents of a lost home have not listed their runs in time.
func (c *Core) awaitsLost(now time.Time, s *sealing) bool {
	return slices.ContainsFunc(s.others, func(o *otherHome) bool {
		return o.lost && !o.ended && (len(o.agents) == 0 || now.Sub(o.since) > c.cfg.SuspectAfter)
	})
}
