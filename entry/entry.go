// Package entry is the process that serves callers and operators.
//
// # Model
//
// An Entry holds a dispatch.Core, which decides about jobs, and a member.View,
// which decides when a job must be claimed. Both belong to one goroutine, the
// core duty, which takes events from a bounded ring and carries out the Core's
// actions. Handlers of HTTP requests and of calls of other processes are
// goroutines of their own; they put events into the ring and wait. When the
// ring is full a new submission is refused, which proves that it did not run;
// replies of agents wait for room.
//
// Other duties watch the key-value service, exchange news with other entries,
// and bring joins and leaves into the registry.
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

// Options are what a command gives to an entry besides its settings.
type Options struct {
	Log     zerolog.Logger
	Clock   clock.Clock // clock.System if nil
	Store   store.Store
	Network wire.Network // TCP if nil
}

// Entry is a running entry.
type Entry struct {
	cfg      setting.Entry
	log      zerolog.Logger
	clock    clock.Clock
	network  wire.Network
	store    store.Store
	id       string
	born     time.Time
	address  string
	metrics  *telemetry.Metrics
	messages *wire.Messages
	counters counters
	server   *wire.Server
	web      *web.Server
	rows     table.Replica
	editor   table.Editor
	events   chan event
	stop     chan struct{}
	duties   sync.WaitGroup
	refusing atomic.Bool // a planned stop has begun

	mayRun   atomic.Bool                     // jobs that are not idempotent; see member.View
	silent   atomic.Pointer[map[string]bool] // listed entries that are out of contact
	pokePeer chan struct{}
	pokeJoin chan struct{}
	view     atomic.Pointer[member.Registry] // for readers outside the core duty

	core    coreState    // belongs to the core duty
	peers   peerState    // has its own mutex
	pending pendingState // has its own mutex

	closeOnce sync.Once
}

// coreState is touched by the core duty only.
type coreState struct {
	dispatch *dispatch.Core
	members  *member.View
	watchdog *member.Watchdog
	quota    quotaState
	waiters  map[job.Key][]chan outcome
	agents   map[string]*agentLink
	left     map[string]time.Time // entries whose planned stop has begun, and when it was heard of
	heirs    map[string]string    // by the incarnation of an agent that has left
	traces   map[job.Key]string   // W3C traceparents of running jobs that are traced
}

// agentLink is the entry's connection to one agent.
type agentLink struct {
	info    member.Agent
	client  *wire.Client
	probing bool
	ended   bool // the incarnation is known to be gone
	pushed  pushState
}

// pushState is what the agent was last told.
type pushState struct {
	table    uint64
	registry uint64
	listed   uint64
}

// event is one step of the core duty.
type event func(now time.Time)

const eventRing = 4096

// Start starts an entry. Its incarnation is new each time. Without an HTTP
// address in cfg it serves other processes only.
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
	e.duties.Go(e.joinDuty)
	e.duties.Go(e.metricsDuty)
	e.join(member.AddEntry{Entry: e.member()})
	e.log.Info().Str("id", e.id).Str("http", cfg.HTTP).Str("rpc", e.address).Msg("entry started")
	return e, nil
}

func newEntry(cfg setting.Entry, opts Options, address string) *Entry {
	id := identity.New("entry")
	e := &Entry{
		cfg:      cfg,
		log:      opts.Log,
		clock:    opts.Clock,
		network:  opts.Network,
		store:    opts.Store,
		id:       id,
		born:     opts.Clock.Now(),
		address:  address,
		metrics:  telemetry.NewMetrics("entry"),
		messages: &wire.Messages{},
		editor:   table.Editor{Store: opts.Store, Clock: opts.Clock, NewID: func() string { return identity.New("edit") }},
		events:   make(chan event, eventRing),
		stop:     make(chan struct{}),
		pokePeer: make(chan struct{}, 1),
		pokeJoin: make(chan struct{}, 1),
	}
	e.counters = newCounters(e.metrics)
	p := cfg.Policy
	e.core = coreState{
		dispatch: dispatch.New(id, coreConfig(cfg)),
		members:  member.NewView(id, p.Retention(), contactIntervals*p.PeerInterval.D(), opts.Clock.Now()),
		watchdog: member.NewWatchdog(id, p.Retention()),
		waiters:  make(map[job.Key][]chan outcome),
		agents:   make(map[string]*agentLink),
		left:     make(map[string]time.Time),
		heirs:    make(map[string]string),
		traces:   make(map[job.Key]string),
	}
	e.core.quota.wants = make(map[string]map[string]int)
	e.view.Store(&member.Registry{})
	e.silent.Store(&map[string]bool{})
	e.peers.links = make(map[string]*peerLink)
	return e
}

// contactIntervals is the number of peer intervals without a confirmation
// after which a peer counts as out of contact.
const contactIntervals = 3

func coreConfig(cfg setting.Entry) dispatch.Config {
	p := cfg.Policy
	return dispatch.Config{
		Window:       p.Window.D(),
		Retention:    p.Retention(),
		UnclearLimit: p.UnclearLimit.D(),
		ClaimLimit:   p.ClaimLimit.D(),
		ShortClaim:   p.ShortClaim.D(),
		SealRetry:    sealRetry,
		StampLife:    p.StampLife.D() - stampMargin,
		AskThreshold: p.AskThreshold(),
		AskPause:     askPause,
		FarPenalty:   farPenalty,
		MaxWaiting:   cfg.Limits.Waiting,
		DataCentre:   cfg.Common.DataCentre,
	}
}

const (
	sealRetry   = 50 * time.Millisecond
	askPause    = 20 * time.Millisecond
	farPenalty  = 3 * time.Millisecond
	stampMargin = 500 * time.Millisecond
)

// ID returns the incarnation.
func (e *Entry) ID() string { return e.id }

// Done is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.stop }

// Messages counts what the entry has sent to other processes of the system.
func (e *Entry) Messages() *wire.Messages { return e.messages }

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
