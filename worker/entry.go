package worker

import (
	"slices"
	"time"

	"masticbay/work"
)

// Event tells an entry how a run of its own ended.
type Event struct {
	Seq        uint64
	Run        work.Run
	End        work.End
	Reason     string        // for Refused: why
	Took       time.Duration // from the order to the end
	Checkpoint string        // from which the task can resume; empty if there is none
	Stored     bool          // its job is stored
	number     uint64        // under which the worker lists the end until it is saved; 0 if it need not
}

type session struct {
	heard  time.Time // agent's own time that the entry echoed last
	events []Event
	seq    uint64
}

// Hear notes that an entry has echoed the agent's own time.
func (g *Guard) Hear(entry string, echo time.Time) {
	s := g.session(entry)
	if echo.After(s.heard) {
		s.heard = echo
	}
}

func (g *Guard) session(entry string) *session {
	s, ok := g.sessions[entry]
	if !ok {
		s = &session{}
		g.sessions[entry] = s
	}
	return s
}

func (g *Guard) tell(entry string, e Event) {
	s := g.session(entry)
	s.seq++
	e.Seq = s.seq
	s.events = append(s.events, e)
}

// Events returns the events of an entry after acked, and forgets earlier ones.
func (g *Guard) Events(entry string, acked uint64) []Event {
	s := g.session(entry)
	i := 0
	for i < len(s.events) && s.events[i].Seq <= acked {
		g.saved(s.events[i].number)
		i++
	}
	s.events = slices.Delete(s.events, 0, i)
	return slices.Clone(s.events)
}

// Tick stops the runs of entries that have been silent, and forgets entries
// that have been so for long. It is called several times in each Contact.
func (g *Guard) Tick(now time.Time) (stopped []work.Run) {
	if g.silent {
		g.expire(now)
	}
	for _, ref := range g.refs() {
		r := g.runs[ref]
		s := g.sessions[r.entry]
		if r.stopped.IsZero() && now.Sub(s.heard) > g.contact(r) {
			g.stop(now, r)
			stopped = append(stopped, r.start.Run)
		}
	}
	g.voidSilent(now)
	g.lapsed(now)
	for name, s := range g.sessions {
		if now.Sub(s.heard) > g.cfg.Forget && !g.serves(name) {
			delete(g.sessions, name)
		}
	}
	return stopped
}

// contact returns how long the entry of a run may be silent. Another one may take
// over runs of stored jobs, which takes longer than to give them up.
func (g *Guard) contact(r *run) time.Duration {
	if r.start.Stored {
		return g.cfg.Handover
	}
	return g.cfg.Contact
}

func (g *Guard) serves(entry string) bool {
	for _, r := range g.runs {
		if r.entry == entry {
			return true
		}
	}
	return false
}
