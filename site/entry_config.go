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
		before := e.config.Load()
		it, asOf, err := e.store.Get(context.Background(), platform.ConfigKey)
		if err != nil {
			e.log.Debug().Err(err).Msg("configuration not read")
			continue
		}
		if before != nil && asOf > 0 && asOf < before.revision {
			// The message that brought it was malformed: the store had no such revision.
			e.log.Error().Uint64("version", before.Version()).Uint64("revision", before.revision).Uint64("store", asOf).Msg("configuration of an unknown revision replaced")
			e.replaceConfig(it.Value, it.Revision, "store, read", before)
			continue
		}
		e.applyConfig(it.Value, it.Revision, "store, read")
	}
}

// configInForce is a configuration and the revision of its key in the store, by which
// configurations are ordered: a version may be out of range, but does not outlast the next
// one then.
type configInForce struct {
	*platform.Config
	revision uint64 // 0 if it is not known
}

// replaces reports whether c is newer than the configuration in force, which may be nil.
func (c *configInForce) replaces(old *configInForce) bool {
	switch {
	case old == nil:
		return true
	case c.revision > 0 && old.revision > 0:
		return c.revision > old.revision
	}
	return c.Version() > old.Version()
}

// applyConfig puts a configuration in force unless the current one is as new.
func (e *Entry) applyConfig(raw []byte, revision uint64, from string) {
	e.replaceConfig(raw, revision, from, nil)
}

// replaceConfig is applyConfig; invalid is replaced by an older one, too.
func (e *Entry) replaceConfig(raw []byte, revision uint64, from string, invalid *configInForce) {
	decoded, err := platform.DecodeConfig(raw)
	if err != nil {
		e.log.Error().Err(err).Str("from", from).Msg("cannot decode the configuration")
		return
	}
	c := &configInForce{decoded, revision}
	for {
		old := e.config.Load()
		if !c.replaces(old) && old != invalid {
			return
		}
		if e.config.CompareAndSwap(old, c) {
			break
		}
	}
	e.log.Info().Uint64("version", c.Version()).Uint64("revision", revision).Str("from", from).Msg("configuration in force")
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
		e.applyConfig(it.Value, it.Revision, "store")
		return max(asOf, it.Revision), nil
	}
	items, next, err := e.store.Watch(ctx, platform.ConfigKey, rev, configWatchTimeout)
	if err != nil {
		return rev, err
	}
	for _, it := range items {
		if it.Key == platform.ConfigKey {
			e.applyConfig(it.Value, it.Revision, "store")
		}
	}
	return max(next, rev), nil
}
