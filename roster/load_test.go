package roster_test

import (
	"testing"
	"time"

	"masticbay/roster"
)

// TestBurstOutgrowsOneHome guards against a home that alone places all tasks of a burst
// and falls behind: the site is divided while the load is high, among strong entries only,
// and stays divided through the waves of a day.
func TestBurstOutgrowsOneHome(t *testing.T) {
	const cores, limit = 0.8, 4
	var d roster.Division
	now, cells := time.Unix(1000, 0), 1
	for _, step := range []struct {
		after time.Duration
		rate  float64
		want  int
	}{
		{time.Second, 500, 1},
		{time.Second, 1900, 1},
		{time.Second, 3300, 2},
		{time.Second, 1200, 2},     // the trough of a wave
		{20 * time.Second, 900, 2}, // not low for long enough
		{time.Second, 4500, 3},     // a burst
		{time.Second, 90000, 4},    // the limit
		{time.Second, 3300, 4},
		{31 * time.Second, 3300, 2},
		{time.Second, 0, 2},
		{31 * time.Second, 0, 1},
	} {
		now = now.Add(step.after)
		if cells = d.Cells(now, step.rate, cores, cells, limit); cells != step.want {
			t.Errorf("at %.0f starts a second: %d cells, want %d", step.rate, cells, step.want)
		}
	}
}

// TestSmallSiteIsNotDivided guards against cells of a few workers, which can not balance
// the load of a burst.
func TestSmallSiteIsNotDivided(t *testing.T) {
	for _, tc := range []struct{ agents, strong, want int }{{11, 4, 1}, {39, 4, 1}, {54, 4, 2}, {62, 4, 3}, {77, 6, 3}, {240, 4, 4}, {62, 0, 1}} {
		if got := roster.DivisionLimit(tc.agents, 40, tc.strong); got != tc.want {
			t.Errorf("%d agents, %d strong entries: at most %d cells, want %d", tc.agents, tc.strong, got, tc.want)
		}
	}
}

// TestWeakEntriesCarryNoCell guards against a cell that is given to an entry with a
// quarter of the home's processor, which would fall behind at once.
func TestWeakEntriesCarryNoCell(t *testing.T) {
	now := time.Unix(1000, 0)
	self := member("e0", 0)
	self.Cores = 0.8
	r := roster.New(now, self, roster.Config{HomeContactTimeout: time.Second, ContactTimeout: time.Second, PanelSize: 5})
	for i, cores := range []float64{0.8, 0.192, 0.192, 0.7} {
		m := member([]string{"e1", "e2", "e3", "e4"}[i], 0)
		m.Cores = cores
		r.RecordContact(now, m)
	}
	leaving := member("e5", 0)
	leaving.Cores, leaving.Leaving = 0.8, true
	r.RecordContact(now, leaving)
	if got := r.StrongEntries(now); got != 3 {
		t.Errorf("%d strong entries, want 3", got)
	}
}

func TestStartRateForgetsAQuietHome(t *testing.T) {
	var s roster.StartRate
	now := time.Unix(1000, 0)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		s.Add(now, 30)
	}
	if r := s.PerSecond(now); r < 2900 || r > 3100 {
		t.Errorf("rate %.0f, want 3000", r)
	}
	if r := s.PerSecond(now.Add(3 * time.Second)); r != 0 {
		t.Errorf("rate %.0f after 3 s without starts, want 0", r)
	}
}
