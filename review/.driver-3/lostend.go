package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lostEnd kills the entry that wrote to the store last, several times, while stored jobs run. No
// task may start again after a run of it was done and its end was taken note of. Rule TWICE.
func lostEnd(s *site, trouble bool) (broken []string, err error) {
	const (
		agents  = 11
		clients = 12
		rounds  = 22
		down    = time.Second
		pause   = 3 * time.Second
	)
	if err := s.start(4, agents, route("/q/", 120_000, 0, 3), executorSpec{cpu: 64000, mem: 131072}); err != nil {
		return nil, err
	}
	c := newClient(s)
	wait := submitUntil(c, clients, time.Now().Add(rounds*(down+pause)))
	time.Sleep(pause)
	for range rounds {
		if n := s.node(s.writer()); trouble && n != nil && n.role == "entry" {
			n.signal(syscall.SIGKILL)
			<-n.exited
			time.Sleep(down)
			if err := n.start(); err != nil {
				return nil, err
			}
		} else {
			time.Sleep(down)
		}
		time.Sleep(pause)
	}
	wait()
	if n := countDone(s); n < 1000 {
		return nil, fmt.Errorf("only %d tasks were done", n)
	}
	return startedAgain(s), nil
}

// countDone returns how many runs were done.
func countDone(s *site) (n int) {
	for _, w := range s.workers {
		w.mu.Lock()
		for _, e := range w.ends {
			if e.how == "done" {
				n++
			}
		}
		w.mu.Unlock()
	}
	return n
}

// submitUntil has clients hand in stored jobs until end. The result waits for them.
func submitUntil(c *client, clients int, end time.Time) (wait func()) {
	var wg sync.WaitGroup
	entries := c.s.entries()
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := i; time.Now().Before(end); n++ {
				id := newID()
				body := map[string]any{
					"spec":  spec(work{Ms: 700 + rand.IntN(800)}),
					"steps": []any{map[string]any{"count": 6 + rand.IntN(5), "cpu": 1000, "memMb": 64, "estRuntimeMs": 1000}},
				}
				for try := range 8 {
					status, _ := c.do(entries[(n+try)%len(entries)], http.MethodPost, "/q/"+id, body, 4*time.Second)
					c.s.rec.add("client", "POST %s try %d: %d", id, try, status)
					if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
						break
					}
					time.Sleep(1300 * time.Millisecond) // retransmitMs
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	return wg.Wait
}

// startedAgain returns the starts of tasks after a run of theirs was done and its end was taken note of.
func startedAgain(s *site) (broken []string) {
	type noted struct {
		endRecord
		worker string
	}
	ends := make(map[string][]noted) // by task
	for _, w := range s.workers {
		w.mu.Lock()
		for _, e := range w.ends {
			if e.how == "done" && !e.acked.IsZero() {
				ends[e.task] = append(ends[e.task], noted{e, w.id})
			}
		}
		w.mu.Unlock()
	}
	for _, w := range s.workers {
		w.mu.Lock()
		for _, st := range w.starts {
			for _, e := range ends[st.task] {
				if st.at.After(e.at) {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts at %s, %v after run %d was done at %s, whose end was taken note of after %v",
						st.task, st.run, w.id, st.at.Sub(e.at).Round(time.Millisecond), e.run, e.worker, e.acked.Sub(e.at).Round(time.Millisecond)))
				}
			}
		}
		w.mu.Unlock()
	}
	return broken
}
