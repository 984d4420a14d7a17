package demo

import (
	"masticbay/job"
	"masticbay/target"
)

// Verdict counts the tasks and answers that violate a guarantee.
type Verdict struct {
	Started          int // starts of tasks at all targets
	StartedTwice     int // tasks that started more than once
	NotRunButStarted int // tasks that were answered as not run, but had started
	Partial          int // answers that are neither complete nor failed as a whole
	DoneButNotRun    int // tasks with a result that never started
}

// HasViolations reports whether any guarantee was violated.
func (v *Verdict) HasViolations() bool {
	return v.StartedTwice+v.NotRunButStarted+v.Partial+v.DoneButNotRun > 0
}

type taskID struct {
	key   string
	index int
}

// Verify compares the answers that callers got with the journals of all targets.
func Verify(answers []job.Answer, journals []map[target.Started]int) (v Verdict) {
	starts := make(map[target.Started]int)
	ran := make(map[taskID]bool)
	for _, j := range journals {
		for s, n := range j {
			starts[s] += n
			ran[taskID{s.Key, s.Index}] = true
		}
	}
	for _, n := range starts {
		v.Started += n
		if n > 1 {
			v.StartedTwice++
		}
	}
	for i := range answers {
		v.checkAnswer(&answers[i], ran)
	}
	return v
}

func (v *Verdict) checkAnswer(a *job.Answer, ran map[taskID]bool) {
	n := a.Counts
	total := n.Queued + n.Dispatched + n.Done + n.Failed + n.NotRun + n.Unknown
	complete := a.Status == job.StatusComplete && n.Done == total && len(a.Results) == total
	failed := a.Status == job.StatusFailed && len(a.Results) == 0 && n.Queued+n.Dispatched == 0
	if !complete && !failed {
		v.Partial++
	}
	for i, s := range a.States {
		if s == job.NotRun && ran[taskID{string(a.Key), i}] {
			v.NotRunButStarted++
		}
	}
	for i := range a.Results {
		if !ran[taskID{string(a.Key), i}] {
			v.DoneButNotRun++
		}
	}
}
