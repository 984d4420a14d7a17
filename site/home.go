package site

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"masticbay/interference"
	"masticbay/ledger"
	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/work"
)

// home is the part of an entry that places tasks while the entry is home (the
// coordinator that places the tasks of a site), and afterwards until its last run
// has ended.
type home struct {
	e      *Entry
	log    zerolog.Logger // lines about single jobs and runs; rate-limited
	wakeup chan struct{}
	status atomic.Pointer[homeStatus] // as of the last run of duty

	mu             sync.Mutex // guards what follows
	closed         bool
	lastLinkUpdate time.Time // when updateLinks last ran
	wasHome        bool      // this entry was home of a cell at the last update of its role
	siteAgents     int       // number of all agents of the site at lastLinkUpdate
	core           *schedule.Core
	startRate      roster.StartRate
	waiters        map[string][]*waiter    // by job
	links          map[string]*link        // by agent
	entries        map[string]entryContact // by incarnation
	// withdrawnCalls holds when calls were withdrawn, which may arrive later.
	withdrawnCalls map[entryCall]time.Time
	formerJobs     map[string]formerJob // by ID
	formerAskedAt  map[string]time.Time // by address of a former home
	listedHomes    map[string]uint64    // by incarnation of a former home that has listed its jobs and may go on with them: its last term
	wasAlone       bool                 // it was the only home of the site then
	term           uint64               // in which it was the only home last; 0 if it was not
	registry       agentRegistry
	claimedTerm    uint64 // highest term of its claims
	lastClaim      uint64 // number of the last claim to any agent
	hasListed      bool   // the open jobs were listed to a later home
	// lastOrder is the number of the last order to any agent. It never restarts while
	// the process runs, although links are replaced: agents take no number twice.
	lastOrder uint64
	homeSet   homeSet
	declinedJobs
	storedJobs
}

// storedJobs is the state of a home about stored jobs. It is guarded by home.mu
// except for ledgerWakeup and route.
type storedJobs struct {
	ledgerWakeup   chan struct{}
	route          *storeRoute
	ledger         *ledger.Ledger
	holderTerm     uint64                        // this entry's term as home in which the holder was read
	storeRequested bool                          // a caller has asked for a job to be stored
	deposedAt      time.Time                     // when another entry took the ledger from this one
	outageLogged   bool                          // the store was logged as not answering
	lastStoreCall  time.Time                     // when the store was last called
	storeRetryAt   time.Time                     // the store is not called before this
	previousAgents []string                      // agents that may run tasks of the previous holder
	clear          time.Time                     // when none of these tasks can run any more
	acceptWaiters  map[string][]chan AcceptReply // by job: callers that wait for it to be stored
	endWaiters     map[string][]chan struct{}    // by job: callers that wait for its end to be stored
}

// homeStatus is what a home reports to other entries. It is not changed once it is
// published, so that greetings need not wait for the home's decisions.
type homeStatus struct {
	waiting    map[string]int      // by queue: jobs that have not started
	isPartial  bool                // waiting lacks stored jobs, as the ledger is not read yet
	delay      time.Duration       // how long a new job would wait
	vacant     bool                // no job is stored on the site
	storesJobs bool                // jobs are stored on the site, or are to be stored
	open       bool                // jobs that are not stored are open
	startRate  float64             // tasks that this home starts each second
	pairs      []interference.Pair // of kinds of task that slow each other down
	passedOver bool                // this entry is home, and the workers follow another one
}

// waiter is an entry that waits for the outcome of a job.
type waiter struct {
	entry entrySession
	call  uint64            // see RunArgs
	job   *work.Job         // as it was handed over
	done  chan work.Outcome // buffered for the one outcome
}

func newHome(e *Entry) *home {
	cfg := HomeConfig(e.node)
	cfg.ShedLoad = e.shedLoad
	h := &home{
		e: e, log: e.requestLog, wakeup: make(chan struct{}, 1), core: schedule.NewCore(cfg),
		waiters: make(map[string][]*waiter), links: make(map[string]*link), entries: make(map[string]entryContact), withdrawnCalls: make(map[entryCall]time.Time),
		storedJobs: storedJobs{
			ledgerWakeup: make(chan struct{}, 1), route: newStoreRoute(e), ledger: ledger.New(ledgerConfig(e.node), e.life),
			acceptWaiters: make(map[string][]chan AcceptReply), endWaiters: make(map[string][]chan struct{}),
		},
	}
	h.status.Store(&homeStatus{})
	if e.evacuations.isActive {
		h.core.HoldPlacement()
	}
	return h
}

