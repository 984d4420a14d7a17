// Package worker decides, at the agent beside a worker, what runs there.
//
// # Model
//
// The agent is the only process that calls its worker. It takes orders from
// entries that place tasks. Every run has two leases: the worker ends a run
// when the agent does not renew the worker's lease in time, and the agent
// stops a run when the entry that placed it has been out of contact. So a
// process that loses contact knows after a bounded time that a run has ended,
// whatever happened to the processes in between. If a stop is not carried out
// in time, the agent withholds the renewals until the run has ended.
//
// An order that was not answered may be carried out late. The agent then
// raises its fencing token: once the worker has acknowledged the higher token,
// it carries out no order with a lower one, and its lists of runs and of ends are
// final for those orders. A list of ends that is cut off is not: a run that it does not
// show may have ended. Nor does a list tell what the next incarnation of the worker carries
// out, which has seen no token; see transit.go.
//
// While a stop is overdue, the agent withholds the lease of its worker, which ends the run
// with the lease. An agent follows one home at a time, and tells it which runs of others are left; see
// Claim. A home that takes over a job from a lost home has the agent seal the job:
// the agent ends its runs of other homes, and refuses to start runs up to a number later.
//
// Tokens are derived from the start time of the worker's incarnation and from the
// worker's own clock, which only rises during an incarnation. So they rise across
// restarts of the agent, which stores nothing, also if the worker restarts with it.
//
// Guard holds this state. It has no goroutines, sockets or clocks: every
// method takes the time, and Take returns the orders to carry out. The times
// must come from a clock that advances while the VM is suspended.
//
// A tenure is the ledger holder's term, a lease with an epoch; see Tenure. The
// home is the coordinator that places the tasks of a site. A run is "unclear"
// while it is not known whether the worker started it, and a Guard is "settled"
// when the worker has no runs that the Guard did not order.
//
// # Usage
//
//	g := worker.NewGuard(cfg)
//	g.TakeHeartbeat(now, target, clock, seq)
//	g.Claim(now, claim)
//	g.Order(now, "entry-1", echo, starts, stops)
//	for _, o := range g.Take() { ... }
//	g.PollAnswered(now, snapshot)
//	events, next := g.Events("entry-1", acked)
package worker

import (
	"maps"
	"slices"
	"time"

	"masticbay/evacuation"
	"masticbay/work"
)

// Config bounds a Guard.
type Config struct {
	Lease time.Duration // of the worker's runs; renewed with every poll
	// LongestLease is the longest lease that the worker grants, whatever is requested.
	LongestLease        time.Duration
	EntryContactTimeout time.Duration // longest time without contact to an entry before its runs are stopped
	// RenewalContactAge is the age of the contact with the entry of a run up to which the lease is
	// renewed in full. An older contact shortens the lease by the difference, so that it ends
	// at most Lease and RenewalContactAge after the contact, whatever becomes of stops. Zero
	// means that the lease does not depend on the contact.
	RenewalContactAge    time.Duration
	HolderContactTimeout time.Duration // longest time without contact to the ledger's holder before runs of stored jobs are stopped
	OrderMaxAge          time.Duration // highest age of the echo of an order that is accepted
	EventRetention       time.Duration // how long the events of an entry out of contact are retained
	SealRetention        time.Duration // how long starts of a sealed job are refused; a lost home orders none after it
	WorkerContactTimeout time.Duration // time without an answered poll after which the worker gets no task
	TenureMaxAge         time.Duration // how long a tenure is valid after its last confirmed renewal
	StallAge             time.Duration // shortest time without progress after which a run is stalled
	// OrderDelay is the time within which a worker carries out an order that it does not
	// answer. Zero means that it is not known; then only a poll decides on such a start.
	OrderDelay time.Duration
	// StopTime is the time within which a worker carries out a stop. After it, the lease is
	// not renewed while the run goes on. Zero means that the lease is renewed all the same.
	StopTime time.Duration
}

