package site

import (
	"slices"
	"time"
)

// This file holds the contact of a home with the entries whose jobs it has. An entry that
// is out of contact, or has given its jobs up, has them withdrawn.

// entryContact is the newest session of an entry that submits jobs to this home,
// and the latest time at which the entry is known to have been in contact.
type entryContact struct {
	session     uint64
	lastContact time.Time
	echoed      bool // a message has echoed a stamp of this home
}

// entrySession identifies a session of an entry at this home; see RunArgs.
type entrySession struct {
	life    string
	session uint64
}

// entryCall identifies a call of an entry that hands over a job.
type entryCall struct {
	life string
	call uint64
}

// maxSession bounds the numbers of sessions, so that a malformed one does not shut out those after it.
// An entry starts one for each home that it loses.
const maxSession = 1 << 24

// recordContact records a message of another entry. A new session ends the entry's
// earlier ones.
func (h *home) recordContact(life string, session uint64, echo time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordContactLocked(entrySession{life, session}, echo)
}

// recordContactLocked is recordContact with mu held. It delivers only the decisions about
// earlier sessions, which must not answer calls of this one. It reports whether the session
// is the newest of the entry and the message recent.
//
// A message may be late by seconds, and its entry may have handed its jobs to another
// home meanwhile. So the time of the contact is that of the echo: the entry was in
// contact when this home issued the stamp, but maybe not later. Only the first greetings
// of an entry have no echo. Before the first message with one, an echo of 0 counts as the
// present.
func (h *home) recordContactLocked(c entrySession, echo time.Duration) bool {
	previous := h.entries[c.life]
	if c.session < previous.session || c.session > maxSession {
		return false
	}
	now := h.e.now()
	sent := now
	switch {
	case c.life == h.e.life:
	case echo > 0:
		if sent = fromStamp(echo); sent.After(now) {
			return false // not a stamp of this home
		}
	case previous.echoed:
		sent = previous.lastContact
	}
	contact := sent
	if contact.Before(previous.lastContact) {
		contact = previous.lastContact
	}
	h.entries[c.life] = entryContact{c.session, contact, previous.echoed || echo > 0}
	if c.session > previous.session {
		h.withdrawSessions("its entry gave it up", func(o entrySession) bool { return o.life == c.life && o.session < c.session })
		h.deliverDecisions()
	}
	return now.Sub(sent) <= withdrawJobsAfter
}

// dropOutOfContact withdraws the jobs of entries that are out of contact, since
// their callers may submit them again elsewhere. The caller holds mu.
func (h *home) dropOutOfContact(now time.Time) {
	for life, c := range h.entries {
		if life == h.e.life || now.Sub(c.lastContact) <= withdrawJobsAfter {
			continue
		}
		h.withdrawSessions("its entry is out of contact", func(o entrySession) bool { return o.life == life })
		if now.Sub(c.lastContact) > peerRetention {
			delete(h.entries, life)
		}
	}
}

// withdrawSessions withdraws the jobs of the sessions that match. The caller holds mu.
func (h *home) withdrawSessions(reason string, match func(entrySession) bool) {
	matches := func(w *waiter) bool { return match(w.entry) }
	for id, ws := range h.waiters {
		if slices.ContainsFunc(ws, matches) {
			h.log.Warn().Str("job", id).Str("why", reason).Msg("job withdrawn")
			h.removeWaitersLocked(id, matches)
		}
	}
}