// notify makes duty run at once.
func (h *home) notify() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// busy reports whether this home still runs tasks, has waiters, or has changes to
// commit to the ledger.
func (h *home) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, running := h.core.Load()
	return running > 0 || len(h.waiters) > 0 || h.ledger.Held() && h.ledger.HasChanges()
}

// run runs a job and waits for its outcome. If this entry is not home of a cell, or another home
// is to take the job, run does nothing and returns moved.
func (h *home) run(ctx context.Context, args *RunArgs) (out work.Outcome, moved bool) {
	if args.Home == "" && !h.e.placesTasks() || args.Home != "" && args.Home != h.e.life {
		return out, true
	}
	w := &waiter{entry: entrySession{args.Entry, args.Session}, call: args.Call, job: &args.Job, done: make(chan work.Outcome, 1)}
	h.mu.Lock()
	if h.closed || !h.recordContactLocked(w.entry, args.Echo) || h.isWithdrawn(entryCall{args.Entry, args.Call}) {
		h.mu.Unlock()
		return out, true
	}
	known, _ := h.core.HasJob(args.Job.ID)
	if !h.takes(args, known) {
		h.mu.Unlock()
		return out, true
	}
	if !known {
		if out, declines := h.decline(args); declines {
			h.mu.Unlock()
			return out, false
		}
	}
	h.waiters[args.Job.ID] = append(h.waiters[args.Job.ID], w)
	claimed := h.claimFormer(args.Job.ID)
	args.FirstRun = max(args.FirstRun, claimed)
	if args.FirstRun > 0 {
		h.takeOver(args)
	} else {
		h.core.Submit(h.e.now(), args.Job, 0)
	}
	delete(h.declinedUntil, args.Job.ID)
	h.deliverDecisions()
	if len(h.homeSet.members) > 1 && !h.status.Load().open {
		h.notify() // the next greeting says that jobs are open
	}
	h.mu.Unlock()
	select {
	case out = <-w.done:
		switch {
		case out.State == movedJob:
			return work.Outcome{}, true
		case claimed > 0 && out.State == work.Rejected:
			out = work.Outcome{State: work.Unknown, Reason: "ran at a former home; now " + out.Reason}
		}
		return out, false
	case <-ctx.Done():
		h.removeWaiters(args.Job.ID, func(o *waiter) bool { return o == w })
		return work.Outcome{State: work.Unknown, Reason: waitEndReason(ctx)}, false
	}
}

// takes reports whether this home takes a job, which it may have already. The caller holds mu.
func (h *home) takes(args *RunArgs, known bool) bool {
	switch isHome := h.updateRole(); {
	case isHome:
		return known || h.mayTake(args)
	case args.Home == "":
		return false
	}
	return known || !h.hasListed
}

// withdraw withdraws a job for an entry whose caller no longer waits for it. The call that
// hands the job over may arrive later, and is not taken then.
func (h *home) withdraw(entry entrySession, id string, call uint64) {
	h.mu.Lock()
	if call > 0 {
		h.withdrawnCalls[entryCall{entry.life, call}] = h.e.now()
	}
	h.mu.Unlock()
	h.removeWaiters(id, func(o *waiter) bool { return o.entry == entry && (call == 0 || o.call == call) })
}

// isWithdrawn reports whether a call was withdrawn before it arrived. The caller holds mu.
func (h *home) isWithdrawn(c entryCall) bool {
	_, ok := h.withdrawnCalls[c]
	return ok
}

// forgetWithdrawn forgets withdrawn calls. One that arrives later has an echo that is too old.
// The caller holds mu.
func (h *home) forgetWithdrawn(now time.Time) {
	maps.DeleteFunc(h.withdrawnCalls, func(_ entryCall, at time.Time) bool { return now.Sub(at) > 2*withdrawJobsAfter })
}

// removeWaiters removes waiters of a job, and withdraws the job after the last one.
func (h *home) removeWaiters(id string, match func(*waiter) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeWaitersLocked(id, match)
	h.deliverDecisions()
}

// removeWaitersLocked is removeWaiters with mu held and without delivering
// decisions.
func (h *home) removeWaitersLocked(id string, match func(*waiter) bool) {
	var rest []*waiter
	for _, w := range h.waiters[id] {
		if match(w) {
			w.done <- work.Outcome{State: work.Unknown, Reason: "withdrawn"}
		} else {
			rest = append(rest, w)
		}
	}
	if len(rest) > 0 {
		h.waiters[id] = rest
		return
	}
	if _, ok := h.waiters[id]; ok {
		delete(h.waiters, id)
		h.core.Withdraw(h.e.now(), id)
	}
}

