package schedule

import "time"

// After a restart of all processes, the agents are in contact at once, but they don't know
// their workers before the next heartbeats, which come once a second. Until then the capacity
// seems to be smaller than it is.

// startupTime is the time after the first contact of a worker during which more
// workers are expected. Until then no job is rejected for the work that waits before it.
const startupTime = 400 * time.Millisecond

// descriptionTime is the time in which a worker describes itself to a new agent: the second
// between its heartbeats and a lost message.
const descriptionTime = 1200 * time.Millisecond

// isStarting reports whether more workers are expected soon than are usable now.
func (c *Core) isStarting(now time.Time) bool {
	return !now.After(c.startupUntil) || c.awaitsDescriptions(now)
}

// awaitsDescriptions reports whether a good part of the agents in contact don't know their
// workers yet, as after a restart of all. A few agents that restart or join don't count.
func (c *Core) awaitsDescriptions(now time.Time) bool {
	inContact, unknown := 0, 0
	for _, t := range c.targets {
		if t.excluded || now.Sub(t.lastContact) > c.cfg.SuspectAfter {
			continue
		}
		inContact++
		if t.ID == "" && now.Sub(t.knownSince) <= descriptionTime {
			unknown++
		}
	}
	return unknown > 0 && startingShare*unknown >= inContact
}

// startingShare is the number of agents in contact to one that does not know its worker, from
// which on the site counts as started.
const startingShare = 4

// mayGetWorkers reports whether a job for which no worker is usable may end in time on one
// that describes itself soon.
func (c *Core) mayGetWorkers(now time.Time, j *job) bool {
	return c.awaitsDescriptions(now) && !now.Add(c.chainTime(j)+c.cfg.Margin).After(j.cutoff)
}
