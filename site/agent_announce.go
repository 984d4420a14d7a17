package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"masticbay/wire"
)

// entryList is the set of entry addresses that a process knows. The zero value is an
// empty list, ready to use.
type entryList struct {
	mu        sync.Mutex   // guards addresses
	addresses []knownEntry // by lastNamed, the oldest first
}

// knownEntry is the address of an entry, and when another process last named it.
type knownEntry struct {
	address   string
	lastNamed time.Time
}

// maxEntries bounds the list, since addresses that are no longer used stay in it. It
// is several times the size of the panel (home and the candidates for failover).
const maxEntries = 64

func (l *entryList) add(now time.Time, addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if a == "" {
			continue
		}
		l.addresses = slices.DeleteFunc(l.addresses, func(e knownEntry) bool { return e.address == a })
		l.addresses = append(l.addresses, knownEntry{a, now})
		if len(l.addresses) > maxEntries {
			l.addresses = slices.Delete(l.addresses, 0, 1)
		}
	}
}

// namedSince returns the addresses that were named at t or later.
func (l *entryList) namedSince(t time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var recent []string
	for _, e := range l.addresses {
		if !e.lastNamed.Before(t) {
			recent = append(recent, e.address)
		}
	}
	return recent
}

// all returns all addresses.
func (l *entryList) all() []string { return l.namedSince(time.Time{}) }

// announceDuty is the loop that announces this agent to the entries of the panel, each
// in its own goroutine, so that an entry out of contact does not delay the others.
// While no entry answers, it announces the agent to all entries that it knows.
func (a *Agent) announceDuty() {
	announcers := make(map[string]context.CancelFunc)
	defer func() {
		for _, stop := range announcers {
			stop()
		}
	}()
	var lastLookup time.Time
	for {
		now := a.now()
		a.mu.Lock()
		noEntryAnswers := now.Sub(a.lastAnswered) > unansweredLimit
		a.mu.Unlock()
		panel := a.entries.namedSince(now.Add(-panelMaxAge))
		if noEntryAnswers {
			panel = a.entries.all()
		}
		a.updateAnnouncers(announcers, panel)
		if noEntryAnswers && now.Sub(lastLookup) > entryLookupInterval {
			lastLookup = now
			go a.findEntries()
		}
		select {
		case <-a.stop:
			return
		case <-time.After(startupAnnounceInterval / 4):
		}
	}
}

// updateAnnouncers starts and stops goroutines so that announcers has one for each
// entry of the panel.
func (a *Agent) updateAnnouncers(announcers map[string]context.CancelFunc, panel []string) {
	for _, address := range panel {
		if _, ok := announcers[address]; !ok {
			ctx, stop := context.WithCancel(context.Background())
			announcers[address] = stop
			go a.announceRepeatedly(ctx, address)
		}
	}
	for address, stop := range announcers {
		if !slices.Contains(panel, address) {
			stop()
			delete(announcers, address)
		}
	}
}

// unansweredLimit is the time without an answer after which an agent announces itself
// to all entries that it knows: two rounds of announcements and a timeout.
const unansweredLimit = 2*announceInterval + greetTimeout

// panelMaxAge is how long announcements to an entry go on after it was last named. A
// few announcements may get no answer.
const panelMaxAge = 4 * announceInterval

// entryLookupInterval is the time between searches for entries in the store.
const entryLookupInterval = 3 * time.Second

// announceRepeatedly announces this agent to one entry until ctx ends.
func (a *Agent) announceRepeatedly(ctx context.Context, address string) {
	c := wire.NewClient(address, rpcOptions(a.network))
	defer c.Close()
	startedAt := a.now()
	for {
		pause := announceInterval
		if !a.announce(c) && a.now().Sub(startedAt) < startupAnnounceFor {
			pause = startupAnnounceInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// announce announces this agent to one entry and reports whether the entry answered.
func (a *Agent) announce(c *wire.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), greetTimeout)
	defer cancel()
	args := AnnounceArgs{Address: a.node.Internal, Service: a.node.Service, Kind: a.workerKind(), DataCentre: a.announcedDataCentre()}
	rep, err := wire.Call[AnnounceArgs, AnnounceReply](ctx, c, entryAnnounce, &args)
	if err != nil {
		c.Reset()
		return false
	}
	a.entries.add(a.now(), rep.Panel...)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAnswered = a.now()
	return true
}

// workerKind returns the first label of the worker, which names its kind.
func (a *Agent) workerKind() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, _ := a.guard.Target(); len(t.Labels) > 0 {
		return t.Labels[0]
	}
	return ""
}

// rpcOptions returns the limits of connections between the processes of a site. A
// dial that takes far longer than the round trip between data centres has met a
// network partition.
func rpcOptions(n wire.Network) wire.Options {
	return wire.Options{DialTimeout: rpcTimeout, WriteTimeout: rpcTimeout, Network: n}
}

// rpcTimeout is far above the round trip between data centres.
const rpcTimeout = 300 * time.Millisecond

// findEntries reads the addresses of entries from the store.
func (a *Agent) findEntries() {
	ctx, cancel := context.WithTimeout(context.Background(), entryLookupInterval)
	defer cancel()
	items, err := a.store.List(ctx, entriesPrefix)
	if err != nil {
		a.log.Warn().Err(err).Msg("neither an entry nor the store answers")
		return
	}
	for _, it := range items {
		a.entries.add(time.Time{}, string(it.Value)) // not known to be on the panel
	}
}

// entriesPrefix is the prefix of the keys under which entries store their addresses;
// the rest of a key is the name of a VM.
const entriesPrefix = "masticbay/entries/"
