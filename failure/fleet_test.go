package failure

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/platform"
	"masticbay/platform/standin"
	daemon "masticbay/site"
	"masticbay/store"
	"masticbay/work"
)

// The size of the fleet on the users' platform.
const (
	fleetEntries = 3
	fleetAgents  = 4
	fleetTasks   = 8 // tasks that one worker runs at once
	taskCPU      = 1000
)

// pingQueue and longQueue are the fleet's queues.
var (
	pingQueue = work.Queue{Name: "ping", Service: service, Priority: 0, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	longQueue = work.Queue{Name: "long", Service: service, Priority: 2, MaxAttempts: 3, Stretch: 1.6, Target: 60 * time.Millisecond}
)

// showLogs makes the entries and agents of a fleet log to standard error.
var showLogs = flag.Bool("logs", false, "print the logs of the entries and agents of a fleet")

// keptLog takes the logs if it is not nil.
var keptLog *logBuffer

func fleetLog(node string) zerolog.Logger {
	var out io.Writer = os.Stderr
	switch {
	case keptLog != nil:
		out = keptLog
	case !*showLogs:
		return zerolog.Nop()
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).With().Str("node", node).Timestamp().Logger()
}

// fleet is an installation on the users' platform: complete entries and agents,
// and stand-ins for the store and the workers, on an in-memory network.
type fleet struct {
	t          *testing.T
	network    *network
	store      *standin.Store
	workers    [fleetAgents]*standin.Worker
	stop       context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup
	cellSize   int  // number of agents in a cell; the default if zero
	lateJobs   bool // whether a tenth of the load are late jobs
	// evacuateTime is that of the settings of all processes.
	evacuateTime time.Duration

	mu            sync.Mutex // guards what follows
	entries       [fleetEntries]*daemon.Entry
	agents        [fleetAgents]*daemon.Agent
	entryHosts    [fleetEntries]*processHost
	agentHosts    [fleetAgents]*processHost
	replies       map[string]standin.Reply
	repliedAt     map[string]time.Time // when the reply arrived
	mayHaveRun    map[string]bool      // jobs that may have run after an earlier submission
	outOfRotation [fleetEntries]bool   // entries that the load balancer does not use
	unanswered    int                  // requests without an answer
	brokenConns   int                  // unanswered requests whose connection was accepted and then closed
	// evacuationCalls holds the number of calls of the store about evacuations, by caller.
	evacuationCalls map[string]int
}

// runWithFleet runs f in a bubble on a fleet whose members have found each other,
// and then checks the invariants.
func runWithFleet(t *testing.T, f func(t *testing.T, s *fleet)) { runWithCells(t, 0, f) }

// runWithCells is runWithFleet with cells of a given number of agents.
func runWithCells(t *testing.T, cellSize int, f func(t *testing.T, s *fleet)) {
	runWith(t, cellSize, 0, f)
}

// runWith is runWithCells on a platform that evacuates data centres; see platform.Node.
func runWith(t *testing.T, cellSize int, evacuateTime time.Duration, f func(t *testing.T, s *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFleet(t, cellSize, evacuateTime)
		time.Sleep(2 * time.Second)
		f(t, s)
		s.checkInvariants()
		s.close()
	})
}

