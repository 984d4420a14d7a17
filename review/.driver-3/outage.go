package main

import (
	"fmt"
	"sort"
	"time"
)

// storeOutage lets the store answer nothing for a while, as tasks run that last and of which
// only a few may be away at a time. Rule AVAIL.
func storeOutage(s *site, trouble bool) (broken []string, err error) {
	const (
		outage  = 4500 * time.Millisecond
		tasks   = 6
		mayMiss = 1
	)
	if err := s.start(3, 3, route("/q/", 60, 0, 2), executorSpec{cpu: 8000, mem: 16384}); err != nil {
		return nil, err
	}
	c := newClient(s)
	id := newID()
	if !c.submit(s.entries()[0], "/q/", id, map[string]any{
		"spec": spec(work{Lasts: true}), "longRunning": true,
		"steps": []any{map[string]any{"count": tasks, "cpu": 2000, "memMb": 64, "estRuntimeMs": 1000, "image": "img", "mayMiss": mayMiss}},
	}, 5*time.Second) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(8 * time.Second)
	if n := atWork(s); n != tasks {
		return nil, fmt.Errorf("%d of %d tasks at work", n, tasks)
	}
	before := time.Now()
	if trouble {
		s.rec.add("case", "the store answers nothing for %v", outage)
		s.silenceStore(outage)
	}
	time.Sleep(outage + 6*time.Second)
	// The tasks that such an order has ended are away until they are at work again.
	type event struct {
		at   time.Time
		task string
		stop bool
	}
	var events []event
	for _, w := range s.workers {
		w.mu.Lock()
		for _, st := range w.stops {
			if st.at.After(before) && st.atWork {
				events = append(events, event{st.at, st.task, true})
			}
		}
		for _, st := range w.starts {
			events = append(events, event{st.at.Add(lastingStartup), st.task, false})
		}
		w.mu.Unlock()
	}
	sort.Slice(events, func(i, k int) bool { return events[i].at.Before(events[k].at) })
	away := make(map[string]bool)
	for _, ev := range events {
		if !ev.stop {
			delete(away, ev.task)
			continue
		}
		if len(away) >= mayMiss {
			broken = append(broken, fmt.Sprintf("AVAIL: %s is stopped at work %v after the begin of the outage while %d of its step are away",
				ev.task, ev.at.Sub(before).Round(time.Millisecond), len(away)))
		}
		away[ev.task] = true
	}
	return broken, nil
}

// atWork returns how many tasks that last are at work.
func atWork(s *site) (n int) {
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.running {
			if r.percent() == 100 {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}
