package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateStart holds up starts on their way to executors, which crash meanwhile and start again under
// their ids. No task may start again after a run of it was done and its end was taken note of. Rule
// TWICE.
func lateStart(s *site, trouble bool) (broken []string, err error) {
	const (
		agents = 13
		rounds = 5
		round  = 16 * time.Second
		lateS  = 5500 * time.Millisecond
		share  = .5
		down   = 2 * time.Second
	)
	if err := s.start(3, agents, route("/q/", 20_000, 0, 3), executorSpec{cpu: 64000, mem: 131072}); err != nil {
		return nil, err
	}
	c := newClient(s)
	entries := s.entries()
	var wg sync.WaitGroup
	for k := range rounds {
		end := time.Now().Add(round)
		if trouble {
			for _, w := range s.workers {
				w.carryOutLate(share, lateS)
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(2500 * time.Millisecond)
				for i := range 4 { // two of thirteen at a time, a share of .154
					var pair sync.WaitGroup
					for _, w := range s.workers[(2*i)%agents : (2*i)%agents+2] {
						pair.Add(1)
						go func() {
							defer pair.Done()
							if err := w.crash(down); err != nil {
								s.rec.add("case", "%s: %v", w.id, err)
							}
						}()
					}
					pair.Wait()
				}
			}()
		}
		for n := 0; time.Now().Before(end.Add(-3 * time.Second)); n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := newID()
				status, _ := c.do(entries[(n+k)%len(entries)], http.MethodPost, "/q/"+id, map[string]any{
					"spec":  spec(work{Ms: 250}),
					"steps": []any{map[string]any{"count": 20, "cpu": 1000, "memMb": 16, "estRuntimeMs": 250}},
				}, 4*time.Second)
				s.rec.add("client", "POST %s: %d", id, status)
			}()
			time.Sleep(17 * time.Millisecond)
		}
		time.Sleep(time.Until(end))
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	if n := countDone(s); n < 1000 {
		return nil, fmt.Errorf("only %d tasks were done", n)
	}
	return startedAgain(s), nil
}
