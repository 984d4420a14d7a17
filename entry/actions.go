package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticbay/dispatch"
	"masticbay/gate"
	"masticbay/job"
	"masticbay/member"
	"masticbay/telemetry"
	"masticbay/wire"
)

// perform carries out the actions of the Core. Calls run in goroutines of
// their own; their number is bounded by the credits, and for seals and claims
// by one batch for each agent and retry.
func (e *Entry) perform() {
	acts := e.core.dispatch.Take()
	for i := range acts.Runs {
		e.run(&acts.Runs[i])
	}
	for i := range acts.Seals {
		e.seal(&acts.Seals[i])
	}
	for i := range acts.Claims {
		e.claim(&acts.Claims[i])
	}
	for i := range acts.Inquiries {
		e.inquire(&acts.Inquiries[i])
	}
	for _, ask := range acts.Asks {
		e.ask(ask)
	}
	for i := range acts.Answers {
		delete(e.core.traces, acts.Answers[i].Key)
		e.wake(acts.Answers[i].Key, outcome{answer: &acts.Answers[i]})
	}
	for _, r := range acts.Redirects {
		e.wake(r.Key, outcome{moved: r.Holder})
	}
	if acts.QuotaShort {
		e.quotaShort(e.clock.Now())
	}
	if acts.WantRegistry > e.core.members.Registry().Revision {
		poke(e.pokePeer)
		poke(e.pokeJoin)
	}
}

// run sends a dispatch and posts its outcome.
func (e *Entry) run(r *dispatch.Run) {
	attempt := r.Args.Dispatch.Attempt
	l := e.core.agents[r.Agent]
	if l == nil {
		e.core.dispatch.RunLost(e.clock.Now(), attempt, false)
		return
	}
	trace := e.traceOf(r.Args.Dispatch.Task.Job)
	args := r.Args
	go func() {
		ctx, span := telemetry.Span(telemetry.Extract(context.Background(), trace), "entry → agent")
		defer span.End()
		args.Dispatch.Trace = telemetry.Inject(ctx)
		ctx, cancel := context.WithTimeout(ctx, args.Dispatch.StartWithin+runGrace)
		defer cancel()
		rep, err := wire.Call[wire.RunArgs, wire.RunReply](ctx, l.client, wire.AgentRun, &args)
		e.post(func(now time.Time) { e.ran(now, l, attempt, rep, err) })
	}()
}

// runGrace is how long after its deadline a task may still be running before
// its agent is asked about it.
const runGrace = 30 * time.Second

func (e *Entry) ran(now time.Time, l *agentLink, attempt uint64, rep *wire.RunReply, err error) {
	if err == nil {
		e.heard(now, &rep.Status)
		e.core.dispatch.RunDone(now, attempt, &rep.Decision, &rep.Status)
		return
	}
	sent := !errors.Is(err, wire.ErrNotSent)
	if !errors.Is(err, wire.ErrTimeout) {
		e.down(l, err)
	}
	e.core.dispatch.RunLost(now, attempt, sent)
}

// down marks an agent as unreachable and probes it until it answers or is
// known to be gone.
func (e *Entry) down(l *agentLink, err error) {
	e.core.dispatch.AgentDown(l.info.ID)
	if l.probing || l.ended {
		return
	}
	l.probing = true
	e.log.Warn().Err(err).Str("agent", l.info.ID).Msg("agent not reached")
	go e.probe(l)
}

const (
	firstProbePause   = 50 * time.Millisecond
	longestProbePause = 2 * time.Second
	callTimeout       = 2 * time.Second
)

func (e *Entry) probe(l *agentLink) {
	pause := backoff{first: firstProbePause, longest: longestProbePause}
	for {
		if !e.sleep(pause.next()) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		rep, err := wire.Call[wire.UpdateArgs, wire.UpdateReply](ctx, l.client, wire.AgentUpdate, &wire.UpdateArgs{Entry: e.id})
		cancel()
		over := make(chan bool, 1)
		posted := e.post(func(now time.Time) { over <- e.probed(now, l, rep, err) })
		if !posted {
			return
		}
		select {
		case <-e.stop:
			return
		case done := <-over:
			if done {
				return
			}
		}
	}
}

