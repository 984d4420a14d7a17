package entry

import (
	"net/http"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"masticbay/job"
	"masticbay/table"
	"masticbay/web"
)

// newWeb returns the HTTP server, or nil without an HTTP address.
func (e *Entry) newWeb() (*web.Server, error) {
	if e.cfg.HTTP == "" {
		return nil, nil
	}
	cfg := web.Config{
		Name:     "entry",
		Address:  e.cfg.HTTP,
		MaxBytes: int64(e.cfg.Limits.Body),
		Trace:    e.cfg.Common.Traces != "",
	}
	return web.NewServer(cfg, []rest.Route{
		{Method: http.MethodPost, Path: "/v1/jobs", Handler: e.handleSubmit},
		{Method: http.MethodGet, Path: "/v1/jobs/:team/:key", Handler: e.handleLookup},
		{Method: http.MethodDelete, Path: "/v1/jobs/:team/:key", Handler: e.handleCancel},
		{Method: http.MethodGet, Path: "/v1/table", Handler: e.handleTableList},
		{Method: http.MethodGet, Path: "/v1/table/:kind/:name", Handler: e.handleTableGet},
		{Method: http.MethodPut, Path: "/v1/table/:kind/:name", Handler: e.handleTableSet},
		{Method: http.MethodGet, Path: "/v1/history/:kind/:name", Handler: e.handleTableHistory},
		{Method: http.MethodGet, Path: "/v1/force", Handler: e.handleForce},
		{Method: http.MethodGet, Path: "/v1/status", Handler: e.handleStatus},
		{Method: http.MethodPost, Path: "/v1/entries/:id/end", Handler: e.handleEnd},
		{Method: http.MethodGet, Path: "/v1/health", Handler: e.handleHealth},
		{Method: http.MethodGet, Path: "/metrics", Handler: e.metrics.Handler()},
	})
}

// Problem is the body of every reply that reports an error.
type Problem struct {
	Code       string     `json:"code"`
	Message    string     `json:"message"`
	Started    string     `json:"started"` // startedNothing or startedUnknown
	RetryAfter float64    `json:"retryAfterSeconds,omitempty"`
	Current    *table.Row `json:"current,omitempty"` // the row, after a conflict
}

// Values of Problem.Started: what is known about the tasks of the request.
const (
	startedNothing = "nothing"
	startedUnknown = "unknown"
)

var refusalStatus = map[job.Code]int{
	job.Invalid:        http.StatusBadRequest,
	job.UnknownService: http.StatusUnprocessableEntity,
	job.TooLarge:       http.StatusRequestEntityTooLarge,
	job.KeyConflict:    http.StatusConflict,
	job.Overloaded:     http.StatusTooManyRequests,
	job.Stopping:       http.StatusServiceUnavailable,
	job.NotFound:       http.StatusNotFound,
	job.Unready:        http.StatusServiceUnavailable,
	job.Stale:          http.StatusRequestTimeout,
}

// fail writes err as a Problem.
func fail(w http.ResponseWriter, err error) {
	if refused, ok := errors.AsType[*job.RefusedError](err); ok {
		web.Reply(w, refusalStatus[refused.Code], Problem{
			Code: string(refused.Code), Message: refused.Message,
			Started: startedNothing, RetryAfter: refused.RetryAfter.Seconds(),
		})
		return
	}
	web.Reply(w, http.StatusInternalServerError, Problem{Code: "unknown", Message: err.Error(), Started: startedUnknown})
}

// failWith writes a refusal with a code as a Problem.
func failWith(w http.ResponseWriter, code job.Code, message string) {
	fail(w, &job.RefusedError{Code: code, Message: message})
}

func pathKey(r *http.Request) job.Key {
	vars := pathvar.Vars(r)
	return job.MakeKey(vars["team"], vars["key"])
}
