package site

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/identity"
	"masticbay/intake"
	"masticbay/platform"
	"masticbay/wire"
	"masticbay/work"
	"masticbay/worker"
)

// AgentOptions are the parameters of StartAgent.
type AgentOptions struct {
	Node  *platform.Node
	Log   zerolog.Logger
	Clock clock.Clock // clock.Boot if nil
	// Listen is the address to listen at for other processes of the site, if address
	// translation makes it differ from the announced one; the announced one if empty.
	Listen string
	// RequestLines bounds the log lines about single jobs and runs in each second;
	// defaultRequestLines if zero.
	RequestLines int
	// Network carries the connections to and from other processes; TCP if nil.
	Network wire.Network
}

// Agent is the daemon beside a worker. StartAgent creates one.
type Agent struct {
	node          *platform.Node
	log           zerolog.Logger
	runLog        zerolog.Logger // lines about single runs; rate-limited
	clock         clock.Clock
	timeOfDay     clock.Clock
	life          string
	worker        *platform.Worker
	store         *platform.Store
	gate          *intake.Gate
	rpc           *wire.Server
	http          *http.Server
	metricsServer *http.Server
	metrics       *agentMetrics
	network       wire.Network
	stop          chan struct{}
	entries       entryList
	evacuations   evacuations

	mu            sync.Mutex // guards what follows
	guard         *worker.Guard
	leaving       bool
	eventsReady   chan struct{}     // closed and replaced when there are events for homes
	lastOrders    map[string]uint64 // by incarnation of a home: number of its last order taken
	workerDown    bool              // the worker was logged as not answering
	leaseWithheld bool              // the lease was logged as withheld
	endsCut       bool              // the worker's list of ends was logged as cut off
	targetVersion uint64            // version of the worker's description
	lastReply     uint64            // number of the last reply to any home
	lastAnswered  time.Time         // when an entry last answered an announcement
}

// StartAgent starts an agent and its servers.
func StartAgent(o AgentOptions) (a *Agent, err error) {
	defer func() { err = errors.Annotate(err, "starting the agent") }()
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	dial := dialOf(o.Network)
	a = &Agent{
		node: o.Node, log: o.Log, runLog: rateLimited(o.Log, o.RequestLines), clock: o.Clock, timeOfDay: clock.System{}, life: identity.New("agent"),
		worker: platform.NewWorker(o.Node.Worker, dial), store: platform.NewStore(o.Node.Store, dial), network: wire.OrTCP(o.Network), metrics: newAgentMetrics(),
		stop:  make(chan struct{}),
		guard: worker.NewGuard(GuardConfig(o.Node)), leaseWithheld: true, eventsReady: make(chan struct{}), lastOrders: make(map[string]uint64),
	}
	a.evacuations.init(o.Node, a.store, a.log, a.now, a.setEvacuated)
	if a.evacuations.isActive {
		a.guard.HoldStarts()
	}
	a.entries.add(a.now(), o.Node.Entries...)
	if a.rpc, err = wire.NewServer("Agent", &agentMethods{a}, nil); err != nil {
		return nil, err
	}
	lns, err := listenAll(a.network, cmp.Or(o.Listen, o.Node.Internal), o.Node.Control, o.Node.Metrics)
	if err != nil {
		return nil, err
	}
	a.serve(lns)
	for range pollers {
		go a.pollLoop()
	}
	go a.tickDuty()
	go a.announceDuty()
	a.startEvacuations()
	a.log.Info().Str("life", a.life).Str("node", a.node.Name).Str("worker", a.node.Worker).Msg("agent started")
	return a, nil
}

// serve starts the servers on the listeners for other processes, the worker and metrics.
func (a *Agent) serve(lns []net.Listener) {
	g := newGate(a.node, a.clock, a.log, a.metrics.all, nil)
	a.gate = g
	a.http = intake.NewServer(platform.HandleReports(a.takeReport, a.logBadReport))
	a.metricsServer = serveMetrics(a.metrics.all)
	a.rpc.Limit(g.Links)
	go a.rpc.Serve(intake.LinkListener(lns[0]))
	go func() { _ = a.http.Serve(g.Operations.Listener(lns[1])) }()
	go func() { _ = a.metricsServer.Serve(g.Operations.Listener(lns[2])) }()
}

// Done returns a nil channel, which never becomes ready: an agent ends only when it
// is stopped.
func (a *Agent) Done() <-chan struct{} { return nil }

// Reload applies changed settings; see Entry.Reload.
func (a *Agent) Reload(n *platform.Node) { a.entries.add(a.now(), n.Entries...) }

