package failure

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/work"
)

// storedJobs are the stored jobs of a test.
type storedJobs struct {
	s *fleet

	mu          sync.Mutex // guards what follows
	acceptedAt  map[string]time.Time
	lastState   map[string]work.State // last that was told
	unknown     []string              // accepted jobs that an entry did not know
	rejected    int
	cancelledAt map[string]time.Time // when that was acknowledged
}

// The pauses of a caller of stored jobs.
const (
	pollInterval      = 150 * time.Millisecond
	storedCallTimeout = 1500 * time.Millisecond // for the answer to one request
	cancelLimit       = 3 * time.Second         // from the acknowledgement of a cancellation until nothing starts any more; the users' bound
	storedJobTimeout  = 20 * time.Second        // from the acceptance of a job; faults last a few seconds, and recovery 12
)

func (s *fleet) caller() standin.Caller {
	return standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}, Waits: storedCallTimeout}
}

// loadStored submits stored jobs of two steps for a while and waits for their ends.
// Each fifth is cancelled soon.
func (s *fleet) loadStored(span time.Duration) *storedJobs {
	p := &storedJobs{s: s, acceptedAt: make(map[string]time.Time), lastState: make(map[string]work.State), cancelledAt: make(map[string]time.Time)}
	var callers sync.WaitGroup
	for k := 0; k < int(span/(50*time.Millisecond)); k++ {
		id := fmt.Sprintf("%d%015x", 1+2*(k%3), k)
		callers.Go(func() { p.runCaller(k, id) })
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	return p
}

// runCaller plays the caller of one job.
func (p *storedJobs) runCaller(k int, id string) {
	c := p.s.caller()
	est := time.Duration(id[0]-'0') * 100 * time.Millisecond
	first := work.Step{Count: 2, Room: work.Room{CPU: taskCPU}, Estimate: est}
	second := work.Step{Count: 1, Room: work.Room{CPU: taskCPU}, Estimate: est, After: []int{0}}
	for try := 0; ; try++ {
		rep, err := c.Store(p.s.ctx, p.s.frontAddress(k+try), longQueue.Name, id, first, second)
		if err == nil && rep.Status == http.StatusOK {
			break
		}
		if try == 3 {
			p.mu.Lock()
			p.rejected++
			p.mu.Unlock()
			return
		}
		time.Sleep(1300 * time.Millisecond)
	}
	p.mu.Lock()
	p.acceptedAt[id] = time.Now()
	p.mu.Unlock()
	if k%5 == 0 {
		p.cancel(k, id)
	}
	p.pollState(k, id)
}

func (p *storedJobs) cancel(k int, id string) {
	c := p.s.caller()
	rep, err := c.Cancel(p.s.ctx, p.s.frontAddress(k+1), longQueue.Name, id)
	if err == nil && rep.Status == http.StatusOK && rep.State == work.Cancelled {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.cancelledAt[id] = time.Now()
	}
}

// pollState asks for the state until the job has ended, each time at another entry.
func (p *storedJobs) pollState(k int, id string) {
	c := p.s.caller()
	for end := time.Now().Add(storedJobTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		k++
		rep, err := c.State(p.s.ctx, p.s.frontAddress(k), longQueue.Name, id)
		if err != nil {
			continue
		}
		p.mu.Lock()
		if rep.Status == http.StatusGone {
			p.unknown = append(p.unknown, id)
		} else if rep.Status == http.StatusOK {
			p.lastState[id] = rep.State
		}
		p.mu.Unlock()
		if rep.State == work.Completed || rep.State == work.JobFailed || rep.State == work.Cancelled {
			return
		}
	}
}

// checkPromises checks the promises to callers of stored jobs.
func (p *storedJobs) checkPromises(t *testing.T, least int) {
	t.Helper()
	workers := p.s.workers[:]
	for _, wrong := range standin.Repeats(workers...) {
		t.Error(wrong)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("%d accepted, %d not, %d cancelled", len(p.acceptedAt), p.rejected, len(p.cancelledAt))
	if len(p.acceptedAt) < least {
		t.Errorf("%d jobs accepted, want %d", len(p.acceptedAt), least)
	}
	if len(p.unknown) > 0 {
		slices.Sort(p.unknown)
		t.Errorf("accepted jobs were not known: %v", slices.Compact(p.unknown))
	}
	for id := range p.acceptedAt {
		at, gone := p.cancelledAt[id]
		switch {
		case gone && standin.RanAfter(at.Add(cancelLimit), id, workers...):
			t.Errorf("job %s ran after its cancellation was acknowledged", id)
		case gone && p.lastState[id] != work.Cancelled, !gone && p.lastState[id] != work.Completed && p.lastState[id] != work.Cancelled:
			t.Errorf("job %s is %q in the end", id, p.lastState[id])
		}
	}
}

// restartAll kills all processes of the system and starts them again.
func (s *fleet) restartAll(down time.Duration) {
	for i := range fleetEntries {
		s.entry(i).Kill()
	}
	for i := range fleetAgents {
		s.agent(i).Kill()
	}
	time.Sleep(down)
	for i := range fleetEntries {
		s.startEntry(i)
	}
	for i := range fleetAgents {
		s.startAgent(i)
	}
}

// storedFaults are faults of the store and of everything at once.
var storedFaults = []fleetFault{
	{"nothing", 0, func(*fleet) {}},
	{"everything killed", 0, func(s *fleet) { s.restartAll(time.Second) }},
	{"everything killed, back at once", 0, func(s *fleet) { s.restartAll(200 * time.Millisecond) }},
	{"everything killed twice", 0, func(s *fleet) {
		s.restartAll(300 * time.Millisecond)
		time.Sleep(900 * time.Millisecond)
		s.restartAll(500 * time.Millisecond)
	}},
	// Nothing is accepted for most of the time, but what was accepted completes.
	{"store down for longer than a tenure", 0.15, func(s *fleet) {
		s.store.Set(standin.StoreFaults{Down: true})
		time.Sleep(8 * time.Second)
		s.store.Set(standin.StoreFaults{})
	}},
	{"answers of the store lost", 0, func(s *fleet) {
		s.store.Set(standin.StoreFaults{LoseAnswers: true})
		time.Sleep(2 * time.Second)
		s.store.Set(standin.StoreFaults{})
	}},
	{"writes late", 0, func(s *fleet) {
		s.store.Set(standin.StoreFaults{LateWrites: 2500 * time.Millisecond})
		time.Sleep(2 * time.Second)
		s.store.Set(standin.StoreFaults{})
	}},
	{"writes late, then the home is killed", 0, func(s *fleet) {
		s.store.Set(standin.StoreFaults{LateWrites: 2500 * time.Millisecond})
		time.Sleep(time.Second)
		h := s.home()
		s.entry(h).Kill()
		s.store.Set(standin.StoreFaults{})
		time.Sleep(time.Second)
		s.startEntry(h)
	}},
	{"home cut off from the store", 0, func(s *fleet) {
		s.cutFor(fmt.Sprint("e", s.home()), "store", 4*time.Second)
		time.Sleep(4 * time.Second)
	}},
	{"home killed during an outage of the store", 0, func(s *fleet) {
		s.store.Set(standin.StoreFaults{Down: true})
		time.Sleep(500 * time.Millisecond)
		h := s.home()
		s.entry(h).Kill()
		time.Sleep(2 * time.Second)
		s.startEntry(h)
		s.store.Set(standin.StoreFaults{})
	}},
}

// minAccepted returns how many of a hundred jobs are accepted at least: half, since callers
// submit again for four seconds, unless a fault says less.
func minAccepted(part float64) int {
	if part > 0 && part < 0.5 {
		return int(100 * part)
	}
	return 50
}

// TestStoredJobsUnderFaults: a job that was accepted is known at every entry,
// completes, runs no task again that was done, and does not run once its
// cancellation was acknowledged.
func TestStoredJobsUnderFaults(t *testing.T) {
	for _, tc := range append(storedFaults, fleetFaults...) {
		t.Run(tc.name, func(t *testing.T) {
			runWithFleet(t, func(t *testing.T, s *fleet) {
				done := make(chan struct{})
				go func() {
					defer close(done)
					time.Sleep(time.Second)
					tc.fault(s)
				}()
				p := s.loadStored(5 * time.Second)
				<-done
				p.checkPromises(t, minAccepted(tc.minShare))
			})
		})
	}
}
