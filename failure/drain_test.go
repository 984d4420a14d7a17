package failure

import (
	"context"
	"testing"
	"time"

	"masticbay/table"
)

// drainLimit is the time after which a leaving target must get no more starts.
const drainLimit = 2 * time.Second

// leaveMethods are the ways in which a target leaves: by its row of the table, by
// its own announcement, or with its agent.
var leaveMethods = map[string]func(s *site, i int){
	"row drained": func(s *site, i int) { s.setTarget(i, table.Row{Weight: 1, Drain: true}) },
	"row removed": func(s *site, i int) {
		s.setTarget(i, table.Row{Weight: 1})
		s.setTarget(i, table.Row{Weight: 1, Removed: true})
	},
	"target leaves": func(s *site, i int) {
		f := s.targets[i]
		if err := s.agent(i).TakeAnnouncement(f.leavingAnnouncement()); err != nil {
			s.t.Error(err)
		}
	},
	"agent stops": func(s *site, i int) {
		s.goroutines.Go(func() { _ = s.agent(i).Stop(context.Background()) })
	},
}

// setTarget writes the row of a target.
func (s *site) setTarget(i int, r table.Row) {
	s.t.Helper()
	r.Kind, r.Name = table.Target, s.targets[i].name
	s.setRow(r)
}

func TestLeavingTargetGetsNoStarts(t *testing.T) {
	for name, leave := range leaveMethods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithSite(t, 3, func(t *testing.T, s *site) {
				endAt := time.Now().Add(30 * time.Second)
				s.goroutines.Go(func() { s.runWorkload(&workload{prefix: "flood", callers: 12, jobs: 1000, tasks: 3, until: endAt}) })
				time.Sleep(5 * time.Second)
				leave(s, 0)
				time.Sleep(drainLimit)
				before, otherBefore := s.targets[0].journal.Total(), s.targets[1].journal.Total()
				time.Sleep(time.Until(endAt))
				after := s.targets[0].journal.Total()
				t.Logf("%d starts before the limit, %d after", before, after-before)
				if before == 0 || after > before || s.targets[1].journal.Total() == otherBefore {
					t.Errorf("%d starts before the limit, %d after", before, after-before)
				}
			})
		})
	}
}
