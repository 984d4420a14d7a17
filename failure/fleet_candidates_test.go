package failure

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"masticbay/roster"
)

// candidates returns the addresses of the two candidates of a job, in their order.
func (s *fleet) candidates(id string) (addresses []string) {
	var homes []roster.Member
	for _, a := range s.entry(0).CellHomes() {
		homes = append(homes, roster.Member{Address: a})
	}
	for _, m := range roster.Candidates(homes, id) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// fillFirstCandidate submits n jobs of 0.9 s that have the same candidates as the late job, and does
// not wait for them.
func (s *fleet) fillFirstCandidate(entry, n int) {
	want := s.candidates(lateJob)
	for k := 0; n > 0; k++ {
		if id := fmt.Sprintf("9%015x", k); slices.Equal(s.candidates(id), want) {
			s.goroutines.Go(func() { s.submit(entry, longQueue, id, 2) })
			n--
		}
	}
}

// runsOfLateJob returns how many runs of the late job have started.
func (s *fleet) runsOfLateJob() (n int) {
	for _, w := range s.workers {
		for _, r := range w.Journal() {
			if strings.HasPrefix(r.Task, lateJob) {
				n++
			}
		}
	}
	return n
}

// TestCandidatesKeepTheirOrder guards against a double run without a fault: a caller that was not seen to
// leave submits its job again while another of its candidates has the shorter wait.
func TestCandidatesKeepTheirOrder(t *testing.T) {
	for _, tc := range []struct {
		name                     string
		filledBefore, filledLast bool
	}{
		{name: "no load"},
		{name: "first candidate full at the second submission", filledLast: true},
		{name: "first candidate full at the first submission", filledBefore: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runWithCells(t, fleetAgents/2, func(t *testing.T, s *fleet) {
				s.wantCells(2)
				if tc.filledBefore {
					s.fillFirstCandidate(0, 16)
					time.Sleep(250 * time.Millisecond)
				}
				left := s.submitLateFrom("caller1", 1, 300*time.Millisecond)
				time.Sleep(200 * time.Millisecond)
				s.network.vanish("caller1")
				<-left
				time.Sleep(retransmitDelay - 300*time.Millisecond)
				if tc.filledLast {
					s.fillFirstCandidate(0, 16)
				}
				time.Sleep(300 * time.Millisecond)
				before := s.runsOfLateJob()
				<-s.submitLate(2, 6*time.Second)
				if after := s.runsOfLateJob(); before == 0 || after != before {
					t.Errorf("%d runs before the job was submitted again, %d after it", before, after)
				}
			})
		})
	}
}
