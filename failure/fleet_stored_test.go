package failure

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"masticbay/ledger"
	"masticbay/platform"
	"masticbay/platform/standin"
	"masticbay/work"
)

// storedJobs records what callers learned about the stored jobs of a test.
type storedJobs struct {
	fleet *fleet

	mu          sync.Mutex // guards what follows
	acceptedAt  map[string]time.Time
	lastState   map[string]work.State // last state that an entry reported
	unknown     []string              // accepted jobs that an entry reported as unknown
	notAccepted int
	cancelledAt map[string]time.Time // when the cancellation was acknowledged
}

// The intervals and timeouts of callers of stored jobs.
const (
	pollInterval      = 150 * time.Millisecond
	storedCallTimeout = 1500 * time.Millisecond // until a request counts as unanswered
	cancelLimit       = 3 * time.Second         // from the acknowledgement of a cancellation until no task may start; the users' bound
	storedJobTimeout  = 20 * time.Second        // from the acceptance of a job until its end; faults last a few seconds, and recovery 12
)

func (s *fleet) caller() standin.Caller {
	return standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}, Timeout: storedCallTimeout}
}

// loadStored submits stored jobs of two steps for a while and waits until they
// end. It cancels every fifth job right after its acceptance.
func (s *fleet) loadStored(duration time.Duration) *storedJobs {
	j := &storedJobs{fleet: s, acceptedAt: make(map[string]time.Time), lastState: make(map[string]work.State), cancelledAt: make(map[string]time.Time)}
	var callers sync.WaitGroup
	for k := 0; k < int(duration/(50*time.Millisecond)); k++ {
		id := fmt.Sprintf("%d%015x", 1+2*(k%3), k)
		callers.Go(func() { j.runCaller(k, id) })
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	return j
}

// runCaller submits one job, cancels it or not, and polls its state.
func (j *storedJobs) runCaller(k int, id string) {
	c := j.fleet.caller()
	estimate := time.Duration(id[0]-'0') * 100 * time.Millisecond
	first := work.Step{Count: 2, Room: work.Room{CPU: taskCPU}, Estimate: estimate}
	second := work.Step{Count: 1, Room: work.Room{CPU: taskCPU}, Estimate: estimate, After: []int{0}}
	for attempt := 0; ; attempt++ {
		reply, err := c.Store(j.fleet.ctx, j.fleet.frontAddress(k+attempt), longQueue.Name, id, first, second)
		if err == nil && reply.Status == http.StatusOK {
			break
		}
		if attempt == 3 {
			j.mu.Lock()
			j.notAccepted++
			j.mu.Unlock()
			return
		}
		time.Sleep(1300 * time.Millisecond)
	}
	j.mu.Lock()
	j.acceptedAt[id] = time.Now()
	j.mu.Unlock()
	if k%5 == 0 {
		j.cancel(k, id)
	}
	j.pollState(k, id)
}

func (j *storedJobs) cancel(k int, id string) {
	c := j.fleet.caller()
	reply, err := c.Cancel(j.fleet.ctx, j.fleet.frontAddress(k+1), longQueue.Name, id)
	if err == nil && reply.Status == http.StatusOK && reply.State == work.Cancelled {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.cancelledAt[id] = time.Now()
	}
}

// pollState polls the state of a job until it ends, each time at the next entry.
func (j *storedJobs) pollState(k int, id string) {
	c := j.fleet.caller()
	for deadline := time.Now().Add(storedJobTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		k++
		reply, err := c.State(j.fleet.ctx, j.fleet.frontAddress(k), longQueue.Name, id)
		if err != nil {
			continue
		}
		j.mu.Lock()
		if reply.Status == http.StatusGone {
			j.unknown = append(j.unknown, id)
		} else if reply.Status == http.StatusOK {
			j.lastState[id] = reply.State
		}
		j.mu.Unlock()
		if reply.State == work.Completed || reply.State == work.JobFailed || reply.State == work.Cancelled {
			return
		}
	}
}

// checkGuarantees checks the guarantees to callers of stored jobs.
func (j *storedJobs) checkGuarantees(t *testing.T, minCount int) {
	t.Helper()
	workers := j.fleet.workers[:]
	for _, violation := range standin.Repeats(workers...) {
		t.Error(violation)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	t.Logf("%d accepted, %d not accepted, %d cancelled", len(j.acceptedAt), j.notAccepted, len(j.cancelledAt))
	if len(j.acceptedAt) < minCount {
		t.Errorf("%d jobs accepted, want %d", len(j.acceptedAt), minCount)
	}
	if len(j.unknown) > 0 {
		slices.Sort(j.unknown)
		t.Errorf("accepted jobs were unknown at an entry: %v", slices.Compact(j.unknown))
	}
	for id := range j.acceptedAt {
		at, cancelled := j.cancelledAt[id]
		switch {
		case cancelled && standin.RanAfter(at.Add(cancelLimit), id, workers...):
			t.Errorf("job %s ran after its cancellation was acknowledged", id)
		case cancelled && j.lastState[id] != work.Cancelled, !cancelled && j.lastState[id] != work.Completed && j.lastState[id] != work.Cancelled:
			t.Errorf("job %s: last reported state %q", id, j.lastState[id])
		}
	}
}

// restartAll kills all entries and agents and starts them again after a downtime.
func (s *fleet) restartAll(downtime time.Duration) {
	for i := range fleetEntries {
		s.entry(i).Kill()
	}
	for i := range fleetAgents {
		s.agent(i).Kill()
	}
	time.Sleep(downtime)
	for i := range fleetEntries {
		s.startEntry(i)
	}
	for i := range fleetAgents {
		s.startAgent(i)
	}
}

// takeLedgerAndBack pauses the home until another entry holds the ledger, and kills the other entries
// at once.
func (s *fleet) takeLedgerAndBack() {
	h := s.home()
	client := platform.NewStore("store", s.dial("caller"))
	defer client.Close()
	before, _, err := client.Get(s.ctx, ledger.TenureKey)
	if err != nil {
		s.t.Fatal(err)
	}
	s.network.pause(fmt.Sprint("e", h), true)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if after, _, err := client.Get(s.ctx, ledger.TenureKey); err == nil && after.Revision != before.Revision {
			break
		}
	}
	for i := range fleetEntries {
		if i != h {
			s.entry(i).Kill()
		}
	}
	s.network.pause(fmt.Sprint("e", h), false)
	time.Sleep(3200 * time.Millisecond)
	for i := range fleetEntries {
		if i != h {
			s.startEntry(i)
		}
	}
}

// storedFaults are faults of the store and of all processes at once.
var storedFaults = []fleetFault{
	{"nothing", 0, func(*fleet) {}},
	{"everything killed", 0, func(s *fleet) { s.restartAll(time.Second) }},
	{"everything killed, back at once", 0, func(s *fleet) { s.restartAll(200 * time.Millisecond) }},
	{"everything killed twice", 0, func(s *fleet) {
		s.restartAll(300 * time.Millisecond)
		time.Sleep(900 * time.Millisecond)
		s.restartAll(500 * time.Millisecond)
	}},
	// No job is accepted for most of the time, but accepted jobs complete.
	{"store down for longer than a tenure", 0.15, func(s *fleet) {
		s.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(8 * time.Second)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"answers of the store lost", 0, func(s *fleet) {
		s.store.SetFaults(standin.StoreFaults{DropReplies: true})
		time.Sleep(2 * time.Second)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"writes late", 0, func(s *fleet) {
		s.store.SetFaults(standin.StoreFaults{WriteDelay: 2500 * time.Millisecond})
		time.Sleep(2 * time.Second)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"writes late, then the home is killed", 0, func(s *fleet) {
		s.store.SetFaults(standin.StoreFaults{WriteDelay: 2500 * time.Millisecond})
		time.Sleep(time.Second)
		h := s.home()
		s.entry(h).Kill()
		s.store.SetFaults(standin.StoreFaults{})
		time.Sleep(time.Second)
		s.startEntry(h)
	}},
	{"home cut off from the store", 0, func(s *fleet) {
		s.cutFor(fmt.Sprint("e", s.home()), "store", 4*time.Second)
		time.Sleep(4 * time.Second)
	}},
	{"home killed during an outage of the store", 0, func(s *fleet) {
		s.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(500 * time.Millisecond)
		h := s.home()
		s.entry(h).Kill()
		time.Sleep(2 * time.Second)
		s.startEntry(h)
		s.store.SetFaults(standin.StoreFaults{})
	}},
	{"worker lost for good", 0, func(s *fleet) { s.cutFor("a1", "w1", time.Hour) }},
	{"worker restarts and is lost for good", 0, func(s *fleet) {
		s.workers[1].Crash()
		time.Sleep(5 * time.Millisecond)
		s.cutFor("a1", "w1", time.Hour)
	}},
	{"worker lost for good, its agent restarts", 0, func(s *fleet) {
		s.cutFor("a1", "w1", time.Hour)
		s.agent(1).Kill()
		time.Sleep(500 * time.Millisecond)
		s.startAgent(1)
	}},
	{"worker removed for good without notice", 0, func(s *fleet) {
		s.workers[1].DrainFor(0)
		s.network.refuse("a1", "w1", true)
	}},
	// The former home takes the ledger back, and no agent has met the holder between.
	{"home paused, the next holder killed", 0, (*fleet).takeLedgerAndBack},
}

// minAccepted returns how many of a hundred jobs must be accepted: half, since
// callers resubmit for four seconds, or the minimum share of the fault if that is
// less.
func minAccepted(share float64) int {
	if share > 0 && share < 0.5 {
		return int(100 * share)
	}
	return 50
}

// TestStoredJobsUnderFaults checks that an accepted job is known at every entry,
// completes, repeats no finished task, and starts no task later than the users'
// bound after its cancellation was acknowledged.
func TestStoredJobsUnderFaults(t *testing.T) {
	for _, tc := range append(storedFaults, fleetFaults...) {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, s *fleet) {
				done := make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(time.Second)
					tc.inject(s)
				}()
				j := s.loadStored(5 * time.Second)
				<-done
				j.checkGuarantees(t, minAccepted(tc.minShare))
			})
		})
	}
}

// TestStoredJobsEndTheDivisionIntoCells stores jobs on a divided fleet. One home has to
// place the tasks of stored jobs on all agents, beside jobs that are not stored, and
// after a loss of the home.
func TestStoredJobsEndTheDivisionIntoCells(t *testing.T) {
	beside := func(s *fleet) {
		var callers sync.WaitGroup
		for k := range 60 {
			callers.Go(func() { s.submit(k, pingQueue, fmt.Sprintf("2%015x", k), 4) })
			time.Sleep(50 * time.Millisecond)
		}
		callers.Wait()
		s.wantCompleted(1)
	}
	for _, tc := range []fleetFault{{"beside other jobs", 1, beside}, fleetFaults[0]} {
		t.Run(tc.name, func(t *testing.T) {
			runWithCells(t, fleetAgents/2, func(t *testing.T, s *fleet) {
				s.wantCells(2)
				done := make(chan struct{})
				go func() {
					defer close(done)
					tc.inject(s)
				}()
				j := s.loadStored(4 * time.Second)
				<-done
				j.checkGuarantees(t, 60)
				s.wantCells(1)
			})
		})
	}
}
