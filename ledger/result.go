package ledger

import (
	"slices"
	"time"

	"masticbay/store"
)

// Committed records that a commit succeeded with a revision, and returns the changes that
// are durable now.
func (l *Ledger) Committed(p *PendingCommit, rev uint64) (changes []Change) {
	if !l.removeInFlight(p) {
		return nil
	}
	l.failingSince = time.Time{}
	if p.firstSentAt.After(l.renewedAt) {
		l.renewedAt = p.firstSentAt
	}
	switch p.kind {
	case plain:
		return l.applyCommitted(p)
	case acquire:
		l.acquiring, l.phase = false, loading
	}
	l.setRevision(rev)
	l.tenure = p.tenure
	// Earlier unanswered commits can no longer succeed: the revision has changed.
	for _, earlier := range l.unanswered {
		l.retry(earlier)
	}
	l.unanswered = nil
	return p.changes
}

// removeInFlight removes a commit that awaits its result, and reports whether it was
// found.
func (l *Ledger) removeInFlight(p *PendingCommit) bool {
	p.awaitsResult = false
	if p == l.tenureCommit {
		l.tenureCommit = nil
		return true
	}
	i := slices.Index(l.inFlight, p)
	if i < 0 {
		return false
	}
	l.inFlight = slices.Delete(l.inFlight, i, i+1)
	return true
}

// applyCommitted records that everything in a commit is durable.
func (l *Ledger) applyCommitted(p *PendingCommit) []Change {
	for _, id := range p.jobs {
		delete(l.busy, id)
	}
	for _, j := range p.newJobs {
		j.stored = true
	}
	for _, j := range p.endedJobs {
		j.endStored = true
	}
	for _, a := range p.newAgents {
		if _, ok := l.agents[a]; ok {
			l.agents[a] = true
		}
	}
	return p.changes
}

// retry returns the contents of a commit that failed, or may have failed, to the queue.
// Its writes state the result, so carrying them out twice does no harm.
func (l *Ledger) retry(p *PendingCommit) {
	for _, id := range p.jobs {
		delete(l.busy, id)
		if _, ok := l.changes[id]; !ok {
			l.changedJobs = append(l.changedJobs, id)
		}
	}
	for _, change := range p.changes {
		l.changes[change.Job] = append(l.changes[change.Job], change)
	}
	l.enrollmentChanged = l.enrollmentChanged || p.writesEnrollment
	l.keysToDelete = append(l.keysToDelete, p.deletedKeys...)
}

// Refused records that a commit was refused: it had no effect.
func (l *Ledger) Refused(now time.Time, p *PendingCommit) {
	if l.commitFailed(now, p) {
		l.retry(p)
	}
}

// Unanswered records that a commit was not answered: the store may still carry it out.
func (l *Ledger) Unanswered(now time.Time, p *PendingCommit) {
	if l.commitFailed(now, p) {
		l.unanswered = append(l.unanswered, p)
	}
}

// commitFailed records that a commit did not succeed, as far as is known, and reports
// whether it is no longer in flight. A commit of the tenure is sent again unchanged.
func (l *Ledger) commitFailed(now time.Time, p *PendingCommit) bool {
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
	if p.kind != plain {
		p.awaitsResult = false
		return false
	}
	return l.removeInFlight(p)
}

// Conflict takes the tenure's key as it is when a commit's condition does not hold.
// Either an earlier transmission of the tenure's commit succeeded, or another entry
// holds the tenure now. In the second case deposed is true if this entry held it, and
// everything that was not committed is discarded. An error says why the holder is unknown.
func (l *Ledger) Conflict(p *PendingCommit, it store.Item) (changes []Change, deposed bool, err error) {
	if p != l.tenureCommit && !slices.Contains(l.inFlight, p) {
		return nil, false, nil
	}
	if t, err := decodeTenure(it); err == nil && p.kind != plain && t == p.tenure {
		return l.Committed(p, it.Revision), false, nil
	}
	deposed = l.phase >= loading
	l.reset()
	l.acquiring = false
	return nil, deposed, l.observeHolder(it)
}
