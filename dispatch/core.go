// Package dispatch decides, inside an entry, what happens to jobs.
//
// # Model
//
// A Core holds the jobs of one entry. The entry turns each event (a
// submission, a reply of an agent, a lost connection, the passing of time)
// into a method call with the current time. The Core returns Actions:
// dispatches, seals, claims and requests for credits to send, and answers to
// give. It does no I/O, reads no clock and draws no random numbers, so the same
// code runs in production, in virtual time and in property tests.
//
// A task is at one agent at a time. While the outcome of a dispatch is unknown
// ("unclear"), the Core seals the attempt at that agent and waits; only a proof
// that the attempt did not start lets the task be dispatched again. Without a
// proof within Config.UnclearLimit the task is unknown and its job fails.
//
// A seal asks an agent for the state of an attempt and forbids it to start
// afterwards. A claim is a round of promises, as in Paxos: the entries, or the
// agents, that grant a ballot obey no lower one for that job (package claim).
//
// A Core is not safe for concurrent use.
//
// # Usage
//
//	c := dispatch.New(id, cfg)
//	ticket, err := c.Submit(now, spec, admission)
//	for _, run := range c.Take(now).Runs { ... }
package dispatch

import (
	"time"

	"masticbay/claim"
	"masticbay/credit"
	"masticbay/gate"
	"masticbay/health"
	"masticbay/job"
	"masticbay/member"
	"masticbay/queue"
	"masticbay/wire"
)

// Config holds the times and sizes that bound a Core.
type Config struct {
	Retention    time.Duration // how long records of dispatches are kept for claims
	Window       time.Duration // how long after its deadline a key may be resubmitted
	UnclearLimit time.Duration // longest wait for a proof about a dispatch
	ClaimLimit   time.Duration // longest claim of a non-idempotent job
	ShortClaim   time.Duration // longest claim of an idempotent job
	SealRetry    time.Duration // first interval between seals of an attempt
	StampMaxAge  time.Duration // age at which agents refuse a stamp
	AskThreshold int           // number of waiting tasks from which the Core asks for credits
	AskGain      float64       // ask a faster agent if its cost is below this share of the chosen agent's; 0 for never
	FarPenalty   time.Duration // added to the cost of an agent in another data centre
	AskInterval  time.Duration // interval between requests for credits
	MaxWaiting   int           // most waiting tasks of one service
	DataCentre   string
}

// Core is the decision state of one incarnation of an entry.
type Core struct {
	id              string
	cfg             Config
	jobs            map[job.Key]*activeJob
	services        map[string]*service
	agents          map[string]*agent
	attempts        map[uint64]taskRef // dispatches without a known outcome, by number
	lastAttempt     uint64
	lastBallot      uint64
	registry        Registry
	highestRegistry uint64 // highest registry revision of any claim
	isolated        bool   // some listed entry is out of contact
	limits          Limits
	teams           map[string]*usage
	timers          timers
	actions         Actions
	memories        map[job.Key]*jobMemory
	claimIndex      map[string]int // by agent: the index of its claim in actions.Claims
	sealIndex       map[string]int // by agent and entry: the index of its seal in actions.Seals
	counters        Counters

	inquiryIndex map[string]int // by entry: the index of its inquiry in actions.Inquiries
}

// Registry lists the members as of one revision: the entries other than this
// one, and the agents by service. A claim needs the answers of all entries or
// of all agents, but only those of the agents count if an entry is lost.
// Suspended agents get no new work.
type Registry struct {
	Revision       uint64
	Entries        []string
	HasLostEntries bool // some entry that is no longer listed may have run jobs
	Agents         map[string][]string
	Suspended      map[string]bool
}

// NewRegistry returns what the Core of the entry self needs of a registry.
func NewRegistry(self string, r *member.Registry) Registry {
	out := Registry{Revision: r.Revision, HasLostEntries: len(r.Lost) > 0, Agents: make(map[string][]string), Suspended: make(map[string]bool)}
	for _, e := range r.Entries {
		if e.ID != self {
			out.Entries = append(out.Entries, e.ID)
		}
	}
	for _, a := range r.Agents {
		out.Agents[a.Service] = append(out.Agents[a.Service], a.ID)
		if a.Suspended {
			out.Suspended[a.ID] = true
		}
	}
	return out
}

// Limits holds the shares that the operators' table grants to this entry.
type Limits struct {
	Services map[string]Share
	Teams    map[string]Share
}

// Share is the capacity that a service or a team may use at this entry.
type Share struct {
	Weight  float64
	Limited bool
	Cap     int  // concurrent tasks at this entry, if Limited
	Closed  bool // the table allows nothing at any entry
}

