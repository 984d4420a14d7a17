package site

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/evacuation"
	"masticbay/platform"
)

const (
	// evacuationWait is how long a process that has just started waits for the evacuated
	// data centres before it starts tasks.
	evacuationWait = 300 * time.Millisecond
	// homeEvacuationReadInterval is the interval at which the home of the site reads the
	// evacuated data centres, since a watch may stay silent. With the time of a call, it
	// keeps the home within a second of a change.
	homeEvacuationReadInterval = 600 * time.Millisecond
	evacuationReadCheck        = 100 * time.Millisecond // between checks whether a read is due
	agentWatchTimeout          = 25 * time.Second       // of an agent's watch; each call of the store has a price
	agentMinCallInterval       = 20 * time.Second       // between calls of an agent that bring no change
	agentRetryInterval         = 2 * time.Second        // after an agent's first call without an answer; doubled each time
)

// evacuations follows the evacuated data centres for a process: in the store, and in what
// other processes send. While it is inactive, as is the zero value, it makes no calls and
// takes nothing.
type evacuations struct {
	isActive bool
	store    evacuationStore
	log      zerolog.Logger
	now      func() time.Time
	// onSet is called when the first set is taken, when none is known after
	// evacuationWait, and when the data centres have changed, in the order of the sets.
	onSet   func(evacuation.Set)
	current atomic.Pointer[evacuation.Set] // the tracker's

	mu            sync.Mutex // guards what follows; held during onSet
	tracker       evacuation.Tracker
	loggedKeys    map[string]bool // malformed keys, each logged once
	invalidLogged bool            // a malformed set of another process was logged
	replacedFrom  uint64          // revision that was logged as one that the store has not reached

	lastRead time.Time // when the last answered read by watchDuty began; used by it alone
}

// evacuationStore is what evacuations needs of platform.Store.
type evacuationStore interface {
	ReadEvacuated(ctx context.Context) (set evacuation.Set, malformed []string, err error)
	WatchEvacuated(ctx context.Context, after uint64, wait time.Duration) (changes []evacuation.Change, rev uint64, malformed []string, err error)
}

// init makes v active if the platform evacuates data centres.
func (v *evacuations) init(n *platform.Node, s evacuationStore, log zerolog.Logger, now func() time.Time, onSet func(evacuation.Set)) {
	v.isActive, v.store, v.log, v.now, v.onSet, v.loggedKeys = n.EvacuateTime > 0, s, log, now, onSet, make(map[string]bool)
}

// set returns the newest set; an empty one while none is known. It takes no lock, so that
// it may be called with the locks that onSet takes.
func (v *evacuations) set() evacuation.Set {
	if s := v.current.Load(); s != nil {
		return *s
	}
	return evacuation.Set{}
}

// mark returns the mark of the newest set; an empty one while none is known.
func (v *evacuations) mark() evacuation.Mark {
	if s := v.set(); s.Revision > 0 {
		return s.Mark()
	}
	return evacuation.Mark{}
}

// releaseLater calls onSet if no set is known after evacuationWait.
func (v *evacuations) releaseLater() {
	time.AfterFunc(evacuationWait, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.tracker.Known() {
			v.log.Warn().Msg("evacuated data centres not known; tasks are started all the same")
			v.onSet(evacuation.Set{})
		}
	})
}