// phase is the state of a run.
type phase int

const (
	ordered   phase = iota // sent, not answered
	unclear                // not known whether it was started; a poll with a higher token decides
	running                // known to run
	stopping               // stop order sent
	inTransit              // does not run; a start of it may still be carried out
)

type run struct {
	start           work.Start
	entry           string
	phase           phase
	token           uint64        // with which its start was last sent
	born            int64         // incarnation of the worker for which its start was last sent
	kind            work.Target   // the worker as its start was last sent
	sent            int           // starts that were sent and not refused
	awaitsAnswer    bool          // the call that sent the last one has not ended
	carriedOut      bool          // the only one that was sent was carried out
	transitVersion  uint64        // of its last change with regard to its starts in transit
	transitUntil    time.Time     // until then a start without an answer may be carried out; zero if there is none
	end             work.End      // with which it ends once no start is left; see inTransit
	endReason       string        // of end
	endListed       bool          // the worker has listed end
	orderedAt       time.Time     // first start order
	sentAt          time.Time     // last start order
	stopRequestedAt time.Time     // last stop request
	firstStopAt     time.Time     // first stop request
	stopReason      string        // of the first stop request
	percent         int           // progress at the last poll
	checkpoint      string        // last checkpoint; empty if there is none
	lastProgress    time.Time     // last poll that showed progress
	slowProjection  time.Duration // shortest run time at its present speed, if far above the expected one; else 0
	stalled         bool          // polls have shown no progress for too long
	workerRestarted bool          // the worker has restarted since the run was ordered
	unlisted        int           // consecutive polls that did not list the run, although it was started
	fence           uint64        // a list without the run proves its end from this token on; 0 while none is awaited
}

// Guard decides what runs on one worker. NewGuard makes one.
type Guard struct {
	cfg              Config
	target           work.Target
	hasTarget        bool        // a heartbeat has described the target
	announced        work.Target // as a heartbeat described another incarnation, which no poll has shown
	describedAt      time.Time   // last heartbeat that described it
	describedBy      heartbeat   // the latest of them
	leaving          bool
	leavesAt         time.Time // least time when a draining worker is removed; zero if it is not known
	outOfContact     bool      // no poll has been answered for Config.WorkerContactTimeout
	lastPoll         time.Time // last answered poll
	noListener       bool      // nothing listened at the worker's address at the last poll that it did not answer
	settled          bool      // the worker has no runs that this Guard did not order
	settledOnce      bool      // settled was true after a poll whose token fences the orders of earlier incarnations of the agent
	unsettledSince   time.Time // first poll that showed such runs; zero if the last one showed none
	token            uint64
	tokenStep        uint64 // last increase of the token after consecutive rejections
	ackedToken       uint64 // highest token that the worker acknowledged
	fencedFrom       uint64 // from this token on, an acknowledgement shows that no order to an earlier incarnation takes effect
	lastEnd          uint64 // number of the last end that was processed
	pollRound        uint64 // rises with each poll that is not answered
	answeredRound    uint64 // highest round of a poll that was answered
	workerClock      time.Duration
	clockReadAt      time.Time     // when workerClock was read, at the latest
	maxLeaseUntil    time.Duration // end of the longest lease that was requested, on the worker's clock
	renewedAt        time.Time     // when a lease was last requested
	pace             Pace
	runs             map[work.TaskRef]*run
	homes            map[string]*homeState
	lastSeq          uint64 // of the events of all homes, so that it goes on for a home that was removed and returns
	orders           []Order
	seals            map[string]sealState // by job
	sealRequests     []sealRequest        // not answered yet, in the order of their arrival
	stopped          []StoppedRun         // not taken yet
	startedAt        time.Time            // when this Guard got its first message
	leader           Claim                // of the home that this agent follows
	holder           string               // entry that holds the tenure
	tenure           Tenure
	uncommitted      []uint64  // ends that the worker must retain until they are committed to the ledger
	mayListInherited bool      // listed ends may come from an earlier incarnation of the agent
	renewalPausedAt  time.Time // since when the lease is not renewed; zero while it is renewed
	withheld         bool      // the lease is not renewed, as a run goes on without permission
	evacuated        evacuation.Set
	startsHeld       bool // until the evacuated data centres are known
	history          history
	endedTransits    []endedTransit
	transitVersion   uint64          // of the last change of a run with regard to its starts in transit
	transitChanges   []TransitChange // not taken yet
}

