package failure

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"masticbay/job"
)

// op is one answered submission.
type op struct {
	caller     int
	answer     job.Answer
	calledAt   time.Time
	returnedAt time.Time
}

func groupByKey(ops []op) map[job.Key][]op {
	m := make(map[job.Key][]op)
	for _, o := range ops {
		m[o.answer.Key] = append(m[o.answer.Key], o)
	}
	return m
}

// jobKeyModel models a job key as callers see it. The state is empty before the
// run, and then holds the results of the only run, which all complete answers
// show. An answer that proves that a task did not run must precede the run; other
// failed answers prove nothing.
var jobKeyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		ans := output.(job.Answer)
		ranResults := state.(string)
		switch {
		case ans.Status == job.StatusComplete && ranResults == "":
			return true, joinResults(&ans)
		case ans.Status == job.StatusComplete:
			return ranResults == joinResults(&ans), ranResults
		case ans.Counts.NotRun > 0:
			return ranResults == "", ranResults
		}
		return true, ranResults
	},
	Equal: func(a, b any) bool { return a == b },
}

func joinResults(a *job.Answer) string {
	var b bytes.Buffer
	for _, r := range a.Results {
		b.Write(r)
	}
	return b.String()
}

// isLinearizable reports whether the answers of one key, in some order consistent
// with their times, agree with at most one run.
func isLinearizable(ops []op) bool {
	var history []porcupine.Operation
	for _, o := range ops {
		history = append(history, porcupine.Operation{
			ClientId: o.caller, Output: o.answer, Call: o.calledAt.UnixNano(), Return: o.returnedAt.UnixNano(),
		})
	}
	return porcupine.CheckOperations(jobKeyModel, history)
}

func TestHistoryWithTwoRunsIsRejected(t *testing.T) {
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	complete := func(result string) job.Answer {
		return job.Answer{Key: "t/k", Status: job.StatusComplete, Results: []json.RawMessage{json.RawMessage(result)}}
	}
	notRun := job.Answer{Key: "t/k", Status: job.StatusFailed, Counts: job.Counts{NotRun: 1}}
	for name, tc := range map[string]struct {
		first, second job.Answer
		want          bool
	}{
		"same run":          {complete("a"), complete("a"), true},
		"two runs":          {complete("a"), complete("b"), false},
		"run after not run": {notRun, complete("a"), true},
		"not run after run": {complete("a"), notRun, false},
	} {
		ops := []op{{answer: tc.first, calledAt: at(1), returnedAt: at(2)}, {caller: 1, answer: tc.second, calledAt: at(3), returnedAt: at(4)}}
		if got := isLinearizable(ops); got != tc.want {
			t.Errorf("%s: linearizable %t, want %t", name, got, tc.want)
		}
	}
}
