package schedule

import (
	"slices"
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// A job whose home is lost is handed to another home, while runs of it may go on. The
// other home asks all agents to seal the job, which ends its earlier runs, and places its
// tasks once every agent has reported that none is left. If an agent does not answer, the
// job waits until the leases of such runs have expired. A job that is answered meanwhile may be
// submitted again, so its seals go on.

// Handover describes what another home may have started of a job.
type Handover struct {
	RunNumberBase int       // highest number of a run that another home may have started
	Agents        []string  // that may have got tasks from another home
	Complete      bool      // no agent is missing in Agents; otherwise none is asked
	Silent        bool      // an agent is out of contact, so the job probably waits until RunsEndAt
	RunsEndAt     time.Time // when the leases of all such runs have expired
}

// sealing is the state of a job that is not sealed by all agents yet.
type sealing struct {
	Handover
	job       string
	startedAt time.Time
	asked     map[string]bool // by agent that has not sealed the job: it was asked to
	byRunList bool            // the job is not known to have had another home; see Core.awaitRunLists
	others    []*otherHome    // may have the job
}

// TakeOver is Submit for a job that another home may have started.
func (c *Core) TakeOver(now time.Time, w work.Job, h Handover) { c.submit(now, w, h.RunNumberBase, &h) }

// awaitSeals keeps a job from being placed until all agents have sealed it.
func (c *Core) awaitSeals(now time.Time, j *job, h *Handover) {
	asked := make(map[string]bool)
	for _, agent := range slices.Concat(h.Agents, c.agentNames) {
		asked[agent] = false
	}
	s := &sealing{Handover: *h, job: j.ID, startedAt: now, asked: asked, others: c.othersWith(j.ID)}
	if !h.Complete || len(asked) > c.cfg.MaxSealingAgents {
		s.Complete = false
		clear(asked)
	}
	s.RunNumberBase = max(s.RunNumberBase, c.highestRunOfOthers(j.ID))
	c.startSealing(now, j, s)
}

// startSealing keeps a job from being placed until s has ended. It replaces an earlier sealing of
// the job.
func (c *Core) startSealing(now time.Time, j *job, s *sealing) {
	if earlier := c.sealingOf(j.ID); earlier != nil {
		s.RunNumberBase = max(s.RunNumberBase, earlier.RunNumberBase)
		if earlier.RunsEndAt.After(s.RunsEndAt) {
			s.RunsEndAt = earlier.RunsEndAt
		}
		s.Complete = s.Complete && earlier.Complete
		s.await(earlier.others)
		for agent := range earlier.asked {
			s.asked[agent] = false
		}
		c.sealing = slices.DeleteFunc(c.sealing, func(o *sealing) bool { return o == earlier })
	}
	c.sealing = append(c.sealing, s)
	j.sealing, j.runNumberBase = s, s.RunNumberBase
	for _, agent := range c.agentNames {
		// The others are asked when they report, since an agent drops requests of homes
		// that it is not in contact with.
		if now.Sub(c.targets[agent].lastContact) <= c.cfg.SuspectAfter {
			c.orderSeals(agent)
		}
	}
	c.releaseSealed(now)
}

// orderSeals asks an agent to seal the jobs for which it was not asked yet. The runs of a home that the
// agent follows are left to that home.
func (c *Core) orderSeals(agent string) {
	if t, ok := c.targets[agent]; ok && t.followsOther() {
		return
	}
	for _, s := range c.sealing {
		if asked, pending := s.asked[agent]; !pending || asked {
			continue
		}
		s.asked[agent] = true
		if c.decisions.Seals == nil {
			c.decisions.Seals = make(map[string][]worker.Seal)
		}
		c.decisions.Seals[agent] = append(c.decisions.Seals[agent], worker.Seal{Job: s.job, UpTo: s.RunNumberBase})
	}
}

// requireSeals has a new agent, or a new incarnation of one, seal all jobs that wait.
func (c *Core) requireSeals(agent string) {
	for _, s := range c.sealing {
		if s.Complete && !s.byRunList {
			s.asked[agent] = false
		}
	}
}

// requireSeal has all agents seal a job again.
func (c *Core) requireSeal(s *sealing) {
	for _, agent := range c.agentNames {
		if s.Complete {
			s.asked[agent] = false
		}
	}
}

// sealingOf returns the sealing of a job, which may have been answered since; nil if there is none.
func (c *Core) sealingOf(id string) *sealing {
	i := slices.IndexFunc(c.sealing, func(s *sealing) bool { return s.job == id })
	if i < 0 {
		return nil
	}
	return c.sealing[i]
}

// applySeal records that an agent has sealed a job.
func (c *Core) applySeal(now time.Time, agent string, e *Event) {
	for _, s := range c.sealing {
		if s.job == e.Run.Task.Job && s.RunNumberBase == e.Run.Number {
			delete(s.asked, agent)
		}
	}
	c.releaseSealed(now)
}

// releaseSealed lets those jobs be placed of which no earlier run is left.
func (c *Core) releaseSealed(now time.Time) {
	c.sealing = slices.DeleteFunc(c.sealing, func(s *sealing) bool {
		sealed := s.Complete && len(s.asked) == 0
		if c.AwaitsRunLists() || s.awaitsOthers() || !sealed && now.Before(s.RunsEndAt) {
			return false
		}
		j, ok := c.jobs[s.job]
		if !ok || j.sealing != s {
			return true
		}
		j.sealing = nil
		if !j.answered && !(s.byRunList && sealed && s.RunNumberBase == 0) {
			reason := "no agent runs it"
			if !sealed {
				reason = "the leases of earlier runs have expired"
			}
			c.addNote(Note{Job: s.job, Kind: "jobTakenOver", Reason: reason, Values: map[string]float64{"waitedMs": ms(now.Sub(s.startedAt)), "agentsSilent": float64(len(s.asked))}})
		}
		return true
	})
}

// AwaitsSeal reports whether an agent has not sealed a job that was handed over.
func (c *Core) AwaitsSeal(agent string) bool {
	return slices.ContainsFunc(c.sealing, func(s *sealing) bool {
		_, pending := s.asked[agent]
		return pending
	})
}

// AwaitedAgents returns the known agents for which AwaitsSeal or AwaitsAgent holds.
func (c *Core) AwaitedAgents() (agents []string) {
	for _, a := range c.agentNames {
		if c.AwaitsSeal(a) || c.AwaitsAgent(a) {
			agents = append(agents, a)
		}
	}
	return agents
}

// closeSealed gives up a job whose start an agent refused because another home has the job.
func (c *Core) closeSealed(now time.Time, j *job) {
	c.close(j, work.Outcome{State: work.Unknown, Reason: "another home has the job"})
	j.withdrawn = true
	c.stopAll(now, j, 0)
}
