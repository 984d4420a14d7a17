package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// An executor that is lost for good while starts are on their way to it.

var vanishedConfig = siteConfig{entries: 2, executors: executors(8, 0, 16000), maxAttempts: 3, remoteFactor: 1.5}

// vanish ends the executor for good without a word, as one that has lost power: what runs there
// ends, calls get no answer and are not carried out, and connections are not closed.
func (x *executor) vanish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.gone = true
	x.cancel()
	for task, r := range x.running {
		r.timer.Stop()
		x.journal.end(r.entry, "crashed")
		delete(x.running, task)
	}
	x.rec.line("%s: executor %s is lost for good", x.name, x.cfg.id)
}

// playVanished loses one of eight executors for good while short stored jobs come, and checks
// that all accepted jobs end.
func playVanished(s *site, trouble bool) (verdict, error) {
	var mu sync.Mutex
	var ids []string
	stop := s.background(12*time.Millisecond, func(i int) {
		id := s.newID()
		r := s.call(i%2, "POST", "short", id, jobBody{Spec: "work=60 cpu=500", Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstRuntimeMs: 60}}}, clientDeadline)
		if r.status/100 == 2 {
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, id)
		}
	})
	s.sleep(4 * time.Second)
	if trouble {
		s.executors[3].vanish()
	}
	s.sleep(4 * time.Second)
	stop()
	s.sleep(finishTime)
	open := make(map[string]string)
	for i, id := range ids {
		if state := s.stateOf(i%2, "short", id); state != "completed" {
			open[id] = state
		}
	}
	// Nothing else runs by now, so there is capacity for each of them many times over.
	since := time.Now()
	s.sleep(3500 * time.Millisecond)
	var idle []string
	for id, state := range open {
		if !s.journal.ranSince(id, since) && s.stateOf(0, "short", id) != "completed" {
			idle = append(idle, fmt.Sprintf("%s (%d runs, %q)", id, len(s.journal.of(id)), state))
		}
	}
	if len(idle) > 0 {
		return verdict{true, fmt.Sprintf("%d of %d accepted jobs have not ended and have nothing running for 3 s, %v after the end of the traffic, %.0f%% of the service in use: %s",
			len(idle), len(ids), finishTime, 100*s.usedShare(), strings.Join(idle[:min(len(idle), 8)], ", "))}, nil
	}
	return verdict{false, fmt.Sprintf("all %d accepted jobs are completed", len(ids))}, nil
}

// ranSince reports whether a task of a job has run at a time or later.
func (j *journal) ranSince(job string, t time.Time) bool {
	for _, e := range j.of(job) {
		if e.end.IsZero() || !e.end.Before(t) {
			return true
		}
	}
	return false
}
