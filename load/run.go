package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"masticbay/entry"
	"masticbay/job"
)

// Config configures a run.
type Config struct {
	Entries     []string // URLs of the entries
	Rate        float64  // jobs a second
	Duration    time.Duration
	Tasks       int // in one job
	Team        string
	Service     string
	Prefix      string  // of the job keys; must differ between runs
	Idempotent  float64 // share of jobs that are idempotent
	Resubmit    float64 // share of jobs that are submitted again, to another entry, while they run
	Cancel      float64 // share of jobs that are cancelled while they run
	Deadline    time.Duration
	RunMillis   float64 // run time of a task; negative for a random time chosen by the target
	MaxUnderWay int     // limit of jobs in flight; submissions beyond it are counted as skipped
	Seed        int
}

// Report is the outcome of a run. Times are in milliseconds.
type Report struct {
	Submitted   int     `json:"submitted"`
	Skipped     int     `json:"skipped"`
	Complete    int     `json:"complete"`
	Failed      int     `json:"failed"`
	Refused     int     `json:"refused"`
	Lost        int     `json:"lost"` // jobs without an answer
	Resubmitted int     `json:"resubmitted"`
	Differing   int     `json:"differing"` // resubmissions whose answer has another status
	Cancelled   int     `json:"cancelled"`
	TasksDone   int     `json:"tasksDone"`
	NotRun      int     `json:"notRun"`
	Unknown     int     `json:"unknown"`
	Seconds     float64 `json:"seconds"`
	JobsPerSec  float64 `json:"jobsPerSecond"`
	TasksPerSec float64 `json:"tasksPerSecond"`
	Mean        float64 `json:"meanMillis"`
	P50         float64 `json:"p50Millis"`
	P99         float64 `json:"p99Millis"`
	Max         float64 `json:"maxMillis"`
}

const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Run submits jobs in an open loop and waits for their answers.
func Run(ctx context.Context, cfg Config) (rep Report, err error) {
	if len(cfg.Entries) == 0 || cfg.Rate <= 0 || cfg.Tasks < 1 {
		return rep, errors.New("load needs entries, a rate above 0 and at least one task in a job")
	}
	r := &runner{
		cfg:      cfg,
		hist:     hdrhistogram.New(1, histogramMax, histogramDigits),
		inFlight: make(chan struct{}, cfg.MaxUnderWay),
		rand:     rand.New(rand.NewPCG(uint64(cfg.Seed), 3)),
	}
	start := time.Now()
	r.submitLoop(ctx, start)
	r.jobs.Wait()
	return r.finalReport(time.Since(start)), nil
}

type runner struct {
	cfg      Config
	inFlight chan struct{}
	rand     *rand.Rand // used by submitLoop only
	jobs     sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	hist   *hdrhistogram.Histogram
	report Report
}

// jobPlan holds the request of one job, when and where it is submitted, and
// whether it is resubmitted or cancelled.
type jobPlan struct {
	due                          time.Time
	entry                        int
	req                          entry.SubmitRequest
	resubmit, cancel, idempotent bool
}

func (r *runner) submitLoop(ctx context.Context, start time.Time) {
	total := int(r.cfg.Rate * r.cfg.Duration.Seconds())
	for n := range total {
		p := r.planJob(n)
		p.due = start.Add(time.Duration(float64(n) / r.cfg.Rate * float64(time.Second)))
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
			r.jobs.Go(func() {
				r.runJob(ctx, p)
				<-r.inFlight
			})
		default:
			r.updateReport(func(rep *Report) { rep.Skipped++ })
		}
	}
}

func (r *runner) planJob(n int) jobPlan {
	p := jobPlan{
		entry:      r.rand.IntN(len(r.cfg.Entries)),
		idempotent: r.rand.Float64() < r.cfg.Idempotent,
		resubmit:   r.rand.Float64() < r.cfg.Resubmit,
		cancel:     r.rand.Float64() < r.cfg.Cancel,
	}
	task := entry.TaskRequest{SizeMS: max(0, r.cfg.RunMillis)}
	if r.cfg.RunMillis >= 0 {
		task.Payload = []byte(`{"runMillis":` + strconv.FormatFloat(r.cfg.RunMillis, 'g', -1, 64) + `}`)
	}
	p.req = entry.SubmitRequest{
		Key: r.cfg.Prefix + "-" + strconv.Itoa(n), Team: r.cfg.Team, Service: r.cfg.Service,
		Idempotent: p.idempotent, DeadlineMS: r.cfg.Deadline.Milliseconds(),
	}
	for range r.cfg.Tasks {
		p.req.Tasks = append(p.req.Tasks, task)
	}
	return p
}

// runJob submits one job and waits for its answer. The response time counts from
// the time when the job was due.
func (r *runner) runJob(ctx context.Context, p jobPlan) {
	r.updateReport(func(rep *Report) { rep.Submitted++ })
	var followUps sync.WaitGroup
	var resubmitted job.Answer
	if p.resubmit {
		followUps.Go(func() { resubmitted = r.resubmit(ctx, p) })
	}
	if p.cancel {
		followUps.Go(func() { r.cancel(ctx, p) })
	}
	ans, err := Submit(ctx, r.cfg.Entries[p.entry], &p.req)
	responseTime := time.Since(p.due)
	followUps.Wait()
	r.updateReport(func(rep *Report) {
		if err != nil {
			rep.countError(err)
			return
		}
		rep.countAnswer(&ans)
		_ = r.hist.RecordValue(responseTime.Microseconds())
		if resubmitted.Status != "" && resubmitted.Status != ans.Status {
			rep.Differing++
		}
	})
}

func (rep *Report) countError(err error) {
	if refused, ok := errors.AsType[*RefusedError](err); ok && refused.Started == "nothing" {
		rep.Refused++
		return
	}
	rep.Lost++
}

func (rep *Report) countAnswer(ans *job.Answer) {
	if ans.Status == job.StatusComplete {
		rep.Complete++
	} else {
		rep.Failed++
	}
	rep.TasksDone += ans.Counts.Done
	rep.NotRun += ans.Counts.NotRun
	rep.Unknown += ans.Counts.Unknown
}

// followUpDelay is the time between the submission of a job and its resubmission
// or cancellation.
const followUpDelay = 20 * time.Millisecond

func (r *runner) resubmit(ctx context.Context, p jobPlan) job.Answer {
	time.Sleep(followUpDelay)
	req := p.req
	req.Resubmission = true
	r.updateReport(func(rep *Report) { rep.Resubmitted++ })
	ans, err := Submit(ctx, r.cfg.Entries[(p.entry+1)%len(r.cfg.Entries)], &req)
	if err != nil {
		return job.Answer{}
	}
	return ans
}

func (r *runner) cancel(ctx context.Context, p jobPlan) {
	time.Sleep(followUpDelay)
	if Cancel(ctx, r.cfg.Entries[p.entry], &p.req) == nil {
		r.updateReport(func(rep *Report) { rep.Cancelled++ })
	}
}

func (r *runner) updateReport(f func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.report)
}

func (r *runner) finalReport(elapsed time.Duration) Report {
	rep := r.report
	rep.Seconds = elapsed.Seconds()
	rep.JobsPerSec = float64(rep.Complete) / rep.Seconds
	rep.TasksPerSec = float64(rep.TasksDone) / rep.Seconds
	rep.Mean = r.hist.Mean() / 1000
	rep.P50 = float64(r.hist.ValueAtQuantile(50)) / 1000
	rep.P99 = float64(r.hist.ValueAtQuantile(99)) / 1000
	rep.Max = float64(r.hist.Max()) / 1000
	return rep
}
