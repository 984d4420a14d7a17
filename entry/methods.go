package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticbay/claim"
	"masticbay/dispatch"
	"masticbay/job"
	"masticbay/member"
	"masticbay/wire"
)

// methods holds the RPCs that agents and other entries call.
type methods struct {
	e *Entry
}

// Announce records an agent and replies with the updates that it lacks.
func (m *methods) Announce(args *wire.AnnounceArgs, rep *wire.AnnounceReply) error {
	e := m.e
	r, err := callCore(context.Background(), e, func(now time.Time) (r wire.AnnounceReply) {
		e.takeAnnouncement(now, args, &r)
		return r
	})
	*rep = r
	return err
}

// takeAnnouncement applies an announcement. It runs in the core loop.
func (e *Entry) takeAnnouncement(now time.Time, args *wire.AnnounceArgs, rep *wire.AnnounceReply) {
	reg := e.core.members.Registry()
	rep.Entry = e.id
	if args.EntriesHash != reg.EntriesHash() {
		rep.Entries = reg.Entries
	}
	rep.Stretch = e.stretch()
	if args.Agent.Service == "" {
		return // no target has announced itself to the agent yet
	}
	e.endReplaced(now, args.Agent)
	l := e.ensureLink(args.Agent)
	l.info = args.Agent
	e.core.watchdog.RecordAnnouncement(now, args.Agent.ID)
	info := dispatch.AgentInfo{ID: args.Agent.ID, Service: args.Agent.Service, DataCentre: args.Agent.DataCentre}
	e.core.dispatch.AgentUp(now, info, &args.Status)
	rep.Update = e.updatesFor(l, &args.Status)
	e.queueListing(args.Agent, reg)
}

const (
	agentsPerStretch = 100 // agents for each step of the factor
	maxStretch       = 5
)

// stretch returns the factor by which agents lengthen their heartbeat interval:
// with many agents each of them sends less often, so that the message rate at
// one entry does not grow with the fleet.
func (e *Entry) stretch() int {
	n := (len(e.core.agents) + agentsPerStretch - 1) / agentsPerStretch
	return min(max(n, 1), maxStretch)
}

// updatesFor returns the updates that an agent with a status lacks.
func (e *Entry) updatesFor(l *agentLink, st *wire.Status) wire.UpdateArgs {
	snap := e.rows.Current()
	reg := e.core.members.Registry()
	update := wire.UpdateArgs{Entry: e.id, Table: snap.Revision(), Registry: reg.Revision}
	if st.Table < snap.Revision() {
		update.Rows = snap.Rows(st.Table)
	}
	if a, ok := reg.Agent(st.Agent); ok {
		update.Listed = a.Joined
	}
	l.pushed = pushedRevisions{table: update.Table, registry: update.Registry, joined: update.Listed}
	return update
}

// endReplaced marks earlier incarnations at an agent's address as ended: a new
// one runs there.
func (e *Entry) endReplaced(now time.Time, a member.Agent) {
	for id, l := range e.core.agents {
		if id != a.ID && l.info.Address == a.Address {
			e.endAgent(now, id, "")
		}
	}
}

// endAgent records that an incarnation of an agent has ended. Its link is kept
// while the registry lists it.
func (e *Entry) endAgent(now time.Time, id, heir string) {
	l := e.core.agents[id]
	if l == nil || l.ended {
		return
	}
	l.ended = true
	l.client.Close()
	e.core.watchdog.MarkEnded(now, id)
	if heir != "" {
		e.core.heirs[id] = heir
	}
	_, handedOver := e.heirOf(id)
	e.core.dispatch.AgentGone(now, id, handedOver)
	e.log.Info().Str("agent", id).Str("heir", heir).Msg("agent ended")
}

// Offer accepts credits from an agent, or returns idle ones that it recalls.
func (m *methods) Offer(args *wire.OfferArgs, rep *wire.OfferReply) error {
	e := m.e
	r, err := callCore(context.Background(), e, func(now time.Time) (r wire.OfferReply) {
		e.recordContact(now, &args.Status)
		e.core.dispatch.ApplyStatus(now, &args.Status)
		if args.Recall {
			r.Epoch, r.Returned, r.Demand = e.core.dispatch.Recall(args.Status.Agent)
		}
		return r
	})
	*rep = r
	return err
}

