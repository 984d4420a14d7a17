package failure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"masticbay/job"
)

// workload is callers who submit jobs. Two callers share each key, as a caller and a
// second one that takes over for it would.
type workload struct {
	prefix   string
	callers  int
	jobs     int // for each caller
	tasks    int
	pause    time.Duration // after each answer
	interval time.Duration // if set, from submission to submission, whatever is answered
	until    time.Time     // if set, nothing new is submitted from then on
	entries  []int         // entries that are asked; all if nil

	idempotent   bool
	resubmission bool // the keys were submitted before
}

// The times of a caller: after patience it asks the next entry, and it gives up
// when the key may no longer be resubmitted.
const (
	callTimeout   = 10 * time.Second
	retryInterval = time.Second
)

// runWorkload returns when all jobs are answered or given up. It returns the number of
// submissions that ended in each way.
func (s *site) runWorkload(c *workload) (n tally) {
	var wg sync.WaitGroup
	var mu sync.Mutex // guards n
	one := func(caller, k int) {
		ans, answered := s.submit(c, caller, k)
		mu.Lock()
		defer mu.Unlock()
		n.add(&ans, answered)
	}
	for i := range c.callers {
		wg.Go(func() {
			for k := range c.jobs {
				if !c.until.IsZero() && time.Now().After(c.until) {
					return
				}
				if c.interval > 0 {
					wg.Go(func() { one(i, k) })
					time.Sleep(c.interval)
					continue
				}
				one(i, k)
				time.Sleep(c.pause)
			}
		})
	}
	wg.Wait()
	return n
}

// tally counts submissions by their end.
type tally struct {
	complete, notRun, unknown, failed, unanswered int
}

func (n *tally) add(a *job.Answer, answered bool) {
	switch {
	case !answered:
		n.unanswered++
	case a.Status == job.Complete:
		n.complete++
	case a.Counts.Unknown > 0:
		n.unknown++
	case a.Counts.Failed > 0:
		n.failed++
	default:
		n.notRun++
	}
}

func (n *tally) total() int { return n.complete + n.notRun + n.unknown + n.failed + n.unanswered }

// submit submits a job until it is answered.
func (s *site) submit(c *workload, caller, k int) (ans job.Answer, answered bool) {
	spec := job.Spec{
		Key: job.MakeKey(team, fmt.Sprintf("%s-%d-%d", c.prefix, caller/2, k)), Team: team, Service: service,
		Idempotent: c.idempotent, Resubmission: c.resubmission, Deadline: window / 2, Tasks: make([]job.Task, c.tasks),
	}
	begin := time.Now()
	for try := range int(window / retryInterval) {
		call := time.Now()
		ans, err := s.submitOnce(c.entryAt(s, caller+k+try), spec)
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ops = append(s.ops, op{caller: caller, answer: ans, calledAt: call, returnedAt: time.Now()})
			return ans, true
		}
		if time.Since(begin) > window {
			break
		}
		spec.Resubmission = true
		time.Sleep(retryInterval)
	}
	return ans, false
}

// entryAt returns the number of the entry that is asked at the nth try.
func (c *workload) entryAt(s *site, n int) int {
	if c.entries == nil {
		return n % len(s.entries)
	}
	return c.entries[n%len(c.entries)]
}

// submitOnce submits to one entry and waits for as long as a caller would.
func (s *site) submitOnce(i int, spec job.Spec) (ans job.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	type reply struct {
		ans job.Answer
		err error
	}
	done := make(chan reply, 1)
	go func() {
		ans, err := s.entry(i).Submit(ctx, spec)
		done <- reply{ans, err}
	}()
	select {
	case r := <-done:
		return r.ans, r.err
	case <-ctx.Done():
		return ans, ctx.Err()
	}
}
