package roster

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// This file divides the agents of a large site into cells. Each cell has a home of its
// own, so that a home's cost does not grow with the site and the loss of one home
// delays only the tasks of its cell. The home of the site, which has a term, leads: it
// sets the number of cells, is home of one of them, and alone stores jobs.

// maxCells bounds the number of cells, since every entry greets the homes of all cells.
const maxCells = 16

// spareCandidates is the number of entries on the panel beside the homes of all cells.
const spareCandidates = 2

// CellCount returns into how many cells of a given size a number of agents is divided.
// The current number of cells is kept while they have between 3/4 and 3/2 of that size.
func CellCount(agents, size, current int) int {
	n := max(agents/max(size, 1), 1)
	if current > 1 && 4*agents >= 3*size*current && 2*agents < 3*size*current {
		n = current
	}
	return min(n, maxCells)
}

// findHomes returns the homes of all cells, the strongest first: the home of the site
// and the strongest of the other entries that reach enough agents. While the site has
// no home, the homes of the other cells go on.
func (r *Roster) findHomes(members []Member, home Member, hasHome bool) []Member {
	if hasHome {
		r.cells = max(home.Cells, 1)
	}
	if r.cells <= 1 {
		if hasHome {
			return []Member{home}
		}
		return nil
	}
	homes := slices.DeleteFunc(suitable(slices.Clone(members)), func(m Member) bool {
		return m.Address != home.Address && (m.Young || !hasHome && !m.Places)
	})
	slices.SortFunc(homes, func(a, b Member) int {
		switch {
		case hasHome && a.Address == home.Address:
			return -1
		case hasHome && b.Address == home.Address:
			return 1
		case stronger(&a, &b):
			return -1
		}
		return 1
	})
	return homes[:min(len(homes), r.cells)]
}

// Agent describes an agent for the division into cells.
type Agent struct {
	Address string
	Kind    string // service and kind of its worker
}

// Cell returns those agents whose cell has the given home. Every home has the same
// number of agents of each kind, give or take one. All entries that know the same
// agents and homes get the same result, and few agents change their cell when a home
// or an agent comes or goes.
func Cell(agents []Agent, homes []Member, home string) []string {
	agents = slices.Clone(agents)
	slices.SortFunc(agents, func(a, b Agent) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Address, b.Address))
	})
	var cell []string
	for len(agents) > 0 {
		n := 1
		for n < len(agents) && agents[n].Kind == agents[0].Kind {
			n++
		}
		cell = append(cell, cellOfKind(agents[:n], homes, home)...)
		agents = agents[n:]
	}
	return cell
}

// cellOfKind is Cell for agents of one kind: rendezvous hashing with bounded loads.
func cellOfKind(agents []Agent, homes []Member, home string) (cell []string) {
	load := make(map[string]int, len(homes))
	limit := (len(agents) + len(homes) - 1) / len(homes)
	for i := range agents {
		best, bestScore := "", uint64(0)
		for k := range homes {
			if h := homes[k].Address; load[h] < limit {
				if s := score(agents[i].Address, h); best == "" || s > bestScore {
					best, bestScore = h, s
				}
			}
		}
		load[best]++
		if best == home {
			cell = append(cell, agents[i].Address)
		}
	}
	return cell
}

// Candidates returns the two homes to which a job may be handed, in the order of
// preference. They depend on the job's ID, so that a job that is submitted again is
// handed to homes that know of its first submission.
func Candidates(homes []Member, job string) []Member {
	ranked := slices.Clone(homes)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(job, b.Address), score(job, a.Address)), cmp.Compare(a.Address, b.Address))
	})
	return ranked[:min(len(ranked), maxCandidates)]
}

// maxCandidates is the number of homes to which a job may be handed.
const maxCandidates = 2

// score is the weight of a pair in rendezvous hashing.
func score(key, home string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(home))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash whose inputs differ in few bytes (the finaliser of
// MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