// NewGuard returns a Guard of a worker that has not sent a heartbeat yet.
func NewGuard(cfg Config) *Guard {
	return &Guard{cfg: cfg, runs: make(map[work.TaskRef]*run), homes: make(map[string]*homeState), seals: make(map[string]sealState)}
}

// Target returns the worker's description. It reports false while there is no
// description or the worker is leaving.
func (g *Guard) Target() (work.Target, bool) { return g.target, g.hasTarget && !g.leaving }

// Token returns the token for the next order.
func (g *Guard) Token() uint64 { return g.token }

// Settled reports whether the worker has no runs that this Guard did not order, and starts
// none that an earlier incarnation of the agent has ordered.
func (g *Guard) Settled() bool { return g.settled && g.settledOnce }

// OutOfContact reports whether the worker has not answered polls for a while.
func (g *Guard) OutOfContact() bool { return g.outOfContact }

// Running returns the number of runs that may be active, without those that wait for a start in transit.
func (g *Guard) Running() int {
	n := 0
	for _, r := range g.runs {
		if r.phase != inTransit {
			n++
		}
	}
	return n
}

// Knows reports whether a run was ordered here and has not ended.
func (g *Guard) Knows(r work.Run) bool {
	known, ok := g.runs[r.Task]
	return ok && known.start.Run == r
}

// initialise records the time of the first message.
func (g *Guard) initialise(now time.Time) {
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
}

// handleWorkerRestart handles a restart of the worker if born is that of a newer
// incarnation. The runs of the earlier incarnation have ended. But the new one may
// have carried out an order that was in transit, so each run is unclear until a
// poll with a higher token lists it or not. The tokens continue from their last
// value, since such an order carries its own token.
func (g *Guard) handleWorkerRestart(now time.Time, born int64, clock time.Duration) {
	if born == 0 || g.target.Born == 0 || born <= g.target.Born {
		if g.target.Born == 0 {
			g.target.Born = born
		}
		return
	}
	g.target, g.hasTarget = work.Target{Born: born}, false // until the new incarnation describes itself
	g.expireWithheld(now)
	g.ackedToken, g.lastEnd, g.workerClock, g.maxLeaseUntil = 0, 0, 0, 0
	g.updateClock(now, clock)
	for _, r := range g.runs {
		if r.phase != inTransit {
			r.phase = unclear
		}
		r.workerRestarted = true
	}
	clear(g.history.unknown)
	g.raiseToken()
	g.fencedFrom = g.token
	g.uncommitted, g.mayListInherited, g.renewalPausedAt = nil, false, time.Time{}
	for _, s := range g.homes {
		for i := range s.events {
			s.events[i].endNumber = 0
		}
	}
	g.pace = Pace{}
	g.settled, g.unsettledSince = false, time.Time{} // until a poll shows it
}

func (g *Guard) updateClock(now time.Time, clock time.Duration) {
	if clock > g.workerClock {
		g.workerClock, g.clockReadAt = clock, now
	}
}

// NeedsPoll reports whether a poll with the present token may tell of some run whether it
// was started, or that no order of an earlier incarnation of the agent takes effect any more.
func (g *Guard) NeedsPoll() bool {
	if !g.settledOnce && !g.lastPoll.IsZero() && g.ackedToken <= g.bornToken() && g.token > g.bornToken() {
		return true
	}
	for _, r := range g.runs {
		if r.phase == unclear && r.token >= g.ackedToken || r.fence > g.ackedToken {
			return true
		}
	}
	return false
}

