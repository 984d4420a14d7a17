package dispatch_test

import (
	"slices"
	"time"

	"masticbay/dispatch"
	"masticbay/job"
	"masticbay/member"
)

// step advances the clock and performs one random event.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.r.IntN(30)) * time.Millisecond)
	if w.r.IntN(60) == 0 {
		w.now = w.now.Add(time.Duration(w.r.IntN(4000)) * time.Millisecond)
	}
	if w.lastsLong && w.r.IntN(40) == 0 {
		w.elapse(w.r.IntN(20))
	}
	w.tick()
	e := w.entries[w.r.IntN(len(w.entries))]
	a := w.agents[w.r.IntN(len(w.agents))]
	switch k := w.r.Float64(); {
	case k < 0.55:
		w.deliverRandom()
	case k < 0.65:
		w.finishRandom(a)
	case k < 0.72:
		w.submitRandom(e)
	case k < 0.80:
		w.announce(a, e)
	case k < 0.88:
		w.exchangeState(e, w.entries[w.r.IntN(len(w.entries))])
	case k < 0.93:
		w.writeRegistry(e)
	case k < 0.95:
		w.readRegistry(e)
	case k < 0.96:
		w.cancelRandom(e)
	default:
		w.injectFault(e, a)
	}
	w.performActions()
}

func (w *world) tick() {
	for _, e := range w.entries {
		if !w.entryUp(e) {
			continue
		}
		e.core.Tick(w.now)
		e.core.SetIsolated(e.view.Isolated(w.now))
		e.view.Observe(w.now)
		for _, c := range e.watchdog.Sweep(w.now, e.view) {
			if rm, ok := c.(member.RemoveAgent); ok {
				e.core.AgentGone(w.now, rm.ID, false)
			}
			e.planChange(c)
		}
	}
	w.performActions()
}

func (e *simEntry) planChange(c member.Change) {
	if !slices.Contains(e.plannedChanges, c) {
		e.plannedChanges = append(e.plannedChanges, c)
	}
}

// injectFault causes one random fault or change of membership.
func (w *world) injectFault(e *simEntry, a *simAgent) {
	kinds := 12
	if w.lastsLong {
		kinds++
	}
	switch w.r.IntN(kinds) {
	case 0:
		if w.liveEntries() > 1 {
			w.killEntry(e)
		}
	case 1:
		w.killAgent(a)
	case 2:
		e.pausedUntil = w.now.Add(time.Duration(w.r.IntN(30_000)) * time.Millisecond)
	case 3:
		a.pausedUntil = w.now.Add(time.Duration(w.r.IntN(30_000)) * time.Millisecond)
	case 4:
		w.storeUp = !w.storeUp
	case 5:
		if len(w.entries) < 5 {
			w.addEntry()
		}
	case 6:
		if len(w.agents) < 6 {
			w.addAgent()
		}
	case 7, 8:
		w.stopAgent(a)
	case 9:
		w.stopEntry(e)
	case 10:
		e.core.AgentDown(a.id)
	case 11:
		a.lender.SetSlots(w.r.IntN(4))
	case 12:
		w.startPartition()
	}
}

func (w *world) liveEntries() (n int) {
	for _, e := range w.entries {
		if !e.dead {
			n++
		}
	}
	return n
}

func (w *world) killEntry(e *simEntry) {
	w.tracef("%s: ends", e.id)
	e.dead = true
	e.waiters = nil
}

// stopEntry stops an entry as planned, if it has no open jobs.
func (w *world) stopEntry(e *simEntry) {
	if e.dead || w.liveEntries() < 2 || e.core.Open() > 0 || len(e.waiters) > 0 {
		return
	}
	if !w.handOver(e) {
		w.killEntry(e)
		return
	}
	for _, p := range w.entries {
		p.planChange(member.RemoveEntry{ID: e.id})
	}
	w.killEntry(e)
}

// handOver gives the records of an entry to its peers. It reports whether all of
// them arrived.
func (w *world) handOver(e *simEntry) bool {
	after, _ := e.view.Registry().With([]member.Change{member.RemoveEntry{ID: e.id}})
	for _, r := range e.core.Export(w.now) {
		home, _ := after.Home(string(r.Key))
		p := w.entryByID(home.ID)
		if p == nil || !w.entryUp(p) || w.partition.blocks(w.now, e.id, p.id) || w.r.Float64() < w.lossRate {
			return false
		}
		p.core.Import(w.now, &r)
	}
	return true
}

// stopAgent begins the planned stop of an agent, and completes it in a later call
// when no task runs there any more.
func (w *world) stopAgent(a *simAgent) {
	a.stopping = true
	a.gate.Drain(true)
	h, ok := a.gate.Export(w.now)
	if !ok || a.dead || !w.agentUp(a) {
		return
	}
	a.dead = true
	w.actor = a.id
	w.tracef("%s: leaves", a.id)
	heir := ""
	for _, p := range w.agents {
		if p != a && w.agentUp(p) && !w.partition.blocks(w.now, a.id, p.id) && !p.stopping && p.gate.Joined() > 0 && w.r.IntN(4) > 0 {
			p.gate.Import(w.now, &h)
			heir = p.id
			break
		}
	}
	for _, e := range w.entries {
		w.toEntry(e, func() {
			if heir != "" {
				e.heirs[a.id] = heir
			}
			e.watchdog.MarkEnded(w.now, a.id)
			e.core.AgentGone(w.now, a.id, heir != "")
			if heir != "" {
				e.planChange(member.RemoveAgent{ID: a.id, Heir: heir})
			}
		}, noop)
	}
}

