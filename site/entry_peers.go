package site

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"masticbay/platform"
	"masticbay/roster"
	"masticbay/wire"
)

// entryMethods are the RPC methods that agents and other entries call.
type entryMethods struct {
	e *Entry
}

// Announce takes the announcement of an agent and returns the panel.
func (m *entryMethods) Announce(args *AnnounceArgs, reply *AnnounceReply) error {
	e := m.e
	e.mu.Lock()
	_, known := e.agents[args.Address]
	e.agents[args.Address] = agentContact{args.Service + "/" + args.Kind, e.now()}
	reply.Panel = e.roster.Panel(e.now())
	e.mu.Unlock()
	if !known {
		e.log.Info().Str("agent", args.Address).Str("service", args.Service).Msg("agent found")
		e.home.notify()
	}
	return nil
}

// Greet takes a greeting of another entry and returns this entry's own.
func (m *entryMethods) Greet(args *GreetArgs, reply *GreetReply) error {
	m.e.takeGreeting((*GreetReply)(args))
	*reply = GreetReply(m.e.greeting(args.Member.Address))
	if reply.Sum == args.Sum {
		reply.Panel = nil
	}
	return nil
}

// Config returns the configuration in force; nothing if there is none yet.
func (m *entryMethods) Config(_ *ConfigArgs, reply *ConfigReply) error {
	if c := m.e.config.Load(); c != nil {
		reply.Raw = c.Raw()
	}
	return nil
}

// greeting returns the greeting for the entry at an address.
func (e *Entry) greeting(to string) GreetArgs {
	e.mu.Lock()
	now := e.now()
	args := GreetArgs{Member: e.roster.Self(now), Session: e.sessions[to], Panel: e.roster.Panel(now)}
	args.Sum, args.Stamp, args.Echo = panelHash(args.Panel), toStamp(now), e.stamps[to].stamp
	if c := e.config.Load(); c != nil {
		args.Config = c.Version()
	}
	e.mu.Unlock()
	if st := e.home.status.Load(); args.Member.Term > 0 || args.Member.Places {
		args.Waiting, args.Delay, args.Vacant = st.waiting, st.delay, st.vacant
	}
	return args
}

// panelHash returns a hash by which panels are compared.
func panelHash(panel []string) uint64 {
	h := fnv.New64a()
	for _, a := range panel {
		_, _ = h.Write([]byte(a)) // never fails
	}
	return h.Sum64()
}

// takeGreeting processes a greeting of another entry.
func (e *Entry) takeGreeting(g *GreetReply) {
	e.mu.Lock()
	e.roster.RecordContact(e.now(), g.Member)
	if g.Member.Term > 0 || g.Member.Places {
		e.news[g.Member.Address] = homeNews{g.Waiting, g.Delay, g.Vacant, e.now()}
	} else {
		delete(e.news, g.Member.Address)
	}
	if known := e.stamps[g.Member.Address]; known.life != g.Member.Life || g.Stamp > known.stamp {
		e.stamps[g.Member.Address] = peerStamp{g.Member.Life, g.Stamp}
	}
	e.mu.Unlock()
	e.knownEntries.add(e.now(), g.Panel...)
	e.home.recordContact(g.Member.Life, g.Session, g.Echo)
	if c := e.config.Load(); g.Config > 0 && (c == nil || c.Version() < g.Config) {
		go e.fetchConfig(g.Member.Address)
	}
}

// greetDuty is the loop that sends greetings: to the homes often, to the panel at
// longer intervals, and with each round of the panel to one other known entry, so that
// parts of a site that do not know each other merge. While no home is known it checks
// more often whether this entry is to become home.
func (e *Entry) greetDuty() {
	lastGreeted := make(map[string]time.Time)
	var lastOther time.Time
	var lag roster.Lag
	for {
		e.updateHome()
		now := e.now()
		due, rest, noHome := e.greetingsDue(now, lastGreeted)
		pause, otherInterval := greetInterval(len(e.knownEntries.all())), panelGreetInterval
		if noHome {
			pause, otherInterval = homePollInterval, homeGreetInterval
		}
		if now.Sub(lastOther) >= otherInterval {
			lastOther = now
			due = append(due, leastRecentlyGreeted(rest, lastGreeted, noHome)...)
		}
		for _, address := range due {
			lastGreeted[address] = now
			go e.greet(address)
		}
		select {
		case <-e.stop:
			return
		case <-time.After(pause):
		}
		e.setOverloaded(lag.Add(e.now(), e.now().Sub(now)-pause))
	}
}

