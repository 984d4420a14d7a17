package gate

import (
	"maps"
	"slices"
	"time"

	"masticbay/job"
)

// Handover is the record that a leaving agent sends to its heir, its successor
// of the same service. The heir answers claims and seals for the leaving agent.
type Handover struct {
	Agents   []string // the incarnations that the receiver answers for
	Registry uint64
	Jobs     []HandoverJob
}

// HandoverJob is the record of one job in a Handover.
type HandoverJob struct {
	Job    job.Key
	Marker Ballot
	Tasks  []Report
}

// Export returns the record of a draining gate without running tasks. It
// reports false while a task may still start or end.
func (g *Gate) Export(now time.Time) (h Handover, ok bool) {
	if !g.draining || g.running > 0 {
		return Handover{}, false
	}
	g.Expire(now)
	h.Agents = append(h.Agents, g.id)
	h.Agents = slices.AppendSeq(h.Agents, maps.Keys(g.adoptedUntil))
	slices.Sort(h.Agents)
	h.Registry = g.registry
	for _, k := range slices.Sorted(maps.Keys(g.jobs)) {
		j := g.jobs[k]
		h.Jobs = append(h.Jobs, HandoverJob{Job: k, Marker: j.marker, Tasks: j.reports()})
	}
	return h, true
}

// Import adds the record of a peer that has left. The attempts that the peer
// closed need no record, since the peer starts no more tasks.
func (g *Gate) Import(now time.Time, h *Handover) {
	for _, id := range h.Agents {
		g.adoptedUntil[id] = now.Add(g.cfg.Window)
	}
	g.ObserveRegistry(h.Registry)
	for _, hj := range h.Jobs {
		g.importJob(now, hj)
	}
}

func (g *Gate) importJob(now time.Time, hj HandoverJob) {
	j := g.touchJob(now, hj.Job)
	if j.marker.Less(hj.Marker) {
		j.marker = hj.Marker
	}
	for i := range hj.Tasks {
		report := hj.Tasks[i]
		ref := taskRef{report.Task.Rerun, report.Task.Index}
		if j.tasks[ref] == nil {
			j.tasks[ref] = &report
		}
	}
}
