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

// pendingState holds the changes of the registry that are not written yet.
type pendingState struct {
	mu      sync.Mutex // guards changes
	changes []member.Change
}

// maxPending bounds the changes that wait; more of them come again by
// themselves, with the next announcement or sweep.
const maxPending = 2000

// join plans a change of the registry.
func (e *Entry) join(c member.Change) {
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
	poke(e.pokeJoin)
}

func (e *Entry) takePending() []member.Change {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	cs := e.pending.changes
	e.pending.changes = nil
	return cs
}

const (
	joinBatch       = 50 * time.Millisecond // gathers changes into one write
	firstJoinPause  = 100 * time.Millisecond
	longestJoinWait = 5 * time.Second
)

// joinDuty writes planned changes into the registry, many with one write. When
// the key-value service does not answer, they wait; nothing else does.
func (e *Entry) joinDuty() {
	pause := backoff{first: firstJoinPause, longest: longestJoinWait}
	for {
		select {
		case <-e.stop:
			return
		case <-e.pokeJoin:
		}
		if !e.sleep(joinBatch) {
			return
		}
		changes := e.takePending()
		reg, err := e.writeRegistry(context.Background(), changes)
		if err != nil {
			e.log.Debug().Err(err).Msg("registry not written")
			e.restorePending(changes)
			if !e.sleep(pause.next()) {
				return
			}
			poke(e.pokeJoin)
			continue
		}
		pause.reset()
		e.post(func(now time.Time) { e.learn(now, &reg, nil, 0) })
	}
}

func (e *Entry) restorePending(cs []member.Change) {
	for _, c := range cs {
		e.join(c)
	}
}

// errConflict tells that another entry wrote the registry first.
const errConflict = errors.ConstError("the registry was changed meanwhile")

// writeRegistry applies changes to the stored registry and returns the newest
// state. A write whose answer was lost is applied again on top of what is
// stored then, where it changes nothing if it had taken effect.
func (e *Entry) writeRegistry(ctx context.Context, changes []member.Change) (reg member.Registry, err error) {
	defer func() { err = errors.Annotate(err, "writing the registry") }()
	it, err := e.store.Get(ctx, member.RegistryKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return reg, err
	}
	stored, err := member.Decode(it.Value)
	if err != nil {
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
	_, ok, err := e.store.CompareAndSwap(ctx, member.RegistryKey, value, it.Revision)
	if err == nil && !ok {
		return reg, errConflict
	}
	return next, err
}

// registryChanged passes a new registry on. It runs in the core duty.
func (e *Entry) registryChanged(now time.Time) {
	reg := *e.core.members.Registry()
	e.view.Store(&reg)
	e.core.dispatch.SetRegistry(dispatch.NewRegistry(e.id, &reg))
	e.log.Debug().Uint64("revision", reg.Revision).Int("entries", len(reg.Entries)).Int("agents", len(reg.Agents)).Msg("registry changed")
	e.applyLimits(now)
	if _, listed := reg.Entry(e.id); !listed && !e.refusing.Load() {
		e.join(member.AddEntry{Entry: e.member()})
	}
}

// wantListed plans to list an agent. The entry that is responsible does so at
// once, the others only if it stays unlisted.
func (e *Entry) wantListed(a member.Agent, reg *member.Registry) {
	listed, ok := reg.Agent(a.ID)
	if ok {
		if listed.Suspended {
			e.join(member.SuspendAgent{ID: a.ID, On: false})
		}
		return
	}
	if e.responsible(a.Service) {
		e.join(member.AddAgent{Agent: a})
		return
	}
	go func() {
		if e.sleep(e.cfg.Policy.PeerInterval.D()) {
			e.post(func(time.Time) {
				if _, ok := e.core.members.Registry().Agent(a.ID); !ok && e.core.agents[a.ID] != nil {
					e.join(member.AddAgent{Agent: a})
				}
			})
		}
	}()
}
