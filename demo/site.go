package demo

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/platform"
	"masticbay/platform/standin"
	"masticbay/site"
	"masticbay/store"
	"masticbay/work"
)

// SiteConfig configures RunSite.
type SiteConfig struct {
	Jobs           int
	SubmitDuration time.Duration // time over which the submissions are spread
	Log            zerolog.Logger
}

// SiteReport is the outcome of RunSite.
type SiteReport struct {
	Jobs           int `json:"jobs"`
	Completed      int `json:"completed"`
	Rejected       int `json:"rejected"`
	Unanswered     int `json:"unanswered"` // jobs without an answer after all submissions
	Runs           int `json:"runs"`
	RunTwiceAtOnce int `json:"runTwiceAtOnce"` // tasks of which two runs overlapped in time
	RejectedButRan int `json:"rejectedButRan"` // jobs that ran, but were answered as rejected
	HomesKilled    int `json:"homesKilled"`
}

// HasViolations reports whether any guarantee was violated.
func (r *SiteReport) HasViolations() bool { return r.RunTwiceAtOnce+r.RejectedButRan > 0 }

// The size and the times of the site that RunSite starts.
const (
	siteEntries          = 3
	siteAgents           = 4
	siteHeartbeat        = time.Second
	siteCallerTimeout    = 5 * time.Second // until a caller gives up
	siteResubmitInterval = 1300 * time.Millisecond
	siteStartupTime      = 2 * time.Second // until entries and agents are in contact
)

var siteQueue = work.Queue{Name: "pickup", Service: Service, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}

// siteRun is a site on loopback: stand-ins for the users' platform, with real
// entries and agents.
type siteRun struct {
	cfg       SiteConfig
	store     *standin.Store
	workers   []*standin.Worker
	agents    []*site.Agent
	ctx       context.Context
	addresses map[string]string // by the name of the listener

	mu       sync.Mutex // guards the fields below
	entries  []*site.Entry
	report   SiteReport
	rejected []string // job ids
}

// RunSite runs masticbay on stand-ins for the users' platform, kills the home (the
// coordinator that places the tasks of a site) halfway, and checks the workers'
// journals against the answers to callers.
func RunSite(ctx context.Context, cfg SiteConfig) (rep SiteReport, err error) {
	defer func() { err = errors.Annotate(err, "running a site") }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &siteRun{cfg: cfg, store: standin.NewStore(store.NewMemory(clock.System{})), ctx: ctx, addresses: make(map[string]string)}
	defer s.close()
	if err := s.start(); err != nil {
		return rep, err
	}
	time.Sleep(siteStartupTime)
	s.submitJobs()
	s.verify()
	return s.report, nil
}

func (s *siteRun) start() error {
	if err := s.store.PutConfig(1, siteQueue); err != nil {
		return err
	}
	if err := s.serve("store", s.store.Handler()); err != nil {
		return err
	}
	for i := range siteAgents {
		if err := s.startAgent(i); err != nil {
			return err
		}
	}
	for i := range siteEntries {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// address returns the loopback address of a listener; it picks a free port at the
// first call for each name.
func (s *siteRun) address(name string) string {
	if a, ok := s.addresses[name]; ok {
		return a
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return loopback
	}
	defer func() { _ = ln.Close() }()
	s.addresses[name] = ln.Addr().String()
	return s.addresses[name]
}

func (s *siteRun) serve(name string, h http.Handler) error {
	ln, err := net.Listen("tcp", s.address(name))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return nil
}

func (s *siteRun) node(name string) *platform.Node {
	return &platform.Node{
		Name: name, IP: "127.0.0.1", Service: Service, Internal: s.address(name), Metrics: s.address(name + "/metrics"),
		Store: s.address("store"), Entries: []string{s.address("entry0"), s.address("entry1")}, Cores: 1, GracePeriod: siteCallerTimeout,
	}
}

func (s *siteRun) startAgent(i int) error {
	w := standin.NewWorker(standin.WorkerConfig{ID: fmt.Sprint("worker", i), Service: Service, CPU: 8000, Memory: 1024, Work: siteRunTime})
	s.workers = append(s.workers, w)
	if err := s.serve(fmt.Sprint("worker", i), w.Handler()); err != nil {
		return err
	}
	n := s.node(fmt.Sprint("agent", i))
	n.Worker, n.Control = s.address(fmt.Sprint("worker", i)), s.address(fmt.Sprint("control", i))
	a, err := site.StartAgent(site.AgentOptions{Node: n, Log: s.cfg.Log})
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	go w.SendHeartbeats(s.ctx, http.DefaultClient, n.Control, siteHeartbeat)
	return nil
}

func (s *siteRun) startEntry(i int) error {
	n := s.node(fmt.Sprint("entry", i))
	n.Front, n.Ready = s.address(fmt.Sprint("front", i)), s.address(fmt.Sprint("ready", i))
	e, err := site.StartEntry(site.EntryOptions{Node: n, Log: s.cfg.Log})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = append(s.entries, e)
	return nil
}

// siteRunTime returns a run time between 50 and 250 ms that depends on the name of
// the task.
func siteRunTime(task string, _ int) (time.Duration, bool) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task)) // never fails
	return 50*time.Millisecond + time.Duration(h.Sum32()%200)*time.Millisecond, false
}

// submitJobs submits the jobs at a fixed interval and kills the home halfway.
func (s *siteRun) submitJobs() {
	var callers sync.WaitGroup
	interval := s.cfg.SubmitDuration / time.Duration(s.cfg.Jobs)
	for i := range s.cfg.Jobs {
		if i == s.cfg.Jobs/2 {
			s.killHome()
		}
		callers.Go(func() { s.submit(i) })
		time.Sleep(interval)
	}
	callers.Wait()
}

func (s *siteRun) killHome() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.entries {
		if e.IsHome() {
			e.Kill()
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			s.report.HomesKilled++
			return
		}
	}
}

// submit submits a job, and resubmits it to the next entry if it got no answer.
func (s *siteRun) submit(i int) {
	caller := standin.Caller{Client: http.DefaultClient, Timeout: siteCallerTimeout}
	id := fmt.Sprintf("%016x", i)
	step := work.Step{Count: 1 + i%6, Room: work.Room{CPU: 1000, Memory: 16}, Estimate: 150 * time.Millisecond}
	for try := range siteEntries {
		rep, err := caller.Submit(s.ctx, s.address(fmt.Sprint("front", (i+try)%siteEntries)), siteQueue.Name, id, step)
		if err != nil || rep.Status == http.StatusGatewayTimeout {
			time.Sleep(siteResubmitInterval)
			continue
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if rep.State == work.Completed {
			s.report.Completed++
		} else {
			s.report.Rejected++
			s.rejected = append(s.rejected, id)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Unanswered++
}

func (s *siteRun) verify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Jobs = s.cfg.Jobs
	for _, w := range s.workers {
		s.report.Runs += len(w.Journal())
	}
	s.report.RunTwiceAtOnce = len(standin.Overlaps(s.workers...))
	for _, id := range s.rejected {
		if standin.Ran(id, s.workers...) {
			s.report.RejectedButRan++
		}
	}
}

func (s *siteRun) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.Kill()
	}
	for _, a := range s.agents {
		a.Kill()
	}
}
