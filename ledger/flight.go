package ledger

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
)

// Flight is a commit that was sent and whose result is not known.
//
// Several go side by side, each about jobs of its own. One that was not answered may
// still be carried out: then nothing is sent until all others are answered, and a
// commit that only renews the tenure makes sure that it will not. What it held is
// sent again after that.
type Flight struct {
	commit  *store.Commit
	kind    flightKind
	first   time.Time // when it was sent first
	sending bool      // its result has not been told
	tenure  tenure    // that it writes, but for a plain one
	jobs    []string
	facts   []Fact
	stored  []*Job   // whose items it writes first
	closed  []*Job   // whose end it writes
	agents  []string // that it enrolls
	roll    bool     // it writes the agents
	dropped []string // keys of jobs that need not be kept any more
}

// Commit returns what to send.
func (f *Flight) Commit() *store.Commit { return f.commit }

type flightKind int

const (
	plain flightKind = iota // about jobs, on condition that the tenure is as it was
	renew                   // writes the tenure anew
	claim                   // takes the tenure over
)

// Next returns the commit to send now, or nil. Its result has to be told by Took,
// Conflict, Refused or Lost. The time of day tells how long ended jobs are kept.
func (l *Ledger) Next(now, wall time.Time) (f *Flight, err error) {
	defer func() { err = errors.Annotate(err, "making a commit") }()
	switch {
	case l.turn != nil:
		return l.resend(), nil
	case l.claims && l.phase < loading:
		return l.turnOver(now, claim, tenure{Life: l.life, Epoch: l.tenure.Epoch + 1})
	case l.phase != held:
		return nil, nil
	case len(l.lost) > 0 || len(l.flights) == 0 && l.stale(now):
		if len(l.flights) > 0 {
			return nil, nil // their answers come first
		}
		next := l.tenure
		next.Seq++
		return l.turnOver(now, renew, next)
	case len(l.flights) >= l.cfg.Flights || !l.due(now, wall):
		return nil, nil
	}
	f = &Flight{first: now, sending: true, commit: &store.Commit{Guard: TenureKey, Revision: l.rev}}
	if err := l.fill(wall, f); err != nil {
		return nil, err
	}
	if len(f.commit.Writes)+len(f.commit.Deletes) == 0 {
		return l.withoutWrites(now, f)
	}
	l.flights, l.sent = append(l.flights, f), now
	return f, nil
}

// withoutWrites returns a commit for facts of jobs that are not kept any more: that the
// tenure holds is all that they need.
func (l *Ledger) withoutWrites(now time.Time, f *Flight) (*Flight, error) {
	if len(f.facts) == 0 {
		return nil, nil
	}
	if len(l.flights) > 0 {
		l.retry(f)
		return nil, nil
	}
	next := l.tenure
	next.Seq++
	turn, err := l.turnOver(now, renew, next)
	if err == nil {
		turn.facts = f.facts
	}
	return turn, err
}

// resend returns the commit of the tenure again if its result is not awaited.
func (l *Ledger) resend() *Flight {
	if l.turn.sending {
		return nil
	}
	l.turn.sending = true
	return l.turn
}

// turnOver returns a commit that writes the tenure.
func (l *Ledger) turnOver(now time.Time, kind flightKind, t tenure) (*Flight, error) {
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	l.turn = &Flight{
		first: now, sending: true, kind: kind, tenure: t,
		commit: &store.Commit{Guard: TenureKey, Revision: l.rev, Writes: []store.Item{{Key: TenureKey, Value: raw}}},
	}
	l.sent = now
	return l.turn, nil
}

// stale reports whether the tenure has to be renewed while jobs are open.
func (l *Ledger) stale(now time.Time) bool {
	return now.Sub(l.sent) >= l.cfg.Refresh && len(l.order) == 0 && len(l.jobs) > len(l.ended)
}

// Sent returns when the last commit was sent first.
func (l *Ledger) Sent() time.Time { return l.sent }

// Changed reports whether something waits to be committed.
func (l *Ledger) Changed() bool { return len(l.order) > 0 }

// due reports whether something has to be committed.
func (l *Ledger) due(now, wall time.Time) bool {
	switch age := now.Sub(l.sent); {
	case age < l.cfg.Gap:
		return false
	case len(l.order) > 0 || len(l.trash) > 0:
		return true
	case age < l.cfg.Refresh:
		return false
	}
	return l.roll || l.expired(wall)
}
