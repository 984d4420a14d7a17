package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/dispatch"
	"masticbay/identity"
	"masticbay/job"
	"masticbay/member"
	"masticbay/telemetry"
	"masticbay/wire"
)

// submission is one request to run a job.
type submission struct {
	spec                job.Spec
	id                  string
	from                string // the entry that forwarded it; empty if a caller submitted it here
	mustClaim           bool   // a claim is needed, whatever the member.View says
	trace               string
	deadlineAt          time.Time
	mayHaveRunElsewhere bool     // an entry that was asked to run it did not answer
	tried               []string // entries that did not accept it
}

// remaining returns the submission's job with the time left until its deadline.
// It reports false if none is left: a job started then could outlast the records
// that keep it from running twice.
func (s *submission) remaining(now time.Time) (spec job.Spec, ok bool) {
	spec = s.spec
	spec.Deadline = s.deadlineAt.Sub(now)
	return spec, spec.Deadline > 0
}

// maxHops bounds the entries that a submission is tried at before it fails.
const maxHops = 6

// Submit runs a job, waits for its end and returns its answer. The error is a
// *job.RefusedError if nothing of the submission ran, and the error of ctx if
// the caller stopped waiting.
func (e *Entry) Submit(ctx context.Context, spec job.Spec) (ans job.Answer, err error) {
	ctx, span := telemetry.StartSpan(ctx, "submit")
	defer span.End()
	s := submission{spec: spec, id: identity.New("submission"), trace: telemetry.Inject(ctx)}
	ans, err = e.resolve(ctx, s)
	return ans.ForSubmission(s.id), err
}

// resolve finds the entry that runs the job, itself or another one, and returns
// the answer.
func (e *Entry) resolve(ctx context.Context, s submission) (ans job.Answer, err error) {
	defer func() { err = errors.Annotatef(err, "running job %s", s.spec.Key) }()
	s.deadlineAt = e.clock.Now().Add(s.spec.Deadline)
	next := e.homeFor(&s)
	for range maxHops {
		if _, ok := s.remaining(e.clock.Now()); !ok {
			break
		}
		if next.ID != e.id {
			rep, err := e.forward(ctx, next, &s)
			if ctx.Err() != nil {
				return job.Answer{}, ctx.Err()
			}
			switch s.recordForward(next, rep, err) {
			case forwardAnswered:
				return *rep.Answer, nil
			case forwardRefused:
				return job.Answer{}, rep.Refused
			case forwardUnresolved:
				return e.unresolvedAnswer(&s), nil
			case forwardFailed:
				next = e.homeFor(&s)
				continue
			}
		}
		out, err := e.runHere(ctx, &s)
		if _, refused := errors.AsType[*job.RefusedError](err); refused && s.mayHaveRunElsewhere {
			break // a refusal here does not prove that the other entry ran nothing
		}
		if err != nil || out.answer != nil {
			return orZero(out.answer), err
		}
		next = e.entryByID(out.holder)
		s.mustClaim = true
	}
	return e.unresolvedAnswer(&s), nil
}

// forwardResult tells what follows from forwarding a submission to another entry.
type forwardResult int

const (
	forwardAnswered   forwardResult = iota
	forwardRefused                  // nothing of the submission ran
	forwardUnresolved               // it was refused, but may have run at an earlier entry
	forwardFailed                   // another entry may accept it
	forwardReturned                 // this entry has to run it
)

// recordForward records how an entry answered a submission that was forwarded to it.
func (s *submission) recordForward(to member.Entry, rep *wire.SubmitReply, err error) forwardResult {
	switch {
	case err != nil:
		s.recordFailure(to, !errors.Is(err, wire.ErrNotSent))
		return forwardFailed
	case rep.Refused != nil && acceptableElsewhere(rep.Refused.Code):
		s.recordFailure(to, false)
		return forwardFailed
	case rep.Refused != nil && s.mayHaveRunElsewhere:
		return forwardUnresolved
	case rep.Refused != nil:
		return forwardRefused
	case rep.Answer != nil:
		return forwardAnswered
	}
	return forwardReturned
}

// recordFailure records that an entry did not accept the submission. If that
// entry may have run it nevertheless, the next one has to claim the job.
func (s *submission) recordFailure(by member.Entry, mayHaveRun bool) {
	s.tried = append(s.tried, by.ID)
	s.mustClaim = s.mustClaim || mayHaveRun
	s.mayHaveRunElsewhere = s.mayHaveRunElsewhere || mayHaveRun
}

