package ledger

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
)

// PendingCommit is a commit that was sent and whose result is not known.
//
// Several commits are in flight at a time, each with jobs of its own. The store may
// still carry out a commit that was not answered. So nothing is sent until all
// others are answered, and then a commit that only renews the tenure invalidates the
// unanswered one. After that its changes are sent again.
type PendingCommit struct {
	commit           *store.Commit
	kind             commitKind
	firstSentAt      time.Time // when it was first sent
	awaitsResult     bool      // it was sent and its result has not been recorded
	tenure           tenure    // written by a commit that is not plain
	jobs             []string
	changes          []Change
	newJobs          []*Job   // whose items it is the first to write
	endedJobs        []*Job   // whose ends it writes
	newAgents        []string // that it enrolls
	writesEnrollment bool     // it writes the list of enrolled agents
	deletedKeys      []string // keys of expired jobs
}

// Commit returns the commit to send to the store.
func (p *PendingCommit) Commit() *store.Commit { return p.commit }

type commitKind int

const (
	plain   commitKind = iota // about jobs, on condition that the tenure is unchanged
	renew                     // renews the tenure
	acquire                   // takes over the tenure
)

// Next returns the commit to send now, or nil. Its result must be recorded by
// Committed, Conflict, Refused or Unanswered. The wall time decides which ended jobs
// have expired. An error says why changes were dropped; there may be a commit all the same.
func (l *Ledger) Next(now, wall time.Time) (p *PendingCommit, err error) {
	defer func() { err = errors.Annotate(err, "making a commit") }()
	switch {
	case l.tenureCommit != nil:
		return l.resend(), nil
	case l.acquiring && l.phase < loading:
		return l.newTenureCommit(now, acquire, tenure{Life: l.life, Epoch: l.nextEpoch()})
	case l.phase != held:
		return nil, nil
	case len(l.unanswered) > 0 || len(l.inFlight) == 0 && l.renewalDue(now):
		if len(l.inFlight) > 0 {
			return nil, nil // their answers come first
		}
		next := l.tenure
		next.Seq++
		return l.newTenureCommit(now, renew, next)
	case len(l.inFlight) >= l.cfg.MaxInFlight || !l.commitDue(now, wall):
		return nil, nil
	}
	p = &PendingCommit{firstSentAt: now, awaitsResult: true, commit: &store.Commit{Guard: TenureKey, Revision: l.rev}}
	err = l.fill(wall, p)
	if len(p.commit.Writes)+len(p.commit.Deletes) == 0 {
		renewal, renewErr := l.commitWithoutWrites(now, p)
		return renewal, cmp.Or(err, renewErr)
	}
	l.inFlight, l.lastSentAt = append(l.inFlight, p), now
	return p, err
}

// commitWithoutWrites returns a commit for changes of jobs that are no longer retained.
// They need only the confirmation that the tenure holds.
func (l *Ledger) commitWithoutWrites(now time.Time, p *PendingCommit) (*PendingCommit, error) {
	if len(p.changes) == 0 {
		return nil, nil
	}
	if len(l.inFlight) > 0 {
		l.retry(p)
		return nil, nil
	}
	next := l.tenure
	next.Seq++
	renewal, err := l.newTenureCommit(now, renew, next)
	if err == nil {
		renewal.changes = p.changes
	}
	return renewal, err
}

// resend returns the tenure's commit again unless its result is awaited.
func (l *Ledger) resend() *PendingCommit {
	if l.tenureCommit.awaitsResult {
		return nil
	}
	l.tenureCommit.awaitsResult = true
	return l.tenureCommit
}

// newTenureCommit returns a commit that writes the tenure.
func (l *Ledger) newTenureCommit(now time.Time, kind commitKind, t tenure) (*PendingCommit, error) {
	raw, err := json.Marshal(t)
	if err != nil {
		return nil, err
	}
	l.tenureCommit = &PendingCommit{
		firstSentAt: now, awaitsResult: true, kind: kind, tenure: t,
		commit: &store.Commit{Guard: TenureKey, Revision: l.rev, Writes: []store.Item{{Key: TenureKey, Value: raw}}},
	}
	l.lastSentAt = now
	return l.tenureCommit, nil
}

// renewalDue reports whether the tenure must be renewed because jobs are open.
func (l *Ledger) renewalDue(now time.Time) bool {
	return now.Sub(l.lastSentAt) >= l.cfg.RenewalInterval && !l.HasChanges() && len(l.jobs) > len(l.ended)
}

// SentAt returns when the last commit was first sent.
func (l *Ledger) SentAt() time.Time { return l.lastSentAt }

// HasChanges reports whether changes of jobs or of the enrolled agents wait to be
// committed.
func (l *Ledger) HasChanges() bool { return len(l.changedJobs) > 0 || l.enrollmentChanged }

// commitDue reports whether something must be committed now.
func (l *Ledger) commitDue(now, wall time.Time) bool {
	switch age := now.Sub(l.lastSentAt); {
	case age < l.cfg.CommitInterval:
		return false
	case len(l.changedJobs) > 0 || len(l.keysToDelete) > 0:
		return true
	case l.enrollmentChanged:
		return true // tasks of stored jobs wait for it
	case age < l.cfg.RenewalInterval:
		return false
	}
	return l.oldestExpired(wall)
}
