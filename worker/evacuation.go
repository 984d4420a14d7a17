package worker

import (
	"masticbay/evacuation"
)

// HoldStarts makes the Guard refuse starts until SetEvacuated is called: an agent that has
// just started does not know which data centres are evacuated.
func (g *Guard) HoldStarts() { g.startsHeld = true }

// StartsHeld reports whether starts are refused until SetEvacuated is called.
func (g *Guard) StartsHeld() bool { return g.startsHeld }

// SetEvacuated sets which data centres are evacuated. If that of the worker is, starts
// without an answer are fenced: the token rises, and the next poll makes the worker refuse
// those that it has not carried out yet. SetEvacuated reports whether that poll is due.
func (g *Guard) SetEvacuated(set evacuation.Set) (needsPoll bool) {
	g.startsHeld, g.evacuated = false, set
	if !g.Evacuated() {
		return false
	}
	for _, ref := range g.sortedTasks() {
		if r := g.runs[ref]; r.phase == ordered {
			g.fenceStart(r)
		}
	}
	return g.NeedsPoll()
}

// Evacuated reports whether the worker's data centre is evacuated.
func (g *Guard) Evacuated() bool { return g.evacuated.Has(g.target.Zone) }
