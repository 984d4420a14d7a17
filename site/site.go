// Package site runs masticbay on the platform of its users with two kinds of process:
// entries take jobs from callers, and agents run tasks on the worker beside them.
//
// # Model
//
//	caller ──► entry ──► home ──► agent ──► worker
//
// The entry that has a caller's connection is responsible for the answer. It hands
// the whole job to a home, a coordinator that places tasks (package schedule), and
// waits for the outcome. A small site has one home; on a large one the agents are
// divided into cells with a home each. Package roster selects the homes among the
// entries; the panel is the homes and the candidates for failover. An agent (package
// worker) takes orders from homes and is the only process that calls its worker.
//
// Jobs whose callers wait for the end are not stored. If the connection to a home
// breaks, the entry asks the same home again, which goes on with its jobs. If a home is
// lost, the entries hand their jobs to another one only when every run of the lost home
// has certainly ended; the times in this file guarantee that. If an entry is lost, its callers submit
// again, at any entry and after any time. A home knows which of these jobs have runs: it places none
// before the agents have listed theirs, each of which follows one home (home_term.go).
//
// Stored jobs are in the ledger (package ledger), which one home holds at a time for
// a tenure (its term, a lease with an epoch). The next holder goes on with their runs.
// A site that stores jobs is not divided.
//
// The packages schedule, worker, roster and ledger make the decisions. This package
// moves their inputs and outputs: HTTP through package platform, net/rpc through
// package wire.
//
// # Terms
//
// These names are part of messages and log lines. A life is an incarnation of a
// process. A session is the set of jobs that an entry has at a home; its number rises
// when the entry gives up these jobs. A greeting is the heartbeat between entries. A
// stamp is the issuer's monotonic time, and an echo is a stamp sent back to its
// issuer. An entry is deposed when a higher epoch supersedes its tenure. A duty is a
// loop that runs in its own goroutine.
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
//   - stopRunsAfter after the last contact of its home with a working agent whose worker
//     carries out the stop,
//   - renewContactAge and workerLease after that contact in any case.
const (
	workerLease          = 600 * time.Millisecond // covers three lost polls
	pollWait             = 100 * time.Millisecond // a poll returns at the end of a run, or after this time
	pollSlack            = 50 * time.Millisecond  // for the answer to a poll that has waited
	pollers              = 2                      // concurrent polls, since one of them may get no answer
	workerContactTimeout = 250 * time.Millisecond // a worker that has answered no poll for this long gets no new task
	stallAge             = 250 * time.Millisecond // a run without progress for this long counts as stalled
	orderTimeout         = 60 * time.Millisecond  // after which a start counts as unanswered; answers take 2 ms
	orderDelay           = 12 * time.Second       // within which a worker carries out an order that it does not answer
	// transitTime is the time from the last contact with an agent until the last start that it has sent is
	// carried out and the longest lease of a worker (1 s) has ended.
	transitTime           = orderMaxAge + orderTimeout + orderDelay + 1100*time.Millisecond
	leaseEndsAfter        = workerLease + 40*time.Millisecond // the worker's clock may be 2% slow
	workerStopTime        = 100 * time.Millisecond            // in which a worker carries out a stop, one lost message included; the lease is not renewed after it
	agentTickInterval     = stopRunsAfter / 4
	renewContactAge       = 150 * time.Millisecond                 // contact with a home up to this age does not shorten the lease
	stopRunsAfter         = 450 * time.Millisecond                 // an agent stops the runs of a home that is out of contact for this long
	orderMaxAge           = 400 * time.Millisecond                 // greatest age of the echo of an order that an agent takes
	syncWait              = 100 * time.Millisecond                 // a sync waits this long for events, so that an agent is in contact with its home four times in stopRunsAfter
	syncWaitPerAgent      = time.Millisecond                       // of the wait of a sync, for each agent of the site
	greetIntervalPerEntry = 2500 * time.Microsecond                // of the interval between greetings of a home, for each known entry
	maxSyncWait           = 200 * time.Millisecond                 // for agents with tasks; suspectAfter less the time of a message that is sent again
	maxIdleSyncWait       = 400 * time.Millisecond                 // for agents without tasks
	suspectIdleAfter      = maxIdleSyncWait + 150*time.Millisecond // suspectAfter for agents without tasks
	syncSlack             = 120 * time.Millisecond                 // for the answer to a sync that has waited
	suspectAfter          = 300 * time.Millisecond                 // an agent that is out of contact for this long gets no new task
	// runsLostAfter also covers agents that renew leases whatever the age of the contact.
	runsLostAfter           = stopRunsAfter + workerStopTime + leaseEndsAfter
	withdrawJobsAfter       = 450 * time.Millisecond // a home withdraws the jobs of an entry that is out of contact for this long
	homeContactTimeout      = 350 * time.Millisecond // a home that is out of contact for this long counts as lost
	homeGreetInterval       = 100 * time.Millisecond // between greetings of a home, so that it is in contact with an entry four times in withdrawJobsAfter
	maxHomeGreetInterval    = 150 * time.Millisecond // so that a home is in contact with an entry three times in withdrawJobsAfter
	idleHomeGreetInterval   = 200 * time.Millisecond // for a home that has no jobs of this entry; shorter than homeContactTimeout
	panelNamedFor           = time.Second            // how long an entry is greeted like the panel after another entry named it
	panelGreetInterval      = 400 * time.Millisecond
	greetTimeout            = 250 * time.Millisecond
	greetAnswerTimeout      = 150 * time.Millisecond  // for the answer to a greeting between entries
	silentConnTimeout       = 200 * time.Millisecond  // a connection that has answered no greeting for this long is replaced; a greeting on the new one is answered within homeContactTimeout
	peerContactTimeout      = 1200 * time.Millisecond // for entries that are not home
	announceInterval        = 700 * time.Millisecond
	startupAnnounceInterval = 100 * time.Millisecond // between announcements to an entry that does not answer, for startupAnnounceFor from the first one
	startupAnnounceFor      = 5 * time.Second
	agentContactTimeout     = 2500 * time.Millisecond // an entry removes an agent that is out of contact for this long
	startupWait             = 50 * time.Millisecond   // before an entry becomes home; a home in contact answers within a few ms
	configWait              = 300 * time.Millisecond  // for the configuration, which a started entry has after a few answers of the store
	panelSize               = 5                       // candidates for failover; they are all lost at once only if the site is lost
	peerRetention           = 30 * time.Second
	runNumberStride         = 1000 // between run numbers of a task under successive homes
)

