package bench

import (
	"fmt"
	"slices"
	"time"

	"masticbay/platform"
	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/site"
	"masticbay/work"
)

// modelHome is the home of a cell in a replay.
type modelHome struct {
	member roster.Member
	name   string // changes when another entry replaces the home
	node   *platform.Node
	core   *schedule.Core
	down   bool
}

// newModelHomes returns the homes of all cells of a pattern.
func newModelHomes(p *Pattern, node *platform.Node) []*modelHome {
	var homes []*modelHome
	for i := range max(p.Homes, 1) {
		name := fmt.Sprint("home", i)
		homes = append(homes, &modelHome{member: roster.Member{Name: name, Address: name}, name: name, node: node, core: newModelCore(p, node)})
	}
	return homes
}

func newModelCore(p *Pattern, node *platform.Node) *schedule.Core {
	cfg := site.HomeConfig(node)
	cfg.ShedLoad = p.ShedLoad
	return schedule.NewCore(cfg)
}

// members returns the descriptions of the homes.
func (r *replay) members() (ms []roster.Member) {
	for _, h := range r.homes {
		ms = append(ms, h.member)
	}
	return ms
}

// divide assigns the workers to cells.
func (r *replay) divide() {
	var agents []roster.Agent
	for _, w := range r.workers {
		agents = append(agents, roster.Agent{Address: w.agent, Kind: fmt.Sprint(w.target.Labels)})
	}
	for _, h := range r.homes {
		for _, a := range roster.Cell(agents, r.members(), h.member.Address) {
			r.byAgent[a].home = h
		}
	}
}

// candidates returns the homes to which a job may be handed.
func (r *replay) candidates(id string) (homes []*modelHome) {
	for _, m := range roster.Candidates(r.members(), id) {
		i := slices.IndexFunc(r.homes, func(h *modelHome) bool { return h.member.Address == m.Address })
		homes = append(homes, r.homes[i])
	}
	return homes
}

// handOver hands a job to its first candidate that is up.
func (r *replay) handOver(m *modelJob) {
	candidates := r.candidates(m.job.ID)
	for _, h := range candidates {
		if !h.down {
			r.submitTo(h, m)
			return
		}
	}
	r.clock.after(homeTickInterval, func() { r.handOver(m) })
}

func (r *replay) submitTo(h *modelHome, m *modelJob) {
	m.home = h
	j := m.job
	j.Age = r.clock.elapsed - m.submittedAt
	j.Left -= j.Age
	core := h.core
	r.clock.after(messageDelay, func() {
		if h.core == core && !h.down {
			r.submitNow(h, m, j)
			r.performDecisions(h)
		}
	})
}

// submitNow submits a job, which a lost home may have started before.
func (r *replay) submitNow(h *modelHome, m *modelJob, j work.Job) {
	if m.firstRun == 0 {
		h.core.Submit(r.now(), j, 0)
		return
	}
	var agents []string
	for _, w := range r.workers {
		agents = append(agents, w.agent)
	}
	h.core.TakeOver(r.now(), j, schedule.Handover{RunNumberBase: m.firstRun, Agents: agents, Complete: true, RunsEndAt: r.now().Add(site.RunsOfLostHomeEndAfter)})
	for _, w := range r.workers {
		r.sendReport(w)
	}
}

// handOn hands a job that its first home has rejected to the other candidate.
func (r *replay) handOn(m *modelJob, s work.State) bool {
	if s != work.Rejected || m.handedOn {
		return false
	}
	for _, h := range r.candidates(m.job.ID) {
		if h != m.home && !h.down {
			m.handedOn = true
			r.submitTo(h, m)
			return true
		}
	}
	return false
}

// The times of a failover as entries experience it when a home is killed.
const (
	takeoverTime = 100 * time.Millisecond // until another entry is home of the cell
	failoverTime = 20 * time.Millisecond  // until entries hand over the jobs that the home had
)

// loseHome ends a home. Another entry becomes home of the cell, without its state.
func (r *replay) loseHome(h *modelHome) {
	h.down = true
	r.clock.after(takeoverTime, func() {
		h.down, h.name, h.core = false, h.name+"'", newModelCore(r.pattern, h.node)
		for _, w := range r.workers {
			if w.home == h {
				r.sendReport(w)
			}
		}
	})
	for _, m := range r.submitted {
		if m.home == h && m.outcome == "" {
			r.clock.after(failoverTime, func() {
				m.firstRun += failoverRunStride
				r.handOver(m)
			})
		}
	}
}

// failoverRunStride is the distance between run numbers under successive homes.
const failoverRunStride = 1000
