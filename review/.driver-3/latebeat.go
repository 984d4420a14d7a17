package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// lateBeat has a heartbeat that says ready arrive after the acknowledgement of one that says
// draining: it was sent as the executor's link was cut, and TCP sends it again seconds after
// the end of the cut. Rule DRAIN.
func lateBeat(s *site, trouble bool) (broken []string, err error) {
	const cut = 3100 * time.Millisecond
	if err := s.start(2, 14, route("/q/", 60, 0, 2), executorSpec{cpu: 8000, mem: 16384}); err != nil {
		return nil, err
	}
	c, w := newClient(s), s.workers[0]
	l, err := newLink(s.rec, fmt.Sprintf("%s100:0", s.prefix), w.control)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.control = l.address()
	w.mu.Unlock()
	stop := make(chan struct{})
	go load(c, stop)
	time.Sleep(4 * time.Second)
	// The cut begins as a heartbeat is sent.
	healed := make(chan time.Time, 1)
	w.setSend(func(body []byte) bool {
		w.setSend(w.post)
		end := time.Now().Add(cut)
		if trouble {
			end = l.partition(cut)
			w.cutOff(end)
			s.rec.add("case", "the link of %s to its agent is cut for %v", w.id, cut)
		}
		healed <- end
		return w.post(body)
	})
	end := <-healed
	time.Sleep(time.Until(end.Add(200 * time.Millisecond)))
	s.rec.add("case", "%s begins to drain", w.id)
	w.drain()
	time.Sleep(time.Until(end.Add(6 * time.Second)))
	close(stop)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drainAcked.IsZero() {
		return nil, fmt.Errorf("the draining of %s was not acknowledged", w.id)
	}
	inTouch := end.Add(contactTime)
	for _, st := range w.starts {
		if after := st.at.Sub(w.drainAcked); after > drainTime && st.at.After(inTouch) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s starts %s %v after its draining was acknowledged", w.id, st.task, after.Round(time.Millisecond)))
		}
	}
	return broken, nil
}

// route returns a route of the configuration.
func route(prefix string, targetMs, priority, attempts int) map[string]any {
	return map[string]any{
		"name": "r-desk", "host": hostName, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 1500, "targetDurationMs": targetMs,
		"priority": priority, "service": serviceName, "maxAttempts": attempts, "stretch": 1.6,
	}
}

// spec encodes what a task does.
func spec(w work) string {
	raw, _ := json.Marshal(w)
	return string(raw)
}

// load submits short jobs, whose callers wait for the end, to all entries in turn.
func load(c *client, stop chan struct{}) {
	entries := c.s.entries()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		go c.submit(entries[i%len(entries)], "/q/", newID(), map[string]any{
			"spec": spec(work{Ms: 60}), "bestEffort": true,
			"steps": []any{map[string]any{"count": 3, "cpu": 1000, "memMb": 64, "estRuntimeMs": 60}},
		}, 1500*time.Millisecond)
	}
}