func (s Share) allows(running int) bool {
	return !s.Closed && (!s.Limited || running < s.Cap)
}

// Counters counts decisions since the start.
type Counters struct {
	Submitted, Attached, Refused      uint64
	Complete, Failed                  uint64
	Dispatched, Requeued, Seals       uint64
	Claims, ClaimsIncomplete, Unclear uint64
	NotRun, Unknown                   uint64
}

// Run is a dispatch to send to an agent.
type Run struct {
	Agent string
	Args  wire.RunArgs
}

// Ask is a request for credits to send to an agent.
type Ask struct {
	Agent  string
	Demand int
}

// SentInquiry is an inquiry to send to another entry.
type SentInquiry struct {
	To      string // incarnation
	Inquiry claim.Inquiry
}

// Redirect says that another entry holds a job's claim.
type Redirect struct {
	Key    job.Key
	Holder string // incarnation of that entry
}

// Actions lists what the caller of a Core has to do.
type Actions struct {
	Runs         []Run
	Seals        []SentSeal
	Claims       []gate.Claim
	Inquiries    []SentInquiry
	Asks         []Ask
	Answers      []job.Answer
	Redirects    []Redirect
	WantRegistry uint64 // a revision to fetch; 0 for none
	QuotaShort   bool   // tasks wait for a larger share of their team's limit
}

type service struct {
	name         string
	queue        queue.Queue
	agents       []*agent
	running      int
	runTimes     health.Tracker
	lastSuccess  map[string]time.Time // by agent
	lastAsk      time.Time
	agentsByCost []*agent // as of rankedAt
	rankedAt     time.Time
}

type agent struct {
	id            string
	service       string
	dataCentre    string
	balance       credit.Balance
	status        wire.Status
	stampReceived time.Time // arrival of status.Stamp
	reachable     bool
	health        health.Tracker
	inFlight      int
	tasksByTeam   map[string]int // dispatched tasks by team
	reserved      int            // slots kept free for teams other than the one being served
	askPending    bool
}

type activeJob struct {
	spec            job.Spec
	hash            uint64
	submission      string
	submittedAt     time.Time
	deadline        time.Time
	registry        uint64
	claim           *pendingClaim
	ballot          gate.Ballot
	claimed         bool      // a claim of the job has completed
	optionalClaimAt time.Time // earliest time of the next claim that is not needed for safety
	tasks           []task
	openTasks       int // tasks without a final state
	scanFrom        int // index at which nextQueued begins; no earlier task is queued
	cancelled       bool
	missesDeadline  bool // the job cannot meet its deadline
	reason          string
	answer          *job.Answer
	expiresAt       time.Time // when the answer may be deleted
}

type task struct {
	state        job.State
	attempt      uint64
	agent        string
	unclearSince time.Time // start of the wait for a proof, reset by each report that the task runs; zero if none is needed
	backoff      time.Duration
	epoch        uint64 // of the credit that the attempt uses
	requeues     int    // attempts that proved not to have started
	rerun        bool   // its ID names this submission, since the task may run twice
	adopted      bool   // started under an earlier claim or submission
	result       []byte
	err          string

	originEntry   string // the entry that made the attempt, if it is another one
	originAttempt uint64
	sentAt        time.Time // time of the attempt, or earlier
	otherAttempts []trace   // further attempts whose agents have to be asked
}

type taskRef struct {
	key   job.Key
	index int
}

// New returns the Core of the entry whose incarnation is id.
func New(id string, cfg Config) *Core {
	return &Core{
		id:         id,
		cfg:        cfg,
		jobs:       make(map[job.Key]*activeJob),
		services:   make(map[string]*service),
		agents:     make(map[string]*agent),
		attempts:   make(map[uint64]taskRef),
		teams:      make(map[string]*usage),
		memories:   make(map[job.Key]*jobMemory),
		claimIndex: make(map[string]int),
		sealIndex:  make(map[string]int),

		inquiryIndex: make(map[string]int),
	}
}

// Take returns the pending actions and clears them.
func (c *Core) Take() Actions {
	clear(c.claimIndex)
	clear(c.sealIndex)
	clear(c.inquiryIndex)
	out := c.actions
	c.actions = Actions{}
	return out
}

// Counters returns the counts of decisions.
func (c *Core) Counters() Counters { return c.counters }

// ID returns the incarnation of the entry.
func (c *Core) ID() string { return c.id }

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, lastSuccess: make(map[string]time.Time)}
		c.services[name] = s
	}
	return s
}
