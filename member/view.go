package member

import (
	"maps"
	"slices"
	"time"
)

// View is what one entry knows of the registry and of its peers. It decides
// whether the entry may run a job, and whether it must claim the job first.
// NewView makes one.
type View struct {
	self           string
	window         time.Duration
	contactTimeout time.Duration
	current        Registry
	previous       []previousRegistry   // replaced within the window, the oldest first
	confirmedAt    map[string]time.Time // by peer: when it last confirmed one of the lists of the window
	settledAt      time.Time            // from when homes need no claim, unless unsettled
	unsettled      bool                 // at the last observation, a peer may have removed this entry

	newestAt       time.Time       // when the key-value service last had no newer registry
	ended          map[string]bool // listed entries that have ended for good
	knownToAllOnce bool
	knownBy        map[string]bool // peers that confirmed a list that has this entry
}

// previousRegistry is a replaced registry, which counts until the window ends.
type previousRegistry struct {
	Registry
	relevantUntil time.Time
}

// NewView returns the view of the entry self. A registry counts until window
// after it was replaced. A peer is in contact if it confirmed a list of entries
// within contactTimeout, which is short against window.
func NewView(self string, window, contactTimeout time.Duration, now time.Time) *View {
	return &View{
		self:           self,
		window:         window,
		contactTimeout: contactTimeout,
		confirmedAt:    make(map[string]time.Time),
		settledAt:      now,
		unsettled:      true,
		knownBy:        make(map[string]bool),
		ended:          make(map[string]bool),
	}
}

// Registry returns the newest registry.
func (v *View) Registry() *Registry { return &v.current }

// Update replaces the registry by r if r is newer, and reports whether it was.
func (v *View) Update(now time.Time, r Registry) bool {
	if r.Revision <= v.current.Revision || r.Revision > maxRevision {
		return false
	}
	if !sameEntries(v.current.Entries, r.Entries) {
		v.previous = append(v.previous, previousRegistry{Registry: v.current, relevantUntil: now.Add(v.window)})
	}
	v.current = r
	maps.DeleteFunc(v.ended, func(id string, _ bool) bool {
		_, listed := r.Entry(id)
		return !listed
	})
	return true
}

func sameEntries(a, b []Entry) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			return false
		}
	}
	return true
}

// EntriesHash identifies the list of entries. Entries with the same list agree
// on the home of every key.
func (r *Registry) EntriesHash() uint64 {
	var sum uint64
	for _, e := range r.Entries {
		sum += Score(e.ID, "")
	}
	return sum
}

// Confirm records contact with a peer that has the list of entries with the
// hash. A list that this entry had within the window counts like the current
// one, since MustClaim checks all of them; any other hash is ignored.
func (v *View) Confirm(now time.Time, peer string, hash uint64) {
	reg := v.findRegistry(hash)
	if reg == nil {
		return
	}
	v.confirmedAt[peer] = now
	if _, listed := reg.Entry(v.self); listed {
		v.knownBy[peer] = true
	}
}

// findRegistry returns the registry of the window whose list of entries has the
// hash, or nil.
func (v *View) findRegistry(hash uint64) *Registry {
	if hash == v.current.EntriesHash() {
		return &v.current
	}
	for i := range v.previous {
		if hash == v.previous[i].EntriesHash() {
			return &v.previous[i].Registry
		}
	}
	return nil
}

// LastContact returns when a peer last confirmed one of the lists of the window.
func (v *View) LastContact(peer string) (t time.Time, ok bool) {
	t, ok = v.confirmedAt[peer]
	return t, ok
}

// lacksContact reports whether some listed peer has not confirmed a list within
// limit, or this entry itself is not listed.
func (v *View) lacksContact(now time.Time, limit time.Duration) bool {
	return v.lacksContactExcept(nil, now, limit)
}

// lacksContactExcept is lacksContact without the peers in except.
func (v *View) lacksContactExcept(except map[string]bool, now time.Time, limit time.Duration) bool {
	listed := false
	for _, e := range v.current.Entries {
		if e.ID == v.self {
			listed = true
			continue
		}
		at, ok := v.confirmedAt[e.ID]
		if !except[e.ID] && (!ok || now.Sub(at) > limit) {
			return true
		}
	}
	return !listed
}

// mayBeRemoved reports whether some peer has been out of contact for so long
// that it may have removed this entry from its list. A peer does so after a
// window at the earliest; then another entry is the home of this entry's jobs
// and claims them. A peer that has ended removes no entry.
func (v *View) mayBeRemoved(now time.Time) bool {
	return v.lacksContactExcept(v.ended, now, v.window-v.contactTimeout)
}

