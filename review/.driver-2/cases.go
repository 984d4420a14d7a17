package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// The bounds that the checks use, as in the settings.
const (
	finishTime  = 14 * time.Second // finish_s
	visibleTime = 3 * time.Second  // visible_ms
)

// executors returns a service's executors, of which the first special ones are of kind "b" and
// all others of kind "a", three a rack.
func executors(n, special, cpu int) []executorConfig {
	xs := make([]executorConfig, n)
	for i := range xs {
		kind := "a"
		if i < special {
			kind = "b"
		}
		xs[i] = executorConfig{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), labels: []string{kind, fmt.Sprintf("r1-%d", i/3+1)}, cpu: cpu, memMB: 131072,
			guards: true, firstBeatAfter: 50 * time.Millisecond,
		}
	}
	return xs
}

// Tasks that last, on a rack whose other executors are full.

var rackConfig = func() siteConfig {
	xs := executors(8, 0, 16000)
	xs[0].cpu = 5000
	return siteConfig{entries: 2, executors: xs, maxAttempts: 3, remoteFactor: 1.5}
}()

// playRack runs a job of nine tasks that last, which fill their rack, beside short jobs for
// the same rack, and then loses an executor of the rack for good. The tasks of that executor
// have to go on elsewhere.
func playRack(s *site, trouble bool) (verdict, error) {
	traffic := s.background(200*time.Millisecond, func(i int) {
		s.call(i%2, "POST", "short", s.newID(), jobBody{Spec: "work=60 cpu=500", BestEffort: true,
			Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstRuntimeMs: 60, Affinity: "r1-1"}}}, clientDeadline)
	})
	defer traffic()
	s.sleep(time.Second)
	const cpu, tasks = 3500, 9
	id, err := s.submit(0, "long", jobBody{Spec: fmt.Sprintf("lasts cpu=%d", cpu), LongRunning: true,
		Steps: []step{{Count: tasks, CPU: cpu, MemMB: 64, EstRuntimeMs: 20000, Affinity: "r1-1"}}})
	if err != nil {
		return verdict{}, err
	}
	if !s.until(10*time.Second, func() bool { return len(s.journal.runningTasks(id)) == tasks }) {
		return verdict{}, errors.New("the tasks that last are not all at work")
	}
	s.sleep(5 * time.Second)
	if trouble {
		s.executors[0].crash()
	}
	s.sleep(10 * time.Second)
	// From here on the seven seconds before each moment are calm, and the last run of each task
	// is six seconds back.
	var missing time.Duration
	const tick = 100 * time.Millisecond
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && s.ctx.Err() == nil; s.sleep(tick) {
		n := len(s.journal.runningTasks(id))
		if n == tasks || s.mostFree("") < 2*cpu {
			missing = 0
			continue
		}
		if missing += tick; missing > 20*time.Second {
			return verdict{true, fmt.Sprintf("%d of %d tasks of job %s that last are at work for 20 s, though one executor has room for %d thousandths of a core and each needs %d; state %q",
				n, tasks, id, s.mostFree(""), cpu, s.stateOf(1, "long", id))}, nil
		}
	}
	return verdict{missing > 3*time.Second, fmt.Sprintf("%d of %d tasks that last are at work", len(s.journal.runningTasks(id)), tasks)}, nil
}

