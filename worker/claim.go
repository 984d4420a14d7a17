package worker

import (
	"slices"
	"strings"
	"time"

	"masticbay/work"
)

// Two entries may act as home at the same time, and neither knows which tasks the other one
// starts. So an agent follows one home at a time: it takes the starts of that home only, and
// tells it which runs of others are left. What the home learns stays true, since no other home
// can start anything here afterwards.

// Claim is a home's request to be the one that an agent follows.
type Claim struct {
	Home string
	Seq  uint64 // rises with each claim of the home's incarnation
	Term uint64 // of the home; 0 for none
	// Reach is the number of entries that the home is in contact with, itself included.
	Reach int
	// Former holds homes that have given their role away, and the last term of each. They may go on with
	// their jobs, which the claiming home knows.
	Former map[string]uint64
	// Shared is set by the homes of a site of several cells, whose agents take the starts of all Homes.
	// Earlier builds name no Homes, and agents take all starts.
	Shared bool
	Homes  []string // sorted
}

// outranks reports whether an agent in contact with both homes follows c rather than o: the home
// of the higher term, unless it reaches less than half as many entries as the other one.
func (c *Claim) outranks(o *Claim) bool {
	switch {
	case 2*c.Reach < o.Reach:
		return false
	case c.Reach > 2*o.Reach:
		return true
	case c.Term != o.Term:
		return c.Term > o.Term
	}
	return c.Home < o.Home
}

// includes reports whether an agent that follows c takes the starts of a home.
func (c *Claim) includes(home string) bool { return c.Home == home || slices.Contains(c.Homes, home) }

// knowsEndOf reports whether the home of c knows that the home of o has given its role away since o.
func (c *Claim) knowsEndOf(o *Claim) bool {
	term, ok := c.Former[o.Home]
	return ok && term >= o.Term
}

// Claim applies the claim of a home. It must be recent: an earlier one may have been overruled.
func (g *Guard) Claim(now time.Time, c Claim) {
	leader, s := &g.leader, g.homeState(c.Home)
	if c.Term == 0 || c.Seq < s.claim.Seq || c.Home == leader.Home && c.Seq <= leader.Seq {
		return
	}
	s.claim, s.claimed = c, max(s.claimed, c.Term)
	switch {
	case c.Shared && len(c.Homes) == 0:
		if c.Term >= leader.Term {
			g.leader = Claim{Term: c.Term}
		}
		return
	case c.Home == leader.Home, c.isShareOf(leader), c.knowsEndOf(leader), g.leaderOutOfContact(now), c.outranks(leader):
	default:
		return
	}
	g.leader = c
}

// isShareOf reports whether an agent in contact with both homes follows c since the homes of the site share
// the agents now, or have done so and c is of the only one that is left.
func (c *Claim) isShareOf(o *Claim) bool {
	return (c.Shared || slices.Contains(o.Homes, c.Home)) && c.Term >= o.Term && 2*c.Reach >= o.Reach
}

// leaderOutOfContact reports whether the home that this agent follows can not start anything
// here without a new contact.
func (g *Guard) leaderOutOfContact(now time.Time) bool {
	s, ok := g.homes[g.leader.Home]
	return !ok || now.Sub(s.lastContact) > g.cfg.EntryContactTimeout
}

// TakesStartsOf reports whether a home may start tasks here, as this agent follows it, none, or
// those to which it has given its role away.
func (g *Guard) TakesStartsOf(home string) bool {
	if g.leader.Home == "" || g.leader.includes(home) {
		return true
	}
	for m, s := range g.homes {
		if g.Follows(m) && !g.mayGoOn(&s.claim, home) {
			return false
		}
	}
	return g.mayGoOn(&g.leader, home)
}

// mayGoOn reports whether the home of a claim lets another one go on with its jobs.
func (g *Guard) mayGoOn(c *Claim, home string) bool {
	term, isFormer := c.Former[home]
	s, ok := g.homes[home]
	// A home that has begun another term may have jobs of which the leader knows nothing.
	return isFormer && !(ok && s.claimed > term)
}

// Leader returns the home that this agent follows, or all homes that share it; empty if there is none.
func (g *Guard) Leader() string {
	if g.leader.Shared {
		return strings.Join(g.leader.Homes, " ")
	}
	return g.leader.Home
}

// Follows reports whether this agent follows a home, alone or with the others of its last claim.
func (g *Guard) Follows(home string) bool {
	if !g.leader.Shared {
		return g.leader.Home == home
	}
	s, ok := g.homes[home]
	return ok && s.claim.Shared && slices.Equal(s.claim.Homes, g.leader.Homes)
}

// ListsAllRuns reports whether RunsOfOthers is complete for a home: no other home can start a run
// that the home does not know, and the worker has none that this Guard does not know. Where nothing
// has listened since this Guard began, there is no worker.
func (g *Guard) ListsAllRuns(home string) bool {
	return g.Follows(home) && (g.Settled() || g.noListener && g.lastPoll.IsZero())
}

// RunsOfOthers returns, by job, the highest number of a run that may be active and that another
// home has ordered. Stored jobs are left out; see InheritedRuns.
func (g *Guard) RunsOfOthers(home string) map[string]int {
	var runs map[string]int
	add := func(r work.Run, entry string) {
		if entry == home {
			return
		}
		if runs == nil {
			runs = make(map[string]int)
		}
		runs[r.Task.Job] = max(runs[r.Task.Job], r.Number)
	}
	for _, r := range g.runs {
		if !r.start.Stored {
			add(r.start.Run, r.entry)
		}
	}
	for _, t := range g.endedTransits {
		add(t.run, t.entry)
	}
	return runs
}
