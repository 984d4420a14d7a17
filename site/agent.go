package site

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/identity"
	"masticbay/platform"
	"masticbay/telemetry"
	"masticbay/wire"
	"masticbay/work"
	"masticbay/worker"
)

// AgentOptions are what an Agent is made of.
type AgentOptions struct {
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

// Agent is the daemon beside a worker. StartAgent makes one.
type Agent struct {
	node    *platform.Node
	log     zerolog.Logger
	perRun  zerolog.Logger // lines of single runs; bounded
	clock   clock.Clock
	life    string
	worker  *platform.Worker
	store   *platform.Store
	rpc     *wire.Server
	http    *http.Server
	meter   *http.Server
	metrics *agentMetrics
	network wire.Network
	stop    chan struct{}
	entries entryList

	mu       sync.Mutex // guards what follows
	guard    *worker.Guard
	leaving  bool
	news     chan struct{} // closed and replaced when there are events
	taken    map[string]uint64
	down     bool      // the worker was logged as silent
	version  uint64    // of the worker's description
	answered time.Time // when an entry last answered
}

// StartAgent starts the daemon.
func StartAgent(o AgentOptions) (a *Agent, err error) {
	defer func() { err = errors.Annotate(err, "starting the agent") }()
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	dial := dialOf(o.Network)
	a = &Agent{
		node: o.Node, log: o.Log, perRun: bounded(o.Log, o.RequestLines), clock: o.Clock, life: identity.New("agent"),
		worker: platform.NewWorker(o.Node.Worker, dial), store: platform.NewStore(o.Node.Store, dial), network: wire.OrTCP(o.Network), metrics: newAgentMetrics(),
		stop:  make(chan struct{}),
		guard: worker.NewGuard(GuardConfig(o.Node)), news: make(chan struct{}), taken: make(map[string]uint64),
	}
	a.entries.add(a.now(), o.Node.Entries...)
	if a.rpc, err = wire.NewServer("Agent", &agentMethods{a}, nil); err != nil {
		return nil, err
	}
	lns, err := listenAll(a.network, cmp.Or(o.Listen, o.Node.Internal), o.Node.Control, o.Node.Metrics)
	if err != nil {
		return nil, err
	}
	a.http = &http.Server{Handler: platform.HandleReports(a.report, a.badReport), ReadHeaderTimeout: time.Second}
	a.meter = serveMetrics(a.metrics.all)
	go a.rpc.Serve(lns[0])
	go func() { _ = a.http.Serve(lns[1]) }()
	go func() { _ = a.meter.Serve(lns[2]) }()
	for range lookers {
		go a.lookDuty()
	}
	go a.tickDuty()
	go a.announceDuty()
	a.log.Info().Str("life", a.life).Str("node", a.node.Name).Str("worker", a.node.Worker).Msg("agent started")
	return a, nil
}

// Done returns a channel that is never closed: an agent ends only when it is
// stopped.
func (a *Agent) Done() <-chan struct{} { return nil }

// Reload takes changed settings; see Entry.Reload.
func (a *Agent) Reload(n *platform.Node) { a.entries.add(a.now(), n.Entries...) }

// Stop takes no new tasks, waits for those that run until ctx ends, and ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.tell()
	a.mu.Unlock()
	a.log.Info().Msg("agent stops: waits for its runs")
	for ctx.Err() == nil && a.runs() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(stopPoll):
		}
	}
	// The homes have to learn of the last ends.
	time.Sleep(stopPoll)
	a.log.Info().Int("runs", a.runs()).Msg("agent stopped")
	a.Kill()
	return nil
}

// Kill ends the agent at once, as the death of its process would.
func (a *Agent) Kill() {
	close(a.stop)
	a.rpc.Close()
	_ = a.http.Close()
	_ = a.meter.Close()
	a.metrics.all.Close()
	a.worker.Close()
	a.store.Close()
}

// stopPoll is how often a stop looks whether runs have ended.
const stopPoll = 50 * time.Millisecond

func (a *Agent) runs() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.guard.Running()
}

func (a *Agent) now() time.Time { return a.clock.Now() }

