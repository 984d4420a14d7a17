package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// pendingAfterFailover kills the entry that wrote to the store last, and asks the others how
// many jobs of a queue have not begun. Rule MIXED.
func pendingAfterFailover(s *site, trouble bool) (broken []string, err error) {
	const (
		jobs  = 40
		runMs = 2500
	)
	if err := s.start(3, 3, route("/q/", 60_000, 0, 2), executorSpec{cpu: 4000, mem: 16384}); err != nil {
		return nil, err
	}
	c := newClient(s)
	var mu sync.Mutex
	accepted := make(map[string]time.Time)
	entries := s.entries()
	for i := range jobs {
		id := newID()
		if c.submit(entries[i%3], "/q/", id, map[string]any{
			"spec": spec(work{Ms: runMs}), "steps": []any{map[string]any{"count": 1, "cpu": 4000, "memMb": 64, "estRuntimeMs": runMs}},
		}, 5*time.Second) {
			mu.Lock()
			accepted[id] = time.Now()
			mu.Unlock()
		}
	}
	if len(accepted) < jobs/2 {
		return nil, fmt.Errorf("%d of %d jobs accepted", len(accepted), jobs)
	}
	time.Sleep(7 * time.Second)
	home := s.node(s.writer())
	if home == nil || home.role != "entry" {
		return nil, fmt.Errorf("no entry has written to the store")
	}
	// notBegun returns how many jobs were accepted long ago and have not begun.
	notBegun := func(asked time.Time) (n int) {
		begun := make(map[string]bool)
		for _, w := range s.workers {
			w.mu.Lock()
			for _, st := range w.starts {
				begun[st.task[:16]] = true
			}
			w.mu.Unlock()
		}
		for id, at := range accepted {
			if !begun[id] && asked.Sub(at) > visibleTime+2*time.Second {
				n++
			}
		}
		return n
	}
	s.rec.add("case", "%s wrote last; %d jobs have not begun", home.name, notBegun(time.Now()))
	if trouble {
		home.signal(syscall.SIGKILL)
	}
	end := time.Now().Add(6 * time.Second)
	var wg sync.WaitGroup
	for _, n := range entries {
		if n == home {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				asked := time.Now()
				count, ok := c.pending(n, "/q/")
				if left := notBegun(asked); ok && 2*count < left {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("MIXED: %s gives %d as pending, %d accepted jobs have not begun", n.name, count, left))
					mu.Unlock()
					s.rec.add("client", "GET /q/ at %s: pending %d, and %d have not begun", n.name, count, left)
				}
				time.Sleep(25 * time.Millisecond)
			}
		}()
	}
	if trouble {
		time.Sleep(time.Second)
		if err := home.start(); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	return broken, nil
}
