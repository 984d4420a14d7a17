package failure

import (
	"testing"
	"time"
)

// endHomeDuringOutage stops the key-value service, ends the home, and waits until
// the entries can't be sure that they are still listed. It returns the indexes of
// the other entries and the ID of the ended one.
func (s *site) endHomeDuringOutage(end func(home int)) (others []int, ended string) {
	home := s.ranking[0]
	ended = s.entry(home).ID()
	s.faults.set(true, false)
	end(home)
	time.Sleep(2 * retention)
	return s.ranking[1:], ended
}

func TestEntryStopsDuringStoreOutage(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		others, _ := s.endHomeDuringOutage(func(home int) {
			if err := s.entry(home).Stop(t.Context()); err != nil {
				t.Error(err)
			}
		})
		if n := s.runWorkload(&workload{prefix: "job", callers: 4, jobs: 5, tasks: 3, entries: others}); n.complete != n.total() {
			t.Errorf("after the planned stop of an entry, not all jobs are complete: %+v", n)
		}
	})
}

// TestEntryDiesDuringStoreOutage checks that jobs get no answers until an operator
// declares the dead entry ended: the others can't tell a dead entry from one that
// is cut off together with the key-value service.
func TestEntryDiesDuringStoreOutage(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		others, dead := s.endHomeDuringOutage(func(home int) { s.entry(home).Kill() })
		if n := s.runWorkload(&workload{prefix: "doubt", callers: 4, jobs: 1, tasks: 3, entries: others}); n.unanswered != n.total() {
			t.Errorf("before the operator ended the entry, jobs were answered: %+v", n)
		}
		if isNew, err := s.entry(others[0]).MarkEnded(t.Context(), dead); err != nil || !isNew {
			t.Errorf("ending %s: new %t, %v", dead, isNew, err)
		}
		time.Sleep(10 * time.Second)
		if n := s.runWorkload(&workload{prefix: "job", callers: 4, jobs: 5, tasks: 3, entries: others}); n.complete != n.total() {
			t.Errorf("after the operator ended the entry, not all jobs are complete: %+v", n)
		}
	})
}
