// Package clock provides the current time to the goroutines of masticbay.
//
// Decision code never reads the wall clock: it receives the current time with
// each event. The loops that call it hold a Clock, so that a test can drive them
// with virtual time, through either Manual or testing/synctest.
//
// # Usage
//
//	var clk clock.Clock = clock.System{}
//	core.Tick(clk.Now())
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system. Its readings are monotonic.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time {
	return time.Now()
}

// Manual is a clock that moves only when Advance is called. The zero value
// starts at the zero time.
type Manual struct {
	mu  sync.Mutex // guards now
	now time.Time
}

// Now returns the time to which the clock was last advanced.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
