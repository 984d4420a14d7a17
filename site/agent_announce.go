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
	mu        sync.Mutex // guards addresses
	addresses []string   // the one that was told longest ago first
}

// maxEntries bounds the list, since addresses that are no longer used stay in
// it: several times the entries of the largest site.
const maxEntries = 64

func (l *entryList) add(addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if a == "" {
			continue
		}
		if i := slices.Index(l.addresses, a); i >= 0 {
			l.addresses = slices.Delete(l.addresses, i, i+1)
		}
		l.addresses = append(l.addresses, a)
		if len(l.addresses) > maxEntries {
			l.addresses = slices.Delete(l.addresses, 0, 1)
		}
	}
}

func (l *entryList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// announceDuty tells all entries of this agent, each in a goroutine of its own,
// so that one that is out of contact does not delay the others.
func (a *Agent) announceDuty() {
	told := make(map[string]bool)
	var lookup time.Time
	for {
		for _, address := range a.entries.all() {
			if !told[address] {
				told[address] = true
				go a.announceTo(address)
			}
		}
		now := a.now()
		a.mu.Lock()
		lonely := now.Sub(a.answered) > announceEvery
		a.mu.Unlock()
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

// entryLookup is the pause between looks for entries in the store.
const entryLookup = 3 * time.Second

// announceTo tells one entry again and again.
func (a *Agent) announceTo(address string) {
	c := wire.NewClient(address, rpcOptions(a.network))
	defer c.Close()
	begun := a.now()
	for {
		pause := announceEvery
		if !a.announce(c) && a.now().Sub(begun) < announceYoung {
			pause = announceSoon
		}
		select {
		case <-a.stop:
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
	a.entries.add(rep.Entries...)
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
		a.entries.add(string(it.Value))
	}
}

// entriesPrefix is where entries write their addresses; a key is the name of a
// VM.
const entriesPrefix = "masticbay/entries/"
