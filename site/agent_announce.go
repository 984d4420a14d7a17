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
	addresses []string
}

// maxEntries bounds the list; addresses that are no longer used stay in it.
const maxEntries = 64

func (l *entryList) add(addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if a != "" && len(l.addresses) < maxEntries && !slices.Contains(l.addresses, a) {
			l.addresses = append(l.addresses, a)
		}
	}
}

func (l *entryList) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// announceDuty tells all entries of this agent.
func (a *Agent) announceDuty() {
	clients := make(map[string]*wire.Client)
	var lookup time.Time
	begun := a.now()
	for {
		heard, all := a.announce(clients)
		now := a.now()
		if heard == 0 && now.Sub(lookup) > entryLookup {
			lookup = now
			go a.findEntries()
		}
		pause := announceEvery
		if heard == 0 || heard < all && now.Sub(begun) < announceYoung {
			pause = announceSoon
		}
		select {
		case <-a.stop:
			return
		case <-time.After(pause):
		}
	}
}

// entryLookup is the pause between looks for entries in the store.
const entryLookup = 3 * time.Second

// announce calls all entries at once and returns how many answered, of how many.
func (a *Agent) announce(clients map[string]*wire.Client) (n, all int) {
	ctx, cancel := context.WithTimeout(context.Background(), greetTimeout)
	defer cancel()
	args := AnnounceArgs{Address: a.node.Internal, Service: a.node.Service}
	addresses := a.entries.all()
	answered := make(chan bool, len(addresses))
	for _, address := range addresses {
		c, ok := clients[address]
		if !ok {
			c = wire.NewClient(address, rpcOptions)
			clients[address] = c
		}
		go func() {
			rep, err := wire.Call[AnnounceArgs, AnnounceReply](ctx, c, entryAnnounce, &args)
			if err != nil {
				c.Reset()
			} else {
				a.entries.add(rep.Entries...)
			}
			answered <- err == nil
		}()
	}
	for range addresses {
		if <-answered {
			n++
		}
	}
	return n, len(addresses)
}

// rpcOptions bound the connections between the processes of a site. A dial
// that takes longer than the round trip between data centres by far has hit a
// cut.
var rpcOptions = wire.Options{DialTimeout: 300 * time.Millisecond, WriteTimeout: 300 * time.Millisecond}

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
