package agent

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/member"
	"masticbay/setting"
	"masticbay/wire"
)

// link is the agent's connection to an entry.
type link struct {
	client      *wire.Client
	entry       string    // incarnation, once known
	lastContact time.Time // last call or answer
	stretch     int       // factor by which the entry lengthens the heartbeat interval
	failing     bool
}

const callTimeout = 2 * time.Second

// announceDuty sends heartbeats to the entries. An entry that was called or has
// answered within the heartbeat interval gets none.
func (a *Agent) announceDuty() {
	tick := time.NewTicker(a.cfg.Policy.HeartbeatInterval.D() / checksPerHeartbeat)
	defer tick.Stop()
	for {
		for _, l := range a.dueLinks() {
			go a.announce(l)
		}
		select {
		case <-a.stop:
			return
		case <-a.announceNow:
		case <-tick.C:
		}
	}
}

// checksPerHeartbeat is how often the links are checked in one heartbeat interval.
const checksPerHeartbeat = 5

// dueLinks updates the set of links to the known entries, and returns the links on
// which to announce.
func (a *Agent) dueLinks() (due []*link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	now := a.clock.Now()
	for _, addr := range a.wantedAddressesLocked() {
		l := a.links[addr]
		if l == nil {
			l = &link{client: a.newClient(addr)}
			a.links[addr] = l
		}
		if now.Sub(l.lastContact) >= a.heartbeatIntervalLocked(l) || l.entry == "" {
			l.lastContact = now
			due = append(due, l)
		}
	}
	return due
}

// idleHeartbeatFactor lengthens the heartbeat interval of an entry that uses no slot.
const idleHeartbeatFactor = 4

func (a *Agent) heartbeatIntervalLocked(l *link) time.Duration {
	d := a.cfg.Policy.HeartbeatInterval.D() * time.Duration(max(1, l.stretch))
	if !a.lender.HoldsSlots(l.entry) {
		return d * idleHeartbeatFactor
	}
	return min(d, a.cfg.Policy.StampMaxAge.D()/2) // otherwise its credits would expire
}

// wantedAddressesLocked returns the addresses of the entries to lend to. It closes
// the links to others.
func (a *Agent) wantedAddressesLocked() []string {
	addrs := slices.Clone(a.cfg.Entries)
	if len(a.entries) > 0 {
		addrs = addrs[:0]
		for _, e := range chooseEntries(a.entries, &a.cfg.Policy, a.announced.Service, a.id) {
			addrs = append(addrs, e.Address)
		}
	}
	for addr, l := range a.links {
		if !slices.Contains(addrs, addr) && !slices.Contains(a.cfg.Entries, addr) {
			a.closeLinkLocked(addr, l)
		}
	}
	return addrs
}

// chooseEntries returns at most Policy.EntrySubset entries: the entry that is
// responsible for agents of the service, the homes of the service, and their
// successors. A home is a coordinator that places tasks of the service. If there are
// more homes, each agent chooses some of them.
func chooseEntries(entries []member.Entry, p *setting.Policy, service, agent string) (chosen []member.Entry) {
	reg := member.Registry{Entries: entries}
	add := func(e member.Entry) {
		if len(chosen) < p.EntrySubset && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	add(reg.Rank(service)[0])
	for depth := range entries {
		var level []member.Entry
		for i := range p.Homes {
			level = append(level, reg.Rank(p.HomeOf(service, i))[depth])
		}
		levelRegistry := member.Registry{Entries: level}
		for _, e := range levelRegistry.Rank(agent) {
			add(e)
		}
	}
	return chosen
}

func (a *Agent) closeLinkLocked(addr string, l *link) {
	l.client.Close()
	delete(a.links, addr)
	if l.entry != "" {
		a.lender.Revoke(l.entry)
	}
}

// announce sends a heartbeat to one entry, after lending it an even share of the spare
// credits.
func (a *Agent) announce(l *link) {
	a.mu.Lock()
	if l.entry != "" {
		a.lender.LendEvenShare(l.entry)
	}
	known := member.Registry{Entries: a.entries}
	args := wire.AnnounceArgs{Agent: a.memberLocked(), Status: a.statusLocked(l.entry), EntriesHash: known.EntriesHash()}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rep, err := wire.Call[wire.AnnounceArgs, wire.AnnounceReply](ctx, l.client, wire.EntryAnnounce, &args)
	if err != nil {
		a.linkFailed(l, err)
		return
	}
	if a.linkAnswered(l, rep) {
		a.offer(rep.Entry)
	}
	a.update(&rep.Update)
}

func (a *Agent) memberLocked() member.Agent {
	address := a.address
	if a.cfg.Advertise != "" {
		address = a.cfg.Advertise
	}
	return member.Agent{
		ID:         a.id,
		Address:    address,
		Service:    a.announced.Service,
		Target:     a.announced.Name,
		DataCentre: a.cfg.Common.DataCentre,
	}
}

// linkAnswered records that an entry answered. It reports whether the entry is new
// and so needs an offer of credits.
func (a *Agent) linkAnswered(l *link, rep *wire.AnnounceReply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(rep.Entries) > 0 {
		a.entries = rep.Entries
	}
	isNew := l.entry != rep.Entry
	if isNew && l.entry != "" {
		a.lender.Revoke(l.entry)
	}
	l.entry = rep.Entry
	l.stretch = rep.Stretch
	if l.failing {
		l.failing = false
		a.log.Info().Str("entry", rep.Entry).Msg("entry reached again")
	}
	if isNew {
		a.lender.LendEvenShare(rep.Entry)
	}
	return isNew
}

// linkFailed revokes the credits of an unreachable entry.
func (a *Agent) linkFailed(l *link, err error) {
	l.client.Reset()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	if l.entry != "" {
		a.lender.Revoke(l.entry)
		l.entry = "" // the next entry that answers is treated as new
	}
	if !l.failing {
		l.failing = true
		a.log.Warn().Err(err).Str("address", l.client.Address()).Msg("entry not reached")
	}
}

// offer schedules an offer to an entry whose loan has grown. When the queue is full,
// the entry learns of it with the next reply or heartbeat instead.
func (a *Agent) offer(entry string) {
	select {
	case a.offers <- entry:
	default:
		a.counters.offersDropped.Inc(1)
	}
}

// offerDuty offers credits to entries to which they have moved.
func (a *Agent) offerDuty() {
	for {
		select {
		case <-a.stop:
			return
		case entry := <-a.offers:
			go a.sendOffer(entry, false)
		}
	}
}

// recall asks an entry to return its idle credits.
func (a *Agent) recall(entry string) {
	a.sendOffer(entry, true)
}

func (a *Agent) sendOffer(entry string, recall bool) {
	l := a.linkTo(entry)
	if l == nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.lender.Revoke(entry)
		return
	}
	args := wire.OfferArgs{Status: a.status(entry), Recall: recall}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rep, err := wire.Call[wire.OfferArgs, wire.OfferReply](ctx, l.client, wire.EntryOffer, &args)
	if err != nil {
		a.linkFailed(l, errors.Annotate(err, "offering credits"))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l.lastContact = a.clock.Now()
	if recall {
		a.lender.Return(entry, rep.Epoch, rep.Returned, rep.Demand)
	}
}

func (a *Agent) linkTo(entry string) *link {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.entry == entry {
			return l
		}
	}
	return nil
}
