// Package wire defines the messages between masticbay's processes and the
// net/rpc calls that carry them.
//
// # Model
//
// Entries call agents to run tasks, to seal attempts (which then never start),
// to claim jobs and to ask for credits, each of which allows one dispatch.
// Agents call entries to announce themselves and to recall credits. Entries
// call one another to forward submissions and to exchange their state. Every
// reply of an agent carries its Status. Both sides state the table and registry
// revisions that they use, so that these need no messages of their own; a
// process that sees a newer revision pulls it.
//
// net/rpc has no deadlines. Client adds them: a call that is not answered in
// time returns ErrTimeout, and the connection is closed if the peer does not
// accept a write in time.
//
// # Usage
//
//	c := wire.NewClient("10.0.0.7:7402", opts)
//	rep, err := wire.Call[wire.AskArgs, wire.AskReply](ctx, c, wire.AgentAsk, &args)
package wire

import (
	"time"

	"masticbay/credit"
	"masticbay/gate"
	"masticbay/table"
)

// The methods of an agent.
const (
	AgentRun      = "Agent.Run"
	AgentSeal     = "Agent.Seal"
	AgentClaim    = "Agent.Claim"
	AgentAsk      = "Agent.Ask"
	AgentUpdate   = "Agent.Update"
	AgentHandover = "Agent.Handover"
)

// Status is an agent's state, which every message of the agent carries.
type Status struct {
	Agent    string
	Stamp    time.Duration // the agent's monotonic time, for entries to echo
	Offer    credit.Offer  // of credits to the receiver
	Listed   uint64        // registry revision that first listed the agent; 0 if none did
	Young    bool          // in its join window: claims made before the agent joined may still hold
	Draining bool
	Slots    int
	Running  int
	Idle     int    // slots that are free and not lent to the receiver
	Table    uint64 // table revision in force
	Registry uint64 // highest registry revision seen
}

// RunArgs carries one dispatch.
type RunArgs struct {
	Dispatch gate.Dispatch
	Epoch    uint64 // of the credit that the dispatch uses
	Demand   int    // tasks waiting at the entry
}

// RunReply is sent when the task has ended or was refused.
type RunReply struct {
	Decision gate.Decision
	Status   Status
}

// SealArgs carries a seal.
type SealArgs struct {
	Seal gate.Seal
}

// SealReply holds one decision for each item, in order.
type SealReply struct {
	Decisions []gate.Decision
	Status    Status
}

// ClaimArgs carries claims for several jobs.
type ClaimArgs struct {
	Claim gate.Claim
}

// ClaimReply holds one grant for each item, in order.
type ClaimReply struct {
	Grants []gate.Grant
	Status Status
}

// AskArgs asks for credits.
type AskArgs struct {
	Entry  string
	Demand int
}

// AskReply carries the offered credits in the status.
type AskReply struct {
	Status Status
}

// UpdateArgs pushes newer rows of the table and the registry revision.
type UpdateArgs struct {
	Entry    string
	Table    uint64
	Rows     []table.Row
	Registry uint64
	Listed   uint64 // registry revision that first listed the agent; 0 if none did
}

// UpdateReply carries the agent's status with the revisions in force.
type UpdateReply struct {
	Status Status
}

// HandoverArgs carries the records of a leaving agent to its successor.
type HandoverArgs struct {
	Handover gate.Handover
}

// HandoverReply carries the status of the successor.
type HandoverReply struct {
	Status Status
}
