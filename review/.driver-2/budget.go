package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"masticbay/platform/standin"
)

// Tasks that always fail, while the entry that places them is killed.

var budgetConfig = siteConfig{entries: 3, executors: executors(8, 0, 16000), maxAttempts: 2, remoteFactor: 1.5}

// tenureKey is the key that the entry which places stored jobs writes under a condition.
const tenureKey = "masticbay/tenure"

// storeWriter returns the entry that last wrote to the store under a condition.
func (s *site) storeWriter() (name string, err error) {
	it, err := s.memory.Get(context.Background(), tenureKey)
	if err != nil {
		return "", err
	}
	var v struct {
		Life string `json:"life"`
	}
	if err := json.Unmarshal(it.Value, &v); err != nil {
		return "", err
	}
	for i := range s.cfg.entries {
		name := fmt.Sprintf("entry-%d", i+1)
		raw, err := os.ReadFile(s.logPath(name))
		if err != nil {
			return "", err
		}
		for line := range strings.SplitSeq(string(raw), "\n") {
			if strings.Contains(line, `"life":"`+v.Life+`"`) && strings.Contains(line, `"entry started"`) {
				return name, nil
			}
		}
	}
	return "", errors.New("the entry that holds the tenure is not known")
}

const (
	budgetRounds  = 6
	goodInterval  = 12 * time.Millisecond // 250 jobs in the 3 s of a round
	hopelessJobs  = 12                    // 4.8% of them; `poison` takes 5.87% on the site's standard days
	budgetRestart = 3 * time.Second       // until a killed entry is started again
)

// playBudget plays rounds of twelve hopeless jobs among good ones. With trouble, it kills the
// entry that places them while their second attempts start.
func playBudget(s *site, trouble bool) (verdict, error) {
	s.store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
	good := func() (stop func()) {
		return s.background(goodInterval, func(i int) {
			s.call(i%s.cfg.entries, "POST", "short", s.newID(), jobBody{Spec: "work=60 cpu=200", Steps: []step{{Count: 1, CPU: 200, MemMB: 64, EstRuntimeMs: 60}}}, clientDeadline)
		})
	}
	var hopeless []string
	for round := range budgetRounds {
		stop := good()
		s.sleep(1200 * time.Millisecond)
		writer, err := s.storeWriter()
		if err != nil {
			stop()
			return verdict{}, err
		}
		ids := s.submitHopeless(writer)
		hopeless = append(hopeless, ids...)
		if trouble && s.awaitSecondStarts(ids, len(ids)/2) {
			s.rec.line("round %d: %d second attempts have started", round+1, s.secondStarts(ids))
			s.kill(writer)
		}
		s.sleep(1500 * time.Millisecond)
		stop()
		if trouble {
			s.sleep(budgetRestart - 1500*time.Millisecond)
			if err := s.launch(s.process(writer)); err != nil {
				return verdict{}, err
			}
		}
		s.sleep(4 * time.Second)
		if broken := s.overBudget(hopeless); len(broken) > 0 {
			return verdict{true, fmt.Sprintf("round %d: %s", round+1, strings.Join(broken, "; "))}, nil
		}
	}
	return verdict{false, fmt.Sprintf("no task of %d hopeless jobs was started after %d failed runs", len(hopeless), s.cfg.maxAttempts)}, nil
}

// submitHopeless submits the hopeless jobs of a round at the same time, not at the named entry.
func (s *site) submitHopeless(except string) (ids []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range hopelessJobs {
		entry := i % s.cfg.entries
		if fmt.Sprintf("entry-%d", entry+1) == except {
			entry = (entry + 1) % s.cfg.entries
		}
		calls.Go(func() {
			id := s.newID()
			takes := 150 + i // their ends are spread over some milliseconds
			r := s.call(entry, "POST", "short", id, jobBody{Spec: fmt.Sprintf("work=%d cpu=200 fails", takes), Steps: []step{{Count: 1, CPU: 200, MemMB: 64, EstRuntimeMs: takes}}}, clientDeadline)
			if r.status/100 == 2 {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		})
	}
	calls.Wait()
	return ids
}

// awaitSecondStarts waits until n of the jobs have started twice.
func (s *site) awaitSecondStarts(ids []string, n int) bool {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && s.ctx.Err() == nil; time.Sleep(500 * time.Microsecond) {
		if s.secondStarts(ids) >= n {
			return true
		}
	}
	return false
}

// secondStarts returns how many of the jobs have started twice.
func (s *site) secondStarts(ids []string) (n int) {
	for _, id := range ids {
		if len(s.journal.of(id)) >= 2 {
			n++
		}
	}
	return n
}

// overBudget describes the starts after maxAttempts runs of the task have ended as failed, if
// these ends were taken note of.
func (s *site) overBudget(ids []string) (broken []string) {
	for _, id := range ids {
		runs := s.journal.of(id)
		sort.SliceStable(runs, func(a, b int) bool { return runs[a].start.Before(runs[b].start) })
		var failed []string
		for _, e := range runs {
			if len(failed) >= s.cfg.maxAttempts {
				broken = append(broken, fmt.Sprintf("%s run %d starts on %s after runs %s have failed", e.task, e.run, e.machine, strings.Join(failed, ", ")))
			}
			if e.how == "failed" && e.seen {
				failed = append(failed, fmt.Sprint(e.run))
			}
		}
	}
	return broken
}