// The intervals between runs of home.duty.
const (
	busyTickInterval = 10 * time.Millisecond // while there is work
	idleTickInterval = 200 * time.Millisecond
)

// duty is the loop that advances the core's time and keeps a link to each agent.
func (h *home) duty() {
	for {
		pause := idleTickInterval
		if h.runOnce() {
			pause = busyTickInterval
		}
		select {
		case <-h.e.stop:
			return
		case <-h.wakeup:
		case <-time.After(pause):
		}
	}
}

// runOnce does one round of duty and reports whether tasks wait or run.
func (h *home) runOnce() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	now := h.e.now()
	wasHome := h.wasHome
	isHome := h.updateRole()
	h.updateAgentsKnown(now)
	h.dropOutOfContact(now)
	h.forgetWithdrawn(now)
	h.forgetFormer(now)
	h.forgetDeclined(now)
	h.core.Tick(now)
	h.deliverDecisions()
	waiting, running := h.core.Load()
	h.e.metrics.waiting.Update(float64(waiting))
	h.e.metrics.running.Update(float64(running))
	h.e.metrics.ejected.Update(float64(h.core.Ejected()))
	h.e.metrics.pairs.Update(float64(h.core.NumInterferingPairs()))
	if now.Sub(h.lastLinkUpdate) >= linkUpdateInterval || isHome != wasHome {
		h.lastLinkUpdate = now
		h.updateLinks(now, isHome, running)
		h.updateRegistry(now)
	}
	h.publishStatus(now)
	return waiting > 0 || running > 0
}

// publishStatus updates the status that is reported to other entries. The caller holds
// mu.
func (h *home) publishStatus(now time.Time) {
	passedOver := h.core.IsPassedOver(now)
	if passedOver != h.status.Load().passedOver {
		h.e.log.Warn().Bool("passedOver", passedOver).Msg("workers follow another home")
	}
	h.status.Store(&homeStatus{waiting: h.core.Waiting(), isPartial: !h.ledger.Held() && !h.ledger.Vacant(), delay: h.core.Delay(now), vacant: h.ledger.Vacant(), storesJobs: h.storesJobs(), open: h.core.HasOpenJobs(), startRate: h.startRate.PerSecond(now), pairs: h.core.InterferingPairs(maxSentPairs), passedOver: passedOver})
}

// storesJobs reports whether jobs are stored on the site, or are to be stored. The
// caller holds mu.
func (h *home) storesJobs() bool {
	return h.storeRequested || h.ledger.HolderKnown() && !h.ledger.Vacant()
}

// linkUpdateInterval is how often a home checks for agents that have joined or left.
const linkUpdateInterval = 50 * time.Millisecond

// updateLinks opens a link to each agent of its cell while this entry is home, and
// closes the links that are no longer needed. An entry that is no longer home keeps its
// links until its last job has ended: a waiting job of which a task was sent cannot be
// rejected, and without links it is never placed. The caller holds mu.
func (h *home) updateLinks(now time.Time, isHome bool, running int) {
	cell, all := h.e.cellAgents()
	h.siteAgents = all
	if !isHome {
		if running == 0 && !h.core.HasOpenJobs() {
			h.closeLinks(func(a string) bool { return !h.core.AwaitsSeal(a) })
		}
		return
	}
	h.updateEnrollment(now, cell)
	cell = append(cell, h.unconfirmedAgents(now)...)
	if h.wasAlone {
		cell = append(cell, h.registry.agentsToAsk(now)...)
	}
	for _, a := range h.core.AwaitedAgents() {
		if _, ok := h.links[a]; !ok { // closed since it listed its runs
			h.links[a] = newLink(h, a)
		}
	}
	inCell := make(map[string]bool, len(cell))
	for _, a := range cell {
		inCell[a] = true
		if _, ok := h.links[a]; !ok {
			h.links[a] = newLink(h, a)
		}
	}
	for a := range h.links {
		h.core.Exclude(a, !inCell[a])
	}
	h.closeLinks(func(a string) bool {
		return !inCell[a] && !h.core.HasRuns(a) && !h.core.AwaitsSeal(a) && !h.core.AwaitsAgent(a)
	})
}

// closeLinks closes the links to the agents that match. The caller holds mu.
func (h *home) closeLinks(match func(agent string) bool) {
	for a, l := range h.links {
		if match(a) {
			l.close()
			delete(h.links, a)
		}
	}
}

// close answers all waiters and closes all links.
func (h *home) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for id := range h.waiters {
		h.removeWaitersLocked(id, func(*waiter) bool { return true })
	}
	h.closeLinks(func(string) bool { return true })
}