// Stop takes no new tasks, waits until the running ones have ended or ctx ends, and
// ends the agent.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.signalEvents()
	a.mu.Unlock()
	a.log.Info().Msg("agent stops: waits for its runs")
	for ctx.Err() == nil && a.runsInProgress() > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(stopPollInterval):
		}
	}
	// Leaves the homes time to learn of the last ends.
	time.Sleep(stopPollInterval)
	a.log.Info().Int("runs", a.runsInProgress()).Msg("agent stopped")
	a.Kill()
	return nil
}

// Kill ends the agent at once, as a crash of its process would.
func (a *Agent) Kill() {
	close(a.stop)
	a.rpc.Close()
	a.gate.Close()
	_ = a.http.Close()
	_ = a.metricsServer.Close()
	a.metrics.all.Close()
	a.worker.Close()
	a.store.Close()
}

// stopPollInterval is how often Stop checks whether runs have ended.
const stopPollInterval = 50 * time.Millisecond

func (a *Agent) runsInProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.guard.Running()
}

func (a *Agent) now() time.Time { return a.clock.Now() }

// toStamp converts the agent's time to a stamp: the issuer's monotonic time, which
// homes send back as an echo.
func toStamp(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }

// fromStamp converts a stamp that was sent back by a home to the agent's time.
func fromStamp(d time.Duration) time.Time { return time.Unix(0, int64(d)) }

// takeReport processes the worker's report about itself.
func (a *Agent) takeReport(rep platform.WorkerReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before, known := a.guard.Target()
	if a.node.ColdOverage <= 0 || a.node.ColdSlack <= 0 {
		rep.Target.ColdLeft = 0
	}
	wasCold := a.guard.ColdLeft(a.now()) > 0
	if !rep.Leaving && a.node.Service != "" && rep.Target.Service != a.node.Service {
		a.log.Warn().Str("worker", rep.Target.ID).Str("service", rep.Target.Service).Msg("heartbeat of another service ignored")
		return
	}
	if a.evacuations.isActive && rep.Target.Zone == "" {
		rep.Target.Zone = a.node.DataCentre
	}
	if rep.Leaving {
		if known && before.ID == rep.Target.ID {
			a.guard.Leave()
			a.log.Info().Str("worker", rep.Target.ID).Int("runs", a.guard.Running()).Msg("worker leaves")
		}
	} else {
		if a.guard.TakeHeartbeat(a.now(), rep.Target, rep.Clock, rep.Seq) {
			a.log.Info().Str("worker", rep.Target.ID).Int64("born", rep.Target.Born).Int64("current", before.Born).Msg("another incarnation of the worker announced")
			go a.poll(0)
		}
	}
	if after, ok := a.guard.Target(); ok != known || after.Draining != before.Draining || after.Born != before.Born || !wasCold && a.guard.ColdLeft(a.now()) > 0 || a.evacuations.isActive && after.Zone != before.Zone {
		a.targetChanged(before, a.openStarts(before, 0))
		go a.poll(0)
	}
}

// targetChanged records that the description of the worker has changed from before, with the
// starts that were open then. The caller holds mu.
func (a *Agent) targetChanged(before work.Target, open openStarts) {
	t, serves := a.guard.Target()
	a.log.Info().Str("worker", t.ID).Int64("born", t.Born).Bool("draining", t.Draining).Bool("serves", serves).
		Int("cpu", t.Capacity.CPU).Strs("labels", t.Labels).Int64("bornBefore", before.Born).Int("runs", open.runs).
		Int("startsUnanswered", open.unanswered).Int("startsInTransit", open.inTransit).Uint64("token", open.token).Msg("worker changed")
	a.targetVersion++
	a.signalEvents()
}

func (a *Agent) logBadReport(err error) {
	a.log.Warn().Err(err).Msg("cannot decode a report of the worker")
}

// signalEvents ends the long polls of homes for events. The caller holds mu.
func (a *Agent) signalEvents() {
	close(a.eventsReady)
	a.eventsReady = make(chan struct{})
}

