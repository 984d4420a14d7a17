package failure

import (
	"context"
	"sync"
	"testing"
	"time"

	"masticbay/clock"
	"masticbay/identity"
	"masticbay/quota"
	"masticbay/table"
)

// gauge counts the tasks that run at all targets, and records the highest number
// while a limit is in force.
type gauge struct {
	mu         sync.Mutex // guards what follows
	running    int
	limit      int // 0 if there is none
	activeFrom time.Time
	starts     int // while the limit is in force
	maxRunning int // highest number of running tasks after such a start
}

func (g *gauge) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
	if g.limit == 0 || time.Now().Before(g.activeFrom) {
		return
	}
	g.starts++
	g.maxRunning = max(g.maxRunning, g.running)
}

func (g *gauge) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
}

// setLimit resets the counts for a limit that is in force from the given time on.
func (g *gauge) setLimit(limit int, from time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit, g.activeFrom, g.starts, g.maxRunning = limit, from, 0, 0
}

// checkLimit checks that tasks were started, and that none exceeded the limit.
func (g *gauge) checkLimit(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Logf("limit %d: at most %d ran at once in %d starts", g.limit, g.maxRunning, g.starts)
	if g.starts == 0 || g.maxRunning > g.limit {
		t.Errorf("limit %d: %d ran at once in %d starts", g.limit, g.maxRunning, g.starts)
	}
}

// checkUsed checks that the team could use its limit, except for the base share
// of each other entry.
func (g *gauge) checkUsed(t *testing.T, entries int) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if minRunning := g.limit - (entries - 1); g.maxRunning < minRunning {
		t.Errorf("limit %d: at most %d ran at once; want at least %d", g.limit, g.maxRunning, minRunning)
	}
}

// limitApplyTime is the time until a new limit is in force at every entry.
const limitApplyTime = 4 * time.Second

// setLimit sets the limit of the callers' team and makes the gauge check it.
func (s *site) setLimit(limit int) {
	s.t.Helper()
	s.setRow(table.Row{Kind: table.Team, Name: team, Weight: 1, Limit: limit})
	s.gauge.setLimit(limit, time.Now().Add(limitApplyTime))
}

// setRow writes a row of the table, based on the current revision of the row.
func (s *site) setRow(r table.Row) {
	s.t.Helper()
	editor := table.Editor{Store: s.store, Clock: clock.System{}, NewID: func() string { return identity.New("edit") }}
	ctx := context.Background()
	current, err := editor.Get(ctx, r.Kind, r.Name)
	edit := table.Edit{Row: r}
	if err == nil {
		edit.Base = current.Revision
	}
	if _, err := editor.Set(ctx, edit); err != nil {
		s.t.Fatal(err)
	}
}

// TestTeamLimit floods three entries, all of them homes, with the jobs of one
// team, while its limit is set and then lowered and a member fails.
func TestTeamLimit(t *testing.T) {
	for _, f := range append([]fault{{name: "none", inject: func(*site, int) func() { return func() {} }}}, faults...) {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runWithSite(t, 3, func(t *testing.T, s *site) {
				s.goroutines.Go(func() {
					s.runWorkload(&workload{prefix: "flood", callers: 24, jobs: 100, tasks: 3, until: time.Now().Add(time.Minute)})
				})
				for _, limit := range []int{9, 4} {
					s.setLimit(limit)
					time.Sleep(limitApplyTime + 2*quota.ReservationTerm)
					s.gauge.checkLimit(t)
					s.gauge.checkUsed(t, len(s.entries))
				}
				heal := f.inject(s, 0)
				time.Sleep(10 * time.Second)
				heal()
				s.gauge.checkLimit(t)
			}, func(p *policy) { p.Homes = 3 })
		})
	}
}
