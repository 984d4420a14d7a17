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
	testUnseenCaller(t, "home cut off from an entry", 1, func(s *fleet, home int) {
		s.cutFor(fmt.Sprint("e", home), fmt.Sprint("e", (home+2)%fleetEntries), 3*time.Second)
	})
	testUnseenCaller(t, "home stops", 1, func(s *fleet, home int) { s.stopEntry(home) })
	testUnseenCaller(t, "home killed", 1, func(s *fleet, home int) {
		s.killEntry(home)
		time.Sleep(4 * time.Second)
		s.startEntry(home)
	})
}

// TestTwoHomesRunAJobThatIsSubmittedAgain is the same while two homes can not reach one another.
func TestTwoHomesRunAJobThatIsSubmittedAgain(t *testing.T) {
	testUnseenCaller(t, "entries refuse the home", 0, func(s *fleet, home int) { s.refuseHome(home, 2*time.Second) })
	testUnseenCaller(t, "home cut off from the other entries", 0, func(s *fleet, home int) { s.cutHomeFromEntries(home, 2*time.Second) })
}

// testUnseenCaller injects a fault 0.3 s after a caller has left its entry, the given one
// counted from the home, and before the caller submits its job again.
func testUnseenCaller(t *testing.T, name string, first int, inject func(s *fleet, home int)) {
	t.Run(name, func(t *testing.T) {
		runWithFleet(t, func(_ *testing.T, s *fleet) {
			home := s.home()
			done := s.submitLateFrom("caller1", home+first, 200*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			s.network.vanish("caller1")
			<-done
			var fault sync.WaitGroup
			fault.Go(func() {
				time.Sleep(300 * time.Millisecond)
				inject(s, home)
			})
			time.Sleep(retransmitDelay)
			<-s.submitLate(home+2, 6*time.Second)
			fault.Wait()
		})
	})
}
