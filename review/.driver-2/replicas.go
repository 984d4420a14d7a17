package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Tasks that last, one on each executor, of which one fails.

var replicasConfig = siteConfig{entries: 2, executors: executors(8, 0, 16000), maxAttempts: 3, remoteFactor: 1.5}

// playReplicas runs a job of seven tasks that last, at most one on each of eight executors. With
// trouble, one of them fails, starts again on the eighth executor, and fails there later.
func playReplicas(s *site, trouble bool) (verdict, error) {
	traffic := s.background(200*time.Millisecond, func(i int) {
		s.call(i%2, "POST", "short", s.newID(), jobBody{Spec: "work=60 cpu=500", Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstRuntimeMs: 60}}}, clientDeadline)
	})
	defer traffic()
	const cpu, tasks = 1000, 7
	id, err := s.submit(0, "long", jobBody{Spec: fmt.Sprintf("lasts cpu=%d", cpu), LongRunning: true,
		Steps: []step{{Count: tasks, CPU: cpu, MemMB: 64, EstRuntimeMs: 20000, MaxPerServer: 1}}})
	if err != nil {
		return verdict{}, err
	}
	all := func() bool { return len(s.journal.runningTasks(id)) == tasks }
	if !s.until(10*time.Second, all) {
		return verdict{}, errors.New("the tasks that last are not all at work")
	}
	s.sleep(3 * time.Second)
	task := id + ".0.0.0"
	if trouble {
		for range 2 {
			if !s.until(8*time.Second, all) {
				break // it has not started again after the first failure
			}
			s.sleep(3 * time.Second)
			s.failTask(task)
		}
	}
	s.sleep(10 * time.Second) // six seconds after its last run, and four more
	var missing time.Duration
	const tick = 100 * time.Millisecond
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end) && s.ctx.Err() == nil; s.sleep(tick) {
		free := s.freeOf(id, cpu)
		if s.journal.runningTasks(id)[task] || len(free) < 2 {
			missing = 0
			continue
		}
		if missing += tick; missing > 20*time.Second {
			return verdict{true, fmt.Sprintf("task %s is not at work for 20 s after %d runs, though %s have room for it and run no other task of the step; state %q",
				task, len(s.journal.ofTask(task)), strings.Join(free, " and "), s.stateOf(1, "long", id))}, nil
		}
	}
	return verdict{missing > 3*time.Second, fmt.Sprintf("%d of %d tasks that last are at work, %d runs of %s", len(s.journal.runningTasks(id)), tasks, len(s.journal.ofTask(task)), task)}, nil
}

// failTask has the run of a task that lasts fail, as such tasks may at any time.
func (s *site) failTask(task string) {
	for _, x := range s.executors {
		x.mu.Lock()
		if r, ok := x.running[task]; ok && x.up {
			s.rec.line("%s: %s run %d fails", x.name, task, r.run)
			x.end(task, "failed")
		}
		x.mu.Unlock()
	}
}

// freeOf returns the executors with room for a task that run no task of a job.
func (s *site) freeOf(id string, cpu int) (free []string) {
	for _, x := range s.executors {
		x.mu.Lock()
		busy := false
		for task := range x.running {
			busy = busy || strings.HasPrefix(task, id+".")
		}
		if x.up && !busy && x.cfg.cpu-x.used() >= cpu {
			free = append(free, x.name)
		}
		x.mu.Unlock()
	}
	return free
}

// ofTask returns the runs of a task.
func (j *journal) ofTask(task string) (es []journalEntry) {
	for _, e := range j.of(strings.SplitN(task, ".", 2)[0]) {
		if e.task == task {
			es = append(es, e)
		}
	}
	return es
}
