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

// submitStored has a job stored. The outcome is queued once it is.
func (e *Entry) submitStored(ctx context.Context, j work.Job, begun time.Time) work.Outcome {
	sent := false
	for {
		m, ok := e.awaitHome(ctx)
		switch {
		case ctx.Err() != nil:
			return notStored(sent, givenUp(ctx))
		case !ok:
			return noHome(sent)
		}
		args := AcceptArgs{Job: j}
		args.Job.Age = e.now().Sub(begun)
		var rep *AcceptReply
		var err error
		if m.Life == e.life {
			own := e.home.accept(ctx, &args)
			rep = &own
		} else {
			rep, err = callHome[AcceptArgs, AcceptReply](ctx, e, m, entryAccept, &args)
		}
		switch {
		case err == nil && !rep.Moved:
			return truthful(rep.Outcome, sent)
		case err != nil && !errors.Is(err, wire.ErrNotSent):
			// The next home knows whether it is stored.
			sent = true
			e.requests.Warn().Err(err).Str("job", j.ID).Str("home", m.Name).Msg("home lost with a job that was to be stored")
		case err == nil && e.now().Sub(begun) > storedWait:
			return notStored(sent, "no home holds the ledger")
		}
		sleep(ctx, homePoll)
	}
}

// notStored is the outcome of a job of which it is not known that it is stored.
func notStored(sent bool, why string) work.Outcome {
	if sent {
		return work.Outcome{State: work.Unknown, Reason: why}
	}
	return work.Outcome{State: work.Rejected, Reason: why, RetryAfter: time.Second}
}

// callHome calls another entry as long as it is in contact.
func callHome[A, R any](ctx context.Context, e *Entry, m roster.Member, method string, args *A) (*R, error) {
	session := e.enter(m.Address)
	defer e.exit(m.Address)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.watchHome(watch, cancel, m, session)
	rep, err := wire.Call[A, R](watch, e.peer(m.Address), method, args)
	if err != nil && ctx.Err() == nil {
		e.loseHome(m)
	}
	return rep, err
}

// askHome asks the holder of the ledger about a job until it answers or ctx is
// over.
func (e *Entry) askHome(ctx context.Context, ask func(m roster.Member) (StateReply, error)) (rep StateReply, ok bool) {
	for ctx.Err() == nil {
		if m, ok := e.awaitHome(ctx); ok {
			if rep, err := ask(m); err == nil && !rep.Moved {
				return rep, true
			}
		}
		sleep(ctx, homePoll)
	}
	return rep, false
}

// serveState answers a question about a stored job. If no home answers soon, the
// store does.
func (e *Entry) serveState(w http.ResponseWriter, r *http.Request, id string) {
	ctx, release := e.waitFor(r.Context(), platform.CallerWaits(r, callerWaits))
	defer release()
	soon, cancel := context.WithTimeout(ctx, stateFallback)
	defer cancel()
	rep, ok := e.askHome(soon, func(m roster.Member) (StateReply, error) {
		if m.Life == e.life {
			return e.home.state(soon, id), nil
		}
		rep, err := callHome[JobArgs, StateReply](soon, e, m, entryState, &JobArgs{ID: id})
		if err != nil {
			return StateReply{}, err
		}
		return *rep, nil
	})
	if (!ok || rep.State == "") && ctx.Err() == nil {
		// A home that has lost the ledger and does not know it yet may not know the job.
		var err error
		if rep.State, err = e.storedState(ctx, id); err != nil {
			e.requests.Warn().Err(err).Str("job", id).Msg("state not known")
			e.check(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
			return
		}
	}
	e.check(platform.WriteState(w, rep.State))
}

// storedState reads the state of a job from the store; empty if there is none.
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
	ctx, release := e.waitFor(r.Context(), platform.CallerWaits(r, callerWaits))
	defer release()
	rep, ok := e.askHome(ctx, func(m roster.Member) (StateReply, error) { return e.cancelAt(ctx, m, id) })
	e.requests.Info().Str("job", id).Bool("answered", ok).Str("state", string(rep.State)).Msg("cancellation")
	if r.Context().Err() != nil {
		return // the caller has gone
	}
	if !ok {
		e.check(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
		return
	}
	e.check(platform.WriteState(w, rep.State))
}

// cancelAt cancels a job at a home. That a home does not know the job counts only if
// the store does not either.
func (e *Entry) cancelAt(ctx context.Context, m roster.Member, id string) (rep StateReply, err error) {
	if m.Life == e.life {
		rep = e.home.cancel(ctx, id)
	} else {
		far, err := callHome[JobArgs, CancelReply](ctx, e, m, entryCancel, &JobArgs{ID: id})
		if err != nil {
			return rep, err
		}
		rep = StateReply(*far)
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

// Accept has a job stored for another entry.
func (m *entryMethods) Accept(args *AcceptArgs, reply *AcceptReply) error {
	*reply = m.e.home.accept(context.Background(), args)
	return nil
}

// State tells the state of a stored job.
func (m *entryMethods) State(args *JobArgs, reply *StateReply) error {
	*reply = m.e.home.state(context.Background(), args.ID)
	return nil
}

// Cancel cancels a stored job.
func (m *entryMethods) Cancel(args *JobArgs, reply *CancelReply) error {
	*reply = CancelReply(m.e.home.cancel(context.Background(), args.ID))
	return nil
}
