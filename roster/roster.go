// Package roster determines which entries serve a site, and which of them is home,
// the coordinator that places the tasks of the site.
//
// # Model
//
// Entries greet one another: a greeting is a heartbeat between entries. Each greeting
// says whether the sender acts as home, under which term, and how many agents it is in
// contact with. An entry follows the home of the highest term that is in contact and
// reaches enough agents. If there is none, the strongest entry in contact becomes home
// under the next term. All entries greet a panel: the home and the candidates for
// failover, which are the strongest entries. Agents announce themselves to the panel
// only, so that the cost of contact per process hardly grows with the site. Two entries
// may act as home for a while, for example on both sides of a network partition: each agent
// follows one of them.
//
// A large site is divided into cells, each with a home of its own. The home of the site
// sets their number, Homes names their homes, and Cell tells which agents belong to
// one. Entries that are overloaded (see Lag) are home only if there is no other.
//
// A term counts homes and is not the epoch of the ledger's tenure. An entry is "young"
// during its startup wait.
//
// # Usage
//
//	r := roster.New(now, self, cfg)
//	r.RecordContact(now, member)
//	home, ok := r.Home(now)
//	homes := r.Homes(now) // of all cells
package roster

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the times of a Roster.
type Config struct {
	HomeContactTimeout time.Duration // time without contact after which a home is out of contact; homes are greeted often
	ContactTimeout     time.Duration // the same for other entries
	StartupWait        time.Duration // time from the start in which an entry does not make itself home; twice that if a stronger one starts at the same time
	PeerRetention      time.Duration // how long an entry out of contact is retained
	PanelSize          int           // most entries on the panel besides the home
	FreshFor           time.Duration // time from the start of an entry in which runs of a home that it doesn't know may go on
}

// Member describes an entry in its greetings.
type Member struct {
	Name    string // of the VM
	Address string // for the system's own processes
	Life    string // incarnation of the process
	Cores   float64
	Leaving bool
	Young   bool   // it is in its startup wait and cannot become home
	Term    uint64 // under which it acts as home; 0 if it does not
	Agents  int    // number of agents that it is in contact with
	Cells   int    // into how many cells it divides the site, if it is home
	Places  bool   // it acts as home of a cell
	Fresh   bool   // it started less than Config.FreshFor ago
	Seals   bool   // it has agents seal the jobs that it takes over from a lost home
	// Overloaded is set while its timers fire late; such an entry is home only if all are
	// overloaded.
	Overloaded bool
}

// Roster is one entry's view of the entries of a site. New makes one.
type Roster struct {
	cfg         Config
	self        Member
	startedAt   time.Time
	peers       map[string]*peer // by address
	highestTerm uint64           // highest known term
	cells       int              // as the last known home set it
	view        view
}

// view caches the result of the last computation. On a large site it is read
// thousands of times a second, but changes only a few times.
type view struct {
	computedAt time.Time
	validUntil time.Time // until a member may be out of contact or this entry's startup wait ends
	unchanged  bool      // no member has changed since computedAt
	home       Member
	hasHome    bool     // there is a home
	homes      []Member // of all cells
	panel      []string
}

func (r *Roster) viewValid(now time.Time) bool {
	return r.view.unchanged && !now.Before(r.view.computedAt) && !now.After(r.view.validUntil)
}

// refreshView computes the view unless it is valid.
func (r *Roster) refreshView(now time.Time) {
	if r.viewValid(now) {
		return
	}
	home, ok := r.electHome(now)
	members := append(r.InContact(now), r.Self(now))
	homes := r.findHomes(members, home, ok)
	r.self.Places = slices.ContainsFunc(homes, func(m Member) bool { return m.Address == r.self.Address })
	r.view = view{computedAt: now, validUntil: r.contactsUnchangedUntil(now), unchanged: true, home: home, hasHome: ok, homes: homes, panel: r.findPanel(members)}
}

// contactsUnchangedUntil returns until when the same members are in contact if no
// greeting arrives.
func (r *Roster) contactsUnchangedUntil(now time.Time) time.Time {
	until := now.Add(r.cfg.ContactTimeout)
	for _, end := range []time.Time{r.startedAt.Add(r.cfg.StartupWait), r.startedAt.Add(2 * r.cfg.StartupWait)} {
		if now.Before(end) {
			until = end.Add(-1)
			break
		}
	}
	for _, p := range r.peers {
		if lostAt := p.lastContact.Add(r.contactTimeout(p)); !lostAt.Before(now) && lostAt.Before(until) {
			until = lostAt
		}
	}
	return until
}

type peer struct {
	Member
	lastContact time.Time
}

// New returns the roster of an entry that has just started.
func New(now time.Time, self Member, cfg Config) *Roster {
	return &Roster{cfg: cfg, self: self, startedAt: now, peers: make(map[string]*peer)}
}

// Self returns the description of this entry.
func (r *Roster) Self(now time.Time) Member {
	age := now.Sub(r.startedAt)
	r.self.Young, r.self.Fresh = age < r.cfg.StartupWait, age < r.cfg.FreshFor
	return r.self
}

// Leave marks this entry as leaving.
func (r *Roster) Leave() {
	r.self.Leaving, r.self.Term = true, 0
	r.view.unchanged = false
}

// SetAgents records how many agents this entry is in contact with.
func (r *Roster) SetAgents(n int) {
	r.view.unchanged = r.view.unchanged && n == r.self.Agents
	r.self.Agents = n
}

