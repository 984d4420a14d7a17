package roster

import "time"

// Lag decides from the lateness of timers whether a process is overloaded: its VM has
// become slow, or it gets more work than it can do. The zero value is ready to use.
type Lag struct {
	mean       time.Duration // moving mean of the lateness
	overloaded bool
	lastLate   time.Time // when the mean was last above maxNormalLag
}

// The limits of Lag. Hysteresis keeps the role of home from moving back and forth.
const (
	overloadLag   = 25 * time.Millisecond // mean from which on the process is overloaded
	maxNormalLag  = 5 * time.Millisecond
	recoveryTime  = 3 * time.Second // with a normal lag, until the process counts as recovered
	lagMeanWindow = 4               // samples
)

// Add takes how late a timer fired, and reports whether the process is overloaded.
func (l *Lag) Add(now time.Time, late time.Duration) bool {
	l.mean += (late - l.mean) / lagMeanWindow
	if l.mean > maxNormalLag {
		l.lastLate = now
	}
	switch {
	case l.mean > overloadLag:
		l.overloaded = true
	case now.Sub(l.lastLate) > recoveryTime:
		l.overloaded = false
	}
	return l.overloaded
}