// setOverloaded records whether this entry is overloaded. Another entry becomes home
// then if it is not.
func (e *Entry) setOverloaded(overloaded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if overloaded != e.roster.Self(e.now()).Overloaded {
		e.log.Warn().Bool("overloaded", overloaded).Msg("overload changed")
		e.roster.SetOverloaded(overloaded)
	}
}

// greetInterval returns the interval between greetings of the home. It is longer on
// large sites, so that a home is greeted at most about 500 times a second.
func greetInterval(entries int) time.Duration {
	return min(max(homeGreetInterval, time.Duration(entries)*greetIntervalPerEntry), maxHomeGreetInterval)
}

// greetingsDue returns the entries to greet now, the known entries that need no
// regular greetings, and whether no home is known.
func (e *Entry) greetingsDue(now time.Time, lastGreeted map[string]time.Time) (due, rest []string, noHome bool) {
	_, ok := e.currentHome()
	// The others may start at the same time and not listen yet.
	isStarting := !ok && now.Sub(e.startedAt) <= 2*startupWait
	e.mu.Lock()
	panel := e.roster.Panel(now)
	homes := make(map[string]bool)
	for _, m := range e.roster.Homes(now) {
		homes[m.Address] = true
	}
	e.mu.Unlock()
	// The panel of other entries may include entries that this one does not know yet.
	panel = append(slices.Clone(panel), e.knownEntries.namedSince(now.Add(-panelNamedFor))...)
	for _, address := range union(e.knownEntries.all(), panel) {
		onPanel := slices.Contains(panel, address)
		elapsed := now.Sub(lastGreeted[address])
		often := (e.hasJobsAt(address) || onPanel && !ok) && elapsed >= homeGreetInterval-homePollInterval || isStarting
		switch {
		case address == e.node.Internal:
		case often, homes[address] && elapsed >= idleHomeGreetInterval-homeGreetInterval/2, onPanel && elapsed >= panelGreetInterval:
			due = append(due, address)
		case !onPanel:
			rest = append(rest, address)
		}
	}
	return due, rest, !ok
}

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	all := slices.Clone(a)
	for _, address := range b {
		if !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	return all
}

// leastRecentlyGreeted returns the address that was greeted longest ago, or panelSize
// of them while no home is known.
func leastRecentlyGreeted(addresses []string, lastGreeted map[string]time.Time, noHome bool) []string {
	slices.SortStableFunc(addresses, func(a, b string) int { return lastGreeted[a].Compare(lastGreeted[b]) })
	if noHome {
		return addresses[:min(panelSize, len(addresses))]
	}
	return addresses[:min(1, len(addresses))]
}

// hasJobsAt reports whether this entry has jobs at a home.
func (e *Entry) hasJobsAt(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobsAt[address] > 0
}

// greetAll greets all entries at once.
func (e *Entry) greetAll() {
	for _, address := range e.knownEntries.all() {
		if address != e.node.Internal {
			go e.greet(address)
		}
	}
}

// greet greets an entry, once more on a new connection if the present one is silent.
// The roster detects entries that are out of contact.
func (e *Entry) greet(address string) {
	if !e.greetOnce(address) && e.resetIfUnanswered(address) {
		e.greetOnce(address)
	}
}

// greetOnce greets an entry and reports whether it answered.
func (e *Entry) greetOnce(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), greetAnswerTimeout)
	defer cancel()
	args := e.greeting(address)
	args.Panel = nil
	rep, err := wire.Call[GreetArgs, GreetReply](ctx, e.peer(address), entryGreet, &args)
	if err != nil {
		return false
	}
	e.greetingAnswered(address)
	e.takeGreeting(rep)
	return true
}

// peerStamp is the last stamp that an incarnation of another entry has sent.
type peerStamp struct {
	life  string
	stamp time.Duration
}

// peer is the connection to another entry.
type peer struct {
	client       *wire.Client
	lastAnswered time.Time // when it last answered a greeting, or the connection was opened or reset
}

// peer returns the client of another entry.
func (e *Entry) peer(address string) *wire.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[address]
	if !ok {
		p = &peer{client: wire.NewClient(address, rpcOptions(e.network)), lastAnswered: e.now()}
		e.peers[address] = p
	}
	return p.client
}

func (e *Entry) greetingAnswered(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[address].lastAnswered = e.now()
}

// resetIfUnanswered closes a connection on which no greeting was answered for
// silentConnTimeout, and reports whether it did. A connection may be dead while new
// ones work.
func (e *Entry) resetIfUnanswered(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, now := e.peers[address], e.now()
	if now.Sub(p.lastAnswered) <= silentConnTimeout {
		return false
	}
	p.lastAnswered = now
	p.client.Reset()
	return true
}