// SetCells sets into how many cells this entry divides the site while it is home.
func (r *Roster) SetCells(n int) {
	r.view.unchanged = r.view.unchanged && n == r.self.Cells
	r.self.Cells = n
}

// SetOverloaded records whether this entry is overloaded.
func (r *Roster) SetOverloaded(overloaded bool) {
	r.view.unchanged = r.view.unchanged && overloaded == r.self.Overloaded
	r.self.Overloaded = overloaded
}

// RecordContact records contact with an entry and its description.
func (r *Roster) RecordContact(now time.Time, m Member) {
	if m.Address == "" || m.Address == r.self.Address {
		return
	}
	r.highestTerm = max(r.highestTerm, m.Term)
	r.expirePeers(now)
	if known, ok := r.peers[m.Address]; !ok || known.Member != m || now.Sub(known.lastContact) > r.contactTimeout(known) {
		r.view.unchanged = false
	}
	r.peers[m.Address] = &peer{Member: m, lastContact: now}
}

// maxTerm bounds the terms that are recorded, so that a malformed one does not shut out those after it.
const maxTerm = 1 << 40

// RecordTerm records the term of a home that another entry knows. This entry becomes home under a higher
// one.
func (r *Roster) RecordTerm(term uint64) {
	if term <= maxTerm {
		r.highestTerm = max(r.highestTerm, term)
	}
}

// HighestTerm returns the highest term of any home that is known.
func (r *Roster) HighestTerm() uint64 { return r.highestTerm }

// MarkUnreachable records that a peer's process has ended or is unreachable.
func (r *Roster) MarkUnreachable(address string) {
	if p, ok := r.peers[address]; ok {
		p.lastContact = time.Time{}
		p.Term, p.Places = 0, false
		r.view.unchanged = false
	}
}

// InContact returns the entries that are in contact, sorted by address.
func (r *Roster) InContact(now time.Time) []Member {
	var ms []Member
	for _, p := range r.peers {
		if now.Sub(p.lastContact) <= r.contactTimeout(p) {
			ms = append(ms, p.Member)
		}
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return ms
}

func (r *Roster) contactTimeout(p *peer) time.Duration {
	if p.Term > 0 || p.Places {
		return r.cfg.HomeContactTimeout
	}
	return r.cfg.ContactTimeout
}

// Home returns the entry that acts as home, which may be this one. If there is no
// home and this entry is the strongest, it becomes home. If there is a better home,
// it stops acting as home.
func (r *Roster) Home(now time.Time) (m Member, ok bool) {
	r.refreshView(now)
	return r.view.home, r.view.hasHome
}

func (r *Roster) electHome(now time.Time) (m Member, ok bool) {
	members := suitable(append(r.InContact(now), r.Self(now)))
	// Entries that start together end their startup wait at the same time, before they
	// know that of each other.
	passesOverYoung := now.Sub(r.startedAt) >= 2*r.cfg.StartupWait
	var home, strongest *Member
	for i := range members {
		m := &members[i]
		if m.Term > 0 && (home == nil || outranks(m, home)) {
			home = m
		}
		if (!m.Young || !passesOverYoung) && (strongest == nil || stronger(m, strongest)) {
			strongest = m
		}
	}
	selfIsStrongest := strongest != nil && strongest.Address == r.self.Address && !r.self.Young
	if selfIsStrongest && (home == nil || strongest.Cores >= takeoverFactor*home.Cores) {
		r.highestTerm++
		r.self.Term = r.highestTerm
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

// suitable returns the members that may be home: those that are not leaving and reach
// at least half as many agents as any. Overloaded ones are left out unless there is no
// other.
func suitable(members []Member) []Member {
	maxAgents := 0
	for i := range members {
		maxAgents = max(maxAgents, members[i].Agents)
	}
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Leaving || 2*m.Agents < maxAgents })
	if slices.ContainsFunc(members, func(m Member) bool { return !m.Overloaded && !m.Young }) {
		members = slices.DeleteFunc(members, func(m Member) bool { return m.Overloaded })
	}
	return members
}

// takeoverFactor is how many times as much processor capacity as a working home an
// entry must have to take over from it. A failover costs little, since the previous
// home continues its jobs.
const takeoverFactor = 1.5

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

// Homes returns the homes of all cells, that of the site first. On a site that is not
// divided, it is the home of the site. The caller must not modify the result.
func (r *Roster) Homes(now time.Time) []Member {
	r.refreshView(now)
	return r.view.homes
}

// Panel returns the addresses of the home and of the strongest entries in contact that
// are not leaving, the strongest first. The caller must not modify the result.
func (r *Roster) Panel(now time.Time) []string {
	r.refreshView(now)
	return r.view.panel
}

func (r *Roster) findPanel(members []Member) []string {
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Leaving && m.Term == 0 })
	slices.SortFunc(members, func(a, b Member) int {
		if stronger(&a, &b) {
			return -1
		}
		return 1
	})
	size := r.cfg.PanelSize
	if r.cells > 1 {
		size = max(size, r.cells+spareCandidates)
	}
	var panel []string
	for i := range members {
		if i < size || members[i].Term > 0 || members[i].Places {
			panel = append(panel, members[i].Address)
		}
	}
	return panel
}

// expirePeers removes entries that have been out of contact for Config.PeerRetention.
func (r *Roster) expirePeers(now time.Time) {
	for a, p := range r.peers {
		if now.Sub(p.lastContact) > r.cfg.PeerRetention {
			delete(r.peers, a)
		}
	}
}
