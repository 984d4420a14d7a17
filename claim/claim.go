// Package claim holds the messages by which entries claim jobs from one
// another.
//
// # Model
//
// An entry must claim a job before it runs the job if another entry may have run
// it. A claim is a round of promises under a ballot, as in Paxos. Every start
// follows from a dispatch, so a claim is complete when every listed entry has
// answered an Inquiry with a Testimony: the attempts that it dispatched, and the
// promise to dispatch nothing of the job under a lower ballot. A claim is also
// complete when every registered agent has granted it (package gate), which
// costs more messages but works while an entry is out of contact.
//
// An entry keeps its records of a job for the retention, and hands them over
// when it leaves as planned. An entry that died stays listed for the retention,
// so that a claim does not take its missing answer for a grant.
//
// # Usage
//
//	q := claim.Inquiry{Entry: id, Registry: rev, Jobs: items}
//	ts := core.AnswerInquiry(now, &q)
package claim

import (
	"time"

	"masticbay/gate"
	"masticbay/job"
)

// Inquiry asks an entry for its traces of some jobs, and for the promise to obey
// no ballot lower than the one given for each.
type Inquiry struct {
	Entry    string // incarnation of the claiming entry
	Registry uint64 // registry revision that the claim covers
	Jobs     []gate.ClaimItem
}

// Testimony answers one item of an Inquiry.
type Testimony struct {
	Job      job.Key
	Ballot   gate.Ballot // of the request
	OK       bool        // the promise is given
	Holder   gate.Ballot // the higher ballot, if another claim has one
	Registry uint64      // the newer revision, if the claim covers an old one
	Traces   []Trace
}

// Trace is an entry's record of an attempt to start a task. State is Done or
// Failed if the task ended, NotRun if the attempt is proven not to have started,
// and Dispatched if the outcome is not known; the agent can then be asked.
type Trace struct {
	Index   int // of the task
	State   job.State
	Agent   string // incarnation
	Entry   string // incarnation that made the attempt
	Attempt uint64
	Age     time.Duration // time since the attempt, as of the message
	Result  []byte
	Error   string
}

// Remembered is the record of one job that an entry hands over when it leaves.
type Remembered struct {
	Key     job.Key
	Service string // empty if only the traces are known
	Hash    uint64
	Answer  *job.Answer // nil if another entry answers
	Bound   gate.Ballot // of the highest claim that was granted
	Traces  []Trace
}
