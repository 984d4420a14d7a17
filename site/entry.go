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
	"masticbay/platform"
	"masticbay/roster"
	"masticbay/wire"
)

// EntryOptions are what an Entry is made of.
type EntryOptions struct {
	Node  *platform.Node
	Log   zerolog.Logger
	Clock clock.Clock // clock.Boot if nil
	// Listen is where other processes of the site reach this one, behind address
	// translation; the announced address if empty.
	Listen string
	// RequestLines bounds the lines about single jobs and runs, a second; those of
	// standard days of the small sites if zero.
	RequestLines int
	// Network is where the process is reached and reaches others; TCP if nil.
	Network wire.Network
}

// Entry is the daemon that serves callers. StartEntry makes one.
type Entry struct {
	node      *platform.Node
	log       zerolog.Logger
	requests  zerolog.Logger // lines of single requests; bounded
	clock     clock.Clock
	life      string
	store     *platform.Store
	rpc       *wire.Server
	front     *http.Server
	callers   net.Listener // of front
	ready     *http.Server
	meter     *http.Server
	metrics   *entryMetrics
	network   wire.Network
	stop      chan struct{}
	home      *home
	known     entryList
	config    atomic.Pointer[platform.Config]
	leaving   atomic.Bool
	ending    context.Context // over when open requests have to be answered at once
	answerAll context.CancelCauseFunc
	open      atomic.Int64 // requests of callers that are not answered

	mu       sync.Mutex // guards what follows
	roster   *roster.Roster
	peers    map[string]*peer     // by address
	agents   map[string]time.Time // by address: last announcement
	pull     map[string]bool      // peers that a configuration is being fetched from
	lastHome string
	sessions map[string]uint64 // by address of a home; see RunArgs
	jobs     map[string]int    // by address of a home: jobs that it has from here
	waiting  map[string]int    // by queue: jobs that have not begun, as the home told
}

// StartEntry starts the daemon.
func StartEntry(o EntryOptions) (e *Entry, err error) {
	defer func() { err = errors.Annotate(err, "starting the entry") }()
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	e = &Entry{
		node: o.Node, log: o.Log, clock: o.Clock, life: identity.New("entry"), store: platform.NewStore(o.Node.Store, dialOf(o.Network)), network: wire.OrTCP(o.Network), metrics: newEntryMetrics(),
		stop: make(chan struct{}), peers: make(map[string]*peer), agents: make(map[string]time.Time), pull: make(map[string]bool),
		sessions: make(map[string]uint64), jobs: make(map[string]int),
	}
	e.requests = bounded(e.log, o.RequestLines)
	e.ending, e.answerAll = context.WithCancelCause(context.Background())
	self := roster.Member{Name: o.Node.Name, Address: o.Node.Internal, Life: e.life, Cores: o.Node.Cores}
	e.roster = roster.New(e.clock.Now(), self, rosterConfig())
	e.home = newHome(e)
	e.known.add(e.now(), o.Node.Entries...)
	if e.rpc, err = wire.NewServer("Entry", &entryMethods{e}, nil); err != nil {
		return nil, err
	}
	if err := e.listen(cmp.Or(o.Listen, e.node.Internal)); err != nil {
		return nil, err
	}
	go e.configDuty()
	go e.readDuty()
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
	e.callers = lns[1]
	e.front = &http.Server{Handler: http.HandlerFunc(e.serveCaller), ReadHeaderTimeout: frontHeaderTimeout, IdleTimeout: frontIdle}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, e.serveReady)
	e.ready = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	e.meter = serveMetrics(e.metrics.all)
	go e.rpc.Serve(lns[0])
	go func() { _ = e.front.Serve(lns[1]) }()
	go func() { _ = e.ready.Serve(lns[2]) }()
	go func() { _ = e.meter.Serve(lns[3]) }()
	return nil
}

// listenAll listens at all addresses or at none.
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

// dialOf returns how the clients of outside systems connect.
func dialOf(n wire.Network) platform.Dial {
	if n == nil {
		return nil
	}
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
}

const (
	frontHeaderTimeout = 3 * time.Second // for the header of a request once its first byte came
	frontIdle          = 60 * time.Second
	noticeStop         = 2300 * time.Millisecond // the balancer asks once a second and acts after two misses
	takeCallers        = 3 * time.Second         // from the begin of a stop; leaves most jobs time to end
	lastAnswers        = 300 * time.Millisecond  // before the end of a stop: to write the last answers
)

// errStops is why open requests are answered before their jobs have ended.
const errStops = errors.ConstError("the entry stops")

// Done returns a channel that is never closed: an entry ends only when it is
// stopped.
func (e *Entry) Done() <-chan struct{} { return nil }

// Reload takes changed settings. Addresses and limits of a VM do not change
// during the life of a process; entries may.
func (e *Entry) Reload(n *platform.Node) { e.known.add(e.now(), n.Entries...) }

// Stop lets the balancer notice, hands the part of the home over, and serves
// what is open until shortly before ctx ends. The balancer may go on to send
// callers when few entries are left, so no new ones are taken after a while, and
// what is open in the end is answered as far as it has got.
func (e *Entry) Stop(ctx context.Context) error {
	begun := e.now()
	e.leaving.Store(true)
	e.mu.Lock()
	e.roster.Leave()
	e.mu.Unlock()
	e.log.Info().Int64("open", e.open.Load()).Msg("entry stops")
	e.greetAll()
	sleep(ctx, noticeStop)
	e.front.SetKeepAlivesEnabled(false)
	if end, ok := ctx.Deadline(); ok {
		last := time.AfterFunc(time.Until(end)-lastAnswers, func() { e.answerAll(errStops) })
		defer last.Stop()
	}
	for taking := true; ctx.Err() == nil && (e.open.Load() > 0 || e.home.busy()); sleep(ctx, stopPoll) {
		if taking && e.now().Sub(begun) > takeCallers {
			taking = false
			if err := e.callers.Close(); err != nil {
				e.log.Warn().Err(err).Msg("listener for callers not closed")
			}
		}
	}
	e.log.Info().Int64("open", e.open.Load()).Msg("entry stopped")
	err := e.front.Shutdown(ctx)
	if err != nil && e.open.Load() == 0 {
		// No request was open, only connections that wait or went silent.
		e.log.Info().Err(err).Msg("connections without a request closed")
		err = nil
	}
	e.Kill()
	return err
}

// Kill ends the entry at once, as the death of its process would.
func (e *Entry) Kill() {
	close(e.stop)
	_ = e.front.Close()
	_ = e.ready.Close()
	_ = e.meter.Close()
	e.rpc.Close()
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

// wall returns the time of day, for what outlives the process.
func (e *Entry) wall() time.Time { return clock.System{}.Now() }
