package site

import (
	"masticbay/schedule"
	"masticbay/work"
)

// deliverDecisions takes the decisions of the core: it records them in the ledger,
// answers waiters, sends orders and writes log lines. The caller holds mu.
func (h *home) deliverDecisions() {
	d := h.core.Take()
	h.recordDecisions(&d)
	for _, answer := range d.Outcomes {
		for _, w := range h.waiters[answer.Job] {
			if answer.Outcome.State == work.Rejected {
				h.rememberDeclined(w.job)
			}
			w.done <- answer.Outcome
		}
		delete(h.waiters, answer.Job)
	}
	agents := make(map[string]bool)
	starts := 0
	for agent := range d.Starts {
		agents[agent] = true
		starts += len(d.Starts[agent])
	}
	if starts > 0 {
		h.startRate.Add(h.e.now(), starts)
	}
	for agent := range d.Stops {
		agents[agent] = true
	}
	for agent := range d.Seals {
		agents[agent] = true
	}
	for agent := range agents {
		h.sendOrders(agent, orderBatch{Starts: d.Starts[agent], Stops: d.Stops[agent], Seals: d.Seals[agent]})
	}
	for i := range d.Notes {
		h.logNote(&d.Notes[i])
	}
}

func (h *home) sendOrders(agent string, b orderBatch) {
	if h.closed {
		return
	}
	l, ok := h.links[agent]
	if !ok {
		// The link was closed while the agent was out of contact, and the agent has
		// reported since.
		l = newLink(h, agent)
		h.links[agent] = l
	}
	l.send(b)
}

func (h *home) logNote(n *schedule.Note) {
	h.e.metrics.countNote(n)
	log := &h.log
	switch n.Kind {
	case schedule.StartedAgain, schedule.TenureConfirmed, schedule.RunAdopted, schedule.EndLeft:
		log = &h.e.againLog // a home logs much else when it takes over
	case schedule.EndMissing:
		log = &h.e.log
	}
	ev := log.Info()
	if n.Job != "" {
		ev = ev.Str("job", n.Job)
	}
	if n.Agent != "" {
		ev = ev.Str("agent", n.Agent)
	}
	if n.Run.Number > 0 {
		ev = ev.Str("run", n.Run.String())
	}
	if n.Former != "" {
		ev = ev.Str("formerAgent", n.Former)
	}
	for k, v := range n.Values {
		ev = ev.Float64(k, v)
	}
	ev.Str("why", n.Reason).Msg(n.Kind)
}
