package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticbay/gate"
	"masticbay/member"
	"masticbay/wire"
)

// Stop ends the agent gracefully: it refuses new work, waits for running tasks, hands
// its records over to a peer, and notifies the entries.
func (a *Agent) Stop(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "stopping the agent") }()
	a.mu.Lock()
	a.stopping = true
	a.updateSlotsAndDrainLocked()
	a.mu.Unlock()
	if err := a.awaitIdle(ctx); err != nil {
		a.Kill()
		return err
	}
	heir := a.handOver(ctx)
	a.leave(ctx, heir)
	a.log.Info().Str("heir", heir).Msg("agent stopped")
	if a.close() {
		a.server.Close()
		a.web.Close()
	}
	return nil
}

const (
	idlePoll = 20 * time.Millisecond
	// replyGrace is the time for the replies of the last tasks to be sent before the
	// connections are closed.
	replyGrace = 100 * time.Millisecond
)

func (a *Agent) awaitIdle(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		a.runningTasks.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "waiting for running tasks")
	}
	time.Sleep(replyGrace)
	return nil
}

// handOver hands the records over to a peer of the same service and returns the ID of
// that heir, or "" if no peer took them.
func (a *Agent) handOver(ctx context.Context) (heir string) {
	a.mu.Lock()
	h, ok := a.gate.Export(a.clock.Now())
	a.mu.Unlock()
	if !ok {
		return ""
	}
	for _, peer := range a.peers(ctx) {
		if a.handOverTo(ctx, peer, &h) {
			return peer.ID
		}
	}
	return ""
}

func (a *Agent) handOverTo(ctx context.Context, peer member.Agent, h *gate.Handover) bool {
	c := a.newClient(peer.Address)
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := wire.HandoverArgs{Handover: *h}
	rep, err := wire.Call[wire.HandoverArgs, wire.HandoverReply](ctx, c, wire.AgentHandover, &args)
	if err != nil || rep.Status.Agent != peer.ID {
		a.log.Warn().Err(err).Str("peer", peer.ID).Msg("peer did not take the records")
		return false
	}
	return true
}

// peers asks the entries for the listed agents of the same service.
func (a *Agent) peers(ctx context.Context) []member.Agent {
	for _, l := range a.reachableLinks() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		args := wire.PeersArgs{Agent: a.id, Service: a.service()}
		rep, err := wire.Call[wire.PeersArgs, wire.PeersReply](ctx, l.client, wire.EntryPeers, &args)
		cancel()
		if err == nil && len(rep.Agents) > 0 {
			return rep.Agents
		}
	}
	return nil
}

func (a *Agent) service() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announced.Service
}

func (a *Agent) reachableLinks() (ls []*link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.entry != "" && !l.failing {
			ls = append(ls, l)
		}
	}
	return ls
}

// leave notifies the entries that the agent has ended, and which agent is its heir.
func (a *Agent) leave(ctx context.Context, heir string) {
	for _, l := range a.reachableLinks() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		args := wire.LeaveArgs{Agent: a.id, Heir: heir}
		_, err := wire.Call[wire.LeaveArgs, wire.LeaveReply](ctx, l.client, wire.EntryLeave, &args)
		cancel()
		if err != nil {
			a.log.Warn().Err(err).Msg("entry was not notified of the stop")
		}
	}
}