// The times of a job whose home is lost.
const (
	// withdrawnRunsStopAfter includes a tick of the home and the time that it grants runs to
	// end by themselves.
	withdrawnRunsStopAfter = withdrawJobsAfter + 70*time.Millisecond
	// RunsOfLostHomeEndAfter is the time from the loss of a home until every run of its jobs
	// has ended, also at an agent that only this home reaches.
	RunsOfLostHomeEndAfter = withdrawnRunsStopAfter + stopRunsAfter + workerStopTime + leaseEndsAfter + 40*time.Millisecond
	// formerRunsEndAfter is the same for jobs that no entry hands over, whose entry is lost as well
	// or has withdrawn them.
	formerRunsEndAfter = withdrawnRunsStopAfter + renewContactAge + leaseEndsAfter + 40*time.Millisecond
	lostHomeWait       = 1250 * time.Millisecond                                    // for another home
	sealRetention      = withdrawnRunsStopAfter + orderMaxAge + 80*time.Millisecond // a lost home places no run after it
	maxSealingAgents   = 64
	lostAgentRetention = 30 * time.Second // agents out of contact for longer have no runs
)

// The times and limits of the ledger of stored jobs.
const (
	tenureDuration       = 5 * time.Second        // how long a holder may go on without the store, whose outages last that long
	tenureMargin         = time.Second            // before the end of a tenure, in which no task is placed
	stopStoredRunsAfter  = 750 * time.Millisecond // an agent stops runs of stored jobs if the holder is out of contact for this long; the next holder takes over after 400 to 500 ms
	storedRunsLostAfter  = stopStoredRunsAfter + agentTickInterval + leaseEndsAfter
	previousRunsEndAfter = tenureDuration + workerLease + 500*time.Millisecond // after the ledger is acquired, no run of the previous holder is left; includes a tick, a stop and slack
	tenureRenewInterval  = 700 * time.Millisecond                              // between commits, far shorter than tenureDuration
	minCommitInterval    = 10 * time.Millisecond                               // between commits; as long as two answers of the store take
	yieldCommitInterval  = 60 * time.Millisecond                               // between commits of a holder that is no longer home
	storeRetryInterval   = 60 * time.Millisecond                               // between calls of the store that fail at once
	maxPendingCommits    = 8                                                   // concurrent commits; at 60 times its usual delay, the store answers 4 a second on each
	maxCommitEntries     = 32                                                  // most conditions, writes and deletions in a commit that the store takes
	maxStoreOutage       = 600 * time.Millisecond                              // no job is accepted if the store has not answered for this long
	minCommitTimeout     = 100 * time.Millisecond                              // of a first commit, 20 times the usual answer time; doubled after each commit without an answer
	reacquireDelay       = 2 * time.Second                                     // before a home acquires the ledger again after another home took it
	extraStatusRetention = 20 * time.Second                                    // how long an ended job is kept beyond the time promised to callers
	stateLongPoll        = 500 * time.Millisecond                              // for the end of a running job whose state a caller asks for
	stateFallbackAfter   = 400 * time.Millisecond                              // the store is asked if the holder has not answered for this long
)

