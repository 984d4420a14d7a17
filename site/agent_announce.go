package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"masticbay/wire"
)

// entryList is the set of entry addresses that a process knows. Its zero value
// is empty and ready to use.
type entryList struct {
	mu        sync.Mutex   // guards addresses
	addresses []knownEntry // the one that was told longest ago first
}

type knownEntry struct {
	address string
	told    time.Time
}

// maxEntries bounds the list, since addresses that are no longer used stay in
// it: several times the panel.
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

// since returns the addresses that were told at a time or later.
func (l *entryList) since(t time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var recent []string
	for _, e := range l.addresses {
		if !e.told.Before(t) {
			recent = append(recent, e.address)
		}
	}
	return recent
}

// all returns all addresses.
func (l *entryList) all() []string { return l.since(time.Time{}) }

// announceDuty tells the entries of the panel of this agent, each in a goroutine
// of its own, so that one that is out of contact does not delay the others. While
// none answers, it tells all entries that it knows.
func (a *Agent) announceDuty() {
	told := make(map[string]context.CancelFunc)
	defer func() {
		for _, stop := range told {
			stop()
		}
	}()
	var lookup time.Time
	for {
		now := a.now()
		a.mu.Lock()
		lonely := now.Sub(a.answered) > lonelyAfter
		a.mu.Unlock()
		panel := a.entries.since(now.Add(-panelKnown))
		if lonely {
			panel = a.entries.all()
		}
		a.announceToAll(told, panel)
		if lonely && now.Sub(lookup) > entryLookup {
			lookup = now
			go a.findEntries()
		}
		select {
		case <-a.stop:
			return
		case <-time.After(announceSoon / 4):
		}
	}
}

// announceToAll makes told the announcements to the entries of the panel.
func (a *Agent) announceToAll(told map[string]context.CancelFunc, panel []string) {
	for _, address := range panel {
		if _, ok := told[address]; !ok {
			ctx, stop := context.WithCancel(context.Background())
			told[address] = stop
			go a.announceTo(ctx, address)
		}
	}
	for address, stop := range told {
		if !slices.Contains(panel, address) {
			stop()
			delete(told, address)
		}
	}
}

// lonelyAfter is the time without an answer after which an agent announces itself to
// all entries that it knows: two rounds of announcements and a time-out.
const lonelyAfter = 2*announceEvery + greetTimeout

// panelKnown is how long an entry is announced to that no entry names any more: a
// few announcements may get no answer.
const panelKnown = 4 * announceEvery

// entryLookup is the pause between looks for entries in the store.
const entryLookup = 3 * time.Second

// announceTo tells one entry again and again.
func (a *Agent) announceTo(ctx context.Context, address string) {
	c := wire.NewClient(address, rpcOptions(a.network))
	defer c.Close()
	begun := a.now()
	for {
		pause := announceEvery
		if !a.announce(c) && a.now().Sub(begun) < announceYoung {
			pause = announceSoon
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// announce tells one entry and reports whether it answered.
func (a *Agent) announce(c *wire.Client) bool {
	ctx, cancel := context.WithTimeout(context.Background(), greetTimeout)
	defer cancel()
	args := AnnounceArgs{Address: a.node.Internal, Service: a.node.Service}
	rep, err := wire.Call[AnnounceArgs, AnnounceReply](ctx, c, entryAnnounce, &args)
	if err != nil {
		c.Reset()
		return false
	}
	a.entries.add(a.now(), rep.Panel...)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = a.now()
	return true
}

// rpcOptions bound the connections between the processes of a site. A dial
// that takes longer than the round trip between data centres by far has hit a
// cut.
func rpcOptions(n wire.Network) wire.Options {
	return wire.Options{DialTimeout: rpcLimit, WriteTimeout: rpcLimit, Network: n}
}

// rpcLimit is far above the time between data centres.
const rpcLimit = 300 * time.Millisecond

// findEntries reads the addresses of entries from the store.
func (a *Agent) findEntries() {
	ctx, cancel := context.WithTimeout(context.Background(), entryLookup)
	defer cancel()
	items, err := a.store.List(ctx, entriesPrefix)
	if err != nil {
		a.log.Warn().Err(err).Msg("no entry answers, and the store neither")
		return
	}
	for _, it := range items {
		a.entries.add(time.Time{}, string(it.Value)) // none of the panel, as far as is known
	}
}

// entriesPrefix is where entries write their addresses; a key is the name of a
// VM.
const entriesPrefix = "masticbay/entries/"
