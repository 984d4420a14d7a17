package roster

import (
	"math"
	"time"
)

// This file divides a site by the load on its homes. The processor time that a home
// spends grows with the tasks that it places. A home that falls behind is given up by
// the other entries, which hand its jobs to the next home and so double the work: such
// a collapse outlasts the burst that began it.

// maxStartsPerCore is the number of tasks a second that a home places for each core of
// its VM before the site is divided. A home spends about 0.2 of a core on 1,000 tasks a
// second, so it keeps half of its processor for bursts.
const maxStartsPerCore = 2500

// divisionRetention is how long the load must have been low before a site is divided
// into fewer cells, so that the waves of a day move no agents.
const divisionRetention = 30 * time.Second

// Division decides from the load into how many cells a site is divided. The zero value
// is ready to use.
type Division struct {
	lowSince time.Time // since when fewer cells would do; zero if they would not
}

// Cells returns the number of cells for a number of tasks that start on the site each
// second, homes of a number of cores, and the current number of cells. It is at most
// limit; see DivisionLimit.
func (d *Division) Cells(now time.Time, startRate, cores float64, current, limit int) int {
	n := max(int(math.Ceil(startRate/max(maxStartsPerCore*cores, 1))), 1)
	n = min(n, max(limit, 1))
	if n >= current {
		d.lowSince = time.Time{}
		return n
	}
	if d.lowSince.IsZero() {
		d.lowSince = now
	}
	if now.Sub(d.lowSince) < divisionRetention {
		return min(current, max(limit, 1))
	}
	d.lowSince = time.Time{}
	return n
}

// DivisionLimit returns the largest number of cells into which a site is divided for its
// load: one for each of the entries that can carry a cell, and none with fewer than half
// the usual number of agents, since the load of a small cell varies too much.
func DivisionLimit(agents, size, strongEntries int) int {
	return max(min(2*agents/max(size, 1), strongEntries, maxCells), 1)
}

// strongHomeShare is the share of a home's cores that another entry must have to be
// home of a cell that was divided off for the load.
const strongHomeShare = 0.75

// StrongEntries returns how many entries in contact, with this one, can carry a cell
// like this entry.
func (r *Roster) StrongEntries(now time.Time) int {
	n := 1
	for _, m := range r.InContact(now) {
		if m.Address != r.self.Address && !m.Leaving && !m.Overloaded && m.Cores >= strongHomeShare*r.self.Cores {
			n++
		}
	}
	return n
}

// StartRate measures how many tasks start each second. The zero value is ready to use.
type StartRate struct {
	windowStart time.Time
	count       int // in the current window
	rate        float64
}

// startRateWindow is long enough that the tasks of single jobs do not decide the rate.
const startRateWindow = time.Second

// Add counts tasks that started.
func (s *StartRate) Add(now time.Time, tasks int) {
	s.update(now)
	s.count += tasks
}

// PerSecond returns the rate in the last full window.
func (s *StartRate) PerSecond(now time.Time) float64 {
	s.update(now)
	return s.rate
}

func (s *StartRate) update(now time.Time) {
	switch elapsed := now.Sub(s.windowStart); {
	case elapsed < startRateWindow:
	case elapsed < 2*startRateWindow:
		s.rate = float64(s.count) / elapsed.Seconds()
		s.windowStart, s.count = now, 0
	default: // nothing started in the last window
		s.rate, s.windowStart, s.count = 0, now, 0
	}
}
