package site

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticbay/platform"
	"masticbay/store"
)

const (
	configWatchTimeout     = 5 * time.Second // of one watch; a dead connection is detected after it
	configRetryInterval    = 150 * time.Millisecond
	maxConfigRetryInterval = time.Second // while the store does not answer
)

// configReadDuty is the loop that reads the configuration at intervals, since a watch
// may miss a change if the store drops its history. The home reads often; the others
// learn of a new version from its greetings.
func (e *Entry) configReadDuty() {
	for {
		pause := otherReadInterval
		if m, ok := e.currentHome(); !ok || m.Life == e.life {
			pause = homeReadInterval
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

// The intervals of configReadDuty. A configuration must be in force 2 s after it was
// written.
const (
	homeReadInterval  = 800 * time.Millisecond
	otherReadInterval = 3 * time.Second
)

// configWatchDuty is the loop that watches the store for the operator's configuration
// and applies changes.
func (e *Entry) configWatchDuty() {
	var rev uint64
	pause, isDown := configRetryInterval, false
	for {
		select {
		case <-e.stop:
			return
		default:
		}
		next, err := e.nextConfig(rev)
		if err == nil {
			rev, pause = next, configRetryInterval
			if isDown {
				isDown = false
				e.log.Info().Uint64("revision", rev).Msg("store answers")
			}
			continue
		}
		if !isDown {
			isDown = true
			e.log.Warn().Err(err).Uint64("revision", rev).Msg("store does not answer")
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			rev = 0
		}
		time.Sleep(pause)
		pause = min(2*pause, maxConfigRetryInterval)
	}
}

// nextConfig reads and applies the configuration if rev is 0, and otherwise waits for
// a change after rev. It returns the revision to continue from.
func (e *Entry) nextConfig(rev uint64) (next uint64, err error) {
	ctx := context.Background()
	if rev == 0 {
		it, asOf, err := e.store.Get(ctx, platform.ConfigKey)
		if errors.Is(err, store.ErrNotFound) {
			time.Sleep(configRetryInterval)
			return 0, nil
		}
		if err != nil {
			return 0, err
		}
		e.applyConfig(it.Value, "store")
		return max(asOf, it.Revision), nil
	}
	items, next, err := e.store.Watch(ctx, platform.ConfigKey, rev, configWatchTimeout)
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
