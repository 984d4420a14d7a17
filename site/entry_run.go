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

// run hands a job to the home and returns its outcome. If the home is lost, run hands
// the job to the next one, once no run under the lost home can be left.
func (e *Entry) run(ctx context.Context, j work.Job, receivedAt time.Time) work.Outcome {
	firstRun := 0
	sent := false
	for {
		home, ok := e.awaitHome(ctx)
		if !ok {
			return noHomeOutcome(sent)
		}
		now := e.now()
		j.Age = now.Sub(receivedAt)
		args := RunArgs{Entry: e.life, Job: j, FirstRun: firstRun}
		args.Job.Left = j.Left - j.Age
		out, moved, err := e.runAt(ctx, home, &args)
		switch {
		case err == nil && !moved:
			return truthful(out, sent)
		case moved:
			sleep(ctx, homePollInterval)
			continue
		case ctx.Err() != nil:
			return work.Outcome{State: work.Unknown, Reason: waitEndReason(ctx)}
		case errors.Is(err, wire.ErrNotSent):
			e.requestLog.Info().Err(err).Str("job", j.ID).Str("home", home.Name).Msg("home not reached; job not handed over")
			e.homeLost(home)
			sleep(ctx, homePollInterval)
			continue
		}
		sent = true
		e.metrics.jobsHomeLost.Inc(1)
		e.requestLog.Warn().Err(err).Str("job", j.ID).Str("home", home.Name).Msg("home lost with a job; waits for its runs to end")
		e.homeLost(home)
		firstRun += runNumberStride
		sleep(ctx, failoverDelay)
	}
}

// truthful replaces a rejection by an unknown outcome if the job was handed to another
// home before, since that home may have run some of its tasks.
func truthful(out work.Outcome, sent bool) work.Outcome {
	if sent && out.State == work.Rejected {
		return work.Outcome{State: work.Unknown, Reason: "lost with its first home; then " + out.Reason}
	}
	return out
}

// homePollInterval is how often an entry checks for a home while there is none.
const homePollInterval = 20 * time.Millisecond

// homeWait is how long a new job waits for a home before it is rejected.
const homeWait = 400 * time.Millisecond

// awaitHome waits for a home until homeWait is over or ctx ends.
func (e *Entry) awaitHome(ctx context.Context) (m roster.Member, ok bool) {
	until := e.now().Add(homeWait)
	for {
		if m, ok := e.currentHome(); ok {
			return m, true
		}
		if ctx.Err() != nil || e.now().After(until) {
			return m, false
		}
		sleep(ctx, homePollInterval)
	}
}

// noHomeOutcome returns the outcome of a job when there is no home.
func noHomeOutcome(sent bool) work.Outcome {
	if sent {
		return work.Outcome{State: work.Unknown, Reason: "no entry acts as home"}
	}
	return work.Outcome{State: work.Rejected, Reason: "no entry acts as home", RetryAfter: time.Second}
}

// waitEndReason returns the reason why the wait for a job has ended.
func waitEndReason(ctx context.Context) string {
	if cause := context.Cause(ctx); cause != context.Canceled {
		return cause.Error()
	}
	return "the caller has gone"
}

// homeLost makes the roster select another home at once.
func (e *Entry) homeLost(m roster.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roster.MarkUnreachable(m.Address)
}

// runAt hands a job to a home and waits for the outcome.
func (e *Entry) runAt(ctx context.Context, m roster.Member, args *RunArgs) (out work.Outcome, moved bool, err error) {
	ctx, span := telemetry.StartSpan(ctx, "entry → home")
	defer span.End()
	args.Job.Trace = telemetry.Inject(ctx)
	if m.Life == e.life {
		out, moved = e.home.run(ctx, args)
		return out, moved, nil
	}
	args.Session = e.addJobAt(m.Address)
	defer e.removeJobAt(m.Address)
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.watchHome(watched, cancel, m, args.Session)
	c := e.peer(m.Address)
	rep, err := wire.Call[RunArgs, RunReply](watched, c, entryRun, args)
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

// addJobAt counts a job that is handed to a home, and returns its session there.
func (e *Entry) addJobAt(address string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobsAt[address]++
	return e.sessions[address]
}

func (e *Entry) removeJobAt(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobsAt[address]--
}

// endSession gives up all jobs of this entry at a home. The home learns of it from
// the number of the new session in the next greeting.
func (e *Entry) endSession(address string, session uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sessions[address] == session {
		e.sessions[address]++
	}
}

// watchHome cancels a call to a home when the home is out of contact or the session
// there has ended.
func (e *Entry) watchHome(ctx context.Context, cancel context.CancelFunc, m roster.Member, session uint64) {
	tick := time.NewTicker(homeGreetInterval)
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

// withdrawAt withdraws a job from a home, since no caller waits for it.
func (e *Entry) withdrawAt(c *wire.Client, args *WithdrawArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), greetTimeout)
	defer cancel()
	if _, err := wire.Call[WithdrawArgs, WithdrawReply](ctx, c, entryWithdraw, args); err != nil {
		e.requestLog.Info().Err(err).Str("job", args.Job).Msg("job not withdrawn")
	}
}

// Run runs a job for another entry.
func (m *entryMethods) Run(args *RunArgs, reply *RunReply) error {
	reply.Outcome, reply.Moved = m.e.home.run(context.Background(), args)
	return nil
}

// Withdraw withdraws a job for another entry.
func (m *entryMethods) Withdraw(args *WithdrawArgs, _ *WithdrawReply) error {
	m.e.home.withdraw(entrySession{args.Entry, args.Session}, args.Job)
	return nil
}
