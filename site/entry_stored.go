package site

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"masticbay/ledger"
	"masticbay/platform"
	"masticbay/roster"
	"masticbay/store"
	"masticbay/wire"
	"masticbay/work"
)

// storedWait is how long a new job waits for a home that holds the ledger.
const storedWait = time.Second

// submitStored hands a job to the home to be stored. The outcome is queued once the
// job is stored.
func (e *Entry) submitStored(ctx context.Context, j work.Job, receivedAt time.Time) work.Outcome {
	sent := false
	for {
		m, ok := e.awaitHome(ctx)
		switch {
		case ctx.Err() != nil:
			return notStoredOutcome(sent, waitEndReason(ctx))
		case !ok:
			return noHomeOutcome(sent)
		}
		args := AcceptArgs{Job: j}
		args.Job.Age = e.now().Sub(receivedAt)
		var rep *AcceptReply
		var err error
		if m.Life == e.life {
			local := e.home.accept(ctx, &args)
			rep = &local
		} else {
			rep, err = callHome[AcceptArgs, AcceptReply](ctx, e, m, entryAccept, &args)
		}
		switch {
		case err == nil && !rep.Moved:
			return truthful(rep.Outcome, sent)
		case err == nil && rep.Sent, err != nil && !errors.Is(err, wire.ErrNotSent):
			// The next home knows whether the job is stored.
			sent = true
			e.requestLog.Warn().Err(err).Str("job", j.ID).Str("home", m.Name).Msg("home lost with a job that was to be stored")
		case err == nil && !sent && e.now().Sub(receivedAt) > storedWait:
			return notStoredOutcome(sent, "no home holds the ledger")
		}
		sleep(ctx, homePollInterval)
	}
}

// notStoredOutcome returns the outcome of a job that is not known to be stored.
func notStoredOutcome(sent bool, reason string) work.Outcome {
	if sent {
		return work.Outcome{State: work.Unknown, Reason: reason}
	}
	return work.Outcome{State: work.Rejected, Reason: reason, RetryAfter: time.Second}
}

// callHome calls a home that is another entry, and cancels the call when the home is
// out of contact.
func callHome[A, R any](ctx context.Context, e *Entry, m roster.Member, method string, args *A) (*R, error) {
	session := e.addJobAt(m.Address)
	defer e.removeJobAt(m.Address)
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.watchHome(watched, cancel, m, session)
	rep, err := wire.Call[A, R](watched, e.peer(m.Address), method, args)
	if err != nil && ctx.Err() == nil {
		e.homeLost(m)
	}
	return rep, err
}

// askHome asks the holder of the ledger about a job until it answers or ctx ends.
func (e *Entry) askHome(ctx context.Context, ask func(m roster.Member) (StateReply, error)) (rep StateReply, ok bool) {
	for ctx.Err() == nil {
		if m, ok := e.awaitHome(ctx); ok {
			if rep, err := ask(m); err == nil && !rep.Moved {
				return rep, true
			}
		}
		sleep(ctx, homePollInterval)
	}
	return rep, false
}

// serveState answers a request for the state of a stored job. If no home answers in
// stateFallbackAfter, it reads the state from the store.
func (e *Entry) serveState(w http.ResponseWriter, r *http.Request, id string) {
	ctx, release := e.callerContext(r.Context(), platform.CallerTimeout(r, defaultCallerWait))
	defer release()
	homeCtx, cancel := context.WithTimeout(ctx, stateFallbackAfter)
	defer cancel()
	rep, ok := e.askHome(homeCtx, func(m roster.Member) (StateReply, error) {
		if m.Life == e.life {
			return e.home.state(homeCtx, id), nil
		}
		rep, err := callHome[JobArgs, StateReply](homeCtx, e, m, entryState, &JobArgs{ID: id})
		if err != nil {
			return StateReply{}, err
		}
		return *rep, nil
	})
	if !ok || rep.State == "" {
		// A home that has lost the ledger without knowing it may not know the job.
		var err error
		rep.State, err = e.storedState(ctx, id)
		switch {
		case r.Context().Err() != nil:
			return // the caller has gone
		case err != nil:
			e.requestLog.Warn().Err(err).Str("job", id).Msg("state not known")
			e.logWriteError(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
			return
		}
	}
	e.logWriteError(platform.WriteState(w, rep.State))
}

// storedState reads the state of a job from the store; empty if the job is not stored.
func (e *Entry) storedState(ctx context.Context, id string) (work.State, error) {
	for _, key := range ledger.JobKeys(id) {
		it, _, err := e.store.Get(ctx, key)
		switch {
		case err == nil:
			return ledger.StateOf(it)
		case !errors.Is(err, store.ErrNotFound):
			return "", err
		}
	}
	return "", nil
}

// serveCancel cancels a stored job.
func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request, id string) {
	ctx, release := e.callerContext(r.Context(), platform.CallerTimeout(r, defaultCallerWait))
	defer release()
	sent := false
	rep, ok := e.askHome(ctx, func(m roster.Member) (StateReply, error) {
		rep, err := e.cancelAt(ctx, m, id)
		sent = sent || !errors.Is(err, wire.ErrNotSent)
		return rep, err
	})
	e.requestLog.Info().Str("job", id).Bool("answered", ok).Bool("sent", sent).Str("state", string(rep.State)).Msg("cancellation")
	switch {
	case r.Context().Err() != nil:
		return // the caller has gone
	case !ok && sent:
		platform.WriteUnknown(w)
		return
	case !ok:
		e.logWriteError(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
		return
	}
	e.logWriteError(platform.WriteState(w, rep.State))
}

// cancelAt cancels a job at a home. If the home does not know the job, the answer of
// the store decides.
func (e *Entry) cancelAt(ctx context.Context, m roster.Member, id string) (rep StateReply, err error) {
	if m.Life == e.life {
		rep = e.home.cancel(ctx, id)
	} else {
		remote, err := callHome[JobArgs, CancelReply](ctx, e, m, entryCancel, &JobArgs{ID: id})
		if err != nil {
			return rep, err
		}
		rep = StateReply(*remote)
	}
	if rep.Moved || rep.State != "" {
		return rep, nil
	}
	s, err := e.storedState(ctx, id)
	if s == work.Queued {
		return StateReply{Moved: true}, err
	}
	return StateReply{State: s}, err
}

// Accept stores a job for another entry.
func (m *entryMethods) Accept(args *AcceptArgs, reply *AcceptReply) error {
	if err := args.Job.Validate(); err != nil {
		return err
	}
	*reply = m.e.home.accept(context.Background(), args)
	return nil
}

// State returns the state of a stored job.
func (m *entryMethods) State(args *JobArgs, reply *StateReply) error {
	*reply = m.e.home.state(context.Background(), args.ID)
	return nil
}

// Cancel cancels a stored job.
func (m *entryMethods) Cancel(args *JobArgs, reply *CancelReply) error {
	*reply = CancelReply(m.e.home.cancel(context.Background(), args.ID))
	return nil
}