func newFleet(t *testing.T, cellSize int, evacuateTime time.Duration) *fleet {
	s := &fleet{t: t, cellSize: cellSize, evacuateTime: evacuateTime, network: newNetwork(), store: standin.NewStore(store.NewMemory(clock.System{})), replies: make(map[string]standin.Reply), repliedAt: make(map[string]time.Time), mayHaveRun: make(map[string]bool), evacuationCalls: make(map[string]int)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if err := s.store.PutConfig(1, pingQueue, longQueue); err != nil {
		t.Fatal(err)
	}
	s.serve("store", s.countEvacuationCalls(s.store.Handler()))
	for i := range s.workers {
		s.workers[i] = standin.NewWorker(standin.WorkerConfig{
			ID: fmt.Sprint("worker", i), Service: service, DataCentre: fleetDataCentre(i), Labels: []string{"a"}, CPU: fleetTasks * taskCPU, Memory: 1024, Work: taskRunTime,
		})
		s.serve(fmt.Sprint("w", i), s.workers[i].Handler())
		s.startAgent(i)
		client := &http.Client{Transport: &http.Transport{DialContext: s.dial(fmt.Sprint("w", i))}}
		s.goroutines.Go(func() {
			s.workers[i].SendHeartbeats(s.ctx, client, fmt.Sprint("c", i), time.Second)
			client.CloseIdleConnections()
		})
	}
	for i := range s.entries {
		s.startEntry(i)
	}
	return s
}

// lateDigit is the first digit of the IDs of late jobs, whose runs take lateFactor times
// as long as estimated and outlast a failover.
const (
	lateDigit  = '7'
	lateFactor = 4
)

// taskRunTime returns the run time of a task: the first digit of its job's ID, in
// tenths of a second, or lateFactor times as much for a late job.
func taskRunTime(task string, _ int) (time.Duration, bool) {
	if task[0] == randomDigit {
		return randomRunTime(task), false
	}
	runTime := time.Duration(task[0]-'0') * 100 * time.Millisecond
	if task[0] == lateDigit {
		runTime *= lateFactor
	}
	return runTime, false
}

func (s *fleet) serve(address string, h http.Handler) {
	ln, err := host{s.network, address}.Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	s.goroutines.Go(func() { _ = srv.Serve(ln) })
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
}

func (s *fleet) dial(from string) platform.Dial {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return webHost{host{s.network, from}}.Dial(ctx, address)
	}
}

// dialTimeout bounds attempts to connect over a cut link, as the dialers of the
// real processes do.
const dialTimeout = time.Second

// webHost is a host that strips the default port which an HTTP client appends to
// an address.
type webHost struct{ host }

// Dial implements wire.Network.
func (h webHost) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return h.host.Dial(ctx, strings.TrimSuffix(address, ":80"))
}

func (s *fleet) node(name string) platform.Node {
	return platform.Node{
		Name: name, IP: name, Service: service, Internal: name, Metrics: name + "/metrics", Store: "store", Cores: 0.4,
		Entries: []string{"e0", "e1"}, GracePeriod: 6 * time.Second, EvacuateTime: s.evacuateTime, MaxWorkerLease: time.Second,
	}
}

func (s *fleet) startEntry(i int) {
	n := s.node(fmt.Sprint("e", i))
	n.Front, n.Ready = fmt.Sprint("f", i), fmt.Sprint("r", i)
	h := s.newProcessHost(n.Name)
	e, err := daemon.StartEntry(daemon.EntryOptions{Node: &n, Log: fleetLog(n.Name), Clock: clock.System{}, Network: h, CellSize: s.cellSize})
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i], s.entryHosts[i] = e, h
}

func (s *fleet) startAgent(i int) {
	n := s.node(fmt.Sprint("a", i))
	n.Control, n.Worker = fmt.Sprint("c", i), fmt.Sprint("w", i)
	h := s.newProcessHost(n.Name)
	a, err := daemon.StartAgent(daemon.AgentOptions{Node: &n, Log: fleetLog(n.Name), Clock: clock.System{}, Network: h})
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[i], s.agentHosts[i] = a, h
}

func (s *fleet) entry(i int) *daemon.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i]
}

func (s *fleet) agent(i int) *daemon.Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[i]
}

// home returns the index of the entry that is home, the coordinator that places
// the tasks.
func (s *fleet) home() int {
	for i := range fleetEntries {
		if s.entry(i).IsHome() {
			return i
		}
	}
	s.t.Fatal("no entry is home")
	return 0
}