// Peers lists the agents that can take over the records of a leaving agent.
func (m *methods) Peers(args *wire.PeersArgs, rep *wire.PeersReply) error {
	e := m.e
	r, err := callCore(context.Background(), e, func(time.Time) (r wire.PeersReply) {
		for _, a := range e.core.members.Registry().Agents {
			l := e.core.agents[a.ID]
			if a.ID == args.Agent || a.Service != args.Service || a.Suspended || l == nil || l.probing {
				continue
			}
			r.Agents = append(r.Agents, a)
		}
		return r
	})
	*rep = r
	return err
}

// Leave records that an agent has ended as planned.
func (m *methods) Leave(args *wire.LeaveArgs, _ *wire.LeaveReply) error {
	e := m.e
	err := e.doInCore(context.Background(), func(now time.Time) {
		e.endAgent(now, args.Agent, args.Heir)
	})
	if args.Heir != "" {
		e.queueChange(member.RemoveAgent{ID: args.Agent, Heir: args.Heir})
	}
	return err // without a successor the agent stays listed as long as the tasks it started matter
}

// Peer exchanges updates with another entry.
func (m *methods) Peer(args *wire.PeerArgs, rep *wire.PeerReply) error {
	e := m.e
	r, err := callCore(context.Background(), e, func(now time.Time) (r wire.PeerReply) {
		e.answerPeer(now, args, &r)
		return r
	})
	if args.Leaving {
		e.queueChange(member.RemoveEntry{ID: args.Entry.ID})
	}
	*rep = r
	return err
}

// forwardMaxAge bounds the time that a forwarded submission may be in transit.
const forwardMaxAge = 3 * time.Second

// Submit runs a job that another entry forwarded, and waits for its answer. A
// forward that was in transit for too long, or whose sender has no recent stamp
// of this entry, is refused: its sender may have run the job elsewhere by now.
func (m *methods) Submit(args *wire.SubmitArgs, rep *wire.SubmitReply) error {
	if m.e.stamp()-args.Stamp > forwardMaxAge {
		rep.Refused = &job.RefusedError{Code: job.Stale, Message: "the forward was too long on its way"}
		return nil
	}
	s := submission{spec: args.Spec, id: args.Submission, from: args.From, mustClaim: args.Claim, trace: args.Trace}
	ans, err := m.e.resolve(context.Background(), s)
	if refused, ok := errors.AsType[*job.RefusedError](err); ok {
		rep.Refused = refused
		return nil
	}
	rep.Answer = &ans
	return err
}

// Lookup returns a job of this entry.
func (m *methods) Lookup(args *wire.LookupArgs, rep *wire.LookupReply) error {
	ans, found, err := m.e.lookupHere(context.Background(), args.Key, args.Wait)
	rep.Answer, rep.Found = ans, found
	return err
}

// Cancel cancels a job of this entry.
func (m *methods) Cancel(args *wire.CancelArgs, rep *wire.CancelReply) error {
	e := m.e
	found, err := callCore(context.Background(), e, func(now time.Time) bool { return e.core.dispatch.Cancel(now, args.Key) })
	rep.Found = found
	return err
}

// Inquire replies with what this entry dispatched of jobs that another claims.
func (m *methods) Inquire(args *wire.InquireArgs, rep *wire.InquireReply) error {
	e := m.e
	testimonies, err := callCore(context.Background(), e, func(now time.Time) []claim.Testimony {
		return e.core.dispatch.AnswerInquiry(now, &args.Inquiry)
	})
	rep.Entry, rep.Testimonies = e.id, testimonies
	return err
}

// Adopt imports what a leaving entry remembers about jobs.
func (m *methods) Adopt(args *wire.AdoptArgs, _ *wire.AdoptReply) error {
	e := m.e
	return e.doInCore(context.Background(), func(now time.Time) {
		for i := range args.Jobs {
			e.core.dispatch.Import(now, &args.Jobs[i])
		}
	})
}

// Revisions returns the table revisions of this entry and of its agents.
func (m *methods) Revisions(_ *wire.RevisionsArgs, rep *wire.RevisionsReply) error {
	e := m.e
	revs, err := callCore(context.Background(), e, func(time.Time) map[string]uint64 {
		revs := map[string]uint64{e.id: e.rows.Current().Revision()}
		for _, a := range e.core.dispatch.Agents() {
			if a.Reachable {
				revs[a.ID] = a.Status.Table
			}
		}
		return revs
	})
	rep.Table = revs
	return err
}
