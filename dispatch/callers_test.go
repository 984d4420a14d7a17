package dispatch_test

import (
	"time"

	"masticbay/dispatch"
	"masticbay/job"
)

// submission is one submission as it is routed through the entries.
type submission struct {
	w         *world
	spec      job.Spec
	id        string
	mustClaim bool
	redirects int
	deadline  time.Time
}

// forwardMaxAge is the age at which an entry no longer accepts a forwarded
// submission.
const forwardMaxAge = 3 * time.Second

// route submits an idempotent job at e. It sends other jobs to the home of their
// key, the first entry in the ranking for it, but passes e over if e may not run
// such jobs.
func (s *submission) route(e *simEntry) {
	for _, p := range e.view.Registry().Rank(string(s.spec.Key)) {
		if p.ID != e.id && !s.spec.Idempotent {
			s.forward(e, s.w.entryByID(p.ID))
			return
		}
		if s.spec.Idempotent || e.view.MayRun(s.w.now) {
			break
		}
	}
	s.submitAt(e, s.recordAnswer)
}

// forward sends the submission to another entry. If that fails, e submits the job
// itself with a claim and ignores a late answer of the other entry.
func (s *submission) forward(e, p *simEntry) {
	w := s.w
	answered := false
	takeOver := func() {
		if answered || e.dead {
			return
		}
		answered = true
		s.mustClaim = true
		s.submitAt(e, s.recordAnswer)
	}
	sentAt := w.now
	w.toEntry(p, func() {
		if w.now.Sub(sentAt) > forwardMaxAge {
			w.toEntry(e, takeOver, takeOver)
			return
		}
		forwarded := *s
		forwarded.mustClaim = false
		forwarded.submitAt(p, func(t givenAnswer) {
			w.toEntry(e, func() {
				if !answered {
					answered = true
					s.recordAnswer(t)
				}
			}, takeOver)
		})
	}, takeOver)
}

// submitAt submits the job to the Core of e.
func (s *submission) submitAt(e *simEntry, done func(givenAnswer)) {
	w := s.w
	s.spec.Deadline = s.deadline.Sub(w.now)
	if s.spec.Deadline <= 0 {
		return // the caller gets the answer unknown
	}
	claim := s.mustClaim || s.spec.Resubmission
	if !s.spec.Idempotent && !w.omitted.mayRun(e.view.MayRun(w.now)) {
		return // refused, so no task ran
	}
	if !s.spec.Idempotent {
		claim = claim || e.view.MustClaim(w.now, string(s.spec.Key))
	}
	t, err := e.core.Submit(w.now, &s.spec, dispatch.Admission{Submission: s.id, Claim: w.omitted.mustClaim(claim)})
	w.tracef("%s: submit %s as %s claim %t -> %+v %v", e.id, s.spec.Key, s.id, claim, t, err)
	if err != nil {
		return // refused, so no task ran
	}
	if !t.Attached {
		w.keys[s.spec.Key].resubmitUntil = w.now.Add(s.spec.Deadline + worldWindow)
		e.instances[s.spec.Key]++
	}
	inst := instance{e.id, s.spec.Key, e.instances[s.spec.Key]}
	if t.Answer != nil {
		done(givenAnswer{inst, *t.Answer, w.nextSeq()})
		return
	}
	e.waiters[s.spec.Key] = append(e.waiters[s.spec.Key], func(ans *job.Answer, holder string) {
		if ans != nil {
			done(givenAnswer{inst, *ans, w.nextSeq()})
			return
		}
		s.followClaim(e, holder, done)
	})
}

// maxRedirects bounds how often a submission follows a claim to another entry.
const maxRedirects = 6

// followClaim forwards the submission to the entry that holds the claim, or
// submits it at e with a new claim.
func (s *submission) followClaim(e *simEntry, holder string, done func(givenAnswer)) {
	w := s.w
	s.redirects++
	if s.redirects > maxRedirects {
		return
	}
	s.mustClaim = true
	p := w.entryByID(holder)
	if p == nil || p.dead || w.r.IntN(3) == 0 {
		s.submitAt(e, done)
		return
	}
	s.mustClaim = false
	s.forward(e, p)
}

func (s *submission) recordAnswer(t givenAnswer) {
	s.w.tracef("%s: answers %s: %s %v %s", t.entry, s.id, t.key, t.answer.States, t.answer.Reason)
	s.w.answers = append(s.w.answers, t)
}
