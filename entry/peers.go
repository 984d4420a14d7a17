package entry

import (
	"context"
	"sync"
	"time"

	"masticbay/member"
	"masticbay/table"
	"masticbay/wire"
)

// peerState holds the connections to other entries.
type peerState struct {
	mu     sync.Mutex // guards the fields below and those of each link
	links  map[string]*peerLink
	closed bool
}

// peerLink is the connection to one entry, identified by address.
type peerLink struct {
	client           *wire.Client
	registryRevision uint64        // of its registry, as last reported
	tableRevision    uint64        // of its table, as last reported
	stamp            time.Duration // from its last message
	stampReceivedAt  time.Time
}

// estimateStamp returns a peer's current stamp, extrapolated from its last
// message, or 0 if it has sent none.
func (p *peerState) estimateStamp(l *peerLink, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.stampReceivedAt.IsZero() {
		return 0
	}
	return l.stamp + now.Sub(l.stampReceivedAt)
}

// setStamp records the stamp of a peer's message.
func (p *peerState) setStamp(l *peerLink, stamp time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.stamp, l.stampReceivedAt = stamp, now
}

func (p *peerState) client(e *Entry, address string) *wire.Client {
	return p.link(e, address).client
}

func (p *peerState) link(e *Entry, address string) *peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &peerLink{client: e.newClient(address)}
		p.links[address] = l
		if p.closed {
			l.client.Close()
		}
	}
	return l
}

func (p *peerState) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.client.Close()
	}
}

// noteRevisions records the revisions that a peer has.
func (p *peerState) noteRevisions(l *peerLink, revision, tableRevision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.registryRevision = max(l.registryRevision, revision)
	l.tableRevision = max(l.tableRevision, tableRevision)
}

func (p *peerState) knownRevisions(l *peerLink) (revision, tableRevision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return l.registryRevision, l.tableRevision
}

// peerDuty exchanges updates with the other entries in every interval, and at
// once when something has changed here. Of each pair of entries, the one with
// the lower identifier calls; the other calls only if it was not called.
func (e *Entry) peerDuty() {
	tick := time.NewTicker(e.cfg.Policy.PeerInterval.D())
	defer tick.Stop()
	for {
		urgent := false
		select {
		case <-e.stop:
			return
		case <-e.peerWakeup:
			urgent = true
		case <-tick.C:
		}
		for _, addr := range e.peersToCall(urgent) {
			go e.callPeer(addr, false)
		}
	}
}

// peersToCall returns the addresses of the peers that this entry has to call
// now: all of them if urgent is set.
func (e *Entry) peersToCall(urgent bool) []string {
	addrs, _ := callCore(context.Background(), e, func(now time.Time) (addrs []string) {
		listed := make(map[string]bool)
		_, selfListed := e.core.members.Registry().Entry(e.id)
		for _, p := range e.core.members.Registry().Entries {
			listed[p.Address] = true
			if p.ID == e.id {
				continue
			}
			lastContact, known := e.core.members.LastContact(p.ID)
			stale := !known || now.Sub(lastContact) > 3*e.cfg.Policy.PeerInterval.D()/2
			if urgent || !selfListed || e.id < p.ID || stale {
				addrs = append(addrs, p.Address)
			}
		}
		for _, addr := range e.cfg.Peers {
			if !listed[addr] && addr != e.address {
				addrs = append(addrs, addr)
			}
		}
		return addrs
	})
	return addrs
}

// stamp returns the time since this entry started.
func (e *Entry) stamp() time.Duration {
	return e.clock.Now().Sub(e.startedAt)
}

