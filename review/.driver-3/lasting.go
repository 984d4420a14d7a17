package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// lastingOnLost loses an executor for good while jobs that last are handed in. Their tasks have to be
// at work elsewhere soon. Rule LOST.
func lastingOnLost(s *site, trouble bool) (broken []string, err error) {
	const (
		agents   = 8
		jobs     = 240
		interval = 15 * time.Millisecond // between jobs
		disrupt  = 4500 * time.Millisecond
		calm     = 4 * time.Second // before the time that counts
		idle     = 3 * time.Second // for which a task must not wait
		lasting  = 6 * time.Second // after the last run of a task that lasts
	)
	if err := s.start(3, agents, route("/q/", 20_000, 0, 3), executorSpec{cpu: 64000, mem: 131072}); err != nil {
		return nil, err
	}
	c := newClient(s)
	entries := s.entries()
	var mu sync.Mutex
	accepted := make(map[string]time.Time)
	var wg sync.WaitGroup
	lostAt := time.Now().Add(jobs / 2 * interval)
	lost := s.workers[0]
	for i := range jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := newID()
			if c.submit(entries[i%len(entries)], "/q/", id, map[string]any{
				"spec": spec(work{Lasts: true}), "longRunning": true,
				"steps": []any{map[string]any{"count": 1, "cpu": 500, "memMb": 64, "estRuntimeMs": 1000}},
			}, 5*time.Second) {
				mu.Lock()
				accepted[id] = time.Now()
				mu.Unlock()
			}
		}()
		if trouble && i == jobs/2 {
			lostAt = time.Now()
			lost.lose()
		}
		time.Sleep(interval)
	}
	wg.Wait()
	if len(accepted) < jobs/2 {
		return nil, fmt.Errorf("%d of %d jobs accepted", len(accepted), jobs)
	}
	from := lostAt.Add(disrupt + calm)
	time.Sleep(time.Until(from.Add(idle)))
	// A task is at fault if it has had no run since 6 s before that time, and none in it.
	last := make(map[string]time.Time) // by job: end of its last run
	for _, w := range s.workers {
		w.mu.Lock()
		for _, e := range w.ends {
			if id, _, _ := strings.Cut(e.task, "."); e.at.After(last[id]) {
				last[id] = e.at
			}
		}
		for task := range w.running {
			id, _, _ := strings.Cut(task, ".")
			last[id] = time.Now()
		}
		w.mu.Unlock()
	}
	for id, at := range accepted {
		since := at
		if last[id].After(since) {
			since = last[id]
		}
		if from.Sub(since) > lasting {
			broken = append(broken, fmt.Sprintf("LOST: the task of %s has had no run for %v, and %v before that there was the last disruption", id, time.Since(since).Round(time.Millisecond), (calm+idle).Round(time.Millisecond)))
		}
	}
	// What becomes of them, for the record.
	time.Sleep(8 * time.Second)
	s.rec.add("case", "%d tasks are at work, %d jobs were accepted", atWork(s), len(accepted))
	return broken, nil
}