// acceptableElsewhere reports whether another entry may accept a submission that
// was refused with a code.
func acceptableElsewhere(c job.Code) bool {
	return c == job.Stopping || c == job.Stale || c == job.Unready
}

func orZero(a *job.Answer) job.Answer {
	if a == nil {
		return job.Answer{}
	}
	return *a
}

// unresolvedAnswer returns the answer to a job whose outcome could not be
// determined before its deadline.
func (e *Entry) unresolvedAnswer(s *submission) job.Answer {
	ans := job.Answer{Key: s.spec.Key, Status: job.StatusFailed, Reason: "the entry that may have run the job did not answer in time"}
	for range s.spec.Tasks {
		ans.Counts.Add(job.Unknown)
		ans.States = append(ans.States, job.Unknown)
	}
	return ans
}

// homeFor returns the entry that the submission goes to: the first one of its
// ranking that is in contact and was not tried. A submission that was forwarded
// here stays here.
func (e *Entry) homeFor(s *submission) member.Entry {
	self := e.member()
	if s.from != "" {
		return self
	}
	outOfContact := *e.outOfContact.Load()
	for _, p := range e.registry.Load().Rank(e.homeNameOf(&s.spec)) {
		if p.ID == e.id && (s.spec.Idempotent || e.mayRun.Load()) {
			return p
		}
		if p.ID != e.id && !outOfContact[p.ID] && !slices.Contains(s.tried, p.ID) {
			return p
		}
	}
	return self
}

func (e *Entry) homeNameOf(spec *job.Spec) string {
	return e.cfg.Policy.HomeName(spec.Service, spec.Key)
}

// entryByID returns a listed entry, or this one if none with the id is listed.
func (e *Entry) entryByID(id string) member.Entry {
	listed, ok := e.registry.Load().Entry(id)
	if !ok {
		return e.member()
	}
	return listed
}

// forward sends a submission to another entry and waits for the answer.
func (e *Entry) forward(ctx context.Context, to member.Entry, s *submission) (rep *wire.SubmitReply, err error) {
	ctx, span := telemetry.StartSpan(ctx, "entry → entry")
	defer span.End()
	now := e.clock.Now()
	spec, _ := s.remaining(now)
	ctx, cancel := context.WithTimeout(ctx, spec.Deadline)
	defer cancel()
	l := e.peers.link(e, to.Address)
	args := wire.SubmitArgs{Spec: spec, Submission: s.id, From: e.id, Claim: s.mustClaim, Trace: telemetry.Inject(ctx), Stamp: e.peers.estimateStamp(l, now)}
	rep, err = wire.Call[wire.SubmitArgs, wire.SubmitReply](ctx, l.client, wire.EntrySubmit, &args)
	if err != nil {
		e.counters.takeovers.Inc(1)
		e.log.Debug().Err(err).Str("entry", to.ID).Msg("forwarding a submission failed")
	}
	return rep, err
}

// runHere submits to this entry's Core and waits for the outcome.
func (e *Entry) runHere(ctx context.Context, s *submission) (out outcome, err error) {
	if e.stopping.Load() {
		return out, &job.RefusedError{Code: job.Stopping, Message: "this entry is stopping", RetryAfter: time.Second}
	}
	wait := make(chan outcome, 1)
	admitted := make(chan error, 1)
	ev := func(now time.Time) { admitted <- e.admit(now, s, wait) }
	select {
	case e.events <- ev:
	default:
		return out, &job.RefusedError{Code: job.Overloaded, Message: "this entry is overloaded", RetryAfter: time.Second}
	}
	select {
	case err := <-admitted:
		if err != nil {
			return out, err
		}
	case <-e.stop:
		return out, errors.Trace(errEnded)
	}
	select {
	case out, ok := <-wait:
		if !ok {
			return out, errors.Trace(errEnded)
		}
		return out, nil
	case <-ctx.Done():
		return out, ctx.Err()
	case <-e.stop:
		return out, errors.Trace(errEnded)
	}
}