// isNewer reports whether another process's set is newer and has to be fetched.
func (v *evacuations) isNewer(m evacuation.Mark) bool {
	if !v.isActive || m.Revision == 0 {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	fetch := v.tracker.TakeMark(m)
	v.publish()
	return fetch
}

// publish makes the tracker's set current. The caller holds mu.
func (v *evacuations) publish() {
	s := v.tracker.Set()
	v.current.Store(&s)
}

// take takes a set that another process has sent.
func (v *evacuations) take(s evacuation.Set, from string) {
	if !v.isActive || s.Revision == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err := s.Validate(); err != nil {
		if !v.invalidLogged {
			v.invalidLogged = true
			v.log.Warn().Err(err).Str("source", from).Msg("malformed set of evacuated data centres ignored")
		}
		return
	}
	v.update(from, func() bool { return v.tracker.Take(s) })
}

// update applies a change to the tracker, and reports the set if it is the first one or its
// data centres have changed. The caller holds mu.
func (v *evacuations) update(from string, apply func() bool) (changed bool) {
	before, wasKnown := v.tracker.Set(), v.tracker.Known()
	changed = apply()
	after := v.tracker.Set()
	v.publish()
	if changed {
		v.logChange(before, after, from)
	}
	if changed || !wasKnown && v.tracker.Known() {
		v.onSet(after)
	}
	return changed
}

// logChange logs what has changed between two sets.
func (v *evacuations) logChange(before, after evacuation.Set, from string) {
	for _, name := range before.DataCentres {
		if !after.Has(name) {
			v.log.Info().Str("dataCentre", name).Uint64("revision", after.Revision).Str("source", from).Msg("data centre taken back")
		}
	}
	if len(after.DataCentres) > 0 {
		v.log.Info().Strs("dataCentres", after.DataCentres).Uint64("revision", after.Revision).Str("source", from).Msg("evacuation in force")
	}
}

// read reads the evacuated data centres from the store.
func (v *evacuations) read(ctx context.Context) error {
	sentAt := v.set().Revision
	s, malformed, err := v.store.ReadEvacuated(ctx)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.logMalformed(malformed)
	if sentAt > s.Revision && sentAt != v.replacedFrom {
		v.replacedFrom = sentAt
		v.log.Error().Uint64("revision", sentAt).Uint64("store", s.Revision).Msg("evacuated data centres of an unknown revision replaced")
	}
	v.update("store", func() bool { return v.tracker.TakeRead(sentAt, s) })
	return nil
}

// next reads the store, or watches it for a change, and reports whether the data centres
// have changed.
func (v *evacuations) next(ctx context.Context, wait, minInterval time.Duration) (changed bool, err error) {
	v.mu.Lock()
	sentAt, from := v.tracker.Set().Revision, v.tracker.ContinueFrom()
	v.mu.Unlock()
	if from == 0 {
		return true, v.readAgain(ctx, minInterval)
	}
	changes, to, malformed, err := v.store.WatchEvacuated(ctx, from, wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		return true, v.readAgain(ctx, minInterval)
	}
	if err != nil {
		return false, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.logMalformed(malformed)
	return v.update("store, watch", func() bool { return v.tracker.Apply(sentAt, from, to, changes) }), nil
}

// readAgain is read, at least minInterval after the last one that was answered.
func (v *evacuations) readAgain(ctx context.Context, minInterval time.Duration) error {
	if !v.lastRead.IsZero() {
		sleep(ctx, minInterval-v.now().Sub(v.lastRead))
	}
	startedAt := v.now()
	err := v.read(ctx)
	if err == nil {
		v.lastRead = startedAt
	}
	return err
}

// maxLoggedKeys bounds the malformed keys that are remembered and logged.
const maxLoggedKeys = 100

// logMalformed logs keys that name no data centre, each once. The caller holds mu.
func (v *evacuations) logMalformed(keys []string) {
	for _, key := range keys {
		if !v.loggedKeys[key] && len(v.loggedKeys) < maxLoggedKeys {
			v.loggedKeys[key] = true
			v.log.Warn().Str("key", key[:min(len(key), maxLoggedKey)]).Msg("evacuation without the name of a data centre ignored")
		}
	}
}

const maxLoggedKey = 200 // bytes of a malformed key in a log line

// watchDuty is the loop that follows the store until stop is closed. A watch waits at most
// for wait. Calls that bring no change are at least minInterval apart, and after one without
// an answer the next follows after retry, doubled up to maxRetry.
func (v *evacuations) watchDuty(stop <-chan struct{}, wait, minInterval, retry, maxRetry time.Duration) {
	if !v.isActive {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	pause, isDown := retry, false
	for ctx.Err() == nil {
		startedAt := v.now()
		changed, err := v.next(ctx, wait, minInterval)
		switch {
		case err != nil && ctx.Err() == nil:
			if !isDown {
				isDown = true
				v.log.Warn().Err(err).Msg("evacuated data centres not read")
			}
			sleep(ctx, pause)
			pause = min(2*pause, maxRetry)
		case err == nil:
			pause, isDown = retry, false
			if !changed {
				sleep(ctx, minInterval-v.now().Sub(startedAt))
			}
		}
	}
}