func (w *world) finishRandom(a *simAgent) {
	if w.agentUp(a) && len(a.running) > 0 {
		w.finishTask(a, w.r.IntN(len(a.running)))
	}
}

// announce introduces an agent to an entry.
func (w *world) announce(a *simAgent, e *simEntry) {
	if !w.agentUp(a) {
		return
	}
	w.actor = a.id
	a.lender.LendEvenShare(e.id)
	st := w.status(a, e)
	w.toEntry(e, func() {
		e.watchdog.RecordAnnouncement(w.now, a.id)
		e.core.AgentUp(w.now, dispatch.AgentInfo{ID: a.id, Service: service}, &st)
		reg := e.view.Registry()
		listed, ok := reg.Agent(a.id)
		if !ok && !a.stopping {
			e.planChange(member.AddAgent{Agent: member.Agent{ID: a.id, Service: service}})
		}
		if listed.Suspended {
			e.planChange(member.SuspendAgent{ID: a.id, On: false})
		}
		rev := reg.Revision
		w.toAgent(a, func() {
			a.gate.ObserveRegistry(rev)
			if listed.Joined > 0 {
				a.gate.SetListed(listed.Joined)
			}
		}, noop)
	}, noop)
}

// exchangeState lets one entry exchange its registry with another.
func (w *world) exchangeState(e, p *simEntry) {
	if e == p || !w.entryUp(e) {
		return
	}
	w.actor = e.id
	mine, asOf := *e.view.Registry(), w.now.Add(-e.view.Age(w.now))
	w.toEntry(p, func() {
		w.takeRegistry(p, mine)
		p.view.ConfirmNewest(asOf)
		p.view.Confirm(w.now, e.id, mine.EntriesHash())
		theirs, asOf := *p.view.Registry(), w.now.Add(-p.view.Age(w.now))
		w.toEntry(e, func() {
			w.takeRegistry(e, theirs)
			e.view.ConfirmNewest(asOf)
			e.view.Confirm(w.now, p.id, theirs.EntriesHash())
		}, noop)
	}, noop)
}

func (w *world) takeRegistry(e *simEntry, r member.Registry) {
	if !e.view.Update(w.now, r) {
		return
	}
	w.tracef("%s: registry %d with %d entries, agents %v", e.id, r.Revision, len(r.Entries), r.Agents)
	e.core.SetRegistry(dispatch.NewRegistry(e.id, &r))
	if _, listed := r.Entry(e.id); !listed && !e.dead {
		e.planChange(member.AddEntry{Entry: member.Entry{ID: e.id}})
	}
}

// writeRegistry lets an entry write its planned changes. The answer of the
// key-value service may be lost.
func (w *world) writeRegistry(e *simEntry) {
	if !w.reachesStore(e) || len(e.plannedChanges) == 0 {
		return
	}
	next, changed := w.storedRegistry.With(e.plannedChanges)
	if changed {
		w.storedRegistry = next
	}
	if w.r.Float64() < w.lossRate {
		return
	}
	e.plannedChanges = nil
	w.takeRegistry(e, w.storedRegistry)
	e.view.ConfirmNewest(w.now)
}

func (w *world) readRegistry(e *simEntry) {
	if w.reachesStore(e) {
		w.takeRegistry(e, w.storedRegistry)
		e.view.ConfirmNewest(w.now)
	}
}

var keyNames = []job.Key{"t/a", "t/b", "t/c", "t/i"}

// submitRandom submits a job under one of a few keys, so that submissions of the
// same job overlap.
func (w *world) submitRandom(e *simEntry) {
	if !w.entryUp(e) {
		return
	}
	k := keyNames[w.r.IntN(len(keyNames))]
	ks := w.keys[k]
	if ks == nil {
		ks = &keyState{idempotent: k == "t/i", tasks: 1 + w.r.IntN(4)}
		w.keys[k] = ks
	}
	late := !ks.resubmitUntil.IsZero() && w.now.After(ks.resubmitUntil)
	if ks.submissions >= 4 || late {
		return // a key may be resubmitted only until a window after its deadline
	}
	spec := job.Spec{Key: k, Team: "t", Service: service, Idempotent: ks.idempotent, Deadline: 6 * time.Second}
	spec.Tasks = make([]job.Task, ks.tasks)
	spec.Resubmission = ks.submissions > 0 && (ks.idempotent || w.r.IntN(2) == 0)
	ks.submissions++
	w.actor = e.id
	s := &submission{w: w, spec: spec, id: w.newID("s"), deadline: w.now.Add(spec.Deadline)}
	s.route(e)
}

func (w *world) cancelRandom(e *simEntry) {
	if w.entryUp(e) {
		k := keyNames[w.r.IntN(len(keyNames))]
		w.tracef("%s: cancel %s", e.id, k)
		e.core.Cancel(w.now, k)
	}
}
