package site

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"

	"masticbay/platform"
	"masticbay/telemetry"
	"masticbay/work"
)

// serveReady answers the balancer.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.leaving.Load() || e.config.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveCaller answers callers.
func (e *Entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.open.Add(1)
	defer e.open.Add(-1)
	cfg := e.config.Load()
	if cfg == nil {
		e.requests.Warn().Str("path", r.URL.Path).Msg("refused: no configuration yet")
		e.check(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
		return
	}
	q, prefix, ok := cfg.Queue(r.Host, r.URL.Path)
	if !ok {
		e.requests.Info().Str("path", r.URL.Path).Uint64("config", cfg.Version()).Msg("refused: no such queue")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.URL.Path == prefix && r.Method == http.MethodGet {
		e.check(platform.WriteWaiting(w, e.waitingJobs(q.Name)))
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

// check logs that a response could not be written.
func (e *Entry) check(err error) {
	if err != nil {
		e.log.Debug().Err(err).Msg("response not written")
	}
}

// errTimeOver is why a job is given up whose caller waits no longer.
const errTimeOver = errors.ConstError("the caller's time is over")

// callerWaits is how long a caller waits that does not say.
const callerWaits = 10 * time.Second

// bodyLimit bounds bodies when the configuration does not.
const bodyLimit = 1 << 20 // bytes

func (e *Entry) servePost(w http.ResponseWriter, r *http.Request, cfg *platform.Config, q work.Queue, id string) {
	begun := e.now()
	limit := cfg.Limits().BodyBytes
	if limit <= 0 {
		limit = bodyLimit
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		e.requests.Info().Err(err).Str("job", id).Msg("request not read")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s, err := platform.DecodeJob(id, q, raw)
	if err != nil {
		e.requests.Info().Err(err).Str("job", id).Msg("request not understood")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.Filling || !s.Job.Stored && (s.Job.Lasts || s.Job.Times > 0) {
		e.requests.Warn().Str("job", id).Bool("fills", s.Filling).Bool("lasts", s.Job.Lasts).Int("times", s.Job.Times).Msg("job rejected: its kind is not supported")
		e.check(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Minute))
		return
	}
	s.Job.Left = platform.CallerWaits(r, callerWaits)
	ctx, release := e.waitFor(r.Context(), s.Job.Left)
	defer release()
	ctx, span := telemetry.Span(ctx, "submit")
	defer span.End()
	span.SetAttributes(attribute.String("job", id))
	out := e.serve(ctx, s.Job, begun)
	took := e.now().Sub(begun)
	e.metrics.answered(out.State, took)
	e.requests.Info().Str("job", id).Str("queue", q.Name).Uint64("config", cfg.Version()).Str("state", string(out.State)).
		Str("why", out.Reason).Dur("tookMs", took).Int("tasks", s.Job.Tasks()).Dur("leftMs", s.Job.Left-took).Msg("answered")
	if r.Context().Err() != nil {
		return // the caller has gone
	}
	e.check(platform.WriteOutcome(w, out))
}

// serve has a job stored, or has it run and waits for its end.
func (e *Entry) serve(ctx context.Context, j work.Job, begun time.Time) work.Outcome {
	if j.Stored {
		return e.submitStored(ctx, j, begun)
	}
	return e.run(ctx, j, begun)
}

// waitFor returns a context that ends when the caller has gone or waits no
// longer, or when this entry has to answer at once.
func (e *Entry) waitFor(ctx context.Context, left time.Duration) (_ context.Context, release func()) {
	ctx, cancel := context.WithTimeoutCause(ctx, left, errTimeOver)
	ctx, end := context.WithCancelCause(ctx)
	forget := context.AfterFunc(e.ending, func() { end(context.Cause(e.ending)) })
	return ctx, func() {
		forget()
		end(nil)
		cancel()
	}
}
