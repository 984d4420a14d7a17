// Package entry implements the process that serves callers and operators.
//
// # Model
//
// An Entry holds a dispatch.Core, which schedules jobs, and a member.View,
// which decides when a job must be claimed. Both belong to one goroutine, the
// core loop, which takes events from a bounded channel and carries out the
// Core's actions. Handlers of HTTP requests and of RPCs run in goroutines of
// their own; they post events to the channel and wait. When the channel is
// full, a new submission is refused, which proves that it did not run; replies
// of agents wait for space.
//
// The home of a job is the entry that coordinates it: the listed entry that wins
// the rendezvous hash of the job's service and key. Other entries forward
// submissions to it.
//
// Other loops (methods named xxxDuty) watch the key-value service, exchange
// updates with other entries, and write joins and leaves to the registry.
//
// # Usage
//
//	e, err := entry.Start(cfg, entry.Options{Log: log, Store: store})
//	defer e.Stop(ctx)
package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/dispatch"
	"masticbay/identity"
	"masticbay/job"
	"masticbay/member"
	"masticbay/setting"
	"masticbay/store"
	"masticbay/table"
	"masticbay/telemetry"
	"masticbay/web"
	"masticbay/wire"
)

// Options holds the dependencies of an entry that are not settings.
type Options struct {
	Log     zerolog.Logger
	Clock   clock.Clock // clock.System if nil
	Store   store.Store
	Network wire.Network // TCP if nil
}

// Entry is a running entry.
type Entry struct {
	cfg       setting.Entry
	log       zerolog.Logger
	clock     clock.Clock
	network   wire.Network
	store     store.Store
	id        string
	startedAt time.Time
	address   string
	metrics   *telemetry.Metrics
	messages  *wire.MessageCounter
	counters  counters
	server    *wire.Server
	web       *web.Server
	rows      table.Replica
	editor    table.Editor
	events    chan event
	stop      chan struct{}
	duties    sync.WaitGroup
	stopping  atomic.Bool // a planned stop has begun

	mayRun         atomic.Bool                     // whether jobs that are not idempotent may run; see member.View
	outOfContact   atomic.Pointer[map[string]bool] // listed entries that are out of contact
	peerWakeup     chan struct{}
	registryWakeup chan struct{}
	registry       atomic.Pointer[member.Registry] // for readers outside the core loop

	core    coreState    // accessed by the core loop only
	peers   peerState    // has its own mutex
	pending pendingState // has its own mutex

	closeOnce sync.Once
}

// coreState is accessed by the core loop only.
type coreState struct {
	dispatch     *dispatch.Core
	members      *member.View
	watchdog     *member.Watchdog
	quota        quotaState
	waiters      map[job.Key][]chan outcome
	agents       map[string]*agentLink
	leavingSince map[string]time.Time // entries whose planned stop has begun, and when this entry learned of it
	heirs        map[string]string    // successor of each agent that has left, by incarnation
	traces       map[job.Key]string   // W3C traceparents of traced jobs that run
}

// agentLink is the entry's connection to one agent.
type agentLink struct {
	info    member.Agent
	client  *wire.Client
	probing bool
	ended   bool // the incarnation has ended
	pushed  pushedRevisions
}

// pushedRevisions holds the revisions that were last sent to an agent; joined is
// the revision that first listed the agent.
type pushedRevisions struct {
	table    uint64
	registry uint64
	joined   uint64
}

// event is a function that the core loop runs.
type event func(now time.Time)

const eventBuffer = 4096 // capacity of the event channel

// Start starts an entry under a new incarnation. Without an HTTP address in cfg
// the entry serves only other processes.
func Start(cfg setting.Entry, opts Options) (e *Entry, err error) {
	defer func() { err = errors.Annotatef(err, "starting the entry at %s", cfg.RPC) }()
	if opts.Clock == nil {
		opts.Clock = clock.System{}
	}
	opts.Network = wire.OrTCP(opts.Network)
	ln, err := opts.Network.Listen(cfg.RPC)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = ln.Close()
		}
	}()
	e = newEntry(cfg, opts, ln.Addr().String())
	if e.server, err = wire.NewServer("Entry", &methods{e}, e.messages); err != nil {
		return nil, err
	}
	if e.web, err = e.newWeb(); err != nil {
		return nil, err
	}
	go e.server.Serve(ln)
	go e.web.Serve()
	e.duties.Go(e.coreDuty)
	e.duties.Go(e.peerDuty)
	e.duties.Go(e.watchDuty)
	e.duties.Go(e.registryDuty)
	e.duties.Go(e.metricsDuty)
	e.queueChange(member.AddEntry{Entry: e.member()})
	e.log.Info().Str("id", e.id).Str("http", cfg.HTTP).Str("rpc", e.address).Msg("entry started")
	return e, nil
}

