package failure

import (
	"testing"
	"time"
)

// endHomeDuringOutage takes the key-value service away, ends the home, and lets as much
// time pass as makes entries doubt that they are still listed.
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
			t.Errorf("after the planned stop of an entry: %+v", n)
		}
	})
}

// TestEntryDiesDuringStoreOutage: the others can not tell a dead entry from one
// that is cut off together with the key-value service, until an operator does.
func TestEntryDiesDuringStoreOutage(t *testing.T) {
	runWithSite(t, 3, func(t *testing.T, s *site) {
		others, dead := s.endHomeDuringOutage(func(home int) { s.entry(home).Kill() })
		if n := s.runWorkload(&workload{prefix: "doubt", callers: 4, jobs: 1, tasks: 3, entries: others}); n.unanswered != n.total() {
			t.Errorf("before the operator's word: %+v", n)
		}
		if news, err := s.entry(others[0]).End(t.Context(), dead); err != nil || !news {
			t.Errorf("ending %s: %t, %v", dead, news, err)
		}
		time.Sleep(10 * time.Second)
		if n := s.runWorkload(&workload{prefix: "job", callers: 4, jobs: 5, tasks: 3, entries: others}); n.complete != n.total() {
			t.Errorf("after the operator's word: %+v", n)
		}
	})
}
