package failure

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"masticbay/work"
)

// narrowRate is the rate of the link of a weak entry.
const narrowRate = 10e6 / 8 // bytes a second

// TestLargeConfigurationBlocksNoJobs changes a configuration that takes a second over the link of a
// weak entry. It guards against changes that are late, and against jobs and homes that are lost behind it.
func TestLargeConfigurationBlocksNoJobs(t *testing.T) {
	runWithFleet(t, func(t *testing.T, s *fleet) {
		const weak = 2
		home := s.home()
		if home == weak {
			t.Fatal("the entry with the narrow link is home")
		}
		s.network.limitRate(fmt.Sprint("e", weak), narrowRate)
		var callers sync.WaitGroup
		callers.Go(func() { s.load(10*time.Second, weak) })
		c := &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}
		for v := 2; v < 6; v++ {
			if err := s.store.PutConfig(v, largeConfig(v)...); err != nil {
				t.Fatal(err)
			}
			written := time.Now()
			for s.versionInForce(c, weak, v) != v && time.Since(written) < 10*time.Second {
				time.Sleep(50 * time.Millisecond)
			}
			if d := time.Since(written); d > configApplyLimit {
				t.Errorf("version %d in force after %v, want it within %v", v, d, configApplyLimit)
			}
			time.Sleep(300 * time.Millisecond)
		}
		callers.Wait()
		if answered, completed, rejected := s.counts(); completed < answered || s.unanswered > 0 {
			t.Errorf("%d jobs completed of %d, %d rejected, %d times unanswered; want all completed", completed, answered, rejected, s.unanswered)
		}
	})
}

// largeConfig returns the queues of a version with 5,000 idle ones.
func largeConfig(version int) []work.Queue {
	queues := []work.Queue{pingQueue, longQueue, versionQueue(version)}
	for i := range 5000 {
		q := pingQueue
		q.Name = fmt.Sprintf("idle%06d", i)
		queues = append(queues, q)
	}
	return queues
}
