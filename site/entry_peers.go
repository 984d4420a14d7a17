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

// entryMethods are what agents and other entries call.
type entryMethods struct {
	e *Entry
}

// Announce takes news of an agent.
func (m *entryMethods) Announce(args *AnnounceArgs, reply *AnnounceReply) error {
	e := m.e
	e.mu.Lock()
	_, known := e.agents[args.Address]
	e.agents[args.Address] = e.now()
	reply.Panel = e.roster.Panel(e.now())
	e.mu.Unlock()
	if !known {
		e.log.Info().Str("agent", args.Address).Str("service", args.Service).Msg("agent found")
		e.home.wake()
	}
	return nil
}

// Greet exchanges what two entries tell about themselves.
func (m *entryMethods) Greet(args *GreetArgs, reply *GreetReply) error {
	m.e.hear((*GreetReply)(args))
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

// greeting returns what the entry at an address is told.
func (e *Entry) greeting(to string) GreetArgs {
	e.mu.Lock()
	now := e.now()
	args := GreetArgs{Member: e.roster.Self(now), Session: e.sessions[to], Panel: e.roster.Panel(now)}
	args.Sum = sumOf(args.Panel)
	if c := e.config.Load(); c != nil {
		args.Config = c.Version()
	}
	home, _ := e.roster.Home(now)
	e.mu.Unlock()
	if home.Life == e.life {
		args.Waiting = e.home.waitingByQueue()
	}
	return args
}

// sumOf tells panels apart.
func sumOf(panel []string) uint64 {
	h := fnv.New64a()
	for _, a := range panel {
		_, _ = h.Write([]byte(a)) // never fails
	}
	return h.Sum64()
}

// hear takes what another entry told.
func (e *Entry) hear(g *GreetReply) {
	e.mu.Lock()
	e.roster.Hear(e.now(), g.Member)
	if home, ok := e.roster.Home(e.now()); ok && home.Life == g.Member.Life {
		e.waiting = g.Waiting
	}
	e.mu.Unlock()
	e.known.add(e.now(), g.Panel...)
	e.home.heard(g.Member.Life, g.Session)
	if c := e.config.Load(); g.Config > 0 && (c == nil || c.Version() < g.Config) {
		go e.fetchConfig(g.Member.Address)
	}
}

// greetDuty greets the home often, the panel now and then, and one of the other
// entries that are known with each round of the panel, so that parts of a site that
// do not know each other become one.
func (e *Entry) greetDuty() {
	last := make(map[string]time.Time)
	var other time.Time
	for {
		e.follow()
		now := e.now()
		due, rest, lost := e.greetNow(now, last)
		if lost || now.Sub(other) >= greetOthers {
			other = now
			due = append(due, oldest(rest, last, lost)...)
		}
		for _, address := range due {
			last[address] = now
			go e.greet(address)
		}
		select {
		case <-e.stop:
			return
		case <-time.After(greetPause(len(e.known.all()))):
		}
	}
}

// greetPause is the pause between greetings of the home: longer on large sites, so
// that a home is greeted at most about 500 times a second.
func greetPause(entries int) time.Duration {
	return min(max(greetHome, time.Duration(entries)*greetPerEntry), greetHomeMost)
}

// greetNow returns the entries to greet now, those that are known and need not be
// greeted regularly, and whether no home is known.
func (e *Entry) greetNow(now time.Time, last map[string]time.Time) (due, rest []string, lost bool) {
	home, ok := e.currentHome()
	e.mu.Lock()
	panel := e.roster.Panel(now)
	e.mu.Unlock()
	// Others may see entries on the panel that are not known here yet.
	panel = append(slices.Clone(panel), e.known.since(now.Add(-panelTold))...)
	for _, address := range e.known.all() {
		onPanel := slices.Contains(panel, address)
		often := e.hasJobsAt(address) || onPanel && !ok || address == home.Address && now.Sub(last[address]) >= greetIdle-greetHome/2
		switch {
		case address == e.node.Internal:
		case often, onPanel && now.Sub(last[address]) >= greetOthers:
			due = append(due, address)
		case !onPanel:
			rest = append(rest, address)
		}
	}
	return due, rest, !ok
}

// oldest returns the address that was greeted longest ago, or as many as there are
// on a panel while no home is known.
func oldest(addresses []string, last map[string]time.Time, lost bool) []string {
	slices.SortStableFunc(addresses, func(a, b string) int { return last[a].Compare(last[b]) })
	if lost {
		return addresses[:min(panelSize, len(addresses))]
	}
	return addresses[:min(1, len(addresses))]
}

// hasJobsAt reports whether a home has jobs from here.
func (e *Entry) hasJobsAt(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.jobs[address] > 0
}

// greetAll greets all entries at once.
func (e *Entry) greetAll() {
	for _, address := range e.known.all() {
		if address != e.node.Internal {
			go e.greet(address)
		}
	}
}

func (e *Entry) greet(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), greetTimeout)
	defer cancel()
	args := e.greeting(address)
	args.Panel = nil
	rep, err := wire.Call[GreetArgs, GreetReply](ctx, e.peer(address), entryGreet, &args)
	if err != nil {
		e.renew(address)
		return // silence is judged by the roster
	}
	e.answered(address)
	e.hear(rep)
}

