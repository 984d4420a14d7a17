package ledger

import (
	"encoding/json"
	"slices"
	"time"

	"masticbay/store"
)

// expired reports whether a job that has ended need not be kept any more.
func (l *Ledger) expired(wall time.Time) bool {
	return l.whole && len(l.ended) > 0 && l.ended[0].closed && wall.Sub(l.ended[0].Ended) > l.cfg.Keep
}

// perJob is the most entries of a commit that one job takes.
const perJob = 3

// fill adds changes to a commit as far as they fit, of jobs that are in no other.
func (l *Ledger) fill(wall time.Time, f *Flight) (err error) {
	room := l.cfg.Entries - 1 // the condition
	if l.roll {
		if err := l.fillAgents(f); err != nil {
			return err
		}
		room--
	}
	var rest []string
	for _, id := range l.order {
		if room < perJob || l.busy[id] {
			rest = append(rest, id)
			continue
		}
		f.jobs, f.facts = append(f.jobs, id), append(f.facts, l.changes[id]...)
		delete(l.changes, id)
		if j, ok := l.jobs[id]; ok {
			before := len(f.commit.Writes) + len(f.commit.Deletes)
			if err := j.fill(f); err != nil {
				return err
			}
			room -= len(f.commit.Writes) + len(f.commit.Deletes) - before
			l.busy[id] = true
		}
	}
	l.order = rest
	for ; room > 0 && l.expired(wall); room-- {
		old := l.ended[0]
		l.ended = l.ended[1:]
		delete(l.jobs, old.ID)
		f.dropped = append(f.dropped, EndedPrefix+old.ID)
	}
	n := min(max(room, 0), len(l.trash))
	f.dropped = append(f.dropped, l.trash[:n]...)
	l.trash = l.trash[n:]
	f.commit.Deletes = append(f.commit.Deletes, f.dropped...)
	return nil
}

// fill adds what has to be written about a job.
func (j *Job) fill(f *Flight) error {
	first, key := !j.stored, jobPrefix+j.ID
	if j.State != "" {
		key = EndedPrefix + j.ID
		f.closed = append(f.closed, j)
		if !first || j.tried {
			f.commit.Deletes = append(f.commit.Deletes, jobPrefix+j.ID)
		}
	}
	if first || j.State != "" {
		raw, err := j.encode()
		if err != nil {
			return err
		}
		f.commit.Writes = append(f.commit.Writes, store.Item{Key: key, Value: raw})
	}
	if first {
		f.stored = append(f.stored, j)
		j.tried = true
	}
	switch {
	case j.State != "" && j.progress:
		j.progress = false
		f.commit.Deletes = append(f.commit.Deletes, progressPrefix+j.ID)
	case j.State == "" && !first:
		raw, err := j.encodeProgress()
		if err != nil {
			return err
		}
		j.progress = true
		f.commit.Writes = append(f.commit.Writes, store.Item{Key: progressPrefix + j.ID, Value: raw})
	}
	return nil
}

func (l *Ledger) fillAgents(f *Flight) error {
	all := []string{}
	for a, stored := range l.agents {
		all = append(all, a)
		if !stored {
			f.agents = append(f.agents, a)
		}
	}
	slices.Sort(all)
	l.roll, f.roll = false, true
	raw, err := json.Marshal(all)
	if err != nil {
		return err
	}
	f.commit.Writes = append(f.commit.Writes, store.Item{Key: agentsKey, Value: raw})
	return nil
}