// currentHome returns the home and whether there is one.
func (e *Entry) currentHome() (m roster.Member, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roster.Home(e.now())
}

// updateHome detects failover to another home, and removes agents that are out of
// contact.
func (e *Entry) updateHome() {
	e.mu.Lock()
	now := e.now()
	for a, c := range e.agents {
		if now.Sub(c.lastAnnounced) > agentContactTimeout {
			delete(e.agents, a)
			e.log.Info().Str("agent", a).Msg("agent silent")
		}
	}
	e.roster.SetAgents(len(e.agents))
	e.updateCells(e.home.status.Load().storesJobs)
	home, ok := e.roster.Home(now)
	changed := home.Life != e.lastHome
	previous := e.lastHome
	e.lastHome = home.Life
	homes := lives(e.roster.Homes(now))
	homesChanged := !slices.Equal(homes, e.lastHomes)
	e.lastHomes = homes
	e.mu.Unlock()
	if homesChanged {
		e.log.Info().Strs("homes", homes).Bool("places", slices.Contains(homes, e.life)).Msg("homes of the cells changed")
		e.home.notify()
	}
	if changed {
		e.metrics.homeChanges.Inc(1)
		e.log.Info().Str("home", home.Name).Str("life", home.Life).Str("before", previous).Uint64("term", home.Term).Bool("any", ok).Msg("home changed")
		e.home.notify()
		if home.Life == e.life {
			e.greetAll()
		}
	}
}

// entriesInContact returns the other entries in contact.
func (e *Entry) entriesInContact() []roster.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.roster.InContact(e.now())), func(m roster.Member) bool { return m.Life == e.life })
}

// lives returns the incarnations of entries.
func lives(members []roster.Member) []string {
	ls := make([]string, len(members))
	for i := range members {
		ls[i] = members[i].Life
	}
	return ls
}

// waitingJobs returns how many jobs of a queue have not started at any home.
func (e *Entry) waitingJobs(queue string) (n int) {
	for _, m := range e.homes() {
		if m.Life == e.life {
			n += e.home.status.Load().waiting[queue]
			continue
		}
		e.mu.Lock()
		n += e.news[m.Address].waiting[queue]
		e.mu.Unlock()
	}
	return n
}

// registerDuty writes this entry's address to the store once, for processes that are
// not in contact with any entry.
func (e *Entry) registerDuty() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		items, err := e.store.List(ctx, entriesPrefix)
		if err == nil {
			for _, it := range items {
				e.knownEntries.add(time.Time{}, string(it.Value))
			}
			err = e.store.Put(ctx, entriesPrefix+e.node.Name, []byte(e.node.Internal))
		}
		cancel()
		if err == nil {
			return
		}
		e.log.Warn().Err(err).Msg("entry not registered in the store; will retry")
		select {
		case <-e.stop:
			return
		case <-time.After(registerRetryInterval):
		}
	}
}

const (
	registerTimeout       = 3 * time.Second
	registerRetryInterval = 1500 * time.Millisecond
)

// fetchConfig fetches the configuration of another entry and applies it.
func (e *Entry) fetchConfig(address string) {
	e.mu.Lock()
	isFetching := e.fetching[address]
	e.fetching[address] = true
	e.mu.Unlock()
	if isFetching {
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.fetching, address)
		e.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	rep, err := wire.Call[ConfigArgs, ConfigReply](ctx, e.peer(address), entryConfig, &ConfigArgs{})
	if err != nil {
		e.log.Warn().Err(err).Str("entry", address).Msg("configuration not fetched")
		return
	}
	if len(rep.Raw) > 0 {
		e.applyConfig(rep.Raw, "entry "+address)
	}
}

const fetchTimeout = time.Second

// applyConfig puts a configuration in force unless the current one is as new.
func (e *Entry) applyConfig(raw []byte, from string) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		e.log.Error().Err(err).Str("from", from).Msg("cannot decode the configuration")
		return
	}
	for {
		old := e.config.Load()
		if old != nil && old.Version() >= c.Version() {
			return
		}
		if e.config.CompareAndSwap(old, c) {
			break
		}
	}
	e.log.Info().Uint64("version", c.Version()).Str("from", from).Msg("configuration in force")
}

// IsHome reports whether this entry is home.
func (e *Entry) IsHome() bool {
	m, ok := e.currentHome()
	return ok && m.Life == e.life
}
