package entry

import (
	"context"
	"maps"
	"time"

	"masticbay/member"
	"masticbay/wire"
)

func (e *Entry) sweepInterval() time.Duration {
	return min(maxSleep, e.cfg.Policy.HeartbeatInterval.D())
}

// contactTimeoutHeartbeats is the number of heartbeat intervals without contact
// with an agent after which its connection is closed and the agent is probed.
const contactTimeoutHeartbeats = 5

// sweep updates what depends on the time since the last contact with entries
// and agents. It runs in the core loop.
func (e *Entry) sweep(now time.Time) {
	e.mayRun.Store(e.core.members.MayRun(now))
	outOfContact := e.core.members.OutOfContact(now)
	e.outOfContact.Store(&outOfContact)
	e.core.dispatch.SetIsolated(e.core.members.Isolated(now))
	e.refreshQuota(now)
	maps.DeleteFunc(e.core.leavingSince, func(_ string, at time.Time) bool {
		return now.Sub(at) > e.cfg.Policy.Retention()
	})
	limit := time.Duration(contactTimeoutHeartbeats*e.stretch()) * e.cfg.Policy.HeartbeatInterval.D()
	for id, l := range e.core.agents {
		if l.ended {
			e.dropEnded(id)
			continue
		}
		if !l.probing && e.core.watchdog.SinceContact(now, id) > limit {
			l.client.Reset()
			e.markUnreachable(l, wire.ErrTimeout)
		}
	}
	for _, change := range e.core.watchdog.Sweep(now, e.core.members) {
		if removal, ok := change.(member.RemoveAgent); ok {
			e.endAgent(now, removal.ID, "")
		}
		e.queueChange(change)
	}
}

// dropEnded deletes the link of an ended agent once it is no longer listed.
func (e *Entry) dropEnded(id string) {
	if _, listed := e.core.members.Registry().Agent(id); !listed {
		delete(e.core.agents, id)
	}
}

// isResponsible reports whether this entry manages the agents of a service on
// behalf of all entries.
func (e *Entry) isResponsible(service string) bool {
	return e.core.members.Registry().Responsible(e.id, service)
}

// pushUpdates sends newer table rows, and the registry revision that first listed
// an agent, to those agents of this entry's responsibility that lack them. It
// runs in the core loop.
func (e *Entry) pushUpdates() {
	reg := e.core.members.Registry()
	for id, l := range e.core.agents {
		if !e.isResponsible(l.info.Service) {
			continue
		}
		listed, _ := reg.Agent(id)
		snap := e.rows.Current()
		if l.pushed.table >= snap.Revision() && l.pushed.joined == listed.Joined {
			continue
		}
		args := wire.UpdateArgs{
			Entry: e.id, Table: snap.Revision(), Rows: snap.Rows(l.pushed.table),
			Registry: reg.Revision, Listed: listed.Joined,
		}
		l.pushed = pushedRevisions{table: snap.Revision(), registry: reg.Revision, joined: listed.Joined}
		go e.pushUpdate(l, args)
	}
}

func (e *Entry) pushUpdate(l *agentLink, args wire.UpdateArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rep, err := wire.Call[wire.UpdateArgs, wire.UpdateReply](ctx, l.client, wire.AgentUpdate, &args)
	e.post(func(now time.Time) {
		if err != nil {
			l.pushed = pushedRevisions{} // the reply to the next announcement carries the update
			e.markUnreachable(l, err)
			return
		}
		e.recordContact(now, &rep.Status)
		e.core.dispatch.ApplyStatus(now, &rep.Status)
	})
}
