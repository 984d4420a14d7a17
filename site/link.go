package site

import (
	"context"
	"sync/atomic"
	"time"

	"masticbay/wire"
	"masticbay/work"
)

// link is a home's connection to one agent. Its fields are guarded by home.mu.
type link struct {
	h       *home
	agent   string
	client  *wire.Client
	stop    chan struct{}
	life    string // incarnation of the agent; empty before it was heard
	echo    time.Duration
	echoAt  time.Time    // when echo was received
	orders  []orderBatch // that the agent has not confirmed
	target  work.Target
	version uint64
	silent  atomic.Bool
}

// newLink makes a link to the incarnation of an agent that the core knows. The
// caller holds home.mu.
func newLink(h *home, agent string) *link {
	l := &link{h: h, agent: agent, client: wire.NewClient(agent, rpcOptions(h.e.network)), stop: make(chan struct{})}
	l.life, _ = h.core.Taken(agent)
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

// duty asks the agent for news again and again.
func (l *link) duty() {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		if l.sync(l.wait()) {
			continue
		}
		select {
		case <-l.stop:
			return
		case <-time.After(linkPause):
		}
	}
}

// wait is how long the next exchange waits for news: not at all before the agent
// was heard, and longer on large sites, most of all while the agent has no tasks, so
// that a home makes at most about a thousand exchanges a second.
func (l *link) wait() time.Duration {
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	wait := max(syncWait, time.Duration(len(l.h.links))*syncPerLink)
	switch {
	case l.echo == 0:
		return 0
	case l.h.core.Uses(l.agent):
		return min(wait, syncWaitMost)
	}
	return min(wait, syncWaitIdle)
}

// linkPause is the pause after a sync that failed.
const linkPause = 30 * time.Millisecond

// send queues orders and sends them at once. The caller holds home.mu.
func (l *link) send(starts []work.Start, stops []work.Run) {
	l.h.lastOrder++
	b := orderBatch{Seq: l.h.lastOrder, Echo: l.echo, Stops: stops, Starts: starts}
	for i := range starts {
		if b.Specs == nil {
			b.Specs = make(map[string]string)
		}
		b.Specs[starts[i].Run.Task.Job] = starts[i].Spec
		starts[i].Spec = ""
	}
	l.orders = append(l.orders, b)
	go l.sync(0)
}

// sync makes one exchange and reports whether the agent answered.
func (l *link) sync(wait time.Duration) bool {
	l.h.mu.Lock()
	args := SyncArgs{Home: l.h.e.life, Life: l.life, Echo: l.echo, Orders: l.orders, Target: l.version, Wait: wait}
	if life, known := l.h.core.Taken(l.agent); life == l.life {
		args.Known, args.Acked = known, l.h.core.Acked(l.agent)
	}
	args.Tenure = l.tenure()
	l.h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wait+syncSlack)
	defer cancel()
	rep, err := wire.Call[SyncArgs, SyncReply](ctx, l.client, agentSync, &args)
	if err != nil {
		l.client.Reset()
		if !l.closed() && !l.silent.Swap(true) {
			l.h.e.log.Warn().Err(err).Str("agent", l.agent).Msg("agent does not answer")
		}
		return false
	}
	if l.silent.Swap(false) {
		l.h.e.log.Info().Str("agent", l.agent).Msg("agent answers")
	}
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	if l.closed() {
		return false // another link may have newer news by now
	}
	l.take(rep)
	return true
}

// tenure returns what the agent is told about the ledger. The caller holds
// home.mu.
func (l *link) tenure() (t tenureArgs) {
	h := l.h
	t.Vacant = h.ledger.Vacant()
	if l.echo == 0 || !h.ledger.Held() {
		return t // the core would not know the jobs of what the agent tells
	}
	t.Epoch = h.ledger.Epoch()
	// The agent's time was at least echo at echoAt.
	t.Owned = l.echo + h.ledger.Owned().Sub(l.echoAt)
	t.Kept = !h.core.Confirmed(l.agent)
	return t
}

// take takes a reply. The caller holds home.mu.
func (l *link) take(rep *SyncReply) {
	if rep.Report.Life != l.life {
		l.life, l.orders, l.echo, l.version = rep.Report.Life, nil, 0, 0
	}
	if rep.Report.Target.ID != "" {
		l.target = rep.Report.Target
		l.version = rep.Target
	}
	stale := rep.Stamp < l.echo
	if rep.Stamp > l.echo {
		l.echo, l.echoAt = rep.Stamp, l.h.e.now()
	}
	for len(l.orders) > 0 && l.orders[0].Seq <= rep.Taken {
		l.orders = l.orders[1:]
	}
	if stale && len(rep.Report.Events) == 0 {
		return
	}
	rep.Report.Target = l.target
	l.h.core.Report(l.h.e.now(), l.agent, &rep.Report)
	l.h.flush()
}
