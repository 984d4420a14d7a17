package site

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/identity"
	"masticbay/intake"
	"masticbay/platform"
	"masticbay/roster"
	"masticbay/wire"
)

// EntryOptions are the parameters of StartEntry.
type EntryOptions struct {
	Node  *platform.Node
	Log   zerolog.Logger
	Clock clock.Clock // clock.Boot if nil
	// Listen is the address to listen at for other processes of the site, if address
	// translation makes it differ from the announced one; the announced one if empty.
	Listen string
	// RequestLines bounds the log lines about single jobs and runs in each second;
	// defaultRequestLines if zero.
	RequestLines int
	// CellSize is the number of agents for which one home places tasks;
	// defaultCellSize if zero.
	CellSize int
	// ShedLoad is as in schedule.Config.
	ShedLoad bool
	// Network carries the connections to and from other processes; TCP if nil.
	Network wire.Network
}

// Entry is the daemon that serves callers. StartEntry creates one.
type Entry struct {
	node           *platform.Node
	log            zerolog.Logger
	requestLog     zerolog.Logger // lines about single requests; rate-limited
	againLog       zerolog.Logger // lines about tasks that start again; rate-limited by itself, so that it drops no others
	clock          clock.Clock
	life           string
	startedAt      time.Time
	store          *platform.Store
	gate           *intake.Gate
	rpc            *wire.Server
	front          *http.Server
	callerListener net.Listener // of front
	ready          *http.Server
	metricsServer  *http.Server
	metrics        *entryMetrics
	network        wire.Network
	cellSize       int // agents
	shedLoad       bool
	stop           chan struct{}
	home           *home
	knownEntries   entryList
	config         atomic.Pointer[configInForce]
	fetchingConfig atomic.Bool // a configuration is being fetched from another entry
	evacuations    evacuations
	leaving        atomic.Bool
	ending         context.Context // done when open requests must be answered at once
	answerAll      context.CancelCauseFunc
	lastCall       atomic.Uint64 // number of the last job that was handed over
	openRequests   atomic.Int64  // requests of callers that are not answered yet

	mu           sync.Mutex // guards what follows
	roster       *roster.Roster
	division     roster.Division
	peers        map[string]*peer        // by address
	agents       map[string]agentContact // by address
	onPanelSince time.Time               // zero if this entry is not on the panel
	// lostAgents holds when agents that are out of contact last announced themselves.
	lostAgents map[string]time.Time
	// fetchingEvacuated holds the addresses of entries from which the evacuated data centres are
	// being fetched.
	fetchingEvacuated map[string]bool
	lastHome          string
	// formerLives holds the homes when this entry was not one of them: by incarnation, the number of
	// agents that each was in contact with.
	formerLives map[string]int
	// lastHomes are the homes of all cells at the last update, by their incarnations.
	lastHomes          []string
	sessions           map[string]uint64     // by address of a home; see RunArgs
	jobsAt             map[string]int        // by address of a home: calls about jobs that are open there
	homeReports        map[string]homeReport // by address of a home
	sentPairs          map[string]sentPairs  // by address of a home that knows pairs
	invalidPairsLogged bool
	stamps             map[string]peerStamp // by address of an entry
	lastGreeting       uint64               // number of the last greeting to any entry
	waiting            waitingCount         // the last one that was whole
}

// StartEntry starts an entry and its servers.
func StartEntry(o EntryOptions) (e *Entry, err error) {
	defer func() { err = errors.Annotate(err, "starting the entry") }()
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	e = &Entry{
		node: o.Node, log: o.Log, clock: o.Clock, life: identity.New("entry"), store: platform.NewStore(o.Node.Store, dialOf(o.Network)), network: wire.OrTCP(o.Network), metrics: newEntryMetrics(),
		cellSize: cmp.Or(o.CellSize, defaultCellSize), shedLoad: o.ShedLoad, stop: make(chan struct{}), peers: make(map[string]*peer), agents: make(map[string]agentContact), lostAgents: make(map[string]time.Time), homeReports: make(map[string]homeReport), sentPairs: make(map[string]sentPairs), stamps: make(map[string]peerStamp), fetchingEvacuated: make(map[string]bool),
		sessions: make(map[string]uint64), jobsAt: make(map[string]int),
	}
	e.startedAt = e.now()
	e.requestLog, e.againLog = rateLimited(e.log, o.RequestLines), rateLimited(e.log, o.RequestLines)
	e.ending, e.answerAll = context.WithCancelCause(context.Background())
	self := roster.Member{Name: o.Node.Name, Address: o.Node.Internal, Life: e.life, Cores: o.Node.Cores, Seals: true}
	e.roster = roster.New(e.clock.Now(), self, rosterConfig())
	e.evacuations.init(o.Node, e.store, e.log, e.now, e.setEvacuated)
	e.home = newHome(e)
	e.knownEntries.add(e.now(), o.Node.Entries...)
	if e.rpc, err = wire.NewServer("Entry", &entryMethods{e}, nil); err != nil {
		return nil, err
	}
	e.gate = newGate(o.Node, o.Clock, o.Log, e.metrics.all, e.requestLimits)
	if err := e.listen(cmp.Or(o.Listen, e.node.Internal)); err != nil {
		e.gate.Close()
		return nil, err
	}
	go e.configWatchDuty()
	go e.configReadDuty()
	e.startEvacuations()
	go e.registerDuty()
	go e.greetDuty()
	go e.home.duty()
	go e.home.ledgerDuty()
	e.log.Info().Str("life", e.life).Str("node", e.node.Name).Msg("entry started")
	return e, nil
}

