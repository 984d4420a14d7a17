package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The disruption of playInstance.
const (
	lateTime      = 5500 * time.Millisecond
	crashTime     = 2 * time.Second
	instanceRound = 17 * time.Second
)

// playInstance runs stored jobs while some starts are carried out 2 to 12 s late, and
// executors crash and come back one after the other. No start of a task is carried out
// after it has ended as done and that was taken note of.
func playInstance(s *site, trouble bool) (violations []string, err error) {
	if err := s.startAll(len(entries), 8, 64000, 131072, noLabels); err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	for round := range 5 {
		end := time.Now().Add(instanceRound)
		if trouble {
			clients.Go(func() { s.troubleInstance() })
		}
		for n := 0; time.Now().Before(end.Add(-3 * time.Second)); n++ {
			i := round<<16 + n
			clients.Go(func() {
				b := jobBody{Spec: fmt.Sprintf("job %d", i), Steps: []step{{Count: 20, CPU: 1000, MemMB: 16, EstRuntimeMs: 250}}}
				s.handIn(rotated(i), jobID(i), b, jobWork{runTime: 250 * time.Millisecond, cpu: 1000, mem: 16})
			})
			time.Sleep(17 * time.Millisecond)
		}
		time.Sleep(time.Until(end))
	}
	clients.Wait()
	time.Sleep(5 * time.Second)
	return s.repeated(), nil
}

func (s *site) troubleInstance() {
	end := time.Now().Add(lateTime)
	for _, w := range s.workers {
		w.setLate(func() time.Duration {
			if time.Now().After(end) || rand.IntN(2) == 0 {
				return 0
			}
			return 2*time.Second + time.Duration(rand.IntN(10000))*time.Millisecond
		})
	}
	time.Sleep(3 * time.Second)
	for i := range 3 {
		s.workers[fmt.Sprintf("side-%d", i)].crash(crashTime)
	}
}

func (w *worker) setLate(late func() time.Duration) {
	w.wd.mu.Lock()
	defer w.wd.mu.Unlock()
	w.late = late
}
