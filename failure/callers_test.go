package failure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"masticbay/job"
)

// workload describes callers that submit jobs. Two callers share each key, like a
// caller and another one that takes over from it.
type workload struct {
	prefix   string
	callers  int
	jobs     int // per caller
	tasks    int
	pause    time.Duration // after each answer
	interval time.Duration // if set, between submissions, without waiting for answers
	until    time.Time     // if set, no job is submitted after it
	entries  []int         // indexes of the entries to submit to; all if nil

	idempotent   bool
	resubmission bool // marks each submission as a resubmission of its key
}

// The timeouts of a caller: after callTimeout it resubmits to the next entry. It
// gives up when the key may no longer be resubmitted.
const (
	callTimeout   = 10 * time.Second
	retryInterval = time.Second
)

// runWorkload submits all jobs and waits until each is answered or given up. It
// returns the number of submissions by outcome.
func (s *site) runWorkload(w *workload) (n tally) {
	var wg sync.WaitGroup
	var mu sync.Mutex // guards n
	submitOne := func(caller, k int) {
		ans, answered := s.submit(w, caller, k)
		mu.Lock()
		defer mu.Unlock()
		n.add(&ans, answered)
	}
	for i := range w.callers {
		wg.Go(func() {
			for k := range w.jobs {
				if !w.until.IsZero() && time.Now().After(w.until) {
					return
				}
				if w.interval > 0 {
					wg.Go(func() { submitOne(i, k) })
					time.Sleep(w.interval)
					continue
				}
				submitOne(i, k)
				time.Sleep(w.pause)
			}
		})
	}
	wg.Wait()
	return n
}

// tally counts submissions by outcome.
type tally struct {
	complete, notRun, unknown, failed, unanswered int
}

func (n *tally) add(a *job.Answer, answered bool) {
	switch {
	case !answered:
		n.unanswered++
	case a.Status == job.StatusComplete:
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

// submit submits a job, and resubmits it to the next entries until it is answered
// or the window has passed.
func (s *site) submit(w *workload, caller, k int) (ans job.Answer, answered bool) {
	spec := job.Spec{
		Key: job.MakeKey(team, fmt.Sprintf("%s-%d-%d", w.prefix, caller/2, k)), Team: team, Service: service,
		Idempotent: w.idempotent, Resubmission: w.resubmission, Deadline: window / 2, Tasks: make([]job.Task, w.tasks),
	}
	startedAt := time.Now()
	for attempt := range int(window / retryInterval) {
		calledAt := time.Now()
		ans, err := s.submitOnce(w.entryAt(s, caller+k+attempt), spec)
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ops = append(s.ops, op{caller: caller, answer: ans, calledAt: calledAt, returnedAt: time.Now()})
			return ans, true
		}
		if time.Since(startedAt) > window {
			break
		}
		spec.Resubmission = true
		time.Sleep(retryInterval)
	}
	return ans, false
}

// entryAt returns the index of the entry to submit to at the nth attempt.
func (w *workload) entryAt(s *site, n int) int {
	if w.entries == nil {
		return n % len(s.entries)
	}
	return w.entries[n%len(w.entries)]
}

// submitOnce submits to one entry and waits at most callTimeout.
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
