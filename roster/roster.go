// Package roster tells which entries serve a site, and which of them is home:
// the one at which all jobs meet.
//
// # Model
//
// Entries greet one another. Each tells whether it acts as home, under which
// term, and how many agents it hears of. An entry follows the home of the
// highest term that is in contact and hears of enough agents. If there is none,
// the strongest entry in contact takes the next term. All entries greet a panel:
// the home and the strongest ones, of which one will be the next home. Agents
// announce themselves to the panel only, so that what each process spends on
// contact hardly grows with the site. Two entries may act as
// home for a while, for example on both sides of a cut: agents decide on the
// room of their workers themselves and so serve both.
//
// # Usage
//
//	r := roster.New(self, cfg)
//	r.Hear(now, member)
//	home, ok := r.Home(now)
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the times of a Roster.
type Config struct {
	HomeSilence time.Duration // after which a home counts as out of contact; it is greeted often
	Silence     time.Duration // after which another entry does
	Listen      time.Duration // from the start, before an entry makes itself home
	Forget      time.Duration // after which nothing is kept about a silent entry
	Panel       int           // most entries on the panel that are not home
}

// Member is what an entry tells about itself.
type Member struct {
	Name    string // of the VM
	Address string // for the system's own processes
	Life    string // incarnation of the process
	Cores   float64
	Leaving bool
	Young   bool   // it still listens for a home and does not become one
	Term    uint64 // under which it acts as home; 0 if it does not
	Agents  int    // agents that it hears of
}

// Roster is the view of one entry. New makes one.
type Roster struct {
	cfg   Config
	self  Member
	since time.Time
	peers map[string]*peer // by address
	top   uint64           // highest term that was heard of
	view  view
}

// view is what was last computed from the members. On a large site it is asked for
// thousands of times a second and changes a few times.
type view struct {
	at    time.Time
	until time.Time // the first time at which a member may have fallen silent, or this entry is young no more
	valid bool      // no member has changed since
	home  Member
	acts  bool // there is a home
	panel []string
}

func (r *Roster) fresh(now time.Time) bool {
	return r.view.valid && !now.Before(r.view.at) && !now.After(r.view.until)
}

// look computes the view.
func (r *Roster) look(now time.Time) {
	if r.fresh(now) {
		return
	}
	home, ok := r.findHome(now)
	r.view = view{at: now, until: r.unchanged(now), valid: true, home: home, acts: ok, panel: r.findPanel(now)}
}

// unchanged returns until when the same members are in contact if none is heard.
func (r *Roster) unchanged(now time.Time) time.Time {
	until := now.Add(r.cfg.Silence)
	if ready := r.since.Add(r.cfg.Listen); now.Before(ready) {
		until = ready.Add(-1)
	}
	for _, p := range r.peers {
		if silent := p.heard.Add(r.silence(p)); !silent.Before(now) && silent.Before(until) {
			until = silent
		}
	}
	return until
}

type peer struct {
	Member
	heard time.Time
}

// New returns the view of the entry self, which has just started.
func New(now time.Time, self Member, cfg Config) *Roster {
	return &Roster{cfg: cfg, self: self, since: now, peers: make(map[string]*peer)}
}

// Self returns what this entry tells about itself.
func (r *Roster) Self(now time.Time) Member {
	r.self.Young = now.Sub(r.since) < r.cfg.Listen
	return r.self
}

// Leave marks this entry as leaving.
func (r *Roster) Leave() {
	r.self.Leaving, r.self.Term = true, 0
	r.view.valid = false
}

// SetAgents notes how many agents this entry hears of.
func (r *Roster) SetAgents(n int) {
	r.view.valid = r.view.valid && n == r.self.Agents
	r.self.Agents = n
}

// Hear takes what an entry told about itself.
func (r *Roster) Hear(now time.Time, m Member) {
	if m.Address == "" || m.Address == r.self.Address {
		return
	}
	r.top = max(r.top, m.Term)
	r.forget(now)
	if before, ok := r.peers[m.Address]; !ok || before.Member != m || now.Sub(before.heard) > r.silence(before) {
		r.view.valid = false
	}
	r.peers[m.Address] = &peer{Member: m, heard: now}
}

// Lose notes that a peer's process is gone or unreachable.
func (r *Roster) Lose(address string) {
	if p, ok := r.peers[address]; ok {
		p.heard = time.Time{}
		p.Term = 0
		r.view.valid = false
	}
}

// InContact returns the entries that are in contact, sorted by address.
func (r *Roster) InContact(now time.Time) []Member {
	var ms []Member
	for _, p := range r.peers {
		if now.Sub(p.heard) <= r.silence(p) {
			ms = append(ms, p.Member)
		}
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return ms
}

func (r *Roster) silence(p *peer) time.Duration {
	if p.Term > 0 {
		return r.cfg.HomeSilence
	}
	return r.cfg.Silence
}

// Home returns the entry that acts as home, which may be this one. It makes
// this entry home if there is none and it is the strongest, and stops it from
// being home if there is a better one.
func (r *Roster) Home(now time.Time) (m Member, ok bool) {
	r.look(now)
	return r.view.home, r.view.acts
}

func (r *Roster) findHome(now time.Time) (m Member, ok bool) {
	members := append(r.InContact(now), r.Self(now))
	most := 0
	for i := range members {
		most = max(most, members[i].Agents)
	}
	var home, strongest *Member
	for i := range members {
		m := &members[i]
		if m.Leaving || 2*m.Agents < most {
			continue
		}
		if m.Term > 0 && (home == nil || outranks(m, home)) {
			home = m
		}
		if !m.Young && (strongest == nil || stronger(m, strongest)) {
			strongest = m
		}
	}
	mine := strongest != nil && strongest.Address == r.self.Address
	if mine && (home == nil || strongest.Cores >= muchStronger*home.Cores) {
		r.top++
		r.self.Term = r.top
		return r.self, true
	}
	if home == nil {
		return Member{}, false
	}
	if home.Address != r.self.Address {
		r.self.Term = 0
	}
	return *home, true
}

// muchStronger is how many times as much processor an entry must have to take
// over from a home that is well. A change costs little, since the former home
// goes on with its jobs.
const muchStronger = 1.5

func outranks(a, b *Member) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Name < b.Name
}

func stronger(a, b *Member) bool {
	if a.Cores != b.Cores {
		return a.Cores > b.Cores
	}
	return a.Name < b.Name
}

// Panel returns the addresses of the home and of the strongest entries in contact
// that stay, the strongest first. It must not be changed.
func (r *Roster) Panel(now time.Time) []string {
	r.look(now)
	return r.view.panel
}

func (r *Roster) findPanel(now time.Time) []string {
	members := append(r.InContact(now), r.Self(now))
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Leaving && m.Term == 0 })
	slices.SortFunc(members, func(a, b Member) int {
		if stronger(&a, &b) {
			return -1
		}
		return 1
	})
	var panel []string
	for i := range members {
		if i < r.cfg.Panel || members[i].Term > 0 {
			panel = append(panel, members[i].Address)
		}
	}
	return panel
}

// forget drops entries that have been silent for long.
func (r *Roster) forget(now time.Time) {
	for a, p := range r.peers {
		if now.Sub(p.heard) > r.cfg.Forget {
			delete(r.peers, a)
		}
	}
}