// probed reports whether probing is over.
func (e *Entry) probed(now time.Time, l *agentLink, rep *wire.UpdateReply, err error) bool {
	if l.ended {
		return true
	}
	if err != nil {
		l.client.Reset()
		return false
	}
	l.probing = false
	if rep.Status.Agent != l.info.ID {
		return true // another incarnation lives there; it announces itself
	}
	e.log.Info().Str("agent", l.info.ID).Msg("agent reached again")
	e.heard(now, &rep.Status)
	e.core.dispatch.Status(now, &rep.Status)
	return true
}

func (e *Entry) heard(now time.Time, st *wire.Status) {
	if e.core.agents[st.Agent] != nil {
		e.core.watchdog.Heard(now, st.Agent)
	}
}

// seal asks an agent, or the one that has its record, about attempts.
func (e *Entry) seal(s *dispatch.SentSeal) {
	c := e.clientFor(s.Seal.Agent)
	if c == nil {
		return // the Core asks again
	}
	sent := *s
	go func() {
		args := wire.SealArgs{Seal: sent.Seal}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		rep, err := wire.Call[wire.SealArgs, wire.SealReply](ctx, c, wire.AgentSeal, &args)
		if err != nil {
			return
		}
		e.post(func(now time.Time) {
			e.core.dispatch.Sealed(now, &sent, rep.Decisions, &rep.Status)
		})
	}()
}

// claim asks an agent, or the one that has its record, about jobs.
func (e *Entry) claim(cl *gate.Claim) {
	c := e.clientFor(cl.Agent)
	if c == nil {
		return
	}
	args := wire.ClaimArgs{Claim: *cl}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		rep, err := wire.Call[wire.ClaimArgs, wire.ClaimReply](ctx, c, wire.AgentClaim, &args)
		if err != nil {
			return
		}
		e.post(func(now time.Time) {
			e.core.dispatch.Granted(now, args.Claim.Agent, rep.Grants)
		})
	}()
}

// inquire asks another entry what it dispatched.
func (e *Entry) inquire(q *dispatch.SentInquiry) {
	to, ok := e.core.members.Registry().Entry(q.To)
	if !ok {
		return
	}
	args := wire.InquireArgs{Inquiry: q.Inquiry}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		rep, err := wire.Call[wire.InquireArgs, wire.InquireReply](ctx, e.peers.client(e, to.Address), wire.EntryInquire, &args)
		if err != nil || rep.Entry != to.ID {
			return // the Core asks again
		}
		e.post(func(now time.Time) { e.core.dispatch.Testified(now, to.ID, rep.Testimonies) })
	}()
}

func (e *Entry) ask(a dispatch.Ask) {
	l := e.core.agents[a.Agent]
	if l == nil {
		return
	}
	args := wire.AskArgs{Entry: e.id, Demand: a.Demand}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		rep, err := wire.Call[wire.AskArgs, wire.AskReply](ctx, l.client, wire.AgentAsk, &args)
		e.post(func(now time.Time) {
			if err != nil {
				e.core.dispatch.Asked(now, a.Agent, nil)
				e.down(l, err)
				return
			}
			e.heard(now, &rep.Status)
			e.core.dispatch.Asked(now, a.Agent, &rep.Status)
		})
	}()
}

// clientFor returns the client of an agent, of the agent that took over its
// record, or nil if neither is known.
func (e *Entry) clientFor(id string) *wire.Client {
	if heir, ok := e.heirOf(id); ok {
		id = heir
	}
	if l := e.core.agents[id]; l != nil && l.ended {
		return nil
	} else if l != nil {
		return l.client
	}
	if a, ok := e.core.members.Registry().Agent(id); ok {
		return e.link(a).client
	}
	return nil
}

func (e *Entry) heirOf(id string) (string, bool) {
	if heir, ok := e.core.heirs[id]; ok {
		return heir, true
	}
	return e.core.members.Registry().Heir(id)
}

// link returns the connection to an agent, making one if there is none.
func (e *Entry) link(a member.Agent) *agentLink {
	l := e.core.agents[a.ID]
	if l == nil {
		l = &agentLink{
			info:   a,
			client: e.newClient(a.Address),
		}
		e.core.agents[a.ID] = l
	}
	return l
}

// traceOf returns the trace that the submission of a job belongs to.
func (e *Entry) traceOf(k job.Key) string {
	return e.core.traces[k]
}