// pollLoop polls the worker, which renews the lease of its runs and returns their
// ends.
func (a *Agent) pollLoop() {
	for {
		select {
		case <-a.stop:
			return
		default:
		}
		pause := time.Duration(0)
		if !a.poll(pollWait) {
			pause = pollRetryInterval
		} else if a.retainsEnds() {
			pause = retainedEndsPollInterval
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

// pollRetryInterval is the time between a poll that failed and the next one.
const pollRetryInterval = 20 * time.Millisecond

// retainedEndsPollInterval is the time between polls while the worker lists ends that
// it must not delete yet, since such polls return without waiting.
const retainedEndsPollInterval = 10 * time.Millisecond

func (a *Agent) retainsEnds() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.guard.RetainsEnds()
}

// poll renews the lease and asks the worker for its runs and ends once. The worker
// may wait for an end before it answers. The result reports whether it answered.
func (a *Agent) poll(wait time.Duration) bool {
	a.mu.Lock()
	token, round, ackedEnd, until := a.guard.Token(), a.guard.PollRound(), a.guard.AckedEnd(), a.guard.LeaseUntil(a.now())
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), wait+pollSlack)
	defer cancel()
	ans, err := a.worker.Hold(ctx, until, token, ackedEnd, wait)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	runsBefore := a.guard.Running()
	switch {
	case err != nil:
		a.metrics.pollsFailed.Inc(1)
		if errors.Is(err, syscall.ECONNREFUSED) {
			a.guard.PollRefused(now)
		} else {
			a.guard.PollFailed(now)
		}
		a.reportStopped()
		if a.guard.OutOfContact() {
			if !a.workerDown || a.guard.Running() != runsBefore {
				a.signalEvents()
			}
			a.logWorkerContact(true, err)
		}
		return false
	case !ans.Accepted:
		if ans.Reason == platform.ReasonFence {
			a.guard.TokenRejected(now, a.timeOfDay.Now(), ans.Clock, token)
		}
		a.log.Info().Str("reason", ans.Reason).Uint64("token", token).Int64("answeredBy", ans.Born).Msg("poll refused by the worker")
		return ans.Reason == platform.ReasonFence
	}
	a.logWorkerContact(false, nil)
	snapshot := worker.Snapshot{Token: token, Round: round, Born: ans.Born, Clock: ans.Clock, Running: make(map[work.Run]int, len(ans.Running)), Checkpoints: make(map[work.Run]string), EndsCut: ans.EndsCut}
	for _, r := range ans.Running {
		snapshot.Running[r.Run] = r.Percent
		if r.Checkpoint != "" {
			snapshot.Checkpoints[r.Run] = r.Checkpoint
		}
	}
	for _, e := range ans.Ended {
		snapshot.Ended = append(snapshot.Ended, worker.Ended{Number: e.EndNumber, Run: e.Run, End: e.End, Checkpoint: e.Checkpoint})
	}
	a.logCutList(ans.EndsCut)
	before, _ := a.guard.Target()
	open := a.openStarts(before, ans.Born)
	a.guard.PollAnswered(now, snapshot)
	if after, _ := a.guard.Target(); after.Born != before.Born || after.ID != before.ID {
		a.targetChanged(before, open)
	}
	a.executeOrders()
	if a.guard.Running() != runsBefore {
		a.signalEvents()
	}
	if a.guard.NeedsPoll() {
		go a.poll(0) // with the higher fencing token
	}
	return true
}

// logWorkerContact logs when the worker stops answering or answers again. The caller
// holds mu.
func (a *Agent) logWorkerContact(isDown bool, err error) {
	if isDown == a.workerDown {
		return
	}
	a.workerDown = isDown
	if isDown {
		a.log.Warn().Err(err).Int("runs", a.guard.Running()).Msg("worker does not answer")
		return
	}
	a.log.Info().Msg("worker answers")
}

// logCutList logs when the worker's list of ends begins to be cut off, or is whole again.
// Until then it does not show of every start without an answer whether it was carried out.
// The caller holds mu.
func (a *Agent) logCutList(isCut bool) {
	if isCut {
		a.metrics.listsCut.Inc(1)
	}
	if isCut == a.endsCut {
		return
	}
	a.endsCut = isCut
	a.log.Warn().Bool("cut", isCut).Int("runs", a.guard.Running()).Int("unsavedEnds", len(a.guard.Uncommitted())).Msg("worker's list of ends")
}

// tickDuty is the loop that stops the runs of homes that are out of contact.
func (a *Agent) tickDuty() {
	tick := time.NewTicker(agentTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-tick.C:
		}
		a.mu.Lock()
		runsBefore := a.guard.Running()
		stopped := a.guard.Tick(a.now())
		a.executeOrders()
		if a.guard.Running() != runsBefore {
			a.signalEvents()
		}
		a.mu.Unlock()
		a.metrics.orphaned.Inc(int64(len(stopped)))
		a.metrics.workerConns.Update(float64(a.worker.Opened()))
		for _, r := range stopped {
			a.runLog.Warn().Str("run", r.String()).Msg("run stopped: its home is out of contact")
		}
	}
}