// MarkEnded records that listed entries have ended for good. It reports whether this
// was not known of some of them.
func (v *View) MarkEnded(ids ...string) (isNew bool) {
	for _, id := range ids {
		if _, listed := v.current.Entry(id); listed && id != v.self && !v.ended[id] {
			v.ended[id] = true
			isNew = true
		}
	}
	return isNew
}

// Ended returns the listed entries that have ended for good.
func (v *View) Ended() []string { return slices.Sorted(maps.Keys(v.ended)) }

// Observe updates the state that MustClaim depends on. It must be called at
// least once in every contact timeout.
func (v *View) Observe(now time.Time) {
	for len(v.previous) > 0 && !v.previous[0].relevantUntil.After(now) {
		v.previous = v.previous[1:]
	}
	v.knownToAllOnce = v.knownToAllOnce || v.knownToAllNow()
	if v.mayBeRemoved(now) {
		v.unsettled = true
		v.settledAt = now.Add(v.window)
		return
	}
	if v.unsettled {
		v.unsettled = false
		v.settledAt = now.Add(v.window)
	}
}

// MustClaim reports whether another entry may have run, or may be running, a
// job with a home name, so that this entry must claim the job before it runs
// it.
func (v *View) MustClaim(now time.Time, name string) bool {
	v.Observe(now)
	if v.unsettled || now.Before(v.settledAt) {
		return true
	}
	if home, ok := v.current.Home(name); !ok || home.ID != v.self {
		return true
	}
	for i := range v.previous {
		if home, ok := v.previous[i].Home(name); !ok || home.ID != v.self {
			return true
		}
	}
	return false
}

// Settled reports whether no claim is needed for keys that this entry has been
// the home of throughout the window.
func (v *View) Settled(now time.Time) bool {
	v.Observe(now)
	return !v.unsettled && !now.Before(v.settledAt)
}

// OutOfContact returns the listed entries that are out of contact.
func (v *View) OutOfContact(now time.Time) map[string]bool {
	ids := make(map[string]bool)
	for _, e := range v.current.Entries {
		at, ok := v.confirmedAt[e.ID]
		if e.ID != v.self && (!ok || now.Sub(at) > v.contactTimeout) {
			ids[e.ID] = true
		}
	}
	return ids
}

// knownToAllNow reports whether this entry is listed and all listed peers have
// confirmed a list that has it.
func (v *View) knownToAllNow() bool {
	listed := false
	for _, e := range v.current.Entries {
		listed = listed || e.ID == v.self
		if e.ID != v.self && !v.knownBy[e.ID] {
			return false
		}
	}
	return listed
}

// KnownToAll reports whether at some time all listed entries have known this
// one. Before that, a claim of theirs may not ask it, so it must not run jobs
// that are not idempotent.
func (v *View) KnownToAll(now time.Time) bool {
	v.Observe(now)
	return v.knownToAllOnce
}

// ConfirmNewest records that the key-value service had no newer registry at a time.
func (v *View) ConfirmNewest(at time.Time) {
	if at.After(v.newestAt) {
		v.newestAt = at
	}
}

// Age returns the time since the registry was known to be the newest. It is
// bounded, so that sums of ages do not overflow.
func (v *View) Age(now time.Time) time.Duration {
	return min(now.Sub(v.newestAt), maxAge)
}

// maxAge is the age of a registry that was never known to be the newest.
const maxAge = 10_000 * time.Hour

// MayRun reports whether this entry may run jobs that are not idempotent. All
// entries must have known it at some time (KnownToAll). It must stop when, for
// a window, some peer was out of contact and the registry was not known to be
// the newest: the peer may then have removed this entry and all agents that it
// knows, and no claim would find the jobs that it runs. An entry that knows no
// live peer must stop as soon as its registry is old: others may have joined
// and removed it.
func (v *View) MayRun(now time.Time) bool {
	stale := v.Age(now) > v.window-v.contactTimeout
	return v.KnownToAll(now) && !(stale && (v.isAlone() || v.mayBeRemoved(now)))
}

// isAlone reports whether all other listed entries have ended.
func (v *View) isAlone() bool {
	for _, e := range v.current.Entries {
		if e.ID != v.self && !v.ended[e.ID] {
			return false
		}
	}
	return true
}

// Isolated reports whether some entry that may have run jobs is out of contact
// or lost.
func (v *View) Isolated(now time.Time) bool {
	return v.lacksContact(now, v.contactTimeout) || len(v.current.Lost) > 0
}
