package failure

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

// stopEntry stops an entry as the platform does, and starts it again.
func (s *fleet) stopEntry(entry int) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	if err := s.entry(entry).Stop(ctx); err != nil {
		s.t.Logf("planned stop: %v", err)
	}
	s.startEntry(entry)
}

// TestCallerThatWasNotSeenToLeaveSubmitsAgain guards against a double run: an entry does not see
// that its caller has left, who submits the job again at an entry that follows another home.
func TestCallerThatWasNotSeenToLeaveSubmitsAgain(t *testing.T) {
	for _, tc := range []struct {
		name   string
		after  time.Duration // since the caller left
		inject func(s *fleet, home int)
	}{
		{"home cut off from an entry", 300 * time.Millisecond, func(s *fleet, home int) {
			s.cutFor(fmt.Sprint("e", home), fmt.Sprint("e", (home+2)%fleetEntries), 3*time.Second)
		}},
		{"home stops", 300 * time.Millisecond, func(s *fleet, home int) { s.stopEntry(home) }},
		{"home killed", 300 * time.Millisecond, func(s *fleet, home int) {
			s.killEntry(home)
			time.Sleep(4 * time.Second)
			s.startEntry(home)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(_ *testing.T, s *fleet) {
				home := s.home()
				done := s.submitLateFrom("caller1", home+1, 200*time.Millisecond)
				time.Sleep(100 * time.Millisecond)
				s.network.vanish("caller1")
				<-done
				var fault sync.WaitGroup
				fault.Go(func() {
					time.Sleep(tc.after)
					tc.inject(s, home)
				})
				time.Sleep(retransmitDelay)
				<-s.submitLate(home+2, 6*time.Second)
				fault.Wait()
			})
		})
	}
}
