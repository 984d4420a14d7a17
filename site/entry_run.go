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

// run hands a job to a home and returns its outcome and the last home that was tried. A job that one home rejects is
// handed on to the next candidate, in a fixed order (see entry_declined.go). If a home is lost with the job, run hands it to
// another one, which starts it once no run under the lost home is left.
func (e *Entry) run(ctx context.Context, j work.Job, receivedAt time.Time) (out work.Outcome, home roster.Member) {
	firstRun := 0
	var lost lostHome
	var d declined
	for {
		if ctx.Err() != nil {
			return work.Outcome{State: work.Unknown, Reason: waitEndReason(ctx)}, home
		}
		candidates := e.awaitCandidates(ctx, j.ID, lost.any())
		if len(candidates) == 0 {
			return noHomeOutcome(lost.any()), home
		}
		var result runResult
		out, home, result = e.runAtAny(ctx, candidates, j, firstRun, receivedAt, &lost, &d)
		switch result {
		case homeAnswered:
			return truthful(out, lost.any()), home
		case homeUnreached:
			if d.waitIsOver(e.now(), lost.any()) {
				return noHomeOutcome(lost.any()), home
			}
			sleep(ctx, homePollInterval)
			continue
		case callerGone:
			return work.Outcome{State: work.Unknown, Reason: waitEndReason(ctx)}, home
		}
		lost, d = lostHome{at: e.now(), agents: max(lost.agents, home.Agents)}, declined{}
		e.metrics.jobsHomeLost.Inc(1)
		e.requestLog.Warn().Str("job", j.ID).Str("home", home.Name).Str("homeLife", home.Life).Msg("home lost with a job; waits for its runs to end")
		e.homeLost(home)
		firstRun += runNumberStride
		sleep(ctx, homePollInterval)
	}
}

// lostHome is what is known of the homes that were lost with a job. The zero value is for
// a job whose homes are not lost.
type lostHome struct {
	at     time.Time // when the last one was lost
	agents int       // largest number of agents that one was in contact with
}

func (l *lostHome) any() bool { return !l.at.IsZero() }

// runResult tells how handing a job to homes went.
type runResult int

const (
	homeAnswered  runResult = iota
	homeUnreached           // no home has taken the job
	homeLost                // the job may have run at the home
	callerGone
)

// runAtAny hands a job to the candidates in turn until one of them does not reject it. Those in d
// are left out, and those that reject it are added. It returns the outcome and the last home that was tried.
func (e *Entry) runAtAny(ctx context.Context, candidates []roster.Member, j work.Job, firstRun int, receivedAt time.Time, lost *lostHome, d *declined) (out work.Outcome, home roster.Member, result runResult) {
	for i := range candidates {
		home = candidates[i]
		if d.has(home) {
			continue
		}
		args := RunArgs{Entry: e.life, FirstRun: firstRun, Declined: d.lives}
		if lost.any() {
			if !home.Seals {
				sleep(ctx, RunsOfLostHomeEndAfter-e.now().Sub(lost.at))
			}
			args.LostFor, args.LostAgents = e.now().Sub(lost.at), lost.agents
		}
		j.Age, j.Alternative = e.now().Sub(receivedAt), d.hasOther(candidates, home)
		args.Job = j
		args.Job.Left = j.Left - j.Age
		answer, moved, err := e.runAt(ctx, home, &args)
		switch {
		case err == nil && moved:
			if len(candidates) > 1 {
				d.addMoved(e.now())
			}
			return out, home, homeUnreached
		case err == nil && answer.State != work.Rejected:
			return answer, home, homeAnswered
		case err == nil:
			d.add(home, answer)
		case ctx.Err() != nil:
			return out, home, callerGone
		case errors.Is(err, wire.ErrNotSent):
			e.requestLog.Info().Err(err).Str("job", j.ID).Str("home", home.Name).Msg("home not reached; job not handed over")
			e.homeLost(home)
			return out, home, homeUnreached
		default:
			e.requestLog.Info().Err(err).Str("job", j.ID).Str("home", home.Name).Msg("home does not answer")
			return out, home, homeLost
		}
	}
	return d.last, home, homeAnswered
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
	args.Session, args.Echo, args.Call = e.addJobAt(m.Address), e.stampOf(m), e.lastCall.Add(1)
	if args.Echo == 0 && sendsStamps(m) {
		e.removeJobAt(m.Address)
		return out, true, nil // its first greeting has not been answered
	}
	defer e.removeJobAt(m.Address)
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.watchHome(watched, cancel, m, args.Session)
	c := e.peer(m.Address)
	rep, err := wire.Call[RunArgs, RunReply](watched, c, entryRun, args)
	if errors.Is(err, wire.ErrBroken) && sendsStamps(m) {
		if again, ok := e.reattach(watched, c, m, *args); ok {
			rep, err = again, nil
		}
	}
	switch {
	case err == nil:
		return rep.Outcome, rep.Moved, nil
	case ctx.Err() != nil:
		go e.withdrawAt(c, m, &WithdrawArgs{Entry: e.life, Session: args.Session, Call: args.Call, Job: args.Job.ID})
	case !errors.Is(err, wire.ErrNotSent):
		e.endSession(m.Address, args.Session)
	}
	return out, false, err
}

