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

// performActions carries out the actions of the Core. Each call runs in its own
// goroutine; their number is bounded by the credits, and for seals and claims
// by one batch for each agent and retry.
func (e *Entry) performActions() {
	actions := e.core.dispatch.Take()
	for i := range actions.Runs {
		e.sendRun(&actions.Runs[i])
	}
	for i := range actions.Seals {
		e.sendSeal(&actions.Seals[i])
	}
	for i := range actions.Claims {
		e.sendClaim(&actions.Claims[i])
	}
	for i := range actions.Inquiries {
		e.sendInquiry(&actions.Inquiries[i])
	}
	for _, ask := range actions.Asks {
		e.requestCredits(ask)
	}
	for i := range actions.Answers {
		delete(e.core.traces, actions.Answers[i].Key)
		e.answerWaiters(actions.Answers[i].Key, outcome{answer: &actions.Answers[i]})
	}
	for _, r := range actions.Redirects {
		e.answerWaiters(r.Key, outcome{holder: r.Holder})
	}
	if actions.QuotaShort {
		e.requestQuota(e.clock.Now())
	}
	if actions.WantRegistry > e.core.members.Registry().Revision {
		notify(e.peerWakeup)
		notify(e.registryWakeup)
	}
}

// sendRun sends a dispatch to its agent and posts the reply.
func (e *Entry) sendRun(r *dispatch.Run) {
	attempt := r.Args.Dispatch.Attempt
	l := e.core.agents[r.Agent]
	if l == nil {
		e.core.dispatch.RunCallFailed(e.clock.Now(), attempt, false)
		return
	}
	trace := e.traceOf(r.Args.Dispatch.Task.Job)
	args := r.Args
	go func() {
		ctx, span := telemetry.StartSpan(telemetry.Extract(context.Background(), trace), "entry → agent")
		defer span.End()
		args.Dispatch.Trace = telemetry.Inject(ctx)
		ctx, cancel := context.WithTimeout(ctx, args.Dispatch.StartWithin+runGrace)
		defer cancel()
		rep, err := wire.Call[wire.RunArgs, wire.RunReply](ctx, l.client, wire.AgentRun, &args)
		e.post(func(now time.Time) { e.takeRunReply(now, l, attempt, rep, err) })
	}()
}

// runGrace is how long a task may still run after its deadline before its agent
// is asked about it.
const runGrace = 30 * time.Second

func (e *Entry) takeRunReply(now time.Time, l *agentLink, attempt uint64, rep *wire.RunReply, err error) {
	if err == nil {
		e.recordContact(now, &rep.Status)
		e.core.dispatch.RunAnswered(now, attempt, &rep.Decision, &rep.Status)
		return
	}
	sent := !errors.Is(err, wire.ErrNotSent)
	if !errors.Is(err, wire.ErrTimeout) {
		e.markUnreachable(l, err)
	}
	e.core.dispatch.RunCallFailed(now, attempt, sent)
}

// markUnreachable marks an agent as unreachable and probes it until it answers
// or has ended.
func (e *Entry) markUnreachable(l *agentLink, err error) {
	e.core.dispatch.AgentDown(l.info.ID)
	if l.probing || l.ended {
		return
	}
	l.probing = true
	e.log.Warn().Err(err).Str("agent", l.info.ID).Msg("agent is unreachable")
	go e.probe(l)
}

const (
	probeInitialBackoff = 50 * time.Millisecond
	probeMaxBackoff     = 2 * time.Second
	callTimeout         = 2 * time.Second
)

func (e *Entry) probe(l *agentLink) {
	delays := backoff{initial: probeInitialBackoff, limit: probeMaxBackoff}
	for {
		if !e.sleep(delays.next()) {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		rep, err := wire.Call[wire.UpdateArgs, wire.UpdateReply](ctx, l.client, wire.AgentUpdate, &wire.UpdateArgs{Entry: e.id})
		cancel()
		finished := make(chan bool, 1)
		posted := e.post(func(now time.Time) { finished <- e.takeProbeReply(now, l, rep, err) })
		if !posted {
			return
		}
		select {
		case <-e.stop:
			return
		case isOver := <-finished:
			if isOver {
				return
			}
		}
	}
}

// takeProbeReply applies the reply to a probe, or its failure. It reports
// whether probing is over.
func (e *Entry) takeProbeReply(now time.Time, l *agentLink, rep *wire.UpdateReply, err error) bool {
	if l.ended {
		return true
	}
	if err != nil {
		l.client.Reset()
		return false
	}
	l.probing = false
	if rep.Status.Agent != l.info.ID {
		return true // another incarnation runs there; it announces itself
	}
	e.log.Info().Str("agent", l.info.ID).Msg("agent is reachable again")
	e.recordContact(now, &rep.Status)
	e.core.dispatch.ApplyStatus(now, &rep.Status)
	return true
}

// recordContact records a message of an agent as contact with it.
func (e *Entry) recordContact(now time.Time, st *wire.Status) {
	if e.core.agents[st.Agent] != nil {
		e.core.watchdog.RecordContact(now, st.Agent)
	}
}

// sendSeal seals attempts at their agent, or at its successor.
func (e *Entry) sendSeal(s *dispatch.SentSeal) {
	c := e.clientFor(s.Seal.Agent)
	if c == nil {
		return // the Core retries
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
			e.core.dispatch.SealAnswered(now, &sent, rep.Decisions, &rep.Status)
		})
	}()
}

// sendClaim claims jobs at an agent, or at its successor.
func (e *Entry) sendClaim(cl *gate.Claim) {
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
			e.core.dispatch.ClaimAnswered(now, args.Claim.Agent, rep.Grants)
		})
	}()
}

// sendInquiry asks another entry what it dispatched of jobs that are claimed.
func (e *Entry) sendInquiry(q *dispatch.SentInquiry) {
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
			return // the Core retries
		}
		e.post(func(now time.Time) { e.core.dispatch.InquiryAnswered(now, to.ID, rep.Testimonies) })
	}()
}

// requestCredits asks an agent for credits.
func (e *Entry) requestCredits(a dispatch.Ask) {
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
				e.core.dispatch.AskAnswered(now, a.Agent, nil)
				e.markUnreachable(l, err)
				return
			}
			e.recordContact(now, &rep.Status)
			e.core.dispatch.AskAnswered(now, a.Agent, &rep.Status)
		})
	}()
}

// clientFor returns the client of an agent or of its successor, or nil if
// neither is known.
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
		return e.ensureLink(a).client
	}
	return nil
}

func (e *Entry) heirOf(id string) (string, bool) {
	if heir, ok := e.core.heirs[id]; ok {
		return heir, true
	}
	return e.core.members.Registry().Heir(id)
}

// ensureLink returns the connection to an agent and creates it if needed.
func (e *Entry) ensureLink(a member.Agent) *agentLink {
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

// traceOf returns the traceparent of a job's submission, empty if it is not
// traced.
func (e *Entry) traceOf(k job.Key) string {
	return e.core.traces[k]
}