// callPeer exchanges updates with one entry. If leaving is set, it also says that
// this entry ends now.
func (e *Entry) callPeer(address string, leaving bool) {
	l := e.peers.link(e, address)
	peerRevision, peerTable := e.peers.knownRevisions(l)
	sentAt := e.clock.Now()
	args, err := callCore(context.Background(), e, func(now time.Time) wire.PeerArgs {
		reg := e.core.members.Registry()
		args := wire.PeerArgs{Entry: e.member(), Stopping: e.stopping.Load(), Leaving: leaving}
		args.EntriesHash = reg.EntriesHash()
		args.Revision = reg.Revision
		args.Table = e.rows.Current().Revision()
		args.Stamp = e.stamp()
		args.Ended = e.core.members.Ended()
		args.Age = e.core.members.Age(now)
		args.Quota = e.quotaMessageFor(address)
		args.Registry, args.Rows = e.updatesForPeer(peerRevision, peerTable)
		return args
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rep, err := wire.Call[wire.PeerArgs, wire.PeerReply](ctx, l.client, wire.EntryPeer, &args)
	if err != nil {
		l.client.Reset()
		return
	}
	e.peers.setStamp(l, rep.Stamp, e.clock.Now())
	e.peers.noteRevisions(l, max(rep.Revision, args.Revision), max(rep.Table, args.Table))
	e.post(func(now time.Time) {
		e.mergeState(now, rep.Registry, rep.Rows, rep.Table)
		e.confirmRevision(sentAt.Add(-rep.Age), rep.Revision)
		e.endEntries(rep.Ended...)
		e.core.members.Confirm(now, rep.Entry, rep.EntriesHash)
		e.takeQuota(now, rep.Entry, &rep.Quota)
	})
}

// answerPeer answers the call of a peer. It runs in the core loop.
func (e *Entry) answerPeer(now time.Time, args *wire.PeerArgs, rep *wire.PeerReply) {
	e.mergeState(now, args.Registry, args.Rows, args.Table)
	e.confirmRevision(now.Add(-args.Age-e.cfg.Policy.Window.D()), args.Revision) // no message is in transit for longer than a window
	e.core.members.Confirm(now, args.Entry.ID, args.EntriesHash)
	reg := e.core.members.Registry()
	rep.Entry = e.id
	rep.EntriesHash = reg.EntriesHash()
	rep.Stamp = e.stamp()
	e.takeQuota(now, args.Entry.ID, &args.Quota)
	rep.Quota = wire.Quota{Wants: e.wantsFrom(args.Entry.ID), Grants: e.grantsTo(now, args.Entry.ID, args.Quota.Wants)}
	e.peers.setStamp(e.peers.link(e, args.Entry.Address), args.Stamp, now)
	rep.Age = e.core.members.Age(now)
	rep.Revision = reg.Revision
	rep.Table = e.rows.Current().Revision()
	rep.Registry, rep.Rows = e.updatesForPeer(args.Revision, args.Table)
	e.endEntries(args.Ended...)
	if args.Leaving {
		e.endEntries(args.Entry.ID)
	}
	rep.Ended = e.core.members.Ended()
	if args.Stopping {
		e.core.leavingSince[args.Entry.ID] = now
	}
	_, listed := reg.Entry(args.Entry.ID)
	if _, leaving := e.core.leavingSince[args.Entry.ID]; !listed && !leaving {
		e.queueChange(member.AddEntry{Entry: args.Entry})
	}
}

// endEntries records that entries have ended for good and tells the peers. It
// reports whether that was new for any of them.
func (e *Entry) endEntries(ids ...string) (isNew bool) {
	if isNew = e.core.members.MarkEnded(ids...); isNew {
		e.log.Info().Strs("entries", ids).Msg("entries have ended")
		notify(e.peerWakeup)
	}
	return isNew
}

// MarkEnded declares that a listed entry has ended for good. It reports whether the
// entry was listed and not known to have ended.
func (e *Entry) MarkEnded(ctx context.Context, id string) (isNew bool, err error) {
	return callCore(ctx, e, func(time.Time) bool { return e.endEntries(id) })
}

// confirmRevision records that the registry with a revision was the newest at a
// time.
func (e *Entry) confirmRevision(at time.Time, revision uint64) {
	if e.core.members.Registry().Revision >= revision {
		e.core.members.ConfirmNewest(at)
	}
}

// updatesForPeer returns what a peer with the given revisions lacks.
func (e *Entry) updatesForPeer(revision, tableRevision uint64) (reg *member.Registry, rows []table.Row) {
	if current := e.core.members.Registry(); current.Revision > revision {
		registry := *current
		reg = &registry
	}
	if snap := e.rows.Current(); snap.Revision() > tableRevision {
		rows = snap.Rows(tableRevision)
	}
	return reg, rows
}

// mergeState applies a registry and table rows from any source, and passes them
// on if they are new. The rows hold every change up to tableRevision that this
// entry lacked when it sent its own revision.
func (e *Entry) mergeState(now time.Time, reg *member.Registry, rows []table.Row, tableRevision uint64) {
	isNew := false
	if reg != nil && e.core.members.Update(now, *reg) {
		isNew = true
		e.applyRegistry(now)
	}
	if len(rows) > 0 && e.rows.Apply(rows, tableRevision) {
		isNew = true
		e.applyTable(now)
	}
	if isNew {
		notify(e.peerWakeup)
		e.pushUpdates()
	}
}