// sendsStamps reports whether an entry is of a build that sends stamps in greetings and
// checks for which incarnation of a home a job is meant. Earlier builds know no cells.
func sendsStamps(m roster.Member) bool { return m.Cells > 0 }

// maxReattachments bounds how often a job is handed again to a home whose connection
// broke.
const maxReattachments = 3

// reattach hands a job again to the home that has it, after the connection broke. A
// home that lives knows the job and goes on with it. It reports false if the home does
// not take the call, which then may have ended, or if the answer is not that the job has
// ended: the home may still receive the first call and run the job.
func (e *Entry) reattach(ctx context.Context, c *wire.Client, m roster.Member, args RunArgs) (rep *RunReply, ok bool) {
	args.Home = m.Life
	for n := 0; n < maxReattachments && ctx.Err() == nil; n++ {
		args.Echo = e.stampOf(m)
		rep, err := wire.Call[RunArgs, RunReply](ctx, c, entryRun, &args)
		switch {
		case err == nil && (rep.Outcome.State == work.Completed || rep.Outcome.State == work.JobFailed):
			e.requestLog.Info().Str("job", args.Job.ID).Str("home", m.Name).Msg("connection to the home broke; job continued there")
			return rep, true
		case !errors.Is(err, wire.ErrBroken):
			return nil, false
		}
	}
	return nil, false
}

// addJobAt counts a job that is handed to a home, and returns its session there.
func (e *Entry) addJobAt(address string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobsAt[address]++
	return e.sessions[address]
}

// stampOf returns the last stamp that another entry has sent; 0 if there is none.
func (e *Entry) stampOf(m roster.Member) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.stamps[m.Address]; s.latest.life == m.Life {
		return s.stamp
	}
	return 0
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

// A withdrawal that is not answered is repeated.
const (
	maxWithdrawals     = 8
	withdrawalInterval = 50 * time.Millisecond
)

// withdrawAt withdraws a job from a home, since no caller waits for it. The caller may
// submit it again to another home, so the session ends if the home is lost meanwhile.
func (e *Entry) withdrawAt(c *wire.Client, m roster.Member, args *WithdrawArgs) {
	for n := 0; n < maxWithdrawals && e.inContact(m, args.Session); n++ {
		err := e.withdrawOnce(c, args)
		if err == nil {
			return
		}
		e.requestLog.Info().Err(err).Str("job", args.Job).Str("home", m.Name).Int("attempt", n+1).Msg("job not withdrawn")
		sleep(e.ending, withdrawalInterval)
	}
	e.endSession(m.Address, args.Session)
}

func (e *Entry) withdrawOnce(c *wire.Client, args *WithdrawArgs) error {
	ctx, cancel := context.WithTimeout(context.Background(), greetAnswerTimeout)
	defer cancel()
	_, err := wire.Call[WithdrawArgs, WithdrawReply](ctx, c, entryWithdraw, args)
	return err
}

// Run runs a job for another entry.
func (m *entryMethods) Run(args *RunArgs, reply *RunReply) error {
	if err := args.Job.Validate(); err != nil {
		return err
	}
	reply.Outcome, reply.Moved = m.e.home.run(context.Background(), args)
	return nil
}

// Withdraw withdraws a job for another entry.
func (m *entryMethods) Withdraw(args *WithdrawArgs, _ *WithdrawReply) error {
	m.e.home.withdraw(entrySession{args.Entry, args.Session}, args.Job, args.Call)
	return nil
}
