package failure

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/roster"
)

// cellRoles are the entries of a fleet by their part in a test: the home that gets the job first,
// another home, and the third entry.
type cellRoles struct {
	home, other, third int
}

// rolesOf returns the roles of the entries, with the given one of the homes as the first.
func (s *fleet) rolesOf(first int) (r cellRoles) {
	homes := s.entry(0).CellHomes()
	if len(homes) < 2 {
		s.t.Fatalf("the homes are %v, want several", homes)
	}
	index := func(address string) int {
		return slices.IndexFunc([]string{"e0", "e1", "e2"}, func(a string) bool { return a == address })
	}
	r.home, r.other = index(homes[first]), index(homes[1-first])
	r.third = fleetEntries - r.home - r.other
	return r
}

// idRanked returns the k-th ID of a job whose run takes 4.9 s and that is handed to the given entries in this
// order if they are homes.
func idRanked(k int, entries ...int) string {
	members := make([]roster.Member, fleetEntries)
	for i := range members {
		members[i].Address = fmt.Sprint("e", i)
	}
	for n := 0; ; n++ {
		id := fmt.Sprintf("a%015x", n)
		c := roster.Candidates(members, id)
		if !slices.EqualFunc(c[:len(entries)], entries, func(m roster.Member, i int) bool { return m.Address == fmt.Sprint("e", i) }) {
			continue
		}
		if k--; k < 0 {
			return id
		}
	}
}

// cellChange is a change that makes the job's candidates others, or their order another one.
type cellChange struct {
	name     string
	cellSize int
	before   func(s *fleet, r cellRoles) // before the job is submitted
	ranked   func(r cellRoles) []int     // the entries in the order in which they get the job
	inject   func(s *fleet, r cellRoles)
}

// killEntryFor kills an entry and starts it again.
func (s *fleet) killEntryFor(entry int, downtime time.Duration) {
	s.killEntry(entry)
	time.Sleep(downtime)
	s.startEntry(entry)
}

func thirdFirst(r cellRoles) []int { return []int{r.third, r.home} }
func homeFirst(r cellRoles) []int  { return []int{r.home} }

var cellChanges = []cellChange{
	{"home loaded", fleetAgents / 2, nil, homeFirst, func(s *fleet, r cellRoles) {
		for k := range 16 {
			go func() { <-s.submitJobFrom("other", r.third, idRanked(k+1, r.home), 3*time.Second) }()
		}
	}},
	{"home stops", fleetAgents / 2, nil, homeFirst, func(s *fleet, r cellRoles) { s.stopEntry(r.home) }},
	{"home killed", fleetAgents / 2, nil, homeFirst, func(s *fleet, r cellRoles) { s.killEntryFor(r.home, 4*time.Second) }},
	{"other home stops", fleetAgents / 2, nil, thirdFirst, func(s *fleet, r cellRoles) { s.stopEntry(r.other) }},
	{"other home killed", fleetAgents / 2, nil, thirdFirst, func(s *fleet, r cellRoles) { s.killEntryFor(r.other, 4*time.Second) }},
	{"home comes", 1, func(s *fleet, r cellRoles) {
		s.killEntry(r.third)
		time.Sleep(2 * time.Second)
	}, thirdFirst, func(s *fleet, r cellRoles) { s.startEntry(r.third) }},
}

// TestTwoHomesRunAJobThatIsSubmittedAgainInCells is TestTwoHomesRunAJobThatIsSubmittedAgain on a site of
// several cells, where a job goes to another home as its candidates change.
func TestTwoHomesRunAJobThatIsSubmittedAgainInCells(t *testing.T) {
	for _, change := range cellChanges {
		for first := range 2 {
			for _, after := range []time.Duration{0, 80 * time.Millisecond, 500 * time.Millisecond, retransmitDelay} {
				t.Run(fmt.Sprintf("%s, at home %d, back after %v", change.name, first, after), func(t *testing.T) {
					runWithCells(t, change.cellSize, func(_ *testing.T, s *fleet) { change.test(s, first, after) })
				})
			}
		}
	}
}

