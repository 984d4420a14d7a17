// Package demo runs a small installation in one process on loopback and checks
// the guarantees to callers against the journals of the targets.
//
// # Model
//
// A Fleet consists of a key-value stand-in, entries, agents and stand-in targets,
// each with real listeners; entries and agents can be killed and replaced. Run
// submits jobs over HTTP while it kills and replaces an agent and an entry,
// resubmits jobs that got no answer, and counts violations of the guarantees.
//
// # Usage
//
//	rep, err := demo.Run(ctx, demo.Config{Jobs: 200, Seed: 1})
package demo

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/entry"
	"masticbay/job"
	"masticbay/load"
)

// Config configures a run.
type Config struct {
	Jobs           int
	SubmitDuration time.Duration // time over which the submissions are spread
	Seed           int
	Log            io.Writer // nil to discard
}

// Report is the outcome of a run. StartedTwice, NotRunButStarted and
// PartialAnswers count violations of the guarantees, as Verdict does.
type Report struct {
	Jobs             int     `json:"jobs"`
	Complete         int     `json:"complete"`
	Failed           int     `json:"failed"`
	Unanswered       int     `json:"unanswered"`
	Resubmitted      int     `json:"resubmitted"`
	Unknown          int     `json:"unknown"` // tasks
	NotRun           int     `json:"notRun"`  // tasks
	TasksStarted     int     `json:"tasksStarted"`
	StartedTwice     int     `json:"startedTwice"`
	NotRunButStarted int     `json:"notRunButStarted"`
	PartialAnswers   int     `json:"partialAnswers"`
	MessagesPerTask  float64 `json:"messagesPerTask"`
	Seconds          float64 `json:"seconds"`

	Requests map[string]uint64 `json:"requests"` // requests between processes, by method
}

const (
	demoEntries     = 2
	demoAgents      = 4
	callers         = 16
	maxJobTasks     = 24 // tasks
	replaceAfter    = 300 * time.Millisecond
	startTimeout    = 10 * time.Second
	idempotentEvery = 3 // one job in this many is idempotent
)

// Run runs the demonstration. It returns an error if the installation did not
// start; violations are in the report.
func Run(ctx context.Context, cfg Config) (rep Report, err error) {
	defer func() { err = errors.Annotate(err, "running the demonstration") }()
	log := zerolog.Nop()
	if cfg.Log != nil {
		log = zerolog.New(cfg.Log).With().Timestamp().Logger()
	}
	start := time.Now()
	f, err := StartFleet(FleetConfig{Entries: demoEntries, Agents: demoAgents, Seed: cfg.Seed, Log: log})
	if err != nil {
		return rep, err
	}
	defer f.Close()
	if err := f.AwaitReady(ctx, startTimeout, true); err != nil {
		return rep, err
	}
	r := &runner{fleet: f, cfg: cfg, rand: rand.New(rand.NewPCG(uint64(cfg.Seed), 2))}
	r.run(ctx)
	rep = r.report()
	rep.Seconds = time.Since(start).Seconds()
	return rep, nil
}

// runner submits the jobs of a run and collects the answers.
type runner struct {
	fleet *Fleet
	cfg   Config
	next  atomic.Int64

	mu          sync.Mutex // guards the fields below
	rand        *rand.Rand
	answers     []job.Answer
	unanswered  int
	resubmitted int
}

func (r *runner) run(ctx context.Context) {
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { r.runCaller(ctx) })
	}
	wg.Go(func() { r.injectFailures(ctx) })
	wg.Wait()
}

// injectFailures kills and replaces an agent after a fifth of the jobs has been
// submitted, and an entry after three quarters.
func (r *runner) injectFailures(ctx context.Context) {
	r.awaitSubmitted(ctx, r.cfg.Jobs/5)
	r.fleet.KillAgent(0)
	pause(ctx, replaceAfter)
	_ = r.fleet.StartAgent(0)
	r.awaitSubmitted(ctx, 3*r.cfg.Jobs/4)
	r.fleet.KillEntry(0)
	pause(ctx, replaceAfter)
	_ = r.fleet.StartEntry(0)
}

func (r *runner) awaitSubmitted(ctx context.Context, jobs int) {
	for int(r.next.Load()) < jobs && ctx.Err() == nil {
		pause(ctx, time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (r *runner) runCaller(ctx context.Context) {
	start := time.Now()
	for ctx.Err() == nil {
		n := int(r.next.Add(1)) - 1
		if n >= r.cfg.Jobs {
			return
		}
		due := start.Add(r.cfg.SubmitDuration * time.Duration(n) / time.Duration(r.cfg.Jobs))
		pause(ctx, time.Until(due))
		r.submit(ctx, n)
	}
}

// submit submits job n, and resubmits it to the entries in turn until it is
// answered or maxTries is reached.
func (r *runner) submit(ctx context.Context, n int) {
	req := r.request(n)
	for try := range maxTries {
		e := (n + try) % demoEntries
		ans, err := load.Submit(ctx, r.fleet.EntryURL(e), &req)
		if err == nil {
			r.addAnswer(ans)
			return
		}
		req.Resubmission = true
		r.mu.Lock()
		r.resubmitted++
		r.mu.Unlock()
		pause(ctx, retryInterval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered++
}

const (
	maxTries      = 8
	retryInterval = 100 * time.Millisecond
)

func (r *runner) request(n int) entry.SubmitRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := entry.SubmitRequest{
		Key:        "demo-" + strconv.Itoa(n),
		Team:       "laval",
		Service:    Service,
		Idempotent: n%idempotentEvery == 0,
		Tasks:      make([]entry.TaskRequest, 1+r.rand.IntN(maxJobTasks)),
	}
	return req
}

func (r *runner) addAnswer(ans job.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, ans)
}

func (r *runner) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := Report{Jobs: r.cfg.Jobs, Unanswered: r.unanswered, Resubmitted: r.resubmitted}
	verdict := Verify(r.answers, r.fleet.Journals())
	rep.TasksStarted = verdict.Started
	rep.StartedTwice = verdict.StartedTwice
	rep.NotRunButStarted = verdict.NotRunButStarted
	rep.PartialAnswers = verdict.Partial
	for i := range r.answers {
		a := &r.answers[i]
		rep.Unknown += a.Counts.Unknown
		rep.NotRun += a.Counts.NotRun
		if a.Status == job.StatusComplete {
			rep.Complete++
		} else {
			rep.Failed++
		}
	}
	rep.Requests = r.fleet.Requests()
	if rep.TasksStarted > 0 {
		rep.MessagesPerTask = float64(r.fleet.Messages()) / float64(rep.TasksStarted)
	}
	return rep
}
