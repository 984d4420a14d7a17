package failure

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/work"
)

// storeJob submits a stored job at an entry. The reply is sent once it arrives.
func (s *fleet) storeJob(entry int, id string) <-chan standin.Reply {
	caller := standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}, Timeout: 8 * time.Second}
	replies := make(chan standin.Reply, 1)
	go func() {
		defer close(replies)
		ctx, cancel := context.WithTimeout(s.ctx, caller.Timeout)
		defer cancel()
		step := work.Step{Count: 1, Room: work.Room{CPU: taskCPU}, Estimate: 100 * time.Millisecond}
		reply, err := caller.Store(ctx, fmt.Sprint("f", entry), longQueue.Name, id, step)
		if err != nil {
			s.t.Logf("the caller got no answer: %v", err)
			return
		}
		replies <- reply
	}()
	return replies
}

// TestJobRunsAfterItsHomeRejectedIt guards against a stored job that runs although its
// submission was rejected: its home was paused while the store carried out the commit.
func TestJobRunsAfterItsHomeRejectedIt(t *testing.T) {
	for _, submittedAt := range []string{"home", "other entry"} {
		t.Run(submittedAt, func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, s *fleet) {
				const first, second = "1000000000000001", "1000000000000002"
				home := s.home()
				if r := <-s.storeJob(home, first); r.Status != http.StatusOK {
					t.Fatalf("first job: status %d", r.Status)
				}
				entry := home
				if submittedAt != "home" {
					entry = (home + 1) % fleetEntries
				}
				s.store.SetFaults(standin.StoreFaults{DropReplies: true})
				replies := s.storeJob(entry, second)
				time.Sleep(50 * time.Millisecond)
				s.store.SetFaults(standin.StoreFaults{})
				s.pauseFor(fmt.Sprint("e", home), 3*time.Second)
				r := <-replies
				time.Sleep(3 * time.Second)
				if !standin.Ran(second, s.workers[:]...) {
					t.Error("the next home has not run the job")
				}
				if r.Status == http.StatusServiceUnavailable {
					t.Error("the job was rejected and ran")
				}
			})
		})
	}
}

// TestRefusedCancellationTakesEffect guards against a job that is cancelled although its caller was
// told by a refusal that nothing was done.
func TestRefusedCancellationTakesEffect(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		const id = "9000000000000001"
		if r := <-s.storeJob(0, id); r.Status != http.StatusOK {
			t.Fatalf("status %d", r.Status)
		}
		s.store.SetFaults(standin.StoreFaults{Down: true})
		c := s.caller()
		c.Announced = c.Timeout / 2
		if reply, err := c.Cancel(s.ctx, s.frontAddress(1), longQueue.Name, id); err != nil || reply.Status != http.StatusGatewayTimeout {
			t.Errorf("status %d of the cancellation, error %v", reply.Status, err)
		}
		s.store.SetFaults(standin.StoreFaults{})
		time.Sleep(3 * time.Second)
		if reply, err := c.State(s.ctx, s.frontAddress(1), longQueue.Name, id); err != nil || reply.State != work.Cancelled {
			t.Errorf("state %q, error %v: the cancellation did not take effect", reply.State, err)
		}
	})
}
