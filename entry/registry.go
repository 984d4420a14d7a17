package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"masticbay/dispatch"
	"masticbay/member"
	"masticbay/store"
)

// pendingState holds the changes to the registry that are not written yet.
type pendingState struct {
	mu      sync.Mutex // guards changes
	changes []member.Change
}

// maxPending bounds the pending changes. Those beyond it are dropped; the next
// announcement or sweep proposes them again.
const maxPending = 2000

// queueChange queues a change to the registry for registryDuty.
func (e *Entry) queueChange(c member.Change) {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	for _, known := range e.pending.changes {
		if known == c {
			return
		}
	}
	if len(e.pending.changes) < maxPending {
		e.pending.changes = append(e.pending.changes, c)
	}
	notify(e.registryWakeup)
}

// takePending removes and returns the pending changes.
func (e *Entry) takePending() []member.Change {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	changes := e.pending.changes
	e.pending.changes = nil
	return changes
}

const (
	changeBatchDelay       = 50 * time.Millisecond // time in which changes are gathered into one write
	registryInitialBackoff = 100 * time.Millisecond
	registryMaxBackoff     = 5 * time.Second
)

// registryDuty writes pending changes to the registry, many with one write. When
// the key-value service does not answer, only these changes wait.
func (e *Entry) registryDuty() {
	delays := backoff{initial: registryInitialBackoff, limit: registryMaxBackoff}
	for {
		select {
		case <-e.stop:
			return
		case <-e.registryWakeup:
		}
		if !e.sleep(changeBatchDelay) {
			return
		}
		changes := e.takePending()
		reg, err := e.writeRegistry(context.Background(), changes)
		if err != nil {
			e.log.Debug().Err(err).Msg("writing the registry failed; retrying")
			e.restorePending(changes)
			if !e.sleep(delays.next()) {
				return
			}
			notify(e.registryWakeup)
			continue
		}
		delays.reset()
		e.post(func(now time.Time) { e.mergeState(now, &reg, nil, 0) })
	}
}

// restorePending queues changes again whose write failed.
func (e *Entry) restorePending(changes []member.Change) {
	for _, c := range changes {
		e.queueChange(c)
	}
}

// errConflict reports that another entry wrote the registry first.
const errConflict = errors.ConstError("another entry changed the registry first")

// writeRegistry applies changes to the stored registry and returns the newest
// state. Changes whose write was not answered are applied again to the registry
// that is stored by then; if the write took effect, they change nothing.
func (e *Entry) writeRegistry(ctx context.Context, changes []member.Change) (reg member.Registry, err error) {
	defer func() { err = errors.Annotate(err, "writing the registry") }()
	stored := member.Registry{}
	item, err := e.store.Get(ctx, member.RegistryKey)
	switch {
	case err == nil:
		if stored, err = member.Decode(item.Value); err != nil {
			e.log.Error().Err(err).Msg("registry cannot be read; replaced by the newest known one")
			if stored = *e.registry.Load(); stored.Revision == 0 {
				return reg, err
			}
		}
	case !errors.Is(err, store.ErrNotFound):
		return reg, err
	}
	next, changed := stored.With(changes)
	if !changed {
		return stored, nil
	}
	value, err := next.Encode()
	if err != nil {
		return reg, err
	}
	_, swapped, err := e.store.CompareAndSwap(ctx, member.RegistryKey, value, item.Revision)
	if err == nil && !swapped {
		return reg, errConflict
	}
	return next, err
}

// applyRegistry passes a new registry to the Core and to readers outside the
// core loop, in which it runs.
func (e *Entry) applyRegistry(now time.Time) {
	reg := *e.core.members.Registry()
	e.registry.Store(&reg)
	e.core.dispatch.SetRegistry(dispatch.NewRegistry(e.id, &reg))
	e.log.Debug().Uint64("revision", reg.Revision).Int("entries", len(reg.Entries)).Int("agents", len(reg.Agents)).Msg("registry changed")
	e.applyLimits(now)
	if _, listed := reg.Entry(e.id); !listed && !e.stopping.Load() {
		e.queueChange(member.AddEntry{Entry: e.member()})
	}
}

// queueListing queues the listing of an agent. The responsible entry does so at
// once, the others only if the agent stays unlisted.
func (e *Entry) queueListing(a member.Agent, reg *member.Registry) {
	listed, ok := reg.Agent(a.ID)
	if ok {
		if listed.Suspended {
			e.queueChange(member.SuspendAgent{ID: a.ID, On: false})
		}
		return
	}
	if e.isResponsible(a.Service) {
		e.queueChange(member.AddAgent{Agent: a})
		return
	}
	go func() {
		if e.sleep(e.cfg.Policy.PeerInterval.D()) {
			e.post(func(time.Time) {
				if _, ok := e.core.members.Registry().Agent(a.ID); !ok && e.core.agents[a.ID] != nil {
					e.queueChange(member.AddAgent{Agent: a})
				}
			})
		}
	}()
}
