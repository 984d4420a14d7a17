package site

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"time"

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
	e.agents[args.Address] = agentContact{args.Service + "/" + args.Kind, args.DataCentre, e.now()}
	delete(e.lostAgents, args.Address)
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
	m.e.takeGreeting(time.Time{}, (*GreetReply)(args))
	*reply = GreetReply(m.e.greeting(args.Member.Address))
	if reply.Sum == args.Sum {
		reply.Panel = nil
	}
	return nil
}

// Config returns the configuration in force; nothing if there is none yet.
func (m *entryMethods) Config(_ *ConfigArgs, reply *ConfigReply) error {
	if c := m.e.config.Load(); c != nil {
		reply.Raw, reply.Revision = c.Raw(), c.revision
	}
	return nil
}

// greeting returns the greeting for the entry at an address.
func (e *Entry) greeting(to string) GreetArgs {
	e.mu.Lock()
	now := e.now()
	e.lastGreeting++
	args := GreetArgs{Number: e.lastGreeting, Member: e.roster.Self(now), Session: e.sessions[to], Panel: e.roster.Panel(now)}
	args.HighestTerm = e.roster.HighestTerm()
	args.Sum, args.Stamp, args.Echo = panelHash(args.Panel), toStamp(now), e.stamps[to].stamp
	if c := e.config.Load(); c != nil {
		args.Config = c.Version()
	}
	st := e.home.status.Load()
	e.mu.Unlock()
	args.Evacuation = e.evacuations.mark()
	args.Open = st.open
	if args.Member.Term > 0 || args.Member.Places {
		args.Waiting, args.WaitingPartial, args.Delay, args.Vacant, args.StartRate = st.waiting, st.isPartial, st.delay, st.vacant, st.startRate
		args.Interference = st.pairs
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

// takeGreeting processes a greeting of another entry, unless a later one has been processed. If it answers
// a greeting of this one, that was sent at sentAt; otherwise sentAt is zero.
func (e *Entry) takeGreeting(sentAt time.Time, g *GreetReply) {
	e.mu.Lock()
	if !e.recordStamp(sentAt, g) {
		e.mu.Unlock()
		if sentAt.IsZero() {
			go e.greet(g.Member.Address) // the answer shows which incarnation runs, and its present state
		}
		return
	}
	e.roster.RecordContact(e.now(), g.Member)
	e.roster.RecordTerm(g.HighestTerm)
	becameVacant := g.Vacant && !e.homeReports[g.Member.Address].vacant
	if g.Member.Term > 0 || g.Member.Places {
		e.homeReports[g.Member.Address] = homeReport{waiting: g.Waiting, isPartial: g.WaitingPartial, delay: g.Delay, startRate: validRate(g.StartRate), vacant: g.Vacant, open: g.Open, receivedAt: e.now()}
	} else {
		delete(e.homeReports, g.Member.Address)
	}
	e.recordPairs(g)
	e.mu.Unlock()
	e.knownEntries.add(e.now(), g.Panel...)
	e.home.recordContact(g.Member.Life, g.Session, g.Echo)
	if becameVacant {
		e.home.reportVacant()
	}
	if g.Open && g.Member.Term == 0 && !g.Member.Places {
		e.askFormerHome(g.Member)
	}
	if e.lacksConfig(g.Config) {
		go e.fetchConfig(g.Member.Address, g.Config)
	}
	if e.evacuations.isNewer(g.Evacuation) {
		go e.fetchEvacuated(g.Member.Address)
	}
}

// recordStamp records the stamp of a greeting, and reports whether the greeting is the latest of its entry. The
// caller holds mu.
func (e *Entry) recordStamp(sentAt time.Time, g *GreetReply) (isLatest bool) {
	known := e.stamps[g.Member.Address]
	if !known.latest.take(e.now(), sentAt, g.Member.Life, numberOf(g.Number, g.Stamp)) {
		return false
	}
	known.stamp = g.Stamp
	e.stamps[g.Member.Address] = known
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
			e.lostAgents[a] = c.lastAnnounced
			e.log.Info().Str("agent", a).Msg("agent silent")
		}
	}
	maps.DeleteFunc(e.lostAgents, func(_ string, lastAnnounced time.Time) bool { return now.Sub(lastAnnounced) > lostAgentRetention })
	e.roster.SetAgents(len(e.agents))
	switch onPanel := slices.Contains(e.roster.Panel(now), e.node.Internal); {
	case !onPanel:
		e.onPanelSince = time.Time{}
	case e.onPanelSince.IsZero():
		e.onPanelSince = now
	}
	e.updateCells(e.home.status.Load().storesJobs)
	home, ok := e.roster.Home(now)
	changed := home.Life != e.lastHome
	previous := e.lastHome
	e.lastHome = home.Life
	e.recordWaiting(now)
	homes := lives(e.roster.Homes(now))
	e.recordHomes(e.roster.Homes(now))
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
		e.home.notifyLedger()
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

// fetchConfig fetches a version of the configuration from another entry and applies it, unless the
// store sends it first. One configuration is fetched at a time, on a connection of its own: greetings
// and jobs would wait behind it.
func (e *Entry) fetchConfig(address string, version uint64) {
	if !e.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	defer e.fetchingConfig.Store(false)
	if e.config.Load() != nil {
		sleep(e.ending, storeHeadStart)
	}
	if !e.lacksConfig(version) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	c := wire.NewClient(address, rpcOptions(e.network))
	defer c.Close()
	rep, err := wire.Call[ConfigArgs, ConfigReply](ctx, c, entryConfig, &ConfigArgs{})
	if err != nil {
		e.log.Warn().Err(err).Str("entry", address).Msg("configuration not fetched")
		return
	}
	if len(rep.Raw) > 0 {
		e.applyConfig(rep.Raw, rep.Revision, "entry "+address)
	}
}

// lacksConfig reports whether a version of the configuration is newer than the one in force.
func (e *Entry) lacksConfig(version uint64) bool {
	c := e.config.Load()
	return version > 0 && (c == nil || c.Version() < version)
}

// storeHeadStart is how long an entry that has a configuration waits for a newer one from the store
// before it fetches it from another entry.
const storeHeadStart = 200 * time.Millisecond

const fetchTimeout = time.Second

// IsHome reports whether this entry is home.
func (e *Entry) IsHome() bool {
	m, ok := e.currentHome()
	return ok && m.Life == e.life
}
