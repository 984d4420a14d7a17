package site

import (
	"time"

	"masticbay/schedule"
)

// takeOver takes a job that another home may have started. It opens links to all agents
// that may run tasks of it. The caller holds mu.
func (h *home) takeOver(args *RunArgs) {
	now := h.e.now()
	agents, complete := h.e.agentsSeen(now)
	for _, a := range agents {
		if _, ok := h.links[a]; !ok {
			h.links[a] = newLink(h, a)
		}
	}
	h.core.TakeOver(now, args.Job, schedule.Handover{
		RunNumberBase: args.FirstRun, Agents: agents, Complete: complete, RunsEndAt: now.Add(runsOfLostHomeEndAfter - args.LostFor),
	})
}

// agentsSeen returns the agents that have announced themselves within lostAgentRetention,
// and whether none can be
// missing: agents announce themselves to the panel.
func (e *Entry) agentsSeen(now time.Time) (agents []string, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a := range e.agents {
		agents = append(agents, a)
	}
	for a, lastAnnounced := range e.lostAgents {
		if now.Sub(lastAnnounced) > lostAgentRetention {
			delete(e.lostAgents, a)
			continue
		}
		agents = append(agents, a)
	}
	return agents, !e.onPanelSince.IsZero() && now.Sub(e.onPanelSince) > agentContactTimeout
}
