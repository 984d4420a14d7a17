package wire

import (
	"time"

	"masticbay/claim"
	"masticbay/job"
	"masticbay/member"
	"masticbay/table"
)

// The methods of an entry.
const (
	EntryAnnounce = "Entry.Announce"
	EntryOffer    = "Entry.Offer"
	EntryLeave    = "Entry.Leave"
	EntryPeers    = "Entry.Peers"
	EntryPeer     = "Entry.Peer"
	EntrySubmit   = "Entry.Submit"
	EntryLookup   = "Entry.Lookup"
	EntryCancel   = "Entry.Cancel"
	EntryAdopt    = "Entry.Adopt"

	EntryInquire = "Entry.Inquire"

	EntryRevisions = "Entry.Revisions"
)

// AnnounceArgs is an agent's announcement to an entry, and its heartbeat.
type AnnounceArgs struct {
	Agent       member.Agent
	Status      Status
	EntriesHash uint64 // of the list of entries that the agent has
}

// AnnounceReply carries what the agent lacks. Entries is set only if the agent
// has another list of entries.
type AnnounceReply struct {
	Entry   string
	Entries []member.Entry
	Update  UpdateArgs
	Stretch int // factor on the interval between heartbeats
}

// OfferArgs offers an entry more credits, or recalls unused ones.
type OfferArgs struct {
	Status Status
	Recall bool
}

// OfferReply tells how many credits the entry has returned in total within an
// epoch.
type OfferReply struct {
	Epoch    uint64
	Returned uint64
	Demand   int
}

// LeaveArgs reports that an agent ends. Heir is the successor that holds its
// records.
type LeaveArgs struct {
	Agent string
	Heir  string
}

// LeaveReply is empty.
type LeaveReply struct{}

// PeersArgs asks for agents that can take over the records of a leaving one.
type PeersArgs struct {
	Agent   string
	Service string
}

// PeersReply lists these agents, the preferred one first.
type PeersReply struct {
	Agents []member.Agent
}

// PeerArgs carries the state that an entry shares with its peers. Registry and
// Rows are set only if the receiver is known to lack them.
type PeerArgs struct {
	Entry        member.Entry
	EntriesHash  uint64
	Revision     uint64 // of the sender's registry
	Table        uint64 // of the sender's table
	KnowRevision uint64 // the receiver's registry revision, as far as the sender knows
	KnowTable    uint64 // the receiver's table revision, as far as the sender knows
	Registry     *member.Registry
	Age          time.Duration // time since the sender's registry was known to be the newest
	Rows         []table.Row
	Stopping     bool          // a planned stop has begun: the sender must not be listed again
	Leaving      bool          // the sender ends now
	Ended        []string      // listed entries that have ended for good
	Stamp        time.Duration // the sender's monotonic time since its start
	Quota        Quota
}

// Quota carries, by team, the share of a team's limit that an entry wants from
// its lender, and the share that a lender grants to the receiver.
type Quota struct {
	Wants  map[string]int
	Grants map[string]int
}

// PeerReply carries the same state of the entry that was called.
type PeerReply struct {
	Entry       string
	EntriesHash uint64
	Revision    uint64
	Table       uint64
	Registry    *member.Registry
	Age         time.Duration // time since the entry's registry was known to be the newest
	Ended       []string      // listed entries that have ended for good
	Rows        []table.Row
	Stamp       time.Duration // the entry's monotonic time since its start
	Quota       Quota
}

// SubmitArgs forwards a submission to the home of its key, the entry that
// coordinates the job.
type SubmitArgs struct {
	Spec       job.Spec
	Submission string
	From       string // incarnation of the forwarding entry
	Claim      bool   // another entry may have run the job, so it must be claimed first
	Trace      string
	Stamp      time.Duration // the receiver's monotonic time, as the sender estimates it from the last message
}

// SubmitReply is sent when the job has ended or was refused.
type SubmitReply struct {
	Answer  *job.Answer
	Refused *job.RefusedError
	Moved   string // incarnation of another entry to ask
}

// LookupArgs asks for the state of a job, or with Wait for its final answer.
type LookupArgs struct {
	Key  job.Key
	Wait bool
}

// LookupReply carries the answer, or the counts of a running job.
type LookupReply struct {
	Found  bool
	Answer job.Answer
}

// CancelArgs cancels a job.
type CancelArgs struct {
	Key job.Key
}

// CancelReply tells whether the job was known.
type CancelReply struct {
	Found bool
}

// AdoptArgs hands over an entry's records of jobs to a peer.
type AdoptArgs struct {
	Jobs []claim.Remembered
}

// AdoptReply is empty.
type AdoptReply struct{}

// RevisionsArgs is empty.
type RevisionsArgs struct{}

// RevisionsReply holds the table revision in force by process, as far as the
// entry knows.
type RevisionsReply struct {
	Table map[string]uint64
}

// InquireArgs carries an inquiry, by which a claim asks an entry about jobs.
type InquireArgs struct {
	Inquiry claim.Inquiry
}

// InquireReply holds one testimony for each job, in order.
type InquireReply struct {
	Entry       string // incarnation that answers
	Testimonies []claim.Testimony
}
