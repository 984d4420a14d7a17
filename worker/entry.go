package worker

import (
	"slices"
	"time"

	"masticbay/work"
)

// Event reports to an entry how one of its runs ended.
type Event struct {
	Seq        uint64
	Run        work.Run
	End        work.End
	Reason     string        // of a refusal or lapse
	Took       time.Duration // from the order to the end
	Checkpoint string        // from which the task can resume; empty if there is none
	Stored     bool          // its job is stored
	endNumber  uint64        // under which the worker lists the end until it is committed; 0 if it need not be retained
}

// homeState is the contact with an entry that sends orders, and its events.
type homeState struct {
	lastContact time.Time // latest time of the agent's clock that the entry has echoed
	events      []Event
	claim       Claim  // the last one
	claimed     uint64 // highest term of its claims
}

// RecordContact records contact with an entry: the entry has echoed a time of the agent's clock.
// A time in the future is no echo.
func (g *Guard) RecordContact(now time.Time, entry string, echo time.Time) {
	s := g.homeState(entry)
	if echo.After(s.lastContact) && !echo.After(now) {
		s.lastContact = echo
	}
}

func (g *Guard) homeState(entry string) *homeState {
	s, ok := g.homes[entry]
	if !ok {
		s = &homeState{}
		g.homes[entry] = s
	}
	return s
}

func (g *Guard) addEvent(entry string, e Event) {
	g.lastSeq++
	e.Seq = g.lastSeq
	s := g.homeState(entry)
	s.events = append(s.events, e)
}

// Events returns the events of an entry after acked, and removes the earlier ones.
func (g *Guard) Events(entry string, acked uint64) []Event {
	s := g.homeState(entry)
	i := 0
	for i < len(s.events) && s.events[i].Seq <= acked {
		g.endCommitted(s.events[i].endNumber)
		i++
	}
	s.events = slices.Delete(s.events, 0, i)
	return slices.Clone(s.events)
}

// Tick stops the runs of entries that are out of contact, and later removes those
// entries. It must be called several times within Config.EntryContactTimeout.
func (g *Guard) Tick(now time.Time) (stopped []work.Run) {
	if g.outOfContact {
		g.expireRuns(now)
	}
	for _, ref := range g.sortedTasks() {
		r := g.runs[ref]
		s := g.homes[r.entry]
		if r.stopRequestedAt.IsZero() && now.Sub(s.lastContact) > g.maxSilence(r) {
			g.stop(now, r, stopNoContact)
			if r.phase == inTransit {
				continue
			}
			stopped = append(stopped, r.start.Run)
		}
	}
	g.expireOutOfContact(now)
	g.resumeRenewal(now)
	g.updateWithheld(now)
	g.fenceTransits(now)
	for name, s := range g.homes {
		if now.Sub(s.lastContact) > g.cfg.EventRetention && !g.hasRuns(name) {
			delete(g.homes, name)
		}
	}
	g.forgetSeals(now)
	return stopped
}

// maxSilence returns how long a run continues without contact to its entry. Another
// entry may take over runs of stored jobs, which takes longer than to declare them lost.
func (g *Guard) maxSilence(r *run) time.Duration {
	if r.start.Stored {
		return g.cfg.HolderContactTimeout
	}
	return g.cfg.EntryContactTimeout
}

func (g *Guard) hasRuns(entry string) bool {
	for _, r := range g.runs {
		if r.entry == entry {
			return true
		}
	}
	return false
}
