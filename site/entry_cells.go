package site

import (
	"context"
	"slices"
	"time"

	"masticbay/roster"
)

// agentContact is what an entry knows about an agent from its announcements.
type agentContact struct {
	kind          string // service and kind of its worker
	dataCentre    string // of its worker; empty if data centres are not evacuated
	lastAnnounced time.Time
}

// homeReport is what the home of a cell reports in its greetings.
type homeReport struct {
	waiting    map[string]int // by queue: jobs that have not started
	isPartial  bool           // waiting lacks stored jobs
	delay      time.Duration  // how long a new job would wait there
	startRate  float64        // tasks that it starts each second
	vacant     bool           // no job is stored on the site
	open       bool           // jobs that are not stored are open there
	receivedAt time.Time
}

// homes returns the homes of all cells that are in contact.
func (e *Entry) homes() []roster.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roster.Homes(e.now())
}

// CellHomes returns the addresses of the homes of all cells.
func (e *Entry) CellHomes() []string {
	var addresses []string
	for _, m := range e.homes() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// placesTasks reports whether this entry is home of a cell.
func (e *Entry) placesTasks() bool {
	return slices.ContainsFunc(e.homes(), func(m roster.Member) bool { return m.Life == e.life })
}

// candidates returns the homes to which a job may be handed, in the order in which
// they are tried.
func (e *Entry) candidates(id string) []roster.Member {
	homes := e.homes()
	if len(homes) <= 1 {
		return homes
	}
	return roster.Candidates(homes, id)
}

// awaitCandidates waits for homes of a job until homeWait is over, lostHomeWait if its
// home was lost, or until ctx ends.
func (e *Entry) awaitCandidates(ctx context.Context, id string, homeLost bool) []roster.Member {
	until := e.now().Add(homeWait)
	if homeLost {
		until = e.now().Add(lostHomeWait)
	}
	for {
		if c := e.candidates(id); len(c) > 0 {
			return c
		}
		if ctx.Err() != nil || e.now().After(until) {
			return nil
		}
		sleep(ctx, homePollInterval)
	}
}

// cellAgents returns the agents on which this entry places tasks while it is a home,
// and the number of all agents.
func (e *Entry) cellAgents() (cell []string, all int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	homes := e.roster.Homes(e.now())
	if len(homes) <= 1 {
		cell = make([]string, 0, len(e.agents))
		for a := range e.agents {
			cell = append(cell, a)
		}
		return cell, len(cell)
	}
	agents := e.dealtAgents()
	return roster.Cell(agents, homes, e.node.Internal), len(agents)
}

// dealtAgents returns the agents that are divided among the cells. Those of evacuated workers
// are kinds of their own, so that every cell gets its share of the others. The caller holds mu.
func (e *Entry) dealtAgents() []roster.Agent {
	agents := make([]roster.Agent, 0, len(e.agents))
	evacuated := e.evacuations.set()
	for a, c := range e.agents {
		kind := c.kind
		if evacuated.Has(c.dataCentre) {
			kind += evacuatedKind
		}
		agents = append(agents, roster.Agent{Address: a, Kind: kind})
	}
	return agents
}

// evacuatedKind is added to the kind of evacuated workers.
const evacuatedKind = "/evacuated"

// updateCells sets into how many cells this entry would divide the site. A site that
// stores jobs is not divided, since one home holds the ledger and places their tasks.
// The caller holds mu.
func (e *Entry) updateCells(storesJobs bool) {
	n := 1
	if !storesJobs {
		now := e.now()
		current := len(e.roster.Homes(now))
		limit := roster.DivisionLimit(len(e.agents), e.cellSize, e.roster.StrongEntries(now))
		byLoad := e.division.Cells(now, e.siteStartRate(now), e.node.Cores, current, limit)
		n = max(roster.CellCount(len(e.agents), e.cellSize, current), byLoad)
	}
	e.roster.SetCells(n)
}

// siteStartRate returns how many tasks the homes of all cells start each second. The
// caller holds mu.
func (e *Entry) siteStartRate(now time.Time) float64 {
	rate := 0.0
	for _, m := range e.roster.Homes(now) {
		switch report, ok := e.homeReports[m.Address]; {
		case m.Life == e.life:
			rate += e.home.status.Load().startRate
		case ok && now.Sub(report.receivedAt) <= homeContactTimeout:
			rate += report.startRate
		}
	}
	return rate
}

// vacant reports whether the home of the site has said lately that no job is stored.
func (e *Entry) vacant() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.roster.Home(e.now())
	report := e.homeReports[m.Address]
	return ok && report.vacant && e.now().Sub(report.receivedAt) <= homeContactTimeout
}

// maxStartRate bounds the rate that a home reports: a malformed message must not divide
// the site.
const maxStartRate = 1e5

// validRate returns a reported rate of starts, or 0 if it is out of range.
func validRate(rate float64) float64 {
	if rate >= 0 && rate <= maxStartRate {
		return rate
	}
	return 0
}
