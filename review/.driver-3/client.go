package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// client sends requests of callers to the entries.
type client struct {
	s    *site
	http *http.Client
}

func newClient(s *site) *client {
	return &client{s: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// newID returns the ID of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends a request and returns the status, 0 if there was no response, and the body.
func (c *client) do(n *node, method, path string, body any, limit time.Duration) (status int, reply []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var r io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		r = strings.NewReader(string(raw))
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, frontPort, path), r)
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	reply, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, reply
}

// submit hands a job in and reports whether it was accepted.
func (c *client) submit(n *node, prefix, id string, job map[string]any, limit time.Duration) bool {
	status, _ := c.do(n, http.MethodPost, prefix+id, job, limit)
	c.s.rec.add("client", "POST %s at %s: %d", id, n.name, status)
	return status >= 200 && status < 300
}

// pending returns the number of jobs of a queue that have not begun, as an entry gives it.
func (c *client) pending(n *node, prefix string) (count int, ok bool) {
	status, raw := c.do(n, http.MethodGet, prefix, nil, time.Second)
	var b struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(raw, &b) != nil || b.Pending == nil {
		c.s.rec.add("client", "GET %s at %s: %d", prefix, n.name, status)
		return 0, false
	}
	return *b.Pending, true
}