// test has a caller leave unseen and come back at another entry a time after the change.
func (c *cellChange) test(s *fleet, first int, after time.Duration) {
	r := s.rolesOf(first)
	if c.before != nil {
		c.before(s, r)
	}
	id, entry := idRanked(0, c.ranked(r)...), r.third
	if c.before != nil {
		entry = r.other
	}
	done := s.submitJobFrom("caller1", entry, id, 200*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	s.network.vanish("caller1")
	<-done
	s.wantRan(id)
	var changed sync.WaitGroup
	changed.Go(func() { c.inject(s, r) })
	time.Sleep(after)
	<-s.submitJobFrom("caller2", r.third, id, 3*time.Second)
	changed.Wait()
	s.describeRuns(id + ".0.0.0")
}

// wantRan checks that a job has been started.
func (s *fleet) wantRan(id string) {
	s.t.Helper()
	if !standin.Ran(id, s.workers[:]...) {
		s.t.Error("the job was not started")
	}
}

// TestTwoHomesRunAJobThatIsSubmittedAgainAsOneStops is TestTwoHomesRunAJobThatIsSubmittedAgain for a caller that
// is back just before or after its job's home has begun to stop.
func TestTwoHomesRunAJobThatIsSubmittedAgainAsOneStops(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond} {
		for entry := range fleetEntries {
			t.Run(fmt.Sprintf("back %v after, at entry %d", after, entry), func(t *testing.T) {
				runWithFleet(t, func(_ *testing.T, s *fleet) {
					home := s.home()
					done := s.submitLateFrom("caller1", home+1, 200*time.Millisecond)
					time.Sleep(100 * time.Millisecond)
					s.network.vanish("caller1")
					<-done
					s.wantRan(lateJob)
					var stopped sync.WaitGroup
					stopped.Go(func() { s.stopEntry(home) })
					time.Sleep(after)
					<-s.submitLate(home+entry, 6*time.Second)
					stopped.Wait()
					s.describeRuns(lateJob + ".0.0.0")
				})
			})
		}
	}
}

// TestCutInOneDirectionOverlapsResubmissionInCells guards against a double run: a home does not hear another one for a
// while, takes a job in its place, and the other one has not noticed.
func TestCutInOneDirectionOverlapsResubmissionInCells(t *testing.T) {
	for first := range 2 {
		for _, after := range returnDelays {
			t.Run(fmt.Sprintf("home %d, back after %v", first, after), func(t *testing.T) {
				runWithCells(t, fleetAgents/2, func(_ *testing.T, s *fleet) {
					r := s.rolesOf(first)
					home, other := fmt.Sprint("e", r.home), fmt.Sprint("e", r.other)
					id := idRanked(0, r.other, r.home)
					s.network.cut(other, home, true)
					time.Sleep(1500 * time.Millisecond)
					done := s.submitJobFrom("caller1", r.home, id, 400*time.Millisecond)
					time.Sleep(300 * time.Millisecond)
					s.network.vanish("caller1")
					<-done
					s.network.cut(other, home, false)
					time.Sleep(after)
					<-s.submitJobFrom("caller2", r.other, id, 3*time.Second)
					s.describeRuns(id + ".0.0.0")
				})
			})
		}
	}
}

// TestSecondChangeOfHomesWithdrawsAJob guards against a job that is thrown away: a new home has taken it over,
// and its former home, where withdrawn runs of it have not ended, asks for jobs as the homes change again.
func TestSecondChangeOfHomesWithdrawsAJob(t *testing.T) {
	for _, gap := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(fmt.Sprint("second change after ", gap), func(t *testing.T) {
			runWithCells(t, 1, func(t *testing.T, s *fleet) {
				r := s.rolesOf(0)
				s.killEntry(r.third)
				time.Sleep(2 * time.Second)
				id := idRanked(0, r.third, r.home)
				done := s.submitJobFrom("caller1", r.other, id, 200*time.Millisecond)
				time.Sleep(100 * time.Millisecond)
				s.network.vanish("caller1")
				<-done
				s.leaveStopsUnanswered()
				s.startEntry(r.third)
				for deadline := time.Now().Add(2 * time.Second); len(s.entry(r.home).CellHomes()) < 3 && time.Now().Before(deadline); {
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(250 * time.Millisecond)
				var stop sync.WaitGroup
				stop.Go(func() {
					time.Sleep(gap)
					s.stopEntry(r.other)
				})
				if status := s.submitJobWithin(s.ctx, r.home, id, 12*time.Second); status != http.StatusOK {
					t.Errorf("the job of a caller that waits ended with %d", status)
				}
				stop.Wait()
			})
		})
	}
}
