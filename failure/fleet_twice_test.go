package failure

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/work"
)

// submitLate submits a job whose run takes 4.9 s. It returns a channel that is closed
// when the caller has its answer or leaves, which it does after patience.
func (s *fleet) submitLate(entry int, patience time.Duration) <-chan struct{} {
	return s.submitLateFrom("caller", entry, patience)
}

// submitLateFrom is submitLate for a caller at a host.
func (s *fleet) submitLateFrom(host string, entry int, patience time.Duration) <-chan struct{} {
	return s.submitJobFrom(host, entry, lateJob, patience)
}

// submitJobFrom is submitLateFrom for a job with the given ID, whose first digit decides its run time.
func (s *fleet) submitJobFrom(host string, entry int, id string, patience time.Duration) <-chan struct{} {
	caller := standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial(host), DisableKeepAlives: true}}, Timeout: 8 * time.Second}
	step := work.Step{Count: 2, Room: work.Room{CPU: taskCPU}, Estimate: lateJobEstimate}
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(s.ctx, patience)
		defer cancel()
		if _, err := caller.Submit(ctx, s.frontAddress(entry), longQueue.Name, id, step); err != nil {
			s.t.Logf("the caller got no answer: %v", err)
		}
	}()
	return done
}

// lateJobAgents returns the agents whose workers run lateJob.
func (s *fleet) lateJobAgents() (agents []int) {
	for i, w := range s.workers {
		for _, r := range w.Journal() {
			if strings.HasPrefix(r.Task, lateJob) && r.EndedAt.IsZero() {
				agents = append(agents, i)
				break
			}
		}
	}
	return agents
}

// cutHomeFromEntries cuts the home off from the other entries. Agents reach all.
func (s *fleet) cutHomeFromEntries(home int, duration time.Duration) {
	for i := range fleetEntries {
		if i != home {
			s.cutFor(fmt.Sprint("e", home), fmt.Sprint("e", i), duration)
		}
	}
}

// leaveStopsUnanswered makes all workers carry out no order to stop a run.
func (s *fleet) leaveStopsUnanswered() {
	for _, w := range s.workers {
		w.SetFaults(standin.WorkerFaults{StopsUnanswered: true})
	}
}

// wantRunAgain checks that lateJob was started again after a time.
func (s *fleet) wantRunAgain(after time.Time) {
	s.t.Helper()
	if !standin.RanAfter(after, lateJob, s.workers[:]...) {
		s.t.Error("the job was not started again")
	}
}

// refuseHome resets the connections between the home and the other entries, and refuses
// new ones. Agents reach all entries.
func (s *fleet) refuseHome(home int, duration time.Duration) {
	setRefused := func(on bool) {
		for i := range fleetEntries {
			if i != home {
				s.network.refuse(fmt.Sprint("e", home), fmt.Sprint("e", i), on)
				s.network.refuse(fmt.Sprint("e", i), fmt.Sprint("e", home), on)
			}
		}
	}
	setRefused(true)
	s.network.resetConns(fmt.Sprint("e", home))
	time.AfterFunc(duration, func() { setRefused(false) })
}

// TestRunOfPausedAgentOverlapsFailover guards against a double run: the agent is paused
// before it gets the stop that its home, which other entries can not reach, sends.
func TestRunOfPausedAgentOverlapsFailover(t *testing.T) {
	for _, pauseAfter := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(pauseAfter.String(), func(t *testing.T) {
			runWithFleet(t, func(_ *testing.T, s *fleet) {
				home := s.home()
				done := s.submitLate(home+1, 8*time.Second)
				time.Sleep(100 * time.Millisecond)
				agents, lostAt := s.lateJobAgents(), time.Now()
				s.refuseHome(home, 4*time.Second)
				time.Sleep(pauseAfter)
				for _, a := range agents {
					s.network.pause(fmt.Sprint("a", a), true)
				}
				time.Sleep(1500 * time.Millisecond)
				for _, a := range agents {
					s.network.pause(fmt.Sprint("a", a), false)
				}
				<-done
				s.wantRunAgain(lostAt.Add(failoverTime))
			})
		})
	}
}

