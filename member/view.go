package member

import (
	"maps"
	"slices"
	"time"
)

// View is what one entry knows about who else may run a job. NewView makes
// one.
type View struct {
	self      string
	window    time.Duration
	contact   time.Duration
	current   Registry
	earlier   []heldRegistry
	confirmed map[string]time.Time // by peer: when it confirmed the current revision
	settled   time.Time            // since when the view has been without gaps
	unsettled bool

	fresh      time.Time       // when the registry was the newest of the key-value service
	gone       map[string]bool // listed entries that are known to have ended
	introduced bool
	knownTo    map[string]bool // peers that confirmed a list with this entry
}

type heldRegistry struct {
	Registry
	until time.Time
}

// NewView returns the view of the entry self. A registry stops to matter when
// it was replaced window ago. A peer counts as in contact when it confirmed the
// registry within contact, which is short against window.
func NewView(self string, window, contact time.Duration, now time.Time) *View {
	return &View{
		self:      self,
		window:    window,
		contact:   contact,
		confirmed: make(map[string]time.Time),
		settled:   now,
		unsettled: true,
		knownTo:   make(map[string]bool),
		gone:      make(map[string]bool),
	}
}

// Registry returns the newest registry.
func (v *View) Registry() *Registry { return &v.current }

// Update takes a registry over and reports whether it was newer.
func (v *View) Update(now time.Time, r Registry) bool {
	if r.Revision <= v.current.Revision {
		return false
	}
	if !sameEntries(v.current.Entries, r.Entries) {
		v.earlier = append(v.earlier, heldRegistry{Registry: v.current, until: now.Add(v.window)})
	}
	v.current = r
	maps.DeleteFunc(v.gone, func(id string, _ bool) bool {
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

// EntriesHash identifies the list of entries that a view is based on. Peers
// that hold the same list agree on the home of every key.
func (r *Registry) EntriesHash() uint64 {
	var sum uint64
	for _, e := range r.Entries {
		sum += Score(e.ID, "")
	}
	return sum
}

// Confirm tells that a peer was heard from and holds the list of entries with
// the hash. A list that this entry held within the window is as good as the
// current one, since MustClaim looks at all of them.
func (v *View) Confirm(now time.Time, peer string, hash uint64) {
	reg := v.held(hash)
	if reg == nil {
		return
	}
	v.confirmed[peer] = now
	if _, listed := reg.Entry(v.self); listed {
		v.knownTo[peer] = true
	}
}

// held returns a registry of the window whose list of entries has the hash.
func (v *View) held(hash uint64) *Registry {
	if hash == v.current.EntriesHash() {
		return &v.current
	}
	for i := range v.earlier {
		if hash == v.earlier[i].EntriesHash() {
			return &v.earlier[i].Registry
		}
	}
	return nil
}

// LastContact returns when a peer last confirmed the current list.
func (v *View) LastContact(peer string) (t time.Time, ok bool) {
	t, ok = v.confirmed[peer]
	return t, ok
}

// silent reports whether some listed peer has not confirmed a list within
// limit, or this entry is not listed itself.
func (v *View) silent(now time.Time, limit time.Duration) bool {
	return v.silentBut(nil, now, limit)
}

// silentBut is silent for the peers that are not in except.
func (v *View) silentBut(except map[string]bool, now time.Time, limit time.Duration) bool {
	listed := false
	for _, e := range v.current.Entries {
		if e.ID == v.self {
			listed = true
			continue
		}
		at, ok := v.confirmed[e.ID]
		if !except[e.ID] && (!ok || now.Sub(at) > limit) {
			return true
		}
	}
	return !listed
}

// gap reports whether some peer has been silent for so long that it may have
// removed this entry from its list. It does so after a window at the earliest,
// and then claims for another one what this entry was the home of. One that has
// ended removes nobody.
func (v *View) gap(now time.Time) bool {
	return v.silentBut(v.gone, now, v.window-v.contact)
}

// End tells that listed entries have ended for good. It reports whether that is
// news of some of them.
func (v *View) End(ids ...string) (news bool) {
	for _, id := range ids {
		if _, listed := v.current.Entry(id); listed && id != v.self && !v.gone[id] {
			v.gone[id] = true
			news = true
		}
	}
	return news
}

// Ended returns the listed entries that have ended for good.
func (v *View) Ended() []string { return slices.Sorted(maps.Keys(v.gone)) }

// Observe updates what MustClaim depends on; it is called at least once in
// every contact interval.
func (v *View) Observe(now time.Time) {
	for len(v.earlier) > 0 && !v.earlier[0].until.After(now) {
		v.earlier = v.earlier[1:]
	}
	v.introduced = v.introduced || v.knownToAll()
	if v.gap(now) {
		v.unsettled = true
		v.settled = now.Add(v.window)
		return
	}
	if v.unsettled {
		v.unsettled = false
		v.settled = now.Add(v.window)
	}
}

// MustClaim reports whether another entry may have run, or may be running, a
// job whose home the name decides, so that it must be claimed before it runs
// here.
func (v *View) MustClaim(now time.Time, name string) bool {
	v.Observe(now)
	if v.unsettled || now.Before(v.settled) {
		return true
	}
	if home, ok := v.current.Home(name); !ok || home.ID != v.self {
		return true
	}
	for i := range v.earlier {
		if home, ok := v.earlier[i].Home(name); !ok || home.ID != v.self {
			return true
		}
	}
	return false
}

// Settled reports whether the entry may run the keys that it is the home of
// without a claim.
func (v *View) Settled(now time.Time) bool {
	v.Observe(now)
	return !v.unsettled && !now.Before(v.settled)
}

// Silent returns the listed entries that are out of contact.
func (v *View) Silent(now time.Time) map[string]bool {
	silent := make(map[string]bool)
	for _, e := range v.current.Entries {
		at, ok := v.confirmed[e.ID]
		if e.ID != v.self && (!ok || now.Sub(at) > v.contact) {
			silent[e.ID] = true
		}
	}
	return silent
}

// knownToAll reports whether this entry and all that are listed know of one
// another.
func (v *View) knownToAll() bool {
	listed := false
	for _, e := range v.current.Entries {
		listed = listed || e.ID == v.self
		if e.ID != v.self && !v.knownTo[e.ID] {
			return false
		}
	}
	return listed
}

// Introduced reports whether all listed entries have known this one at some
// time. Before that a claim of theirs could leave it out, so it must not run
// jobs that are not idempotent.
func (v *View) Introduced(now time.Time) bool {
	v.Observe(now)
	return v.introduced
}

// Refresh tells that at a time the key-value service had no newer registry.
func (v *View) Refresh(at time.Time) {
	if at.After(v.fresh) {
		v.fresh = at
	}
}

// Age returns the time since the registry was known to be the newest. It is
// bounded, so that sums of ages do not overflow.
func (v *View) Age(now time.Time) time.Duration {
	return min(now.Sub(v.fresh), longestAge)
}

// longestAge stands for never.
const longestAge = 10_000 * time.Hour

// MayRun reports whether this entry may run jobs that are not idempotent. It
// must be introduced. And it stops when for a window it has neither heard of
// some peer nor known its registry to be the newest: the peer may then have
// given up this entry and all agents that it knows, and no claim could tell.
// An entry that knows no peer has none that could be silent, so for it an old
// registry is enough: others may have joined and given it up.
func (v *View) MayRun(now time.Time) bool {
	old := v.Age(now) > v.window-v.contact
	return v.Introduced(now) && !(old && (v.alone() || v.gap(now)))
}

// alone reports whether no listed entry but this one is known to live.
func (v *View) alone() bool {
	for _, e := range v.current.Entries {
		if e.ID != v.self && !v.gone[e.ID] {
			return false
		}
	}
	return true
}

// Isolated reports whether some entry is out of contact that may have run jobs.
func (v *View) Isolated(now time.Time) bool {
	return v.silent(now, v.contact) || len(v.current.Lost) > 0
}
