package site

import (
	"time"

	"masticbay/schedule"
)

// takeOver takes a job that another home may have started. It opens links to the
// agents that have to seal it. The caller holds mu.
func (h *home) takeOver(args *RunArgs) {
	now := h.e.now()
	agents, complete, silent := h.e.agentsSeen(now, args.LostAgents)
	h.core.TakeOver(now, args.Job, schedule.Handover{
		RunNumberBase: args.FirstRun, Agents: agents, Complete: complete, Silent: silent, RunsEndAt: now.Add(RunsOfLostHomeEndAfter - args.LostFor),
	})
	for _, a := range agents {
		if _, ok := h.links[a]; !ok && h.core.AwaitsSeal(a) {
			h.links[a] = newLink(h, a)
		}
	}
}

// agentsSeen returns the agents that have announced themselves within lostAgentRetention.
// The list is complete if this entry has been on the panel, to which agents announce
// themselves, for long enough and is in contact with as many agents as the lost home was.
// It is silent if some of these agents are out of contact.
func (e *Entry) agentsSeen(now time.Time, ofLostHome int) (agents []string, complete, silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a := range e.agents {
		agents = append(agents, a)
	}
	for a := range e.lostAgents {
		agents = append(agents, a)
	}
	onPanel := !e.onPanelSince.IsZero() && now.Sub(e.onPanelSince) > agentContactTimeout
	return agents, onPanel && len(e.agents) >= ofLostHome, len(e.lostAgents) > 0
}
