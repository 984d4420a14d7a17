// Package agent implements the process beside a target, which alone starts tasks
// on it.
//
// # Model
//
// An Agent has a gate.Gate, which decides which tasks may start, and a
// credit.Lender, which lends the target's slots to entries as credits. One mutex
// guards both. Around them run duties, which are goroutine loops: they serve calls
// of entries, announce the agent to entries, offer credits that have moved, and
// monitor the target. The goroutine of a call runs the task that the call starts,
// so the number of those goroutines is bounded by the slots.
//
// When an agent stops, it hands its records over to an heir, its successor among
// the agents of the same service.
//
// # Usage
//
//	a, err := agent.Start(cfg, agent.Options{Log: log})
//	defer a.Stop(ctx)
package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/credit"
	"masticbay/gate"
	"masticbay/identity"
	"masticbay/member"
	"masticbay/setting"
	"masticbay/table"
	"masticbay/target"
	"masticbay/telemetry"
	"masticbay/web"
	"masticbay/wire"
)

// Options configure an agent beyond its settings.
type Options struct {
	Log     zerolog.Logger
	Clock   clock.Clock       // clock.System if nil
	Network wire.Network      // TCP if nil
	Target  http.RoundTripper // HTTP if nil
}

// Agent is a running agent.
type Agent struct {
	cfg          setting.Agent
	log          zerolog.Logger
	clock        clock.Clock
	network      wire.Network
	id           string
	address      string
	metrics      *telemetry.Metrics
	messages     *wire.MessageCounter
	counters     counters
	target       *http.Client
	server       *wire.Server
	web          *web.Server
	rows         table.Replica
	offers       chan string   // entries whose loan has grown; when full, an entry learns of it later
	announceNow  chan struct{} // makes announceDuty run at once
	stop         chan struct{}
	duties       sync.WaitGroup
	runningTasks sync.WaitGroup

	mu                sync.Mutex // guards the fields below
	gate              *gate.Gate
	lender            *credit.Lender
	announced         target.Announcement
	lastTargetContact time.Time // time of the target's last announcement; zero if it has left
	stopping          bool
	links             map[string]*link // by the address of an entry
	entries           []member.Entry
	closed            bool
}

// Start starts an agent as a new incarnation. Without an HTTP address in cfg the
// target announces itself by TakeAnnouncement.
func Start(cfg setting.Agent, opts Options) (a *Agent, err error) {
	defer func() { err = errors.Annotatef(err, "starting the agent at %s", cfg.RPC) }()
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
	a = newAgent(cfg, opts, ln.Addr().String())
	if a.server, err = wire.NewServer("Agent", &methods{a}, a.messages); err != nil {
		return nil, err
	}
	if a.web, err = a.newWeb(); err != nil {
		return nil, err
	}
	go a.server.Serve(ln)
	go a.web.Serve()
	a.duties.Go(a.announceDuty)
	a.duties.Go(a.offerDuty)
	a.duties.Go(a.targetDuty)
	a.duties.Go(a.metricsDuty)
	a.log.Info().Str("id", a.id).Str("rpc", a.address).Msg("agent started")
	return a, nil
}

func newAgent(cfg setting.Agent, opts Options, address string) *Agent {
	now := opts.Clock.Now()
	id := identity.New("agent")
	p := cfg.Policy
	a := &Agent{
		cfg:         cfg,
		log:         opts.Log,
		clock:       opts.Clock,
		network:     opts.Network,
		id:          id,
		address:     address,
		metrics:     telemetry.NewMetrics("agent"),
		messages:    &wire.MessageCounter{},
		target:      newTargetClient(opts.Target),
		offers:      make(chan string, offerQueueSize),
		announceNow: make(chan struct{}, 1),
		stop:        make(chan struct{}),
		gate:        gate.New(id, gate.Config{Window: p.Retention(), StampMaxAge: p.StampMaxAge.D()}, now),
		lender:      credit.NewLender(p.CreditThreshold()),
		links:       make(map[string]*link),
	}
	a.counters = newCounters(a.metrics)
	a.gate.Drain(true) // until the target announces itself
	return a
}

const offerQueueSize = 64

func (a *Agent) newClient(address string) *wire.Client {
	return wire.NewClient(address, wire.Options{Messages: a.messages, Network: a.network})
}

// ID returns the agent's ID, which is new in each incarnation.
func (a *Agent) ID() string { return a.id }

// Done is closed when the agent has ended.
func (a *Agent) Done() <-chan struct{} { return a.stop }

// Messages returns the counters of the messages that the agent has sent.
func (a *Agent) Messages() *wire.MessageCounter { return a.messages }

// status returns the agent's state as sent to an entry.
func (a *Agent) status(entry string) wire.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.statusLocked(entry)
}

func (a *Agent) statusLocked(entry string) wire.Status {
	now := a.clock.Now()
	st := wire.Status{
		Agent:    a.id,
		Stamp:    a.gate.Stamp(now),
		Listed:   a.gate.Joined(),
		Young:    a.gate.Young(now),
		Draining: a.gate.Draining(),
		Slots:    a.lender.Slots(),
		Running:  a.gate.Running(),
		Table:    a.rows.Current().Revision(),
		Registry: a.gate.Registry(),
	}
	if entry != "" {
		st.Offer = a.lender.Offer(entry)
		st.Idle = a.lender.Idle(entry)
	}
	return st
}

// Kill ends the agent at once, as a crash does.
func (a *Agent) Kill() {
	if a.close() {
		a.server.Close()
		a.web.Close()
		a.target.CloseIdleConnections()
	}
}

// close stops the duties. It reports false if they had already been stopped.
func (a *Agent) close() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.closed = true
	close(a.stop)
	for _, l := range a.links {
		l.client.Close()
	}
	return true
}
