package entry

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/claim"
	"masticbay/member"
	"masticbay/wire"
)

const (
	stopPoll = 20 * time.Millisecond
	// adoptBatch bounds the jobs in one message of a handover.
	adoptBatch = 200
)

// Stop ends the entry as planned: it refuses new jobs, waits until its open jobs
// have ended, hands its remembered answers over to peers, and leaves the
// registry.
func (e *Entry) Stop(ctx context.Context) (err error) {
	defer func() { err = errors.Annotate(err, "stopping the entry") }()
	e.stopping.Store(true)
	e.log.Info().Msg("entry is stopping")
	if err := e.awaitIdle(ctx); err != nil {
		e.Kill()
		return err
	}
	if e.handOver(ctx) {
		e.leave(ctx)
	}
	err = e.web.Shutdown(ctx)
	e.Kill()
	e.log.Info().Msg("entry stopped")
	return err
}

// leave removes the entry from the registry and tells its peers, who remove it
// if the key-value service does not answer now.
func (e *Entry) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reg, err := e.writeRegistry(ctx, []member.Change{member.RemoveEntry{ID: e.id}})
	if err == nil {
		_ = e.doInCore(ctx, func(now time.Time) { e.mergeState(now, &reg, nil, 0) }) // on failure the peers, which are called next, remove the entry
	}
	for _, addr := range e.peersToCall(true) {
		e.callPeer(addr, true)
	}
}

// awaitIdle waits until no job is open and no request waits.
func (e *Entry) awaitIdle(ctx context.Context) error {
	for {
		open, err := callCore(ctx, e, func(time.Time) int { return e.core.dispatch.Open() + len(e.core.waiters) })
		if err != nil {
			return errors.Annotate(err, "waiting for open jobs")
		}
		if open == 0 {
			return nil
		}
		if !e.sleep(stopPoll) {
			return nil
		}
	}
}

// handOver sends what this entry remembers about each job to the entry that
// becomes its home. It reports whether all of it was accepted: only then may the
// entry leave the registry at once.
func (e *Entry) handOver(ctx context.Context) bool {
	remembered, err := callCore(ctx, e, e.core.dispatch.Export)
	if err != nil {
		return false
	}
	after, _ := e.registry.Load().With([]member.Change{member.RemoveEntry{ID: e.id}})
	batches := make(map[string][]claim.Remembered)
	for _, r := range remembered {
		home, ok := after.Home(e.cfg.Policy.HomeName(r.Service, r.Key))
		if !ok {
			return false
		}
		batches[home.Address] = append(batches[home.Address], r)
	}
	for addr, batch := range batches {
		for part := range slices.Chunk(batch, adoptBatch) {
			if !e.adopt(ctx, addr, part) {
				return false
			}
		}
	}
	return true
}

// adopt asks the entry at an address to adopt jobs and reports whether it did.
func (e *Entry) adopt(ctx context.Context, address string, jobs []claim.Remembered) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := wire.AdoptArgs{Jobs: jobs}
	_, err := wire.Call[wire.AdoptArgs, wire.AdoptReply](ctx, e.peers.client(e, address), wire.EntryAdopt, &args)
	if err != nil {
		e.log.Warn().Err(err).Str("address", address).Msg("handover of job records to a peer failed")
	}
	return err == nil
}
