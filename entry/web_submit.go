package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"masticbay/job"
	"masticbay/web"
)

// SubmitRequest is the body of POST /v1/jobs.
type SubmitRequest struct {
	Key          string        `json:"key"`
	Team         string        `json:"team"`
	Service      string        `json:"service"`
	Idempotent   bool          `json:"idempotent"`
	Resubmission bool          `json:"resubmission"`
	DeadlineMS   int64         `json:"deadlineMillis"` // 0 for the longest allowed
	Tasks        []TaskRequest `json:"tasks"`
	NoWait       bool          `json:"noWait"` // reply as soon as the job is accepted
}

// TaskRequest is one task of a SubmitRequest.
type TaskRequest struct {
	Payload json.RawMessage `json:"payload"`
	SizeMS  float64         `json:"sizeMillis"` // expected run time
}

// Accepted is the reply to a submission with NoWait.
type Accepted struct {
	Key    job.Key    `json:"key"`
	Status job.Status `json:"status"`
}

func (e *Entry) handleSubmit(w http.ResponseWriter, r *http.Request) {
	spec, noWait, err := e.readSubmission(r)
	if err != nil {
		fail(w, err)
		return
	}
	if noWait {
		e.submitLater(w, r, spec)
		return
	}
	ans, err := e.Submit(r.Context(), spec)
	if err != nil {
		fail(w, err)
		return
	}
	web.Reply(w, http.StatusOK, ans)
}

// submitLater replies as soon as the job counts as accepted: when it was neither
// refused nor answered within acceptTimeout.
func (e *Entry) submitLater(w http.ResponseWriter, r *http.Request, spec job.Spec) {
	type result struct {
		ans job.Answer
		err error
	}
	done := make(chan result, 1)
	go func() {
		ans, err := e.Submit(context.WithoutCancel(r.Context()), spec)
		done <- result{ans, err}
	}()
	select {
	case res := <-done:
		if res.err != nil {
			fail(w, res.err)
			return
		}
		web.Reply(w, http.StatusOK, res.ans)
	case <-time.After(acceptTimeout):
		web.Reply(w, http.StatusAccepted, Accepted{Key: spec.Key, Status: job.StatusRunning})
	}
}

// acceptTimeout is longer than a refusal takes, even through a forward.
const acceptTimeout = 100 * time.Millisecond

// readSubmission reads and validates a submission. All its errors are refusals.
func (e *Entry) readSubmission(r *http.Request) (spec job.Spec, noWait bool, err error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
			return spec, false, &job.RefusedError{Code: job.TooLarge, Message: "the body is too large"}
		}
		return spec, false, &job.RefusedError{Code: job.Invalid, Message: "reading the body: " + err.Error()}
	}
	var req SubmitRequest
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return spec, false, &job.RefusedError{Code: job.Invalid, Message: "malformed body: " + err.Error()}
	}
	spec = req.spec(e.cfg.Limits.Deadline.D())
	limits := job.Limits{Tasks: e.cfg.Limits.Tasks, Payload: e.cfg.Limits.Payload, Deadline: e.cfg.Limits.Deadline.D()}
	return spec, req.NoWait, spec.Validate(limits)
}

func (req *SubmitRequest) spec(maxDeadline time.Duration) job.Spec {
	spec := job.Spec{
		Key:          job.MakeKey(req.Team, req.Key),
		Team:         req.Team,
		Service:      req.Service,
		Idempotent:   req.Idempotent,
		Resubmission: req.Resubmission,
		Deadline:     time.Duration(req.DeadlineMS) * time.Millisecond,
		Tasks:        make([]job.Task, len(req.Tasks)),
	}
	if req.DeadlineMS == 0 {
		spec.Deadline = maxDeadline
	}
	for i, t := range req.Tasks {
		spec.Tasks[i] = job.Task{Payload: t.Payload, Size: time.Duration(t.SizeMS * float64(time.Millisecond))}
	}
	return spec
}
