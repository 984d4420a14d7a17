package site

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"

	"masticbay/intake"
	"masticbay/platform"
	"masticbay/roster"
	"masticbay/telemetry"
	"masticbay/work"
)

// serveReady answers the probes of the load balancer.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.config.Load() == nil || e.home.status.Load().passedOver {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCaller routes the requests of callers.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.openRequests.Add(1)
	defer e.openRequests.Add(-1)
	cfg := e.awaitConfig(r.Context())
	if cfg == nil {
		e.requestLog.Warn().Str("path", r.URL.Path).Msg("refused: no configuration yet")
		e.logWriteError(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
		return
	}
	q, prefix, ok := cfg.Queue(r.Host, r.URL.Path)
	if !ok {
		e.requestLog.Info().Str("path", r.URL.Path).Uint64("config", cfg.Version()).Msg("refused: no such queue")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.URL.Path == prefix && r.Method == http.MethodGet {
		e.serveWaiting(w, q.Name)
		return
	}
	id, ok := platform.JobID(r.URL.Path, prefix)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch r.Method {
	case http.MethodPost:
		e.servePost(w, r, cfg, q, id)
	case http.MethodGet:
		e.serveState(w, r, id)
	case http.MethodDelete:
		e.serveCancel(w, r, id)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// awaitConfig returns the configuration in force. An entry that has just started waits
// for it up to configWait; the result is nil if there is none then.
func (e *Entry) awaitConfig(ctx context.Context) *configInForce {
	for e.config.Load() == nil && ctx.Err() == nil && e.now().Sub(e.startedAt) < configWait {
		sleep(ctx, homePollInterval)
	}
	return e.config.Load()
}

// logWriteError logs that a response could not be written.
func (e *Entry) logWriteError(err error) {
	if err != nil {
		e.log.Debug().Err(err).Msg("response not written")
	}
}

// errCallerTimeout is the cause when a job is withdrawn because its caller's time is
// over.
const errCallerTimeout = errors.ConstError("the caller's time is over")

// defaultCallerWait is how long a caller waits if its request does not say.
const defaultCallerWait = 10 * time.Second

// defaultBodyLimit bounds request bodies if the configuration does not.
const defaultBodyLimit = 1 << 20 // bytes

func (e *Entry) servePost(w http.ResponseWriter, r *http.Request, cfg *configInForce, q work.Queue, id string) {
	receivedAt := e.now()
	limit := cfg.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	s, ok := e.readJob(w, r, q, id, limit)
	if !ok {
		return
	}
	if s.Backfill || !s.Job.Stored && (s.Job.Lasts || s.Job.Times > 0) {
		e.requestLog.Warn().Str("job", id).Bool("fills", s.Backfill).Bool("lasts", s.Job.Lasts).Int("times", s.Job.Times).Msg("job rejected: its kind is not supported")
		e.logWriteError(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Minute))
		return
	}
	s.Job.Left = platform.CallerTimeout(r, defaultCallerWait)
	ctx, release := e.callerContext(r.Context(), s.Job.Left)
	defer release()
	ctx, span := telemetry.StartSpan(ctx, "submit")
	defer span.End()
	span.SetAttributes(attribute.String("job", id))
	out, home := e.submit(ctx, s.Job, receivedAt)
	took := e.now().Sub(receivedAt)
	e.metrics.countAnswer(out.State, took)
	e.requestLog.Info().Str("job", id).Str("queue", q.Name).Uint64("config", cfg.Version()).Str("state", string(out.State)).
		Str("why", out.Reason).Dur("tookMs", took).Int("tasks", s.Job.Tasks()).Dur("leftMs", s.Job.Left-took).Str("home", home.Name).Str("homeLife", home.Life).Msg("answered")
	if r.Context().Err() != nil {
		return // the caller has gone
	}
	e.logWriteError(platform.WriteOutcome(w, out))
}

// readJob reads and decodes a job within the memory that is granted to the request, or
// answers why it can not.
func (e *Entry) readJob(w http.ResponseWriter, r *http.Request, q work.Queue, id string, limit int64) (s platform.Submission, ok bool) {
	raw, err := intake.ReadBody(w, r, limit)
	if err == nil {
		err = intake.Reserve(w, r, intake.JSONCost(raw))
	}
	switch {
	case errors.Is(err, intake.ErrRefused):
		e.logWriteError(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
		return s, false
	case err != nil:
		e.requestLog.Info().Err(err).Str("job", id).Msg("request not read")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return s, false
	}
	if s, err = platform.DecodeJob(id, q, raw); err != nil {
		e.requestLog.Info().Err(err).Str("job", id).Msg("cannot decode the request")
		w.WriteHeader(http.StatusBadRequest)
		return s, false
	}
	if intake.Reserve(w, r, int64(s.Job.Tasks())*intake.TaskCost) != nil {
		e.logWriteError(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
		return s, false
	}
	return s, true
}

// requestLimits returns the bounds on requests of the configuration in force.
func (e *Entry) requestLimits() (l intake.Limits) {
	cfg := e.config.Load()
	if cfg == nil {
		return l
	}
	c := cfg.Limits()
	return intake.Limits{HeaderBytes: c.HeaderBytes, BodyBytes: c.BodyBytes, HeaderTimeout: c.HeaderTimeout, IdleTimeout: c.IdleTimeout}
}

// submit stores a job, or runs it and waits for its end. It also returns the home that ran it.
func (e *Entry) submit(ctx context.Context, j work.Job, receivedAt time.Time) (out work.Outcome, home roster.Member) {
	if j.Stored {
		return e.submitStored(ctx, j, receivedAt), home
	}
	return e.run(ctx, j, receivedAt)
}

// callerContext returns a context that ends when the caller is gone, after limit, or
// when this entry must answer at once.
func (e *Entry) callerContext(ctx context.Context, limit time.Duration) (_ context.Context, release func()) {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errCallerTimeout)
	ctx, cancelCause := context.WithCancelCause(ctx)
	stopAnswerAll := context.AfterFunc(e.ending, func() { cancelCause(context.Cause(e.ending)) })
	return ctx, func() {
		stopAnswerAll()
		cancelCause(nil)
		cancel()
	}
}
