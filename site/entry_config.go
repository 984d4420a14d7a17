package site

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticbay/platform"
	"masticbay/store"
)

const (
	configWait       = 5 * time.Second // of one watch; a connection that went silent is found after it
	configRetry      = 150 * time.Millisecond
	configRetryLimit = time.Second // the longest pause while the store does not answer
)

// readDuty reads the configuration now and then, since a watch of a store that
// drops its history may miss a change. The home reads often; the others hear of
// a new version when they greet it.
func (e *Entry) readDuty() {
	for {
		pause := readOther
		if m, ok := e.currentHome(); !ok || m.Life == e.life {
			pause = readHome
		}
		select {
		case <-e.stop:
			return
		case <-time.After(pause):
		}
		it, _, err := e.store.Get(context.Background(), platform.ConfigKey)
		if err != nil {
			e.log.Debug().Err(err).Msg("configuration not read")
			continue
		}
		e.applyConfig(it.Value, "store, read")
	}
}

// A configuration has to be in force 2 s after it was written.
const (
	readHome  = 800 * time.Millisecond
	readOther = 3 * time.Second
)

// configDuty keeps the operator's configuration up to date from the store.
func (e *Entry) configDuty() {
	var rev uint64
	pause, lost := configRetry, false
	for {
		select {
		case <-e.stop:
			return
		default:
		}
		next, err := e.followConfig(rev)
		if err == nil {
			rev, pause = next, configRetry
			if lost {
				lost = false
				e.log.Info().Uint64("revision", rev).Msg("store answers")
			}
			continue
		}
		if !lost {
			lost = true
			e.log.Warn().Err(err).Uint64("revision", rev).Msg("store does not answer")
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			rev = 0
		}
		time.Sleep(pause)
		pause = min(2*pause, configRetryLimit)
	}
}

// followConfig reads the configuration if rev is 0, and else waits for a change
// after rev. It returns the revision to continue from.
func (e *Entry) followConfig(rev uint64) (next uint64, err error) {
	ctx := context.Background()
	if rev == 0 {
		it, asOf, err := e.store.Get(ctx, platform.ConfigKey)
		if errors.Is(err, store.ErrNotFound) {
			time.Sleep(configRetry)
			return 0, nil
		}
		if err != nil {
			return 0, err
		}
		e.applyConfig(it.Value, "store")
		return max(asOf, it.Revision), nil
	}
	items, next, err := e.store.Watch(ctx, platform.ConfigKey, rev, configWait)
	if err != nil {
		return rev, err
	}
	for _, it := range items {
		if it.Key == platform.ConfigKey {
			e.applyConfig(it.Value, "store")
		}
	}
	return max(next, rev), nil
}