func newEntry(cfg setting.Entry, opts Options, address string) *Entry {
	id := identity.New("entry")
	e := &Entry{
		cfg:            cfg,
		log:            opts.Log,
		clock:          opts.Clock,
		network:        opts.Network,
		store:          opts.Store,
		id:             id,
		startedAt:      opts.Clock.Now(),
		address:        address,
		metrics:        telemetry.NewMetrics("entry"),
		messages:       &wire.MessageCounter{},
		editor:         table.Editor{Store: opts.Store, Clock: opts.Clock, NewID: func() string { return identity.New("edit") }},
		events:         make(chan event, eventBuffer),
		stop:           make(chan struct{}),
		peerWakeup:     make(chan struct{}, 1),
		registryWakeup: make(chan struct{}, 1),
	}
	e.counters = newCounters(e.metrics)
	p := cfg.Policy
	e.core = coreState{
		dispatch:     dispatch.New(id, coreConfig(cfg)),
		members:      member.NewView(id, p.Retention(), contactTimeoutIntervals*p.PeerInterval.D(), opts.Clock.Now()),
		watchdog:     member.NewWatchdog(id, p.Retention()),
		waiters:      make(map[job.Key][]chan outcome),
		agents:       make(map[string]*agentLink),
		leavingSince: make(map[string]time.Time),
		heirs:        make(map[string]string),
		traces:       make(map[job.Key]string),
	}
	e.core.quota.peerWants = make(map[string]map[string]int)
	e.registry.Store(&member.Registry{})
	e.outOfContact.Store(&map[string]bool{})
	e.peers.links = make(map[string]*peerLink)
	return e
}

// contactTimeoutIntervals is the number of peer intervals without a
// confirmation after which a peer counts as out of contact.
const contactTimeoutIntervals = 3

func coreConfig(cfg setting.Entry) dispatch.Config {
	p := cfg.Policy
	return dispatch.Config{
		Window:       p.Window.D(),
		Retention:    p.Retention(),
		UnclearLimit: p.UnclearLimit.D(),
		ClaimLimit:   p.ClaimLimit.D(),
		ShortClaim:   p.IdempotentClaimLimit.D(),
		SealRetry:    sealRetryInterval,
		StampMaxAge:  p.StampMaxAge.D() - stampMargin,
		AskThreshold: p.AskThreshold(),
		AskInterval:  askInterval,
		FarPenalty:   farPenalty,
		MaxWaiting:   cfg.Limits.Waiting,
		DataCentre:   cfg.Common.DataCentre,
	}
}

const (
	sealRetryInterval = 50 * time.Millisecond
	askInterval       = 20 * time.Millisecond
	farPenalty        = 3 * time.Millisecond
	stampMargin       = 500 * time.Millisecond // how long before agents refuse a stamp the Core stops using it
)

// ID returns the incarnation of the entry.
func (e *Entry) ID() string { return e.id }

// Done returns a channel that is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.stop }

// Messages returns the counts of messages sent to other processes of the system.
func (e *Entry) Messages() *wire.MessageCounter { return e.messages }

func (e *Entry) newClient(address string) *wire.Client {
	return wire.NewClient(address, wire.Options{Messages: e.messages, Network: e.network})
}

func (e *Entry) member() member.Entry {
	return member.Entry{ID: e.id, Address: e.address, HTTP: e.cfg.HTTP, DataCentre: e.cfg.Common.DataCentre}
}

// Kill ends the entry at once, as a crash would.
func (e *Entry) Kill() {
	e.closeOnce.Do(func() {
		close(e.stop)
		e.server.Close()
		e.web.Close()
		e.peers.close()
	})
}
