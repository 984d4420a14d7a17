// Package load submits jobs to entries as callers do: single jobs, or an open
// loop at a given rate.
//
// # Model
//
// An open loop submits jobs at a fixed rate, whether or not earlier jobs have been
// answered, so that the response times of a slow system are measured in full.
// They are recorded in an HDR histogram. A run is limited in time and in jobs in
// flight.
//
// # Usage
//
//	rep, err := load.Run(ctx, load.Config{Entries: urls, Rate: 100, Duration: 10 * time.Second})
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"masticbay/entry"
	"masticbay/job"
)

// client keeps enough idle connections for many jobs in flight. The client of
// httpc is not used, since its circuit breaker would withhold load from a failing
// entry.
var client = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: 4096,
	IdleConnTimeout:     time.Minute,
}}

// RefusedError is the error reply of an entry to a submission.
type RefusedError struct {
	Status int
	entry.Problem
}

// Error returns the code and the message of the reply.
func (e *RefusedError) Error() string { return e.Code + ": " + e.Message }

// Submit submits one job and waits for its answer. The error is a
// *RefusedError if the entry replied with an error.
func Submit(ctx context.Context, url string, req *entry.SubmitRequest) (ans job.Answer, err error) {
	defer func() { err = errors.Annotatef(err, "submitting job %s to %s", req.Key, url) }()
	body, err := json.Marshal(req)
	if err != nil {
		return ans, err
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/jobs", bytes.NewReader(body))
	if err != nil {
		return ans, err
	}
	hr.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(hr)
	if err != nil {
		return ans, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return ans, err
	}
	if resp.StatusCode != http.StatusOK {
		refused := &RefusedError{Status: resp.StatusCode}
		_ = json.Unmarshal(raw, &refused.Problem)
		return ans, refused
	}
	return ans, json.Unmarshal(raw, &ans)
}

// Cancel asks an entry to cancel a job.
func Cancel(ctx context.Context, url string, req *entry.SubmitRequest) (err error) {
	defer func() { err = errors.Annotatef(err, "cancelling job %s at %s", req.Key, url) }()
	hr, err := http.NewRequestWithContext(ctx, http.MethodDelete, url+"/v1/jobs/"+req.Team+"/"+req.Key, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(hr)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// Status returns the status of an entry.
func Status(ctx context.Context, url string) (st entry.StatusReply, err error) {
	defer func() { err = errors.Annotatef(err, "asking %s for its status", url) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/status", nil)
	if err != nil {
		return st, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return st, err
	}
	defer func() { _ = resp.Body.Close() }()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