// load submits jobs to the given entries for a while and waits for the answers. A
// test calls it only once, since the job IDs repeat.
func (s *fleet) load(duration time.Duration, entries ...int) {
	var callers sync.WaitGroup
	for k := 0; k < int(duration/(25*time.Millisecond)); k++ {
		queue, tasks := pingQueue, 4
		id := fmt.Sprintf("1%015x", k)
		switch {
		case s.lateJobs && k%10 == 5:
			queue, tasks, id = longQueue, 1, fmt.Sprintf("%c%015x", lateDigit, k)
		case k%8 == 0:
			queue, tasks, id = longQueue, 2, fmt.Sprintf("9%015x", k)
		}
		callers.Go(func() { s.submit(entries[k%len(entries)], queue, id, tasks) })
		time.Sleep(25 * time.Millisecond)
	}
	callers.Wait()
}

// submit submits a job, and resubmits it once to the next entry if it gets no
// answer, as callers do.
func (s *fleet) submit(entry int, queue work.Queue, id string, tasks int) {
	caller := standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: s.dial("caller"), DisableKeepAlives: true}}, Timeout: 6 * time.Second}
	step := work.Step{Count: tasks, Room: work.Room{CPU: taskCPU}, Estimate: time.Duration(id[0]-'0') * 100 * time.Millisecond}
	for attempt := range 2 {
		reply, err := caller.Submit(s.ctx, s.frontAddress(entry+attempt), queue.Name, id, step)
		s.mu.Lock()
		if err == nil && reply.Status != http.StatusGatewayTimeout {
			s.replies[id], s.repliedAt[id] = reply, time.Now()
			s.mu.Unlock()
			return
		}
		s.unanswered++
		s.mayHaveRun[id] = true
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			s.brokenConns++
		}
		s.mu.Unlock()
		time.Sleep(1300 * time.Millisecond)
	}
}

// frontAddress returns the front address of the first entry, from the given one
// on, that the load balancer uses. It uses all if none is in rotation.
func (s *fleet) frontAddress(entry int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range fleetEntries {
		if !s.outOfRotation[entry%fleetEntries] {
			break
		}
		entry++
	}
	return fmt.Sprint("f", entry%fleetEntries)
}

// setInRotation sets whether the load balancer uses an entry.
func (s *fleet) setInRotation(entry int, used bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outOfRotation[entry] = !used
}

// counts returns how many jobs were answered, completed and rejected.
func (s *fleet) counts() (answered, completed, rejected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replies {
		switch {
		case r.State == work.Completed:
			completed++
		case r.Status == http.StatusServiceUnavailable:
			rejected++
		}
	}
	return len(s.replies), completed, rejected
}

// checkInvariants checks what must hold under every failure.
func (s *fleet) checkInvariants() {
	s.t.Helper()
	for _, violation := range standin.Overlaps(s.workers[:]...) {
		s.t.Error(violation)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.replies {
		s.checkRejection(id, &r)
		if r.Status == http.StatusServiceUnavailable && r.RetryAfter <= 0 {
			s.t.Errorf("job %s was rejected without a retry-after time", id)
		}
		if r.State == work.JobFailed {
			s.t.Errorf("job %s failed although no task failed", id)
		}
	}
}

// checkRejection checks that a rejected job has not run. If an earlier submission
// got no answer or a gateway timeout, the job may have run before the rejection,
// but not after it.
func (s *fleet) checkRejection(id string, r *standin.Reply) {
	since := time.Time{}
	if s.mayHaveRun[id] {
		since = s.repliedAt[id]
	}
	if r.Status == http.StatusServiceUnavailable && standin.RanAfter(since, id, s.workers[:]...) {
		s.t.Errorf("job %s was rejected and ran", id)
	}
}

func (s *fleet) close() {
	s.mu.Lock()
	for _, e := range s.entries {
		e.Kill()
	}
	for _, a := range s.agents {
		a.Kill()
	}
	s.mu.Unlock()
	s.stop()
	s.goroutines.Wait()
	time.Sleep(settleTime) // pending calls end by their own timeouts
}
