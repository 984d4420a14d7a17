package site

import (
	"time"

	"masticbay/roster"
	"masticbay/schedule"
	"masticbay/work"
)

// The methods of the processes of a site.
const (
	agentSync     = "Agent.Sync"
	entryAnnounce = "Entry.Announce"
	entryGreet    = "Entry.Greet"
	entryRun      = "Entry.Run"
	entryWithdraw = "Entry.Withdraw"
	entryConfig   = "Entry.Config"
	entryAccept   = "Entry.Accept"
	entryState    = "Entry.State"
	entryCancel   = "Entry.Cancel"
	entryStore    = "Entry.Store"
)

// orderBatch is what a home wants of an agent, under a number that rises.
type orderBatch struct {
	Seq    uint64
	Echo   time.Duration     // the agent's time that the home knew when it decided
	Specs  map[string]string // by job, so that its tasks share one copy
	Starts []work.Start      // without Spec
	Stops  []work.Run
}

// SyncArgs carries orders to an agent and asks for news. All orders that the
// agent has not confirmed are sent again; it takes each once.
type SyncArgs struct {
	Home   string // incarnation of the home
	Life   string // incarnation of the agent that the orders are for; empty if unknown
	Echo   time.Duration
	Orders []orderBatch
	Acked  uint64        // events up to this number are forgotten
	Known  uint64        // events up to this number are known; the agent need not hurry to tell them
	Tenure tenureArgs    // of the home
	Target uint64        // version of the worker's description that the home has
	Wait   time.Duration // for news
}

// tenureArgs tells an agent whether a home holds the ledger.
type tenureArgs struct {
	Epoch  uint64        // 0: it does not
	Vacant bool          // nothing is stored on the site
	Owned  time.Duration // agent's own time when the home was known to hold it
	Kept   bool          // the home wants to know what the agent keeps
}

// SyncReply is what an agent tells a home.
type SyncReply struct {
	Stamp  time.Duration   // the agent's time
	Taken  uint64          // orders up to this number were taken
	Target uint64          // version of the worker's description
	Report schedule.Report // with a Target only if the home has another version
}

// AnnounceArgs tells an entry of an agent.
type AnnounceArgs struct {
	Address string
	Service string
}

// AnnounceReply tells an agent to which entries to announce itself.
type AnnounceReply struct {
	Panel []string
}

// GreetArgs is exchanged between entries.
type GreetArgs struct {
	Member  roster.Member
	Session uint64 // of the sender at the receiver; see RunArgs
	// Panel are the entries that all others greet, as the sender sees them; empty if
	// that is what the receiver was told last, going by Sum.
	Panel   []string
	Sum     uint64
	Config  uint64         // version of the configuration that it has in force
	Waiting map[string]int // by queue: stored jobs that have not begun, if the sender is home
}

// GreetReply is the receiver's side.
type GreetReply GreetArgs

// RunArgs hands a job to the home.
type RunArgs struct {
	Entry    string // incarnation of the sender
	Session  uint64 // rises when the sender gives up the jobs that it has at the receiver
	Job      work.Job
	FirstRun int // runs are numbered from the next one
}

// RunReply is sent when the job has ended.
type RunReply struct {
	Outcome work.Outcome
	Moved   bool // the receiver is not home and did nothing
}

// WithdrawArgs takes a job back.
type WithdrawArgs struct {
	Entry   string
	Session uint64
	Job     string
}

// WithdrawReply is empty.
type WithdrawReply struct{}

// ConfigArgs asks for a configuration.
type ConfigArgs struct{}

// ConfigReply carries the configuration as the operator wrote it.
type ConfigReply struct {
	Raw []byte
}

// AcceptArgs hands a job to the home to be stored.
type AcceptArgs struct {
	Job work.Job
}

// AcceptReply tells whether it is stored.
type AcceptReply struct {
	Outcome work.Outcome // Queued once it is stored
	Moved   bool         // the receiver does not hold the ledger, and did nothing
}

// JobArgs names a stored job.
type JobArgs struct {
	ID string
}

// StateReply tells the state of a stored job.
type StateReply struct {
	State work.State // empty if there is no such job
	Moved bool       // the receiver does not hold the ledger
}

// CancelReply tells the state after a cancellation.
type CancelReply StateReply