func (e *Entry) listen(internal string) error {
	lns, err := listenAll(e.network, internal, e.node.Front, e.node.Ready, e.node.Metrics)
	if err != nil {
		return err
	}
	g := e.gate
	e.callerListener = g.Callers.Listener(lns[1])
	e.front = intake.NewServer(http.HandlerFunc(e.serveCaller))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, e.serveReady)
	e.ready = intake.NewServer(mux)
	e.metricsServer = serveMetrics(e.metrics.all)
	e.rpc.Limit(g.Links)
	go e.rpc.Serve(intake.LinkListener(lns[0]))
	go func() { _ = e.front.Serve(e.callerListener) }()
	go func() { _ = e.ready.Serve(g.Operations.Listener(lns[2])) }()
	go func() { _ = e.metricsServer.Serve(g.Operations.Listener(lns[3])) }()
	return nil
}

// listenAll listens at all addresses, or at none if one of them fails.
func listenAll(n wire.Network, addresses ...string) (lns []net.Listener, err error) {
	for _, address := range addresses {
		ln, err := n.Listen(address)
		if err != nil {
			for _, ln := range lns {
				_ = ln.Close()
			}
			return nil, err
		}
		lns = append(lns, ln)
	}
	return lns, nil
}

// dialOf returns the dial function for clients of systems outside the site's
// processes; nil for the default.
func dialOf(n wire.Network) platform.Dial {
	if n == nil {
		return nil
	}
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
}

const (
	balancerNoticeTime = 2300 * time.Millisecond // the load balancer probes once a second and acts after two failures
	acceptCallersFor   = 3 * time.Second         // from the start of a stop; leaves most jobs time to end
	answerMargin       = 300 * time.Millisecond  // before the end of a stop, to write the last answers
)

// errStopping is the cause when open requests are answered before their jobs have
// ended.
const errStopping = errors.ConstError("the entry stops")

// Done returns a nil channel, which never becomes ready: an entry ends only when it
// is stopped.
func (e *Entry) Done() <-chan struct{} { return nil }

// Reload applies changed settings. The entries may change; the addresses and limits
// of a VM stay the same while a process runs.
func (e *Entry) Reload(n *platform.Node) { e.knownEntries.add(e.now(), n.Entries...) }

// Stop reports not ready to the load balancer, hands over the role of home, and
// serves open requests until shortly before ctx ends. The balancer may go on sending
// callers when few entries are left, so new connections are refused after
// acceptCallersFor. Requests that are still open at the end get the outcome known so
// far.
func (e *Entry) Stop(ctx context.Context) error {
	stopStartedAt := e.now()
	e.leaving.Store(true)
	e.mu.Lock()
	e.roster.Leave()
	e.mu.Unlock()
	e.log.Info().Int64("open", e.openRequests.Load()).Msg("entry stops")
	e.greetAll()
	sleep(ctx, balancerNoticeTime)
	e.front.SetKeepAlivesEnabled(false)
	if end, ok := ctx.Deadline(); ok {
		answerTimer := time.AfterFunc(time.Until(end)-answerMargin, func() { e.answerAll(errStopping) })
		defer answerTimer.Stop()
	}
	for acceptsCallers := true; ctx.Err() == nil && (e.openRequests.Load() > 0 || e.home.busy()); sleep(ctx, stopPollInterval) {
		if acceptsCallers && e.now().Sub(stopStartedAt) > acceptCallersFor {
			acceptsCallers = false
			if err := e.callerListener.Close(); err != nil {
				e.log.Warn().Err(err).Msg("listener for callers not closed")
			}
		}
	}
	e.log.Info().Int64("open", e.openRequests.Load()).Msg("entry stopped")
	err := e.front.Shutdown(ctx)
	if err != nil && e.openRequests.Load() == 0 {
		// No request was open, only connections that were idle or out of contact.
		e.log.Info().Err(err).Msg("connections without a request closed")
		err = nil
	}
	e.Kill()
	return err
}

// Kill ends the entry at once, as a crash of its process would.
func (e *Entry) Kill() {
	close(e.stop)
	_ = e.front.Close()
	_ = e.ready.Close()
	_ = e.metricsServer.Close()
	e.rpc.Close()
	e.gate.Close()
	e.metrics.all.Close()
	e.store.Close()
	e.home.close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		p.client.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) now() time.Time { return e.clock.Now() }

// wall returns the time of day, for values that outlive the process.
func (e *Entry) wall() time.Time { return clock.System{}.Now() }
