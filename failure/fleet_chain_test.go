package failure

import (
	"fmt"
	"testing"
	"time"
)

// resubmitLate submits lateJob again to an entry, as a caller whose connection broke at lostAt does,
// and waits for its answer.
func (s *fleet) resubmitLate(entry int, lostAt time.Time) {
	s.t.Helper()
	time.Sleep(time.Until(lostAt.Add(retransmitDelay)))
	again := time.Now()
	<-s.submitLate(entry, 3*time.Second)
	s.wantRunAgain(again)
}

// TestLossesOfEntryAndHomeOverlapResubmission guards against a double run: the entry of a caller is
// killed, and then the home, before or just after it withdraws the job. A worker carries out no stop.
func TestLossesOfEntryAndHomeOverlapResubmission(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inject func(s *fleet, home int)
		heal   func(s *fleet, home int)
	}{
		{"home killed", func(s *fleet, home int) { s.entry(home).Kill() }, func(s *fleet, home int) { s.startEntry(home) }},
		{"home paused", func(s *fleet, home int) { s.network.pause(fmt.Sprint("e", home), true) }, func(s *fleet, home int) { s.network.pause(fmt.Sprint("e", home), false) }},
	} {
		for _, after := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond} {
			t.Run(fmt.Sprint(tc.name, " after ", after), func(t *testing.T) {
				runWithFleet(t, func(_ *testing.T, s *fleet) {
					home := s.home()
					done := s.submitLate(home+1, 8*time.Second)
					time.Sleep(100 * time.Millisecond)
					s.leaveStopsUnanswered()
					lostAt := time.Now()
					s.entry((home + 1) % fleetEntries).Kill()
					<-done
					time.Sleep(after)
					tc.inject(s, home)
					s.resubmitLate(home+2, lostAt)
					tc.heal(s, home)
					s.startEntry((home + 1) % fleetEntries)
				})
			})
		}
	}
}
