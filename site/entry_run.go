package site

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticbay/roster"
	"masticbay/telemetry"
	"masticbay/wire"
	"masticbay/work"
)

// run has a job run at the home and returns its outcome. When a home is lost it
// hands the job to the next one, once no run of the lost one can be left.
func (e *Entry) run(ctx context.Context, j work.Job, begun time.Time) work.Outcome {
	firstRun := 0
	sent := false
	for {
		home, ok := e.awaitHome(ctx)
		if !ok {
			return noHome(sent)
		}
		now := e.now()
		j.Age = now.Sub(begun)
		args := RunArgs{Entry: e.life, Job: j, FirstRun: firstRun}
		args.Job.Left = j.Left - j.Age
		out, moved, err := e.runAt(ctx, home, &args)
		switch {
		case err == nil && !moved:
			return truthful(out, sent)
		case moved:
			sleep(ctx, homePoll)
			continue
		case ctx.Err() != nil:
			return work.Outcome{State: work.Unknown, Reason: givenUp(ctx)}
		case errors.Is(err, wire.ErrNotSent):
			e.requests.Info().Err(err).Str("job", j.ID).Str("home", home.Name).Msg("home not reached; job not handed over")
			e.loseHome(home)
			sleep(ctx, homePoll)
			continue
		}
		sent = true
		e.metrics.lostHome.Inc(1)
		e.requests.Warn().Err(err).Str("job", j.ID).Str("home", home.Name).Msg("home lost with a job; waits for its runs to end")
		e.loseHome(home)
		firstRun += runStride
		sleep(ctx, failover)
	}
}

// truthful turns a rejection by one home into an unknown outcome if the job had
// been handed to another home before, which may have run some of it.
func truthful(out work.Outcome, sent bool) work.Outcome {
	if sent && out.State == work.Rejected {
		return work.Outcome{State: work.Unknown, Reason: "lost with its first home; then " + out.Reason}
	}
	return out
}

// homePoll is how often an entry looks for a home when there is none.
const homePoll = 20 * time.Millisecond

// homeWait is how long a new job waits for a home before it is rejected.
const homeWait = 400 * time.Millisecond

// awaitHome waits for a home for a while.
func (e *Entry) awaitHome(ctx context.Context) (m roster.Member, ok bool) {
	until := e.now().Add(homeWait)
	for {
		if m, ok := e.currentHome(); ok {
			return m, true
		}
		if ctx.Err() != nil || e.now().After(until) {
			return m, false
		}
		sleep(ctx, homePoll)
	}
}

// noHome is the outcome of a job when there is no home.
func noHome(sent bool) work.Outcome {
	if sent {
		return work.Outcome{State: work.Unknown, Reason: "no entry acts as home"}
	}
	return work.Outcome{State: work.Rejected, Reason: "no entry acts as home", RetryAfter: time.Second}
}

// givenUp tells why the wait for a job is over.
func givenUp(ctx context.Context) string {
	if cause := context.Cause(ctx); cause != context.Canceled {
		return cause.Error()
	}
	return "the caller has gone"
}

// loseHome makes the roster look for another home at once.
func (e *Entry) loseHome(m roster.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roster.Lose(m.Address)
}

// runAt hands a job to a home and waits for the outcome.
func (e *Entry) runAt(ctx context.Context, m roster.Member, args *RunArgs) (out work.Outcome, moved bool, err error) {
	ctx, span := telemetry.Span(ctx, "entry → home")
	defer span.End()
	args.Job.Trace = telemetry.Inject(ctx)
	if m.Life == e.life {
		out, moved = e.home.run(ctx, args)
		return out, moved, nil
	}
	args.Session = e.enter(m.Address)
	defer e.exit(m.Address)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.watchHome(watch, cancel, m, args.Session)
	c := e.peer(m.Address)
	rep, err := wire.Call[RunArgs, RunReply](watch, c, entryRun, args)
	switch {
	case err == nil:
		return rep.Outcome, rep.Moved, nil
	case ctx.Err() != nil:
		e.withdrawAt(c, &WithdrawArgs{Entry: e.life, Session: args.Session, Job: args.Job.ID})
	case !errors.Is(err, wire.ErrNotSent):
		e.endSession(m.Address, args.Session)
	}
	return out, false, err
}

// enter notes that a home gets a job, and returns the session that it is part
// of.
func (e *Entry) enter(address string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[address]++
	return e.sessions[address]
}

func (e *Entry) exit(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs[address]--
}

// endSession gives up all jobs that a home has from here, and tells it so with
// the next greeting if it can be reached.
func (e *Entry) endSession(address string, session uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[address] == session {
		e.sessions[address]++
	}
}

// watchHome ends the wait for a home that is out of contact, or at which the
// session has ended.
func (e *Entry) watchHome(ctx context.Context, cancel context.CancelFunc, m roster.Member, session uint64) {
	tick := time.NewTicker(greetHome)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !e.inContact(m, session) {
			cancel()
			return
		}
	}
}

func (e *Entry) inContact(m roster.Member, session uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[m.Address] != session {
		return false
	}
	for _, p := range e.roster.InContact(e.now()) {
		if p.Life == m.Life {
			return true
		}
	}
	return false
}

// withdrawAt tells a home that nobody waits for a job any more.
func (e *Entry) withdrawAt(c *wire.Client, args *WithdrawArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), greetTimeout)
	defer cancel()
	if _, err := wire.Call[WithdrawArgs, WithdrawReply](ctx, c, entryWithdraw, args); err != nil {
		e.requests.Info().Err(err).Str("job", args.Job).Msg("job not withdrawn")
	}
}

// Run runs a job for another entry.
func (m *entryMethods) Run(args *RunArgs, reply *RunReply) error {
	reply.Outcome, reply.Moved = m.e.home.run(context.Background(), args)
	return nil
}

// Withdraw takes a job back.
func (m *entryMethods) Withdraw(args *WithdrawArgs, _ *WithdrawReply) error {
	m.e.home.withdraw(caller{args.Entry, args.Session}, args.Job)
	return nil
}
