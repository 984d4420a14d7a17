package ledger

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
)

// oldestExpired reports whether the retention of the job that ended first has passed.
func (l *Ledger) oldestExpired(wall time.Time) bool {
	return l.endedLoaded && len(l.ended) > 0 && l.ended[0].endStored && wall.Sub(l.ended[0].Ended) > l.cfg.EndedRetention
}

// maxJobEntries is the highest number of commit entries that one job takes.
const maxJobEntries = 3

// fill adds changes to a commit as far as they fit, only of jobs that are in no other commit.
// It drops the changes of a job that can't be encoded.
func (l *Ledger) fill(wall time.Time, p *PendingCommit) (err error) {
	space := l.cfg.MaxCommitEntries - 1 // the condition
	if l.enrollmentChanged {
		if err := l.fillAgents(p); err != nil {
			return err
		}
		space--
	}
	var postponed []string
	for _, id := range l.changedJobs {
		if space < maxJobEntries || l.busy[id] {
			postponed = append(postponed, id)
			continue
		}
		changes := l.changes[id]
		delete(l.changes, id)
		if j, ok := l.jobs[id]; ok {
			before := len(p.commit.Writes) + len(p.commit.Deletes)
			if fillErr := j.fill(p); fillErr != nil {
				err = cmp.Or(err, errors.Annotatef(fillErr, "encoding job %s", id))
				continue
			}
			space -= len(p.commit.Writes) + len(p.commit.Deletes) - before
			l.busy[id] = true
		}
		p.jobs, p.changes = append(p.jobs, id), append(p.changes, changes...)
	}
	l.changedJobs = postponed
	for ; space > 0 && l.oldestExpired(wall); space-- {
		oldest := l.ended[0]
		l.ended = l.ended[1:]
		delete(l.jobs, oldest.ID)
		p.deletedKeys = append(p.deletedKeys, EndedPrefix+oldest.ID)
	}
	n := min(max(space, 0), len(l.keysToDelete))
	p.deletedKeys = append(p.deletedKeys, l.keysToDelete[:n]...)
	l.keysToDelete = l.keysToDelete[n:]
	p.commit.Deletes = append(p.commit.Deletes, p.deletedKeys...)
	return err
}

// fill adds the writes and deletions that a job needs, or none if it can't be encoded.
func (j *Job) fill(p *PendingCommit) error {
	isNew, hasEnded := !j.stored, j.State != ""
	encode, key := j.encode, jobPrefix+j.ID
	switch {
	case hasEnded:
		key = EndedPrefix + j.ID
	case !isNew:
		encode, key = j.encodeProgress, progressPrefix+j.ID
	}
	raw, err := encode()
	if err != nil {
		return err
	}
	p.commit.Writes = append(p.commit.Writes, store.Item{Key: key, Value: raw})
	if hasEnded {
		p.endedJobs = append(p.endedJobs, j)
		if !isNew || j.maybeStored {
			p.commit.Deletes = append(p.commit.Deletes, jobPrefix+j.ID)
		}
		if j.hasProgressItem {
			j.hasProgressItem = false
			p.commit.Deletes = append(p.commit.Deletes, progressPrefix+j.ID)
		}
	}
	if isNew {
		p.newJobs = append(p.newJobs, j)
		j.maybeStored = true
	}
	j.hasProgressItem = j.hasProgressItem || !isNew && !hasEnded
	return nil
}

func (l *Ledger) fillAgents(p *PendingCommit) error {
	all := []string{}
	for a, stored := range l.agents {
		all = append(all, a)
		if !stored {
			p.newAgents = append(p.newAgents, a)
		}
	}
	slices.Sort(all)
	l.enrollmentChanged, p.writesEnrollment = false, true
	raw, err := json.Marshal(all)
	if err != nil {
		return err
	}
	p.commit.Writes = append(p.commit.Writes, store.Item{Key: agentsKey, Value: raw})
	return nil
}