// background calls f in turn until the result is called.
func (s *site) background(interval time.Duration, f func(i int)) (stop func()) {
	done := make(chan struct{})
	var calls sync.WaitGroup
	loop := make(chan struct{})
	go func() {
		defer close(loop)
		for i := 0; ; i++ {
			calls.Add(1)
			go func() {
				defer calls.Done()
				f(i)
			}()
			select {
			case <-done:
				return
			case <-s.ctx.Done():
				return
			case <-time.After(interval):
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(done)
		<-loop
		calls.Wait()
	})
}

// mostFree returns the most free CPU on one executor with a label; any if it is empty.
func (s *site) mostFree(label string) (most int) {
	for _, x := range s.executors {
		if capacity, used, up := x.load(); up && (label == "" || contains(x.cfg.labels, label)) {
			most = max(most, capacity-used)
		}
	}
	return most
}

// usedShare returns the part of the service's capacity in use.
func (s *site) usedShare() float64 {
	capacity, used := 0, 0
	for _, x := range s.executors {
		if c, u, up := x.load(); up {
			capacity, used = capacity+c, used+u
		}
	}
	return float64(used) / float64(max(capacity, 1))
}

func contains(list []string, s string) bool {
	for _, o := range list {
		if o == s {
			return true
		}
	}
	return false
}

// Jobs that only two executors can run, of which one has no room and the other one failed
// its runs for a while.

const lastingCPU, largeCPU = 36000, 30000

var ejectedConfig = siteConfig{entries: 2, executors: executors(8, 2, 64000), maxAttempts: 3, remoteFactor: 1.5}

// occupyOne starts a task that lasts on one of the two executors of kind "b", and returns the
// other one.
func (s *site) occupyOne() (free *executor, err error) {
	id, err := s.submit(0, "long", jobBody{Spec: fmt.Sprintf("lasts cpu=%d", lastingCPU), LongRunning: true,
		Steps: []step{{Count: 1, CPU: lastingCPU, MemMB: 64, EstRuntimeMs: 20000, Label: "b"}}})
	if err != nil {
		return nil, err
	}
	if !s.until(5*time.Second, func() bool { return len(s.journal.runningTasks(id)) == 1 }) {
		return nil, errors.New("the task that lasts is not at work")
	}
	if s.journal.of(id)[0].machine == s.executors[0].name {
		return s.executors[1], nil
	}
	return s.executors[0], nil
}

// largeJob is a stored job that fits only on an executor of kind "b" without the task that lasts.
var largeJob = jobBody{Spec: fmt.Sprintf("work=1000 cpu=%d", largeCPU), Steps: []step{{Count: 1, CPU: largeCPU, MemMB: 64, EstRuntimeMs: 1000, Label: "b"}}}

// checkLarge checks a job finishTime after the end of the traffic.
func (s *site) checkLarge(id string) verdict {
	s.sleep(finishTime)
	state := s.stateOf(1, "long", id)
	if state == "completed" {
		return verdict{false, "job " + id + " is completed"}
	}
	var idle time.Duration
	const tick = 50 * time.Millisecond
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && s.ctx.Err() == nil; s.sleep(tick) {
		if len(s.journal.runningTasks(id)) > 0 || s.mostFree("b") < 2*largeCPU || s.usedShare() >= 0.5 {
			idle = 0
			continue
		}
		if idle += tick; idle > 3*time.Second {
			return verdict{true, fmt.Sprintf("job %s has nothing running for 3 s, %v after the end of the traffic; state %q, %d runs so far, %d thousandths of a core free on one executor of its label, %.0f%% of the service in use",
				id, finishTime, state, len(s.journal.of(id)), s.mostFree("b"), 100*s.usedShare())}
		}
	}
	return verdict{false, fmt.Sprintf("job %s is %q", id, state)}
}

// playEjected has an executor fail all that it starts for five seconds, while stored jobs come,
// and submits a job afterwards that needs this executor.
func playEjected(s *site, trouble bool) (verdict, error) {
	free, err := s.occupyOne()
	if err != nil {
		return verdict{}, err
	}
	traffic := s.background(100*time.Millisecond, func(i int) {
		s.call(i%2, "POST", "short", s.newID(), jobBody{Spec: "work=100 cpu=1000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, EstRuntimeMs: 100, Label: "b"}}}, clientDeadline)
	})
	defer traffic()
	s.sleep(3 * time.Second)
	if trouble {
		free.setFailing(true)
	}
	s.sleep(5 * time.Second)
	if trouble {
		free.setFailing(false)
	}
	s.sleep(5 * time.Second)
	id, err := s.submit(1, "long", largeJob)
	if err != nil {
		return verdict{}, err
	}
	s.sleep(time.Second)
	traffic()
	return s.checkLarge(id), nil
}

var avoidedConfig = ejectedConfig

// playAvoided has an executor fail all that it starts for five seconds, and submits one job
// meanwhile that needs this executor.
func playAvoided(s *site, trouble bool) (verdict, error) {
	free, err := s.occupyOne()
	if err != nil {
		return verdict{}, err
	}
	s.sleep(3 * time.Second)
	if trouble {
		free.setFailing(true)
	}
	s.sleep(time.Second)
	id, err := s.submit(1, "long", largeJob)
	if err != nil {
		return verdict{}, err
	}
	s.sleep(4 * time.Second)
	if trouble {
		free.setFailing(false)
	}
	return s.checkLarge(id), nil
}

// An executor that returns as another kind at the same address.

var rebornConfig = siteConfig{entries: 2, executors: executors(8, 2, 16000), maxAttempts: 3, remoteFactor: 1.5}

// playReborn crashes an executor, which starts again as another one of another kind a second
// later, while jobs come that require the label of the former kind.
func playReborn(s *site, trouble bool) (verdict, error) {
	traffic := s.background(100*time.Millisecond, func(i int) {
		s.call(i%2, "POST", "short", s.newID(), jobBody{Spec: "work=100 cpu=1000 label=b", Steps: []step{{Count: 2, CPU: 1000, MemMB: 64, EstRuntimeMs: 100, Label: "b"}}}, clientDeadline)
	})
	defer traffic()
	s.sleep(5 * time.Second)
	if trouble {
		x := s.executors[0]
		x.crash()
		s.sleep(time.Second)
		cfg := x.cfg
		cfg.id, cfg.labels, cfg.firstBeatAfter = "i-8000beef", []string{"a", cfg.labels[1]}, 200*time.Millisecond
		if err := x.start(cfg); err != nil {
			return verdict{}, err
		}
	}
	s.sleep(12 * time.Second)
	traffic()
	n, total := 0, 0
	var first, last journalEntry
	for _, e := range s.journal.all() {
		total++
		if e.work.label == "" || contains(e.labels, e.work.label) {
			continue
		}
		if n++; n == 1 {
			first = e
		}
		last = e
	}
	if n == 0 {
		return verdict{false, fmt.Sprintf("all %d starts have the label that they require", total)}, nil
	}
	return verdict{true, fmt.Sprintf("%d of %d starts on an executor without the label that their step requires, the first one %s run %d on %s (%v), over %v",
		n, total, first.task, first.run, first.executor, first.labels, last.start.Sub(first.start).Round(time.Millisecond))}, nil
}

// Jobs whose only executor refuses all starts.

var unstartedConfig = siteConfig{entries: 2, executors: executors(8, 1, 64000), maxAttempts: 3, remoteFactor: 1.5}

// playUnstarted has the only executor of a kind refuse all starts for 6.5 s, accepts jobs that
// require it, and asks for the number of jobs that have not begun.
func playUnstarted(s *site, trouble bool) (verdict, error) {
	const jobs = 30
	if trouble {
		s.executors[0].setUnwell(true)
	}
	unwellSince := time.Now()
	var ids []string
	for i := 0; len(ids) < jobs && i < 2*jobs; i++ {
		id := s.newID()
		r := s.call(i%2, "POST", "short", id, jobBody{Spec: "work=100 cpu=1000", Steps: []step{{Count: 1, CPU: 1000, MemMB: 64, EstRuntimeMs: 100, Label: "b"}}}, clientDeadline)
		if r.status/100 == 2 {
			ids = append(ids, id)
		}
	}
	acceptedAt := time.Now()
	s.sleep(visibleTime + 2*time.Second + 300*time.Millisecond)
	var broken []string
	for i := range 2 {
		waiting := 0
		for _, id := range ids {
			if len(s.journal.of(id)) == 0 {
				waiting++
			}
		}
		r := s.call(i, "GET", "short", "", nil, clientDeadline)
		s.rec.line("entry-%d gives %d as pending; %d jobs accepted %v before have not begun", i+1, r.pending, waiting, time.Since(acceptedAt))
		if r.status == 200 && 2*r.pending < waiting {
			broken = append(broken, fmt.Sprintf("entry-%d gives %d as pending while %d jobs have not begun that were accepted over %v before", i+1, r.pending, waiting, time.Since(acceptedAt).Round(100*time.Millisecond)))
		}
	}
	s.sleep(6500*time.Millisecond - time.Since(unwellSince))
	if trouble {
		s.executors[0].setUnwell(false)
	}
	s.sleep(5 * time.Second)
	for i, id := range ids {
		s.stateOf(i%2, "short", id)
	}
	if len(broken) > 0 {
		return verdict{true, strings.Join(broken, "; ")}, nil
	}
	return verdict{false, fmt.Sprintf("pending covers the jobs that have not begun, of %d", len(ids))}, nil
}

// A gang whose step bounds the tasks on one executor.

var gangConfig = siteConfig{entries: 2, executors: executors(8, 2, 16000), maxAttempts: 3, remoteFactor: 1.5}

// playGang loses one of the two executors of a kind and submits a gang of two tasks that may
// not run on the same executor.
func playGang(s *site, trouble bool) (verdict, error) {
	if trouble {
		s.executors[1].crash()
	}
	s.sleep(4 * time.Second)
	id, err := s.submit(0, "long", jobBody{Spec: "work=2000 cpu=1000", Steps: []step{{Count: 2, CPU: 1000, MemMB: 64, EstRuntimeMs: 2000, Label: "b", Gang: true, MaxPerServer: 1}}})
	if err != nil {
		return verdict{}, err
	}
	s.sleep(6 * time.Second)
	on := make(map[string]int)
	for _, e := range s.journal.of(id) {
		if e.end.IsZero() || e.end.Sub(e.start) > time.Second {
			on[fmt.Sprintf("%s run %d", e.executor, e.run)]++
		}
	}
	for k, n := range on {
		if n > 1 {
			return verdict{true, fmt.Sprintf("%d tasks of job %s ran at the same time on %s, maxPerServer is 1", n, id, k)}, nil
		}
	}
	return verdict{false, fmt.Sprintf("runs of job %s: %v", id, on)}, nil
}
