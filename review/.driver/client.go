package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// step is a step of a job, as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb"`
	EstRuntimeMs  int64  `json:"estRuntimeMs,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	After         []int  `json:"after,omitempty"`
}

// jobBody is a job, as clients send it.
type jobBody struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	LongRunning bool   `json:"longRunning,omitempty"`
	RunCount    int    `json:"runCount,omitempty"`
	FirstRunMs  int64  `json:"firstRunMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
}

// result is the answer to a request. Status is 0 if there was none.
type result struct {
	Status int
	State  string
	At     time.Time
}

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// submit hands a job in, and tells the executors beforehand what its tasks do.
func (s *site) submit(entry, id string, b jobBody, work jobWork, deadline time.Duration) result {
	work.spec = b.Spec
	s.world.mu.Lock()
	s.world.jobs[id] = &work
	s.world.mu.Unlock()
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return s.call(entry, http.MethodPost, id, raw, deadline)
}

func (s *site) state(entry, id string) result {
	return s.call(entry, http.MethodGet, id, nil, 3*time.Second)
}

func (s *site) cancelJob(entry, id string, deadline time.Duration) result {
	return s.call(entry, http.MethodDelete, id, nil, deadline)
}

// call sends a request to an entry and records the answer.
func (s *site) call(entry, method, id string, body []byte, deadline time.Duration) (res result) {
	ctx, cancel := context.WithTimeout(s.ctx, deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.front(entry)+"/jobs/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = queueHost
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	s.rec.printf("client: %s %s to %s", method, id, entry)
	resp, err := httpClient.Do(r)
	if err != nil {
		s.rec.printf("client: %s %s: no answer: %v", method, id, err)
		return result{At: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		s.rec.printf("client: %s %s: answer broken off: %v", method, id, err)
		return result{At: time.Now()}
	}
	res = result{Status: resp.StatusCode, At: time.Now()}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(raw, &state) == nil {
		res.State = state.State
	}
	s.rec.printf("client: %s %s: answered %d %s", method, id, res.Status, res.State)
	return res
}

// handIn submits a job until it is accepted or rejected: after no answer, a 502 or a 504
// it asks the next entry. It reports whether the job was accepted.
func (s *site) handIn(entries []string, id string, b jobBody, work jobWork) bool {
	for i := range 10 {
		switch res := s.submit(entries[i%len(entries)], id, b, work, 5*time.Second); res.Status {
		case http.StatusOK:
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound:
			return false
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}

// askState asks for a job's state at each entry in turn until one answers.
func (s *site) askState(entries []string, id string) result {
	for i := range 3 * len(entries) {
		if res := s.state(entries[i%len(entries)], id); res.Status == http.StatusOK || res.Status == http.StatusGone {
			return res
		}
		time.Sleep(200 * time.Millisecond)
	}
	return result{}
}
