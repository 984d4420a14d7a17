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

// gauge counts the tasks that run at all targets, and the starts above a limit.
type gauge struct {
	mu         sync.Mutex // guards what follows
	running    int
	limit      int // 0 for none
	activeFrom time.Time
	starts     int // while the limit holds
	maxRunning int // that ran after such a start
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

// setLimit begins to count for a limit at a time.
func (g *gauge) setLimit(limit int, from time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit, g.activeFrom, g.starts, g.maxRunning = limit, from, 0, 0
}

// checkLimit demands that tasks were started, and none above the limit.
func (g *gauge) checkLimit(t *testing.T) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	t.Logf("limit %d: at most %d ran at once in %d starts", g.limit, g.maxRunning, g.starts)
	if g.starts == 0 || g.maxRunning > g.limit {
		t.Errorf("limit %d: %d ran at once in %d starts", g.limit, g.maxRunning, g.starts)
	}
}

// checkUsed demands that the limit could be used, but for the bases of the other
// entries.
func (g *gauge) checkUsed(t *testing.T, entries int) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if least := g.limit - (entries - 1); g.maxRunning < least {
		t.Errorf("limit %d: at most %d ran at once; want at least %d", g.limit, g.maxRunning, least)
	}
}

// limitApplyTime is the time in which a limit is in force everywhere.
const limitApplyTime = 4 * time.Second

// setLimit writes the limit of the callers' team.
func (s *site) setLimit(limit int) {
	s.t.Helper()
	s.setRow(table.Row{Kind: table.Team, Name: team, Weight: 1, Limit: limit})
	s.gauge.setLimit(limit, time.Now().Add(limitApplyTime))
}

// setRow writes a row of the table over the current one.
func (s *site) setRow(r table.Row) {
	s.t.Helper()
	ed := table.Editor{Store: s.store, Clock: clock.System{}, NewID: func() string { return identity.New("edit") }}
	ctx := context.Background()
	cur, err := ed.Get(ctx, r.Kind, r.Name)
	edit := table.Edit{Row: r}
	if err == nil {
		edit.Base = cur.Revision
	}
	if _, err := ed.Set(ctx, edit); err != nil {
		s.t.Fatal(err)
	}
}

// TestTeamLimit lets a team flood three entries, all of them homes, while
// its limit is set, lowered, and a member fails.
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
					time.Sleep(limitApplyTime + 2*quota.Hold)
					s.gauge.checkLimit(t)
					s.gauge.checkUsed(t, len(s.entries))
				}
				end := f.inject(s, 0)
				time.Sleep(10 * time.Second)
				end()
				s.gauge.checkLimit(t)
			}, func(p *policy) { p.Homes = 3 })
		})
	}
}
