package member

import (
	"slices"
	"time"
)

// Watchdog decides which members an entry proposes to suspend or remove. It
// covers the agents that announce themselves to the entry, those that the entry
// is responsible for, and the other entries.
//
// An agent is suspended when it has been out of contact for a window or its
// incarnation has ended. It is removed when it has been suspended and out of
// contact for another window: only then has every entry that runs jobs without
// claims stopped relying on it. An entry is lost when it has been out of
// contact for a window. Until then it may have run jobs that it claimed at the
// agents, so it is removed from the lost ones only after another window.
//
// NewWatchdog makes one. It is not safe for concurrent use.
type Watchdog struct {
	self         string
	window       time.Duration
	agents       map[string]*agentState
	awaitedSince map[string]time.Time // by entry without contact so far: when it was first missed
	lostSince    map[string]time.Time // by lost entry: when the registry was first seen to list it so
}

// agentState is what the Watchdog knows of one agent.
type agentState struct {
	lastContact time.Time
	suspendedAt time.Time // when the registry was first seen to list it as suspended, or zero
	announces   bool      // to this entry
	ended       bool      // for good
}

// NewWatchdog returns the Watchdog of the entry self.
func NewWatchdog(self string, window time.Duration) *Watchdog {
	return &Watchdog{
		self:         self,
		window:       window,
		agents:       make(map[string]*agentState),
		awaitedSince: make(map[string]time.Time),
		lostSince:    make(map[string]time.Time),
	}
}

func (w *Watchdog) agent(now time.Time, id string) *agentState {
	a := w.agents[id]
	if a == nil {
		a = &agentState{lastContact: now}
		w.agents[id] = a
	}
	return a
}

// RecordContact records contact with an agent.
func (w *Watchdog) RecordContact(now time.Time, id string) {
	w.agent(now, id).lastContact = now
}

// RecordAnnouncement records that an agent announced itself to this entry.
func (w *Watchdog) RecordAnnouncement(now time.Time, id string) {
	a := w.agent(now, id)
	a.lastContact = now
	a.announces = true
}

// MarkEnded records that an incarnation of an agent has ended for good.
func (w *Watchdog) MarkEnded(now time.Time, id string) {
	w.agent(now, id).ended = true
}

// SinceContact returns the time since the last contact with an agent that announces
// itself to this entry. It is 0 for other agents and for those that have ended.
func (w *Watchdog) SinceContact(now time.Time, id string) time.Duration {
	a := w.agents[id]
	if a == nil || !a.announces || a.ended {
		return 0
	}
	return now.Sub(a.lastContact)
}

// Sweep returns the changes of the registry that are due.
func (w *Watchdog) Sweep(now time.Time, v *View) (changes []Change) {
	reg := v.Registry()
	for _, a := range reg.Agents {
		changes = append(changes, w.sweepAgent(now, reg, a)...)
	}
	for _, e := range reg.Entries {
		if e.ID != w.self && w.sinceEntryContact(now, v, e.ID) > w.window {
			changes = append(changes, MarkEntryLost{ID: e.ID})
		}
	}
	for _, e := range reg.Lost {
		if w.sinceLost(now, e.ID) > w.window {
			changes = append(changes, ExpireEntry{ID: e.ID})
		}
	}
	w.expire(reg)
	return changes
}

// sweepAgent returns the change that is due for one agent, if any.
func (w *Watchdog) sweepAgent(now time.Time, reg *Registry, a Agent) []Change {
	st := w.agent(now, a.ID)
	if !st.announces && !st.ended && !reg.Responsible(w.self, a.Service) {
		return nil
	}
	outOfContact := now.Sub(st.lastContact) > w.window
	if !a.Suspended {
		st.suspendedAt = time.Time{}
		if st.ended || outOfContact {
			return []Change{SuspendAgent{ID: a.ID, On: true}}
		}
		return nil
	}
	if st.suspendedAt.IsZero() {
		st.suspendedAt = now
	}
	if now.Sub(st.suspendedAt) > w.window && (st.ended || outOfContact) {
		return []Change{RemoveAgent{ID: a.ID}}
	}
	return nil
}

// sinceEntryContact returns the time since the last contact with an entry. If
// there was none, it counts from the first call.
func (w *Watchdog) sinceEntryContact(now time.Time, v *View, id string) time.Duration {
	if at, ok := v.LastContact(id); ok {
		delete(w.awaitedSince, id)
		return now.Sub(at)
	}
	since, ok := w.awaitedSince[id]
	if !ok {
		w.awaitedSince[id] = now
	}
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// sinceLost returns the time for which the registry was seen to list an entry as
// lost.
func (w *Watchdog) sinceLost(now time.Time, id string) time.Duration {
	since, ok := w.lostSince[id]
	if !ok {
		since = now
		w.lostSince[id] = now
	}
	return now.Sub(since)
}

// expire deletes the state of agents that have ended and are no longer listed,
// and of entries that are no longer listed or no longer lost.
func (w *Watchdog) expire(reg *Registry) {
	for id, st := range w.agents {
		if _, listed := reg.Agent(id); !listed && st.ended {
			delete(w.agents, id)
		}
	}
	for id := range w.awaitedSince {
		if _, listed := reg.Entry(id); !listed {
			delete(w.awaitedSince, id)
		}
	}
	for id := range w.lostSince {
		if !slices.ContainsFunc(reg.Lost, func(e Entry) bool { return e.ID == id }) {
			delete(w.lostSince, id)
		}
	}
}

// Responsible reports whether an entry lists and watches the agents of a service
// on behalf of all entries. All these agents announce themselves to it.
func (r *Registry) Responsible(entry, service string) bool {
	home, ok := r.Home(service)
	return !ok || home.ID == entry
}
