package site

import (
	"context"
	"sync/atomic"
	"time"

	"masticbay/wire"
	"masticbay/work"
)

// link is a home's connection to one agent: it sends orders and takes reports. Its
// fields are guarded by home.mu.
type link struct {
	h             *home
	agent         string
	client        *wire.Client
	stop          chan struct{}
	latest        messageOrder
	echo          time.Duration
	orders        []orderBatch // not acknowledged by the agent
	target        work.Target
	targetVersion uint64
	outOfContact  atomic.Bool
}

// newLink opens a link to an agent, at first for the incarnation that the core knows.
// The caller holds home.mu.
func newLink(h *home, agent string) *link {
	l := &link{h: h, agent: agent, client: wire.NewClient(agent, rpcOptions(h.e.network)), stop: make(chan struct{})}
	l.latest.life, _ = h.core.LastReceived(agent)
	go l.duty()
	return l
}

func (l *link) close() {
	close(l.stop)
	l.client.Close()
}

func (l *link) closed() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// duty is the loop that asks the agent for events. After an exchange without an answer
// the next one does not wait, so that the agent gets a recent echo before it stops the
// runs of this home.
func (l *link) duty() {
	answered := true
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		wait := time.Duration(0)
		if answered {
			wait = l.syncWaitTime()
		}
		if answered = l.sync(wait); answered {
			continue
		}
		select {
		case <-l.stop:
			return
		case <-time.After(syncRetryInterval):
		}
	}
}

// syncWaitTime returns how long the next exchange waits for events: not at all before
// the agent's first report, and longer on large sites, most of all while the agent has
// no tasks, so that a home makes at most about a thousand exchanges a second.
func (l *link) syncWaitTime() time.Duration {
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	wait := max(syncWait, time.Duration(l.h.siteAgents)*syncWaitPerAgent)
	switch {
	case l.echo == 0:
		return 0
	case l.h.core.HasRuns(l.agent):
		return min(wait, maxSyncWait)
	}
	return min(wait, maxIdleSyncWait)
}

// syncRetryInterval is the time between a sync that failed and the next one.
const syncRetryInterval = 30 * time.Millisecond

// send queues orders and starts an exchange that carries them. The caller holds
// home.mu.
func (l *link) send(b orderBatch) {
	l.h.lastOrder++
	b.Seq, b.Echo = l.h.lastOrder, l.echo
	for i := range b.Starts {
		if b.Specs == nil {
			b.Specs = make(map[string]string)
		}
		b.Specs[b.Starts[i].Run.Task.Job] = b.Starts[i].Spec
		b.Starts[i].Spec = ""
	}
	l.orders = append(l.orders, b)
	go l.sync(0)
}

// sync makes one exchange and reports whether the agent answered.
func (l *link) sync(wait time.Duration) bool {
	l.h.mu.Lock()
	args, sentAt := l.nextArgs(wait), l.h.e.now()
	l.h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wait+syncSlack)
	defer cancel()
	rep, err := wire.Call[SyncArgs, SyncReply](ctx, l.client, agentSync, &args)
	if err != nil {
		l.client.Reset()
		if !l.closed() && !l.outOfContact.Swap(true) {
			l.h.e.log.Warn().Err(err).Str("agent", l.agent).Msg("agent does not answer")
		}
		return false
	}
	if l.outOfContact.Swap(false) {
		l.h.e.log.Info().Str("agent", l.agent).Msg("agent answers")
	}
	l.h.e.evacuations.take(rep.Evacuation, "agent "+l.agent)
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	if l.closed() {
		return false // another link may have newer reports by now
	}
	l.takeReply(sentAt, rep)
	return true
}

// nextArgs returns the arguments of an exchange that begins now. The caller holds home.mu.
func (l *link) nextArgs(wait time.Duration) SyncArgs {
	// The runs of entries out of contact are stopped before the contact is renewed on
	// which they rest.
	l.h.dropOutOfContact(l.h.e.now())
	l.h.deliverDecisions()
	args := SyncArgs{Home: l.h.e.life, Life: l.latest.life, Echo: l.echo, Orders: l.orders, Target: l.targetVersion, Wait: wait}
	if life, known := l.h.core.LastReceived(l.agent); life == l.latest.life {
		args.Known, args.Acked, args.Transits = known, l.h.core.Acked(l.agent), l.h.core.TransitVersion(l.agent)
	}
	args.Tenure, args.Evacuation = l.ledgerTenure(), l.h.e.evacuations.set()
	args.Claim = l.h.claimFor(l.agent)
	return args
}

// ledgerTenure returns the tenure that is sent to the agent. The caller holds home.mu.
func (l *link) ledgerTenure() (t tenureArgs) {
	h := l.h
	t.Vacant = h.ledger.Vacant() || h.e.vacant()
	if l.echo == 0 || !h.ledger.Held() {
		return t // the core does not know the jobs of the runs that the agent would list
	}
	t.Epoch = h.ledger.Epoch()
	// When the reply with echo was received, the agent's time was at least echo.
	t.Owned = l.echo + h.ledger.RenewedAt().Sub(l.latest.receivedAt)
	t.Kept = !h.core.TenureConfirmed(l.agent)
	return t
}

// takeReply processes the reply of an exchange that began at sentAt, unless a later one has been processed:
// the agent's incarnation, its acknowledgement of orders and its report. The caller holds home.mu.
func (l *link) takeReply(sentAt time.Time, rep *SyncReply) {
	now, life := l.h.e.now(), l.latest.life
	if !l.latest.take(now, sentAt, rep.Report.Life, numberOf(rep.Number, rep.Stamp)) {
		l.repeatQuestion(rep)
		return
	}
	if l.latest.life != life {
		l.orders, l.targetVersion = nil, 0
	}
	if rep.Report.Target.ID != "" {
		l.target, l.targetVersion = rep.Report.Target, rep.Target
	}
	l.echo = rep.Stamp
	for len(l.orders) > 0 && l.orders[0].Seq <= rep.Taken && rep.Taken <= l.h.lastOrder {
		l.orders = l.orders[1:]
	}
	rep.Report.Target, rep.Report.AskedAt = l.target, sentAt
	l.h.core.Report(now, l.agent, &rep.Report)
	l.h.deliverDecisions()
}

// repeatQuestion asks the agent for its inherited runs again if an overtaken reply lists them: the later one
// may not, and the next exchange may wait for events. The caller holds home.mu.
func (l *link) repeatQuestion(overtaken *SyncReply) {
	if overtaken.Report.Asked && !l.h.core.TenureConfirmed(l.agent) {
		go l.sync(0)
	}
}
