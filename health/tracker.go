// Package health tracks the health of the targets behind agents by the outcomes of
// their tasks.
//
// # Model
//
// A target whose last tasks all failed, while others of its service succeed,
// is quarantined: it gets one probe at a time, with exponential backoff, until a
// probe succeeds. Otherwise a target that fails fast would attract all load. A
// target's mean run time shows how slow it is, so that stragglers are used last.
//
// # Usage
//
//	if t.Allows(now) {
//		t.Begin()
//		// dispatch, and later
//		t.End(now, failed, noOtherSucceeds, took)
//	}
package health

import "time"

const (
	quarantineFailures = 5 // consecutive failures that start a quarantine
	initialBackoff     = time.Second
	maxBackoff         = 30 * time.Second
	meanSmoothing      = 0.02 // least weight of a new run time in the mean
)

// Tracker follows one target. The zero Tracker is healthy.
type Tracker struct {
	consecutiveFailures int
	backoff             time.Duration
	probeAt             time.Time
	probing             bool
	mean                float64 // seconds
	samples             int
}

// Quarantined reports whether the target gets probes only.
func (t *Tracker) Quarantined() bool {
	return t.backoff > 0
}

// Allows reports whether a task may be sent now.
func (t *Tracker) Allows(now time.Time) bool {
	return !t.Quarantined() || (!t.probing && !now.Before(t.probeAt))
}

// NextProbe returns the time of the next probe of a quarantined target.
func (t *Tracker) NextProbe() time.Time { return t.probeAt }

// Begin records that a task was sent.
func (t *Tracker) Begin() {
	if t.Quarantined() {
		t.probing = true
	}
}

// Abort records that a task was sent but did not run.
func (t *Tracker) Abort() { t.probing = false }

// End records the outcome of a task. If noOtherSucceeds, no other target of the
// service has succeeded lately, so the fault may lie in the tasks, and no quarantine
// begins.
func (t *Tracker) End(now time.Time, failed, noOtherSucceeds bool, took time.Duration) {
	t.probing = false
	if failed {
		t.recordFailure(now, noOtherSucceeds)
		return
	}
	t.consecutiveFailures = 0
	t.backoff = 0
	t.recordRunTime(took.Seconds())
}

func (t *Tracker) recordFailure(now time.Time, noOtherSucceeds bool) {
	t.consecutiveFailures++
	switch {
	case t.Quarantined():
		t.backoff = min(2*t.backoff, maxBackoff)
	case t.consecutiveFailures >= quarantineFailures && !noOtherSucceeds:
		t.backoff = initialBackoff
	default:
		return
	}
	t.probeAt = now.Add(t.backoff)
}

func (t *Tracker) recordRunTime(seconds float64) {
	t.samples++
	weight := max(meanSmoothing, 1/float64(t.samples))
	t.mean += weight * (seconds - t.mean)
}

// Mean returns the smoothed run time of successful tasks, or 0 if none ended.
func (t *Tracker) Mean() time.Duration {
	return time.Duration(t.mean * float64(time.Second))
}
