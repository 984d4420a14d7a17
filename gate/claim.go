package gate

import (
	"cmp"
	"slices"
	"time"
)

// Claim answers each item of c with the tasks of the job that started here, and
// promises to reject lower ballots if it grants the item.
//
// A claim that covers an older registry than this agent has seen is not
// granted: it may have left out an agent at which a later claim started tasks.
func (g *Gate) Claim(now time.Time, c *Claim) []Grant {
	g.Expire(now)
	grants := make([]Grant, len(c.Jobs))
	for i, item := range c.Jobs {
		grants[i] = g.claimOne(now, c, item)
	}
	return grants
}

func (g *Gate) claimOne(now time.Time, c *Claim, item ClaimItem) Grant {
	grant := Grant{Job: item.Job, Ballot: item.Ballot}
	if !g.answersFor(c.Agent) || c.Registry < g.registry {
		grant.Registry = g.registry
		return grant
	}
	g.ObserveRegistry(c.Registry)
	if m := g.marker(item.Job); item.Ballot.Less(m) {
		grant.Holder = m
		return grant
	}
	j := g.touchJob(now, item.Job)
	j.marker = item.Ballot
	grant.OK = true
	grant.Reports = j.reports()
	return grant
}

// reports returns the reports of the job's started tasks, sorted by rerun and
// index.
func (j *jobRecord) reports() (reports []Report) {
	for _, report := range j.tasks {
		reports = append(reports, *report)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Task.Rerun, b.Task.Rerun), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return reports
}
