package entry

import (
	"context"
	"time"

	"masticbay/dispatch"
	"masticbay/member"
	"masticbay/store"
	"masticbay/table"
)

const (
	watchPrefix         = "masticbay/"
	maxWatchWait        = 30 * time.Second
	watchInitialBackoff = 100 * time.Millisecond
	watchMaxBackoff     = 5 * time.Second
)

// watchDuty watches the registry and the table in the key-value service. Only
// one entry of each data centre does; the others get updates from their peers.
func (e *Entry) watchDuty() {
	delays := backoff{initial: watchInitialBackoff, limit: watchMaxBackoff}
	var lastRevision uint64
	for {
		if !e.isWatcher() {
			lastRevision = 0
			if !e.sleep(e.cfg.Policy.PeerInterval.D()) {
				return
			}
			continue
		}
		rev, err := e.watchOnce(lastRevision)
		if err == nil {
			lastRevision = rev
			delays.reset()
			continue
		}
		if !e.sleep(delays.next()) {
			return
		}
	}
}

// isWatcher reports whether this entry watches the key-value service: it is the
// first of its data centre that is in contact, or not listed yet.
func (e *Entry) isWatcher() bool {
	shouldWatch, err := callCore(context.Background(), e, func(now time.Time) bool {
		contactTimeout := contactTimeoutIntervals * e.cfg.Policy.PeerInterval.D()
		reg := e.core.members.Registry()
		if _, listed := reg.Entry(e.id); !listed {
			return true
		}
		for _, p := range reg.Entries {
			lastContact, known := e.core.members.LastContact(p.ID)
			if p.DataCentre == e.cfg.Common.DataCentre && p.ID < e.id && known && now.Sub(lastContact) < contactTimeout {
				return false
			}
		}
		return true
	})
	return err == nil && shouldWatch
}

func (e *Entry) watchOnce(after uint64) (rev uint64, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-e.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	requestedAt := e.clock.Now()
	items, rev, err := e.store.Watch(ctx, watchPrefix, after, e.watchWait())
	if err != nil {
		return 0, err
	}
	st := decodeState(items)
	for _, err := range st.ignored {
		e.log.Error().Err(err).Msg("item of the registry or the table ignored")
	}
	e.post(func(now time.Time) {
		e.mergeState(now, st.registry, st.rows, latestRevision(st.rows))
		if !st.registryUnreadable {
			e.core.members.ConfirmNewest(requestedAt)
		}
	})
	return rev, nil
}

// watchWait returns how long a watch waits for changes. It is short against the
// retention, within which the registry must be confirmed as the newest.
func (e *Entry) watchWait() time.Duration {
	return min(maxWatchWait, e.cfg.Policy.Retention()/watchesPerRetention)
}

const watchesPerRetention = 8

// storedState is what the key-value service holds for the entries.
type storedState struct {
	registry           *member.Registry // nil if there is none that can be read
	registryUnreadable bool
	rows               []table.Row
	ignored            []error // why items were ignored
}

func decodeState(items []store.Item) (s storedState) {
	s.rows, s.ignored = table.Decode(items)
	for _, it := range items {
		if it.Key != member.RegistryKey {
			continue
		}
		r, err := member.Decode(it.Value)
		if err != nil {
			s.registryUnreadable, s.ignored = true, append(s.ignored, err)
			continue
		}
		s.registry = &r
	}
	return s
}

func latestRevision(rows []table.Row) (rev uint64) {
	for i := range rows {
		rev = max(rev, rows[i].Revision)
	}
	return rev
}

// applyTable sets the limits to those of a changed table. It runs in the core
// loop.
func (e *Entry) applyTable(now time.Time) {
	e.log.Info().Uint64("revision", e.rows.Current().Revision()).Msg("table changed")
	e.applyLimits(now)
}

func (e *Entry) applyLimits(now time.Time) {
	snap := e.rows.Current()
	e.core.dispatch.SetLimits(now, dispatch.Limits{
		Services: e.serviceShares(snap.OfKind(table.Service)),
		Teams:    e.teamShares(now, snap.OfKind(table.Team)),
	})
}