// stamp is the agent's time as homes echo it.
func stamp(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

func unstamp(d time.Duration) time.Time { return time.Unix(0, int64(d)) }

// report takes what the worker tells about itself.
func (a *Agent) report(rep platform.WorkerReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, known := a.guard.Target()
	if rep.Leaves {
		if known && before.ID == rep.Target.ID {
			a.guard.Leave()
			a.log.Info().Str("worker", rep.Target.ID).Msg("worker leaves")
		}
	} else {
		a.guard.Report(a.now(), rep.Target, rep.Clock)
	}
	if after, ok := a.guard.Target(); ok != known || after.Draining != before.Draining || after.Born != before.Born {
		a.log.Info().Str("worker", after.ID).Int64("born", after.Born).Bool("draining", after.Draining).Bool("serves", ok).
			Int("cpu", after.Capacity.CPU).Strs("labels", after.Labels).Msg("worker changed")
		a.version++
		a.tell()
		go a.look(0)
	}
}

func (a *Agent) badReport(err error) {
	a.log.Warn().Err(err).Msg("a report of the worker was not understood")
}

// tell wakes the homes that wait for news. The caller holds mu.
func (a *Agent) tell() {
	close(a.news)
	a.news = make(chan struct{})
}

// perform carries out the orders that the guard has decided on. The caller
// holds mu.
func (a *Agent) perform() {
	for _, o := range a.guard.Take() {
		if o.Stop {
			go a.stopRun(o)
		} else {
			go a.startRun(o)
		}
	}
}

func (a *Agent) startRun(o worker.Order) {
	ctx, span := telemetry.Span(telemetry.Extract(context.Background(), o.Start.Trace), "agent → worker")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := a.now()
	ans, err := a.worker.Start(ctx, o.Start, o.Until, o.Token)
	a.metrics.start.RecordDuration(a.now().Sub(sent))
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.metrics.unanswered.Inc(1)
		a.perRun.Warn().Err(err).Str("run", o.Start.Run.String()).Uint64("token", o.Token).Msg("start not answered")
		a.guard.Unanswered(o.Start.Run)
		go a.look(0) // with the higher token
		return
	}
	reason := ""
	if ans.Taken {
		a.metrics.started.Inc(1)
	} else {
		reason = ans.Reason
		a.metrics.refused.Inc(1)
		a.perRun.Info().Str("run", o.Start.Run.String()).Str("reason", reason).Uint64("token", o.Token).Msg("start refused by the worker")
	}
	a.guard.Started(a.now(), o.Start.Run, reason, reason == platform.ReasonFence)
	a.perform()
	if reason != "" {
		a.tell()
	}
}

func (a *Agent) stopRun(o worker.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if _, err := a.worker.Stop(ctx, o.Start.Run, o.Token); err != nil {
		// The next look repeats it if the run is still there.
		a.perRun.Warn().Err(err).Str("run", o.Start.Run.String()).Msg("stop not answered")
	}
}

// lookDuty keeps the lease of the worker's runs and learns of their ends.
func (a *Agent) lookDuty() {
	for {
		select {
		case <-a.stop:
			return
		default:
		}
		pause := time.Duration(0)
		if !a.look(lookWait) {
			pause = lookPause
		} else if a.holding() {
			pause = holdPause
		}
		if pause > 0 {
			select {
			case <-a.stop:
				return
			case <-time.After(pause):
			}
		}
	}
}

// lookPause is the pause after a look that failed.
const lookPause = 20 * time.Millisecond

// holdPause is the pause between looks that do not wait, as the worker lists ends
// that it must not forget yet.
const holdPause = 10 * time.Millisecond

func (a *Agent) holding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.guard.Holding()
}

// look asks the worker once, which may wait for an end, and reports whether it
// answered.
func (a *Agent) look(wait time.Duration) bool {
	a.mu.Lock()
	token, seen, until := a.guard.Token(), a.guard.Seen(), a.guard.Until(a.now())
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wait+lookSlack)
	defer cancel()
	ans, err := a.worker.Hold(ctx, until, token, seen, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	switch {
	case err != nil:
		a.metrics.failed.Inc(1)
		a.guard.LookFailed(now)
		if a.guard.Silent() {
			a.noteSilence(true, err)
			a.tell()
		}
		return false
	case !ans.Taken:
		if ans.Reason == platform.ReasonFence {
			a.guard.Fenced(now, ans.Clock, token)
		}
		a.log.Info().Str("reason", ans.Reason).Uint64("token", token).Msg("look refused by the worker")
		return ans.Reason == platform.ReasonFence
	}
	a.noteSilence(false, nil)
	l := worker.Look{Token: token, Born: ans.Born, Clock: ans.Clock, Running: make(map[work.Run]int, len(ans.Running)), Saved: make(map[work.Run]string)}
	for _, r := range ans.Running {
		l.Running[r.Run] = r.Percent
		if r.Checkpoint != "" {
			l.Saved[r.Run] = r.Checkpoint
		}
	}
	for _, e := range ans.Ended {
		l.Ended = append(l.Ended, worker.Ended{Number: e.Number, Run: e.Run, End: e.End, Saved: e.Checkpoint})
	}
	before := a.guard.Running()
	a.guard.Looked(now, l)
	a.perform()
	if a.guard.Running() != before {
		a.tell()
	}
	if a.guard.Unclear() {
		go a.look(0) // with the higher token
	}
	return true
}

// noteSilence logs when the worker stops or begins to answer. The caller holds
// mu.
func (a *Agent) noteSilence(silent bool, err error) {
	if silent == a.down {
		return
	}
	a.down = silent
	if silent {
		a.log.Warn().Err(err).Msg("worker does not answer")
		return
	}
	a.log.Info().Msg("worker answers")
}

// tickDuty stops the runs of homes that are silent.
func (a *Agent) tickDuty() {
	tick := time.NewTicker(agentContact / 4)
	defer tick.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-tick.C:
		}
		a.mu.Lock()
		stopped := a.guard.Tick(a.now())
		a.perform()
		a.mu.Unlock()
		a.metrics.orphaned.Inc(int64(len(stopped)))
		for _, r := range stopped {
			a.perRun.Warn().Str("run", r.String()).Msg("run stopped: its home is out of contact")
		}
	}
}