// LeaseUntil returns the end of the lease, on the worker's clock, for a call that is
// sent now. It returns 0 while the lease is not renewed, as it is not while the worker is out
// of contact: the worker might grant each lease, so its runs would never count as lost.
func (g *Guard) LeaseUntil(now time.Time) time.Duration {
	g.updateWithheld(now)
	if g.workerClock == 0 || !g.settledOnce || g.outOfContact || g.withheld || !g.renewalPausedAt.IsZero() {
		return 0
	}
	lease := g.cfg.Lease - g.contactLag(now)
	if lease <= 0 {
		return 0
	}
	elapsed := time.Duration(float64(now.Sub(g.clockReadAt)) / maxClockDrift) // a fast estimate would lengthen the lease
	until := g.workerClock + elapsed + lease
	g.maxLeaseUntil, g.renewedAt = max(g.maxLeaseUntil, until), now
	return until
}

// expectLongestLease records that an order which this Guard did not make for the present
// incarnation of the worker may have requested a lease by another clock.
func (g *Guard) expectLongestLease(now time.Time) {
	clock := g.workerClock + now.Sub(g.clockReadAt)
	g.maxLeaseUntil = max(g.maxLeaseUntil, clock+max(g.cfg.LongestLease, g.cfg.Lease))
}

// Used returns the resources that the runs of all entries take, and those that
// the runs of entries other than the given one take. A run in transit takes none.
func (g *Guard) Used(entry string) (all, others work.Room) {
	for _, r := range g.runs {
		if r.phase == inTransit {
			continue
		}
		all = all.Add(r.start.Room)
		if r.entry != entry {
			others = others.Add(r.start.Room)
		}
	}
	return all, others
}

// sortedTasks returns the tasks that have a run in a fixed order, so that
// decisions do not depend on the order of a map.
func (g *Guard) sortedTasks() []work.TaskRef {
	return slices.SortedFunc(maps.Keys(g.runs), work.TaskRef.Compare)
}

// finish removes a run and adds an event for its entry, unless the run has to wait for a start in transit.
func (g *Guard) finish(now time.Time, ref work.TaskRef, end work.End, reason string) {
	g.finishListed(now, ref, 0, end, reason)
}

// finishListed is finish for an end that the worker lists under a number.
func (g *Guard) finishListed(now time.Time, ref work.TaskRef, endNumber uint64, end work.End, reason string) {
	r := g.runs[ref]
	if endNumber > 0 {
		g.markListed(r)
	}
	if r.isTransitPossible(now) {
		if end != work.Done || !r.start.MayRepeat() {
			g.awaitTransit(now, r, end, reason, endNumber > 0)
			return
		}
		g.endedTransits = append(g.endedTransits, endedTransit{run: r.start.Run, entry: r.entry, until: now.Add(g.cfg.OrderDelay + g.cfg.WorkerContactTimeout)})
	}
	delete(g.runs, ref)
	g.recordStopped(now, r, end)
	g.rememberEnd(now, r, end, reason, endNumber > 0)
	e := Event{Run: r.start.Run, End: end, Reason: reason, Took: now.Sub(r.orderedAt), Stored: r.start.Stored, Checkpoint: r.checkpoint}
	if e.Stored && endNumber > 0 && (end == work.Done || end == work.Failed) {
		e.endNumber = endNumber
		g.retainEnd(endNumber)
		if !g.renewalPausedAt.IsZero() {
			e.markLapsed()
		}
	}
	if end == work.Stopped && r.stopReason == stopSealed {
		e.Reason = SealedJob
	}
	if end == work.Done {
		g.pace.add(now.Sub(r.orderedAt), r.start.Estimate)
	}
	g.addEvent(r.entry, e)
	g.answerSeals()
}
