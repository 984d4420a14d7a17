package gate

import (
	"time"

	"masticbay/job"
)

// TaskID names one task of one job. Rerun is empty, except for tasks of an
// idempotent job that run again under a later submission.
type TaskID struct {
	Job   job.Key
	Rerun string
	Index int
}

// Ballot orders rival claims of a job, as in Paxos. The zero Ballot stands for
// no claim.
type Ballot struct {
	N     uint64
	Entry string // incarnation of the claiming entry
}

// Zero reports whether b stands for no claim.
func (b Ballot) Zero() bool {
	return b == Ballot{}
}

// Less reports whether b is lower than o.
func (b Ballot) Less(o Ballot) bool {
	if b.N != o.N {
		return b.N < o.N
	}
	return b.Entry < o.Entry
}

// Dispatch asks an agent to start one task.
type Dispatch struct {
	Task        TaskID
	Entry       string // incarnation of the entry that asks
	Agent       string // incarnation of the addressed agent
	Attempt     uint64 // never reused within one incarnation of an entry
	Ballot      Ballot
	Registry    uint64 // registry revision at the job's admission or claim
	Idempotent  bool
	Stamp       time.Duration // latest stamp of the agent that the entry has received
	StartWithin time.Duration // the task must start within this time after Stamp
	Service     string
	Team        string
	Payload     []byte
	Trace       string // W3C traceparent
}

// Verdict is the gate's decision about a dispatch or an item of a seal.
type Verdict uint8

// The verdicts. Refused, Held and Sealed prove that the attempt did not start
// the task and never will.
const (
	Start    Verdict = iota // the caller of the gate must start the task now
	Recorded                // the task was started before; Report holds its state
	Refused                 // not started; Reason says why
	Held                    // not started; another entry holds the job's claim
	Sealed                  // not started; sealed by request (Reason is Repeated if it was already closed)
	Lost                    // nothing is known: this agent is not the addressed one and has not taken over its records
)

// Reason says why a dispatch was refused.
type Reason uint8

// The reasons of a refusal.
const (
	NoReason    Reason = iota
	Unlisted           // the agent is not in the registry yet
	OldRegistry        // the job was admitted before the agent joined
	Young              // the agent is in its join window: it may not know claims made before it joined
	Stale              // the dispatch was in transit for too long
	Busy               // no free slot
	Draining           // the agent takes no new work
	WrongAgent         // the dispatch is addressed to another incarnation
	Repeated           // the attempt was refused or sealed before
	TargetDown         // the target could not be connected to
)

var reasonNames = [...]string{"", "unlisted", "oldRegistry", "young", "stale", "busy", "draining", "wrongAgent", "repeated", "targetDown"}

// String returns the name of the reason.
func (r Reason) String() string {
	return reasonNames[r]
}

// Phase is the state of a started task.
type Phase uint8

// The phases of a started task.
const (
	Running Phase = iota
	Succeeded
	Errored
)

// Report is the recorded state of a started task.
type Report struct {
	Task   TaskID
	Phase  Phase
	Result []byte        // JSON from the target; set when Phase is Succeeded
	Error  string        // set when Phase is Errored
	Took   time.Duration // run time on the target
}

// Decision answers a dispatch or one item of a seal.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	Holder  Ballot // set when Verdict is Held
	Report  Report // set when Verdict is Recorded
}

// SealItem names one attempt whose outcome the entry does not know.
type SealItem struct {
	Task    TaskID
	Attempt uint64
	Epoch   uint64 // of the credit that the attempt spent
}

// Seal asks an agent to close the listed attempts, so that they never start, and
// to report the state of their tasks.
type Seal struct {
	Entry string
	Agent string // incarnation of the agent that the dispatches were sent to
	Items []SealItem
}

// Claim asks an agent which tasks of some jobs it started, and to accept no
// lower ballot for these jobs from then on.
type Claim struct {
	Entry    string
	Agent    string // incarnation that the registry lists
	Registry uint64 // registry revision that the claim covers
	Jobs     []ClaimItem
}

// ClaimItem is one job of a Claim.
type ClaimItem struct {
	Job    job.Key
	Ballot Ballot
}

// Grant answers one ClaimItem. The claim counts only if OK is set.
type Grant struct {
	Job      job.Key
	Ballot   Ballot // of the request
	OK       bool
	Holder   Ballot // the higher ballot, if another claim holds the job
	Registry uint64 // the newer revision, if the claim covered an older one
	Reports  []Report
}