// peer is the way to another entry.
type peer struct {
	client   *wire.Client
	answered time.Time // when it last answered a greeting, or the connection was renewed
}

// peer returns the client of another entry.
func (e *Entry) peer(address string) *wire.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[address]
	if !ok {
		p = &peer{client: wire.NewClient(address, rpcOptions(e.network)), answered: e.now()}
		e.peers[address] = p
	}
	return p.client
}

func (e *Entry) answered(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[address].answered = e.now()
}

// renew gives up a connection on which greetings have not been answered for as
// long as makes a home count as lost. A connection may be silent for good while
// new ones work.
func (e *Entry) renew(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, now := e.peers[address], e.now(); now.Sub(p.answered) > homeSilence {
		p.answered = now
		p.client.Reset()
	}
}

// currentHome returns the home and whether there is one.
func (e *Entry) currentHome() (m roster.Member, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roster.Home(e.now())
}

// follow notes changes of the home, and forgets agents that are silent.
func (e *Entry) follow() {
	e.mu.Lock()
	now := e.now()
	for a, heard := range e.agents {
		if now.Sub(heard) > agentKnown {
			delete(e.agents, a)
			e.log.Info().Str("agent", a).Msg("agent silent")
		}
	}
	e.roster.SetAgents(len(e.agents))
	home, ok := e.roster.Home(now)
	changed := home.Life != e.lastHome
	before := e.lastHome
	e.lastHome = home.Life
	e.mu.Unlock()
	if changed {
		e.metrics.changes.Inc(1)
		e.log.Info().Str("home", home.Name).Str("life", home.Life).Str("before", before).Uint64("term", home.Term).Bool("any", ok).Msg("home changed")
		e.home.wake()
		if home.Life == e.life {
			e.greetAll()
		}
	}
}

// inTouch returns the other entries in contact.
func (e *Entry) inTouch() []roster.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.roster.InContact(e.now())), func(m roster.Member) bool { return m.Life == e.life })
}

// waitingJobs returns how many jobs of a queue have not begun.
func (e *Entry) waitingJobs(queue string) int {
	if e.IsHome() {
		return e.home.waiting(queue)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting[queue]
}

// knownAgents returns the agents that announced themselves.
func (e *Entry) knownAgents() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	agents := make([]string, 0, len(e.agents))
	for a := range e.agents {
		agents = append(agents, a)
	}
	return agents
}

// registerDuty writes this entry's address to the store once, so that
// processes find it that know no entry in contact.
func (e *Entry) registerDuty() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		items, err := e.store.List(ctx, entriesPrefix)
		if err == nil {
			for _, it := range items {
				e.known.add(time.Time{}, string(it.Value))
			}
			err = e.store.Put(ctx, entriesPrefix+e.node.Name, []byte(e.node.Internal))
		}
		cancel()
		if err == nil {
			return
		}
		e.log.Warn().Err(err).Msg("entry not registered in the store; tries again")
		select {
		case <-e.stop:
			return
		case <-time.After(registerPause):
		}
	}
}

const (
	registerTimeout = 3 * time.Second
	registerPause   = 1500 * time.Millisecond
)

// fetchConfig takes the configuration of another entry.
func (e *Entry) fetchConfig(address string) {
	e.mu.Lock()
	busy := e.pull[address]
	e.pull[address] = true
	e.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		e.mu.Lock()
		delete(e.pull, address)
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

// applyConfig puts a configuration in force unless a newer one is.
func (e *Entry) applyConfig(raw []byte, from string) {
	c, err := platform.DecodeConfig(raw)
	if err != nil {
		e.log.Error().Err(err).Str("from", from).Msg("configuration not understood")
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

// IsHome reports whether this entry acts as home.
func (e *Entry) IsHome() bool {
	m, ok := e.currentHome()
	return ok && m.Life == e.life
}
