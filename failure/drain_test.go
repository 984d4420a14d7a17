package failure

import (
	"context"
	"testing"
	"time"

	"masticbay/table"
)

// drainLimit is the time after which a target that leaves gets no new start.
const drainLimit = 2 * time.Second

// ways are how a target leaves: by its row, by its own word, or with its agent.
var ways = map[string]func(s *site, i int){
	"row drained": func(s *site, i int) { s.setTarget(i, table.Row{Weight: 1, Drain: true}) },
	"row removed": func(s *site, i int) {
		s.setTarget(i, table.Row{Weight: 1})
		s.setTarget(i, table.Row{Weight: 1, Removed: true})
	},
	"target leaves": func(s *site, i int) {
		d := s.desks[i]
		if err := s.agent(i).Hear(d.lastAnnouncement()); err != nil {
			s.t.Error(err)
		}
	},
	"agent stops": func(s *site, i int) {
		s.duties.Go(func() { _ = s.agent(i).Stop(context.Background()) })
	},
}

// setTarget writes the row of a target.
func (s *site) setTarget(i int, r table.Row) {
	s.t.Helper()
	r.Kind, r.Name = table.Target, s.desks[i].name
	s.setRow(r)
}

func TestTargetThatLeavesGetsNothingNew(t *testing.T) {
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			onSite(t, 3, func(t *testing.T, s *site) {
				end := time.Now().Add(30 * time.Second)
				s.duties.Go(func() { s.run(&crowd{prefix: "flood", callers: 12, jobs: 1000, tasks: 3, limit: end}) })
				time.Sleep(5 * time.Second)
				leave(s, 0)
				time.Sleep(drainLimit)
				before, others := s.desks[0].journal.Total(), s.desks[1].journal.Total()
				time.Sleep(time.Until(end))
				after := s.desks[0].journal.Total()
				t.Logf("%d starts before, %d after", before, after-before)
				if before == 0 || after > before || s.desks[1].journal.Total() == others {
					t.Errorf("%d starts before it left, %d after the limit", before, after-before)
				}
			})
		})
	}
}