// TestLateStopOverlapsFailover guards against a double run: a worker carries out no stop
// while the home is cut off from the other entries.
func TestLateStopOverlapsFailover(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		home := s.home()
		done := s.submitLate(home+1, 8*time.Second)
		time.Sleep(100 * time.Millisecond)
		s.leaveStopsUnanswered()
		cutAt := time.Now()
		s.cutHomeFromEntries(home, 4*time.Second)
		<-done
		s.wantRunAgain(cutAt.Add(failoverTime))
	})
}

// TestLateStopOverlapsRunElsewhere guards against a double run: a worker carries out no
// stop while its agent is cut off from the home.
func TestLateStopOverlapsRunElsewhere(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		home := s.home()
		done := s.submitLate(home+1, 8*time.Second)
		time.Sleep(100 * time.Millisecond)
		s.leaveStopsUnanswered()
		cutAt := time.Now()
		for _, a := range s.lateJobAgents() {
			s.cutFor(fmt.Sprint("e", home), fmt.Sprint("a", a), 4*time.Second)
		}
		<-done
		s.wantRunAgain(cutAt.Add(failoverTime))
	})
}

// TestLateStopOverlapsResubmission guards against a double run: a worker carries out no
// stop after the home was killed with the connection of the caller, who submits again.
func TestLateStopOverlapsResubmission(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		home := s.home()
		done := s.submitLate(home, 8*time.Second)
		time.Sleep(100 * time.Millisecond)
		s.leaveStopsUnanswered()
		s.entry(home).Kill()
		<-done
		time.Sleep(retransmitDelay)
		again := time.Now()
		<-s.submitLate(home+1, 3*time.Second)
		s.wantRunAgain(again)
		s.startEntry(home)
	})
}

// retransmitDelay is how long callers whose connection broke wait before they submit again.
const retransmitDelay = 1300 * time.Millisecond

// TestLostWithdrawalOverlapsResubmission guards against a double run: the message by
// which an entry withdraws a job is lost, and the caller submits the job again to an
// entry that follows another home.
func TestLostWithdrawalOverlapsResubmission(t *testing.T) {
	runWithFleet(t, func(_ *testing.T, s *fleet) {
		home := s.home()
		done := s.submitLate(home+1, 200*time.Millisecond)
		time.Sleep(180 * time.Millisecond)
		s.network.silence(fmt.Sprint("e", home))
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			if err := s.entry(home).Stop(ctx); err != nil {
				s.t.Logf("planned stop: %v", err)
			}
		}()
		<-done
		time.Sleep(retransmitDelay)
		again := time.Now()
		<-s.submitLate(home+2, 3*time.Second)
		s.wantRunAgain(again)
		<-stopped
		s.startEntry(home)
	})
}

// TestCallerLeavesDuringFailover guards against a double run: the caller of a job leaves
// while its entry waits for the runs of a lost home to end.
func TestCallerLeavesDuringFailover(t *testing.T) {
	for _, tc := range []struct {
		name   string
		inject func(s *fleet, home int)
		heal   func(s *fleet, home int)
	}{
		{"home killed", func(s *fleet, home int) { s.entry(home).Kill() }, func(s *fleet, home int) { s.startEntry(home) }},
		{"home refuses connections", func(s *fleet, home int) { s.refuseHome(home, 2*time.Second) }, func(*fleet, int) {}},
	} {
		for _, leaves := range []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond} {
			t.Run(fmt.Sprint(tc.name, ", the caller leaves after ", leaves), func(t *testing.T) {
				runWithFleet(t, func(_ *testing.T, s *fleet) {
					home := s.home()
					done := s.submitLate(home+1, leaves)
					time.Sleep(100 * time.Millisecond)
					tc.inject(s, home)
					lostAt := time.Now()
					<-done
					time.Sleep(2 * time.Second)
					tc.heal(s, home)
					if standin.RanAfter(lostAt, lateJob, s.workers[:]...) {
						s.t.Error("the job was started again after its caller had left")
					}
				})
			})
		}
	}
}
