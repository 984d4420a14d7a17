package site

import (
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
}

// Entry is the daemon that serves callers. StartEntry makes one.
type Entry struct {
	node    *platform.Node
	log     zerolog.Logger
	clock   clock.Clock
	life    string
	store   *platform.Store
	rpc     *wire.Server
	front   *http.Server
	ready   *http.Server
	stop    chan struct{}
	home    *home
	known   entryList
	config  atomic.Pointer[platform.Config]
	leaving atomic.Bool
	open    atomic.Int64 // requests of callers that are not answered

	mu       sync.Mutex // guards what follows
	roster   *roster.Roster
	peers    map[string]*wire.Client
	agents   map[string]time.Time // by address: last announcement
	pull     map[string]bool      // peers that a configuration is being fetched from
	lastHome string
	sessions map[string]uint64 // by address of a home; see RunArgs
	jobs     map[string]int    // by address of a home: jobs that it has from here
}

// StartEntry starts the daemon.
func StartEntry(o EntryOptions) (e *Entry, err error) {
	defer func() { err = errors.Annotate(err, "starting the entry") }()
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	e = &Entry{
		node: o.Node, log: o.Log, clock: o.Clock, life: identity.New("entry"), store: platform.NewStore(o.Node.Store),
		stop: make(chan struct{}), peers: make(map[string]*wire.Client), agents: make(map[string]time.Time), pull: make(map[string]bool),
		sessions: make(map[string]uint64), jobs: make(map[string]int),
	}
	self := roster.Member{Name: o.Node.Name, Address: o.Node.Internal, Life: e.life, Cores: o.Node.Cores}
	e.roster = roster.New(e.clock.Now(), self, rosterConfig())
	e.home = newHome(e)
	e.known.add(o.Node.Entries...)
	if e.rpc, err = wire.NewServer("Entry", &entryMethods{e}, nil); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	go e.configDuty()
	go e.readDuty()
	go e.registerDuty()
	go e.greetDuty()
	go e.home.duty()
	e.log.Info().Str("life", e.life).Str("node", e.node.Name).Msg("entry started")
	return e, nil
}

func (e *Entry) listen() error {
	internal, err := net.Listen("tcp", e.node.Internal)
	if err != nil {
		return err
	}
	front, err := net.Listen("tcp", e.node.Front)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", e.node.Ready)
	if err != nil {
		return err
	}
	e.front = &http.Server{Handler: http.HandlerFunc(e.serveCaller), ReadHeaderTimeout: frontHeaderTimeout, IdleTimeout: frontIdle}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, e.serveReady)
	e.ready = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go e.rpc.Serve(internal)
	go func() { _ = e.front.Serve(front) }()
	go func() { _ = e.ready.Serve(ready) }()
	return nil
}

const (
	frontHeaderTimeout = 3 * time.Second // for the header of a request once its first byte came
	frontIdle          = 60 * time.Second
	noticeStop         = 2300 * time.Millisecond // the balancer asks once a second and acts after two misses
)

// Done returns a channel that is never closed: an entry ends only when it is
// stopped.
func (e *Entry) Done() <-chan struct{} { return nil }

// Reload takes changed settings. Addresses and limits of a VM do not change
// during the life of a process; entries may.
func (e *Entry) Reload(n *platform.Node) { e.known.add(n.Entries...) }

// Stop lets the balancer notice, hands the part of the home over, and serves
// what is open until ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.mu.Lock()
	e.roster.Leave()
	e.mu.Unlock()
	e.log.Info().Int64("open", e.open.Load()).Msg("entry stops")
	e.greetAll()
	sleep(ctx, noticeStop)
	e.front.SetKeepAlivesEnabled(false)
	for ctx.Err() == nil && (e.open.Load() > 0 || e.home.busy()) {
		sleep(ctx, stopPoll)
	}
	e.log.Info().Int64("open", e.open.Load()).Msg("entry stopped")
	close(e.stop)
	err := e.front.Shutdown(ctx)
	_ = e.ready.Close()
	e.rpc.Close()
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Entry) now() time.Time { return e.clock.Now() }
