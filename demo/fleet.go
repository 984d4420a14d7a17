package demo

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/agent"
	"masticbay/clock"
	"masticbay/entry"
	"masticbay/setting"
	"masticbay/store"
	"masticbay/target"
	"masticbay/wire"
)

// Service is the service that a Fleet's targets run.
const Service = "pickup"

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Entries int
	Agents  int
	Seed    int
	Log     zerolog.Logger
	Policy  func(*setting.Policy) // modifies the policy, if not nil
	Target  func(*target.Config)  // modifies the configuration of each target, if not nil
}

// Fleet is an installation that runs in this process.
type Fleet struct {
	cfg      FleetConfig
	store    *store.Server
	storeURL string
	http     *http.Server

	mu       sync.Mutex // guards the fields below
	entries  []*entry.Entry
	entryCfg []setting.Entry
	agents   []*agent.Agent
	agentCfg []setting.Agent
	targets  []*target.Server
	messages []*wire.MessageCounter
}

const headerTimeout = 10 * time.Second

// StartFleet starts the key-value stand-in, the entries, the targets and the
// agents.
func StartFleet(cfg FleetConfig) (f *Fleet, err error) {
	defer func() { err = errors.Annotate(err, "starting a fleet") }()
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	f = &Fleet{cfg: cfg, store: store.NewServer(store.NewMemory(clock.System{})), storeURL: "http://" + ln.Addr().String()}
	f.http = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = f.http.Serve(ln) }()
	f.entries = make([]*entry.Entry, cfg.Entries)
	f.agents = make([]*agent.Agent, cfg.Agents)
	if err := f.configure(); err != nil {
		return nil, err
	}
	for i := range f.entries {
		if err := f.StartEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range f.agents {
		if err := f.startTarget(i); err != nil {
			return nil, err
		}
		if err := f.StartAgent(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

const (
	loopback       = "127.0.0.1:0"
	resubmitWindow = time.Second
	targetSlots    = 8
	medianRunTime  = 30 * time.Millisecond
	runTimeSigma   = 0.6
)

// freeAddresses returns n different loopback addresses whose ports are free.
func freeAddresses(n int) (addrs []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }() // hold all ports until the last is chosen
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

func (f *Fleet) configure() error {
	policy := setting.Default[setting.Entry]().Policy
	policy.Window = setting.Duration(resubmitWindow)
	policy.HeartbeatInterval = setting.Duration(500 * time.Millisecond)
	policy.PeerInterval = setting.Duration(200 * time.Millisecond)
	policy.UnclearLimit = setting.Duration(2 * time.Second)
	policy.ClaimLimit = setting.Duration(time.Second)
	if f.cfg.Policy != nil {
		f.cfg.Policy(&policy)
	}
	free, err := freeAddresses(2 * (len(f.entries) + len(f.agents)))
	if err != nil {
		return err
	}
	var addrs []string
	for i := range f.entries {
		cfg := setting.Default[setting.Entry]()
		cfg.Policy = policy
		cfg.Platform = f.storeURL
		cfg.Limits.Deadline = min(cfg.Limits.Deadline, policy.Window)
		cfg.HTTP, cfg.RPC = free[2*i], free[2*i+1]
		addrs = append(addrs, cfg.RPC)
		f.entryCfg = append(f.entryCfg, cfg)
	}
	for i := range f.entryCfg {
		f.entryCfg[i].Peers = addrs
	}
	free = free[2*len(f.entries):]
	for i := range f.agents {
		cfg := setting.Default[setting.Agent]()
		cfg.Policy = policy
		cfg.Entries = addrs
		cfg.HTTP, cfg.RPC = free[2*i], free[2*i+1]
		f.agentCfg = append(f.agentCfg, cfg)
	}
	return nil
}

// StartEntry starts entry i, or replaces it after it was killed or stopped.
func (f *Fleet) StartEntry(i int) error {
	cfg := f.entryCfg[i]
	e, err := entry.Start(cfg, entry.Options{Log: f.cfg.Log, Store: store.NewConsul(cfg.Platform)})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[i] = e
	f.messages = append(f.messages, e.Messages())
	return nil
}

// StartAgent starts the agent of target i, or replaces it after it was killed or
// stopped.
func (f *Fleet) StartAgent(i int) error {
	a, err := agent.Start(f.agentCfg[i], agent.Options{Log: f.cfg.Log})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[i] = a
	f.messages = append(f.messages, a.Messages())
	return nil
}

func (f *Fleet) startTarget(i int) error {
	cfg := target.Config{
		Address: loopback, AgentURL: "http://" + f.agentCfg[i].HTTP, Name: "target" + strconv.Itoa(i+1),
		Service: Service, Slots: targetSlots, Median: medianRunTime, Sigma: runTimeSigma, Seed: f.cfg.Seed + i,
		AnnounceInterval: 100 * time.Millisecond,
	}
	if f.cfg.Target != nil {
		f.cfg.Target(&cfg)
	}
	t, err := target.Start(cfg)
	if err == nil {
		f.targets = append(f.targets, t)
	}
	return err
}

// KillEntry ends entry i without a planned stop.
func (f *Fleet) KillEntry(i int) { f.entry(i).Kill() }

// KillAgent ends agent i without a planned stop.
func (f *Fleet) KillAgent(i int) { f.agent(i).Kill() }

// StopEntry stops entry i as planned.
func (f *Fleet) StopEntry(ctx context.Context, i int) error { return f.entry(i).Stop(ctx) }

// StopAgent stops agent i as planned.
func (f *Fleet) StopAgent(ctx context.Context, i int) error { return f.agent(i).Stop(ctx) }

func (f *Fleet) entry(i int) *entry.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries[i]
}

func (f *Fleet) agent(i int) *agent.Agent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[i]
}

// Store returns the key-value stand-in.
func (f *Fleet) Store() *store.Server { return f.store }

// Target returns target i.
func (f *Fleet) Target(i int) *target.Server { return f.targets[i] }

// EntryURL returns the URL of entry i.
func (f *Fleet) EntryURL(i int) string { return "http://" + f.entryCfg[i].HTTP }

// Journals returns the number of starts of each task, by target.
func (f *Fleet) Journals() (journals []map[target.Started]int) {
	for _, t := range f.targets {
		journals = append(journals, t.Journal().Counts())
	}
	return journals
}

// Messages returns the number of messages sent between processes so far.
func (f *Fleet) Messages() (n uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.messages {
		n += m.Total()
	}
	return n
}

// Requests returns the number of requests sent between processes so far, by
// method.
func (f *Fleet) Requests() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := make(map[string]uint64)
	for _, m := range f.messages {
		for method, n := range m.ByMethod() {
			sum[method] += n
		}
	}
	return sum
}

// AwaitReady waits until every entry lists all entries and agents and, if settled
// is set, until jobs need no claims. It returns an error after limit.
func (f *Fleet) AwaitReady(ctx context.Context, limit time.Duration, settled bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range f.entries {
		for !f.ready(ctx, i, settled) {
			if ctx.Err() != nil {
				return errors.Errorf("entry %d was not ready within %v", i, limit)
			}
			pause(ctx, readyPoll)
		}
	}
	return nil
}

const readyPoll = 20 * time.Millisecond

func (f *Fleet) ready(ctx context.Context, i int, settled bool) bool {
	st, err := f.entry(i).Status(ctx)
	if err != nil || len(st.Entries) < len(f.entries) || (settled && !st.Settled) {
		return false
	}
	usable := 0
	for _, a := range st.Agents {
		if a.State == "ready" || (a.State == "young" && !settled) {
			usable++
		}
	}
	return usable >= len(f.agents)
}

// Close kills all entries, agents and targets and closes the key-value stand-in.
func (f *Fleet) Close() {
	for i := range f.entries {
		f.KillEntry(i)
	}
	for i := range f.agents {
		f.KillAgent(i)
	}
	for _, t := range f.targets {
		t.Kill()
	}
	_ = f.http.Close()
}