// admit submits a job to the Core and registers the waiter. It runs in the core
// loop.
func (e *Entry) admit(now time.Time, s *submission, wait chan outcome) error {
	mustClaim := s.mustClaim || s.spec.Resubmission
	if !s.spec.Idempotent {
		if !e.core.members.MayRun(now) {
			return &job.RefusedError{Code: job.Unready, Message: "this entry is not known to all others yet, or may no longer be", RetryAfter: time.Second}
		}
		mustClaim = mustClaim || e.core.members.MustClaim(now, e.homeNameOf(&s.spec))
	}
	spec, ok := s.remaining(now)
	if !ok {
		return &job.RefusedError{Code: job.Stale, Message: "the deadline passed before the job was admitted"}
	}
	ticket, err := e.core.dispatch.Submit(now, &spec, dispatch.Admission{Submission: s.id, Claim: mustClaim})
	if err != nil {
		return e.unreadyIfListed(&spec, err)
	}
	if ticket.Answer != nil {
		wait <- outcome{answer: ticket.Answer}
		return nil
	}
	if !ticket.Attached && s.trace != "" {
		e.core.traces[s.spec.Key] = s.trace
	}
	e.core.waiters[s.spec.Key] = append(e.core.waiters[s.spec.Key], wait)
	return nil
}

// unreadyIfListed replaces the refusal of a service that this entry does not
// know: if agents of it are listed, they will announce themselves here too.
func (e *Entry) unreadyIfListed(spec *job.Spec, err error) error {
	refused, ok := errors.AsType[*job.RefusedError](err)
	if !ok || refused.Code != job.UnknownService {
		return err
	}
	for _, a := range e.core.members.Registry().Agents {
		if a.Service == spec.Service {
			return &job.RefusedError{Code: job.Unready, Message: "no target of " + spec.Service + " has announced itself here yet", RetryAfter: time.Second}
		}
	}
	return err
}

// Lookup returns a job's answer, waiting for it if wait is set, or its counts
// while it runs. If this entry does not know the job, it asks the others. After an error
// some entry did not answer, and the job may be known there.
func (e *Entry) Lookup(ctx context.Context, k job.Key, wait bool) (ans job.Answer, found bool, err error) {
	defer func() { err = errors.Annotatef(err, "looking up job %s", k) }()
	if ans, found, err = e.lookupHere(ctx, k, wait); found {
		return ans, true, nil
	}
	for _, c := range e.otherClients() {
		args := wire.LookupArgs{Key: k, Wait: wait}
		rep, callErr := wire.Call[wire.LookupArgs, wire.LookupReply](ctx, c, wire.EntryLookup, &args)
		if callErr == nil && rep.Found {
			return rep.Answer, true, nil
		}
		err = cmp.Or(err, callErr)
	}
	return job.Answer{}, false, err
}

// otherClients returns clients of the other listed entries.
func (e *Entry) otherClients() (clients []*wire.Client) {
	for _, p := range e.registry.Load().Entries {
		if p.ID != e.id {
			clients = append(clients, e.peers.client(e, p.Address))
		}
	}
	return clients
}

// lookupHere is Lookup for the jobs of this entry.
func (e *Entry) lookupHere(ctx context.Context, k job.Key, wait bool) (ans job.Answer, found bool, err error) {
	ch := make(chan outcome, 1)
	current, err := callCore(ctx, e, func(time.Time) (ans *job.Answer) {
		known, ok := e.core.dispatch.Lookup(k)
		if !ok {
			return nil
		}
		if wait && known.Status == job.StatusRunning {
			e.core.waiters[k] = append(e.core.waiters[k], ch)
		}
		return &known
	})
	if err != nil || current == nil {
		return ans, false, err
	}
	ans = *current
	if !wait || ans.Status != job.StatusRunning {
		return ans, true, nil
	}
	select {
	case out := <-ch:
		if out.answer != nil {
			return *out.answer, true, nil
		}
	case <-ctx.Done():
	case <-e.stop:
	}
	return ans, true, nil
}

// Cancel cancels a job here or at the entry that has it. It reports whether any
// entry knows the job. After an error some entry did not answer, and may have cancelled it.
func (e *Entry) Cancel(ctx context.Context, k job.Key) (found bool, err error) {
	defer func() { err = errors.Annotatef(err, "cancelling job %s", k) }()
	found, err = callCore(ctx, e, func(now time.Time) bool { return e.core.dispatch.Cancel(now, k) })
	if found {
		return true, nil
	}
	for _, c := range e.otherClients() {
		args := wire.CancelArgs{Key: k}
		rep, callErr := wire.Call[wire.CancelArgs, wire.CancelReply](ctx, c, wire.EntryCancel, &args)
		if callErr == nil && rep.Found {
			return true, nil
		}
		err = cmp.Or(err, callErr)
	}
	return false, err
}
