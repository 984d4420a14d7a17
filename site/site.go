// Package site runs masticbay on the users' platform: entries, which take jobs
// from callers, and agents, which run tasks on the worker beside them.
//
// # Model
//
//	caller ──► entry ──► home ──► agent ──► worker
//
// The entry that has a caller's connection answers for the job. It hands the
// job whole to the home, the entry that places all tasks of the site (package
// schedule), and waits for the outcome. Homes are agreed on by package roster.
// An agent (package worker) takes orders from homes and is the only process
// that calls its worker.
//
// Of jobs whose callers wait for the end nothing is stored. If a home is lost, the
// entries hand their jobs to the next one after the time in which every run of the
// lost home has certainly ended; if an entry is lost, its caller submits again, and
// by then its runs have ended too. The times in this file make that hold.
//
// Stored jobs are in the ledger (package ledger), which one home holds at a time. The
// next one goes on with their runs.
//
// Decisions are made by the packages schedule, worker, roster and ledger. This package
// moves their inputs and outputs: HTTP through package platform, net/rpc
// through package wire.
//
// # Usage
//
//	e, err := site.StartEntry(site.EntryOptions{Node: node, Log: log})
//	defer e.Stop(ctx)
package site

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"masticbay/platform"
	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/worker"
)

// The chain of leases. A run ends at the latest
//   - agentContact after its home was last heard by a working agent,
//   - workerLease later if the agent stands still.
const (
	workerLease   = 800 * time.Millisecond // two lost looks are borne
	lookWait      = 100 * time.Millisecond // a look returns at an end, or after this
	lookSlack     = 50 * time.Millisecond  // for the answer to a look that has waited
	lookers       = 2                      // looks that wait side by side, as one may get no answer
	workerSilence = 250 * time.Millisecond // without an answered look: no new task
	idleAge       = 250 * time.Millisecond // without progress: a run counts as idle
	orderTimeout  = 60 * time.Millisecond  // then a start counts as unanswered; answers take 2 ms
	agentContact  = 450 * time.Millisecond // silence of a home after which an agent stops its runs
	orderLife     = 400 * time.Millisecond // oldest echo with which an agent takes an order
	syncWait      = 100 * time.Millisecond // so an agent hears its home four times in agentContact
	syncPerLink   = time.Millisecond
	greetPerEntry = 2500 * time.Microsecond // of the pause between greetings of a home, for each entry that is known
	syncWaitMost  = 200 * time.Millisecond  // agentSuspect less the time of a message that is sent again
	syncWaitIdle  = 400 * time.Millisecond  // of agents without tasks
	suspectIdle   = syncWaitIdle + 150*time.Millisecond
	syncSlack     = 250 * time.Millisecond // for the answer to a sync that has waited
	agentSuspect  = 300 * time.Millisecond // silence of an agent after which it gets no new task
	agentLost     = agentContact + workerLease + 100*time.Millisecond
	entryContact  = 450 * time.Millisecond // silence of an entry after which a home withdraws its jobs
	homeSilence   = 350 * time.Millisecond // silence after which a home counts as lost
	greetHome     = 100 * time.Millisecond // so a home hears an entry four times in entryContact
	greetHomeMost = 150 * time.Millisecond // so a home hears an entry three times in entryContact
	greetIdle     = 200 * time.Millisecond // of a home that has no jobs from here; shorter than homeSilence
	panelTold     = time.Second            // how long entries are greeted like the panel after another one told them
	greetOthers   = 400 * time.Millisecond
	greetTimeout  = 250 * time.Millisecond
	peerSilence   = 1200 * time.Millisecond             // of entries that are not home
	failover      = agentContact + 400*time.Millisecond // after the last message to a lost home: leases, and a stop sent twice
	announceEvery = 700 * time.Millisecond
	announceSoon  = 100 * time.Millisecond // while an agent is young and some entry does not answer, or none does
	announceYoung = 5 * time.Second
	agentKnown    = 2500 * time.Millisecond // silence after which an entry forgets an agent
	listenFirst   = 150 * time.Millisecond  // before an entry makes itself home; a home in contact answers within a few ms
	panelSize     = 5                       // entries that may be the next home; all at once are lost only with the site
	forgetPeer    = 30 * time.Second
	runStride     = 1000 // between run numbers of a task under successive homes
)

// The ledger of stored jobs.
const (
	tenureLife     = 5 * time.Second        // how long a holder may go on without the store; its outages last that long
	tenureMargin   = time.Second            // before the end of it no task is placed any more
	handover       = 750 * time.Millisecond // silence of the holder after which an agent stops runs of stored jobs; the next one is there after 400 to 500 ms
	agentLostHeld  = handover + workerLease + 100*time.Millisecond
	tenureClear    = tenureLife + workerLease + 500*time.Millisecond // from a claim on: no run of a former holder is left; a tick, a stop and slack included
	ledgerRefresh  = 700 * time.Millisecond                          // between commits, far more often than tenureLife
	ledgerGap      = 10 * time.Millisecond                           // between commits; as long as two answers of the store take
	ledgerYield    = 60 * time.Millisecond                           // between commits of a holder that is not home any more
	ledgerRetry    = 60 * time.Millisecond                           // between calls of the store that fail at once
	ledgerFlights  = 8                                               // commits side by side: at 60 times its usual delay the store answers 4 a second on each
	ledgerEntries  = 32                                              // most conditions, writes and deletions of a commit that the store takes
	ledgerStalled  = 600 * time.Millisecond                          // without an answer from the store: no job is accepted
	commitPatience = 100 * time.Millisecond                          // for the answer to a first commit, 20 times the usual; doubled each time there is none
	claimPause     = 2 * time.Second                                 // before a home claims the ledger again that another one took from it
	statusKept     = 20 * time.Second                                // how long an ended job is kept beyond what callers are promised
	stateWait      = 500 * time.Millisecond                          // for the end of a running job that a caller asks about
	stateFallback  = 400 * time.Millisecond                          // without an answer from the holder: the store is asked
)

// requestLines bounds the lines about single jobs and runs, a second and process,
// if the settings do not.
// A home writes one for each job, up to 155 a second on standard days of the small
// sites; on the grown ones it leaves some out.
const requestLines = 400

// bounded returns a log for lines about single jobs and runs.
func bounded(log zerolog.Logger, lines int) zerolog.Logger {
	lines = cmp.Or(lines, requestLines)
	return log.Sample(&zerolog.BurstSampler{Burst: uint32(lines), Period: time.Second})
}

// GuardConfig returns the limits by which an agent judges its worker.
func GuardConfig(n *platform.Node) worker.Config {
	return worker.Config{Lease: workerLease, LongestLease: n.LongestLease, Contact: agentContact, Handover: handover, OrderLife: orderLife, Forget: forgetPeer, Silence: workerSilence, Tenure: tenureLife, IdleAge: idleAge}
}

// HomeConfig returns the limits by which a home places tasks.
func HomeConfig(n *platform.Node) schedule.Config {
	return schedule.Config{
		Suspect: agentSuspect, SuspectIdle: suspectIdle, Lost: agentLost, LostHeld: agentLostHeld, Far: n.FarFactor, Late: 3, Margin: 5 * time.Millisecond,
		Remember: 4096, MaxQueued: 20000,
	}
}

func rosterConfig() roster.Config {
	return roster.Config{HomeSilence: homeSilence, Silence: peerSilence, Listen: listenFirst, Forget: forgetPeer, Panel: panelSize}
}
