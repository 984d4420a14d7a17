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
	watchPrefix  = "masticbay/"
	longestWait  = 30 * time.Second
	firstWatch   = 100 * time.Millisecond
	longestWatch = 5 * time.Second
)

// watchDuty follows the registry and the table in the key-value service. Only
// one entry of each data centre does; the others learn from their peers.
func (e *Entry) watchDuty() {
	pause := backoff{first: firstWatch, longest: longestWatch}
	var after uint64
	for {
		if !e.isWatcher() {
			after = 0
			if !e.sleep(e.cfg.Policy.PeerInterval.D()) {
				return
			}
			continue
		}
		rev, err := e.watchOnce(after)
		if err == nil {
			after = rev
			pause.reset()
			continue
		}
		if !e.sleep(pause.next()) {
			return
		}
	}
}

// isWatcher reports whether this entry is the first of its data centre that is
// in contact, or not listed yet.
func (e *Entry) isWatcher() bool {
	yes, err := ask(context.Background(), e, func(now time.Time) bool {
		contact := contactIntervals * e.cfg.Policy.PeerInterval.D()
		reg := e.core.members.Registry()
		if _, listed := reg.Entry(e.id); !listed {
			return true
		}
		for _, p := range reg.Entries {
			at, ok := e.core.members.LastContact(p.ID)
			if p.DataCentre == e.cfg.Common.DataCentre && p.ID < e.id && ok && now.Sub(at) < contact {
				return false
			}
		}
		return true
	})
	return err == nil && yes
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
	begin := e.clock.Now()
	items, rev, err := e.store.Watch(ctx, watchPrefix, after, e.watchWait())
	if err != nil {
		return 0, err
	}
	reg, rows, err := decodeState(items)
	if err != nil {
		e.log.Error().Err(err).Msg("the key-value service holds what can not be read")
		return 0, err
	}
	e.post(func(now time.Time) {
		e.learn(now, reg, rows, latest(rows))
		e.core.members.Refresh(begin)
	})
	return rev, nil
}

// watchWait returns how long a watch waits for news: short against the time in
// which the registry must be known to be the newest.
func (e *Entry) watchWait() time.Duration {
	return min(longestWait, e.cfg.Policy.Retention()/watchesInRetention)
}

const watchesInRetention = 8

func decodeState(items []store.Item) (reg *member.Registry, rows []table.Row, err error) {
	var tableItems []store.Item
	for _, it := range items {
		if it.Key != member.RegistryKey {
			tableItems = append(tableItems, it)
			continue
		}
		r, err := member.Decode(it.Value)
		if err != nil {
			return nil, nil, err
		}
		reg = &r
	}
	rows, err = table.Decode(tableItems)
	return reg, rows, err
}

func latest(rows []table.Row) (rev uint64) {
	for i := range rows {
		rev = max(rev, rows[i].Revision)
	}
	return rev
}

// tableChanged brings the limits in line with the table. It runs in the core
// duty.
func (e *Entry) tableChanged(now time.Time) {
	e.log.Info().Uint64("revision", e.rows.Current().Revision()).Msg("table changed")
	e.applyLimits(now)
}

func (e *Entry) applyLimits(now time.Time) {
	snap := e.rows.Current()
	e.core.dispatch.SetLimits(now, dispatch.Limits{
		Services: e.serviceShares(snap.Of(table.Service)),
		Teams:    e.teamShares(now, snap.Of(table.Team)),
	})
}
