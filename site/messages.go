package site

import (
	"time"

	"masticbay/evacuation"
	"masticbay/interference"
	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// The RPC methods of the processes of a site.
const (
	agentSync      = "Agent.Sync"
	entryAnnounce  = "Entry.Announce"
	entryGreet     = "Entry.Greet"
	entryRun       = "Entry.Run"
	entryWithdraw  = "Entry.Withdraw"
	entryConfig    = "Entry.Config"
	entryEvacuated = "Entry.Evacuated"
	entryAccept    = "Entry.Accept"
	entryState     = "Entry.State"
	entryCancel    = "Entry.Cancel"
	entryStore     = "Entry.Store"
	entryOpenJobs  = "Entry.OpenJobs"
	entryRelease   = "Entry.Release"
)

// orderBatch holds orders of a home to an agent under a rising sequence number.
type orderBatch struct {
	Seq    uint64
	Echo   time.Duration     // the agent's last stamp that the home had when it decided
	Specs  map[string]string // by job, so that the tasks of a job share one copy
	Starts []work.Start      // without Spec
	Stops  []work.Run
	Seals  []worker.Seal // jobs that another home may have started
}

// SyncArgs carries orders to an agent and asks for events. All orders that the agent
// has not acknowledged are sent again; it takes each once.
type SyncArgs struct {
	Home   string // incarnation of the home
	Life   string // incarnation of the agent that the orders are for; empty if unknown
	Echo   time.Duration
	Orders []orderBatch
	Acked  uint64        // events up to this number are acknowledged; the agent drops them
	Known  uint64        // the home has received events up to this number; they do not end the wait
	Tenure tenureArgs    // the home's tenure of the ledger
	Claim  claimArgs     // the home's claim to be followed
	Target uint64        // version of the worker's description that the home has
	Wait   time.Duration // for events (long poll)
	// Evacuation is the evacuated data centres, as the home knows them.
	Evacuation evacuation.Set
	// Transits is the version of the starts in transit that the home has; 0 for none.
	Transits uint64
}

// tenureArgs describes a home's tenure of the ledger to an agent.
type tenureArgs struct {
	Epoch  uint64        // 0 if the home does not hold the ledger
	Vacant bool          // no job is stored on the site
	Owned  time.Duration // the agent's time when the tenure was last renewed
	Kept   bool          // the agent is asked for the runs that the home may inherit
}

// claimArgs is a home's claim that the agent follows it.
type claimArgs struct {
	Seq    uint64 // rises with each claim of the sender's incarnation
	Term   uint64 // 0 if the sender is not home
	Reach  int
	Former map[string]uint64 // by incarnation: last term
	Shared bool
	Homes  []string // if Shared: of the site
	// Listed is set if the home has the agent's list of the runs of others. Otherwise a reply that holds
	// it is sent at once.
	Listed bool
}

// SyncReply is an agent's report to a home.
type SyncReply struct {
	Number uint64          // rises with each reply of the incarnation of the agent; 0 from earlier builds
	Stamp  time.Duration   // the agent's time
	Taken  uint64          // orders up to this number were received
	Target uint64          // version of the worker's description
	Report schedule.Report // includes Target only if the home has another version
	// Evacuation is set if the agent has a newer set than the home.
	Evacuation evacuation.Set
}

// AnnounceArgs announces an agent to an entry.
type AnnounceArgs struct {
	Address string
	Service string
	Kind    string // of the worker; empty until the worker has described itself
	// DataCentre is that of the worker; empty if data centres are not evacuated.
	DataCentre string
}

// AnnounceReply lists the entries to which the agent has to announce itself.
type AnnounceReply struct {
	Panel []string
}

// GreetArgs is a greeting, the heartbeat between entries.
type GreetArgs struct {
	Member  roster.Member
	Session uint64 // of the sender at the receiver; see RunArgs
	// Panel lists the entries that all others greet, as the sender sees them; empty if
	// Sum shows that the receiver has the same panel.
	Panel   []string
	Sum     uint64
	Config  uint64         // version of the configuration that the sender has in force
	Waiting map[string]int // by queue: jobs that have not started, if the sender is home
	// WaitingPartial is set if Waiting lacks stored jobs, as the sender has not read the ledger yet.
	WaitingPartial bool
	Delay          time.Duration // how long a new job would wait, if the sender is home
	Vacant         bool          // no job is stored on the site, if the sender is home
	Open           bool          // jobs that are not stored are open at the sender's home
	Number         uint64        // rises with each greeting of the sender's incarnation; 0 from earlier builds
	Stamp          time.Duration // the sender's time
	Echo           time.Duration // the receiver's last stamp that the sender has; 0 if it has none
	// StartRate is the number of tasks that the sender starts each second, if it is home.
	StartRate float64
	// Evacuation identifies the sender's set of evacuated data centres.
	Evacuation  evacuation.Mark
	HighestTerm uint64 // of any home that the sender knows
	// Interference lists the pairs of kinds of task that slow each other down, at most
	// maxSentPairs, if the sender is home.
	Interference []interference.Pair
}

// GreetReply is the receiver's own greeting.
type GreetReply GreetArgs

// RunArgs hands a job to the home.
type RunArgs struct {
	Entry    string // incarnation of the sender
	Session  uint64 // rises when the sender gives up its jobs at the receiver
	Call     uint64 // numbers the calls of the sender's incarnation, so that one can be withdrawn; 0 from earlier builds
	Job      work.Job
	FirstRun int           // runs of each task are numbered from FirstRun+1; above 0, another home may have started lower ones
	LostFor  time.Duration // since the sender lost the home to which it handed the job before
	// LostAgents is the largest number of agents that such a home was in contact with.
	LostAgents int
	Echo       time.Duration // the home's last stamp that the sender has
	// Home is the incarnation of the home that may have the job already; empty for a job
	// that is handed over for the first time.
	Home string
	// Declined names the incarnations of the homes that have rejected the job in this submission. Earlier
	// builds name none, and are told that the job has moved by its second candidate.
	Declined []string
}

// RunReply is sent when the job has ended.
type RunReply struct {
	Outcome work.Outcome
	Moved   bool // the receiver is not home of a cell or not the one to take the job, or the message was late; it did nothing
}

// WithdrawArgs withdraws a job, since no caller waits for it.
type WithdrawArgs struct {
	Entry   string
	Session uint64
	Call    uint64 // that handed the job over; 0 for all calls of the session
	Job     string
}

// WithdrawReply is empty.
type WithdrawReply struct{}

// ConfigArgs asks for a configuration.
type ConfigArgs struct{}

// ConfigReply carries the configuration as the operator wrote it.
type ConfigReply struct {
	Raw      []byte
	Revision uint64 // of its key in the store
}

// EvacuatedArgs asks for the evacuated data centres.
type EvacuatedArgs struct{}

// EvacuatedReply carries the evacuated data centres; no revision if they are not known.
type EvacuatedReply struct {
	Set evacuation.Set
}

// AcceptArgs hands a job to the home to be stored.
type AcceptArgs struct {
	Job work.Job
}

// AcceptReply reports whether the job is stored.
type AcceptReply struct {
	Outcome work.Outcome // Queued once it is stored
	Moved   bool         // the receiver does not hold the ledger
	Sent    bool         // with Moved: the receiver held it and sent the job to the store, which may have it; otherwise it did nothing
}

// JobArgs names a stored job.
type JobArgs struct {
	ID string
}

// StateReply is the state of a stored job.
type StateReply struct {
	State work.State // empty if there is no such job
	Moved bool       // the receiver does not hold the ledger
}

// CancelReply is the state of a job after a cancellation.
type CancelReply StateReply