// defaultCellSize is the number of agents in a cell: so many that the load of a cell
// varies little, and few enough that its home spends a small part of a core.
const defaultCellSize = 40

// defaultRequestLines is the most log lines about single jobs and runs that a process
// writes in a second, and of those about tasks that start again, unless the settings say otherwise. A home writes one for each
// job, up to 155 a second on standard days of the small sites; on larger sites some
// lines are dropped.
const defaultRequestLines = 400

// rateLimited returns a log that drops lines above a number in each second.
func rateLimited(log zerolog.Logger, lines int) zerolog.Logger {
	lines = cmp.Or(lines, defaultRequestLines)
	return log.Sample(&zerolog.BurstSampler{Burst: uint32(lines), Period: time.Second})
}

// GuardConfig returns the limits of an agent's guard.
func GuardConfig(n *platform.Node) worker.Config {
	return worker.Config{Lease: workerLease, LongestLease: n.MaxWorkerLease, EntryContactTimeout: stopRunsAfter, RenewalContactAge: renewContactAge, StopTime: workerStopTime, HolderContactTimeout: stopStoredRunsAfter, OrderMaxAge: orderMaxAge, EventRetention: peerRetention, SealRetention: sealRetention, WorkerContactTimeout: workerContactTimeout, OrderDelay: orderDelay, TenureMaxAge: tenureDuration, StallAge: stallAge}
}

// HomeConfig returns the limits of a home's scheduler core.
func HomeConfig(n *platform.Node) schedule.Config {
	return schedule.Config{
		SuspectAfter: suspectAfter, SuspectIdleAfter: suspectIdleAfter, RunsLostAfter: runsLostAfter, StoredRunsLostAfter: storedRunsLostAfter, RemoteFactor: n.RemoteFactor, CutoffFactor: 3, Margin: 5 * time.Millisecond,
		TransitTime: transitTime, MaxRemembered: 4096, MaxQueued: 20000, MaxSealingAgents: maxSealingAgents, RunsOfOthersEndAfter: RunsOfLostHomeEndAfter, ColdOverage: n.ColdOverage, ColdSlack: n.ColdSlack,
	}
}

func rosterConfig() roster.Config {
	return roster.Config{HomeContactTimeout: homeContactTimeout, ContactTimeout: peerContactTimeout, StartupWait: startupWait, PeerRetention: peerRetention, PanelSize: panelSize, FreshFor: formerRunsEndAfter}
}
