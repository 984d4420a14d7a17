package bench

import (
	"fmt"
	"time"
)

// Strategy is the way in which tasks are assigned to slots.
type Strategy string

// Credits is masticbay's own strategy; the others are baselines.
const (
	Credits    Strategy = "credits"
	Random     Strategy = "random"
	RoundRobin Strategy = "roundRobin"
	LeastOfTwo Strategy = "leastOfTwo"
)

// Fault is a fault that a run has from faultAt on.
type Fault string

// The faults.
const (
	None       Fault = "none"
	Straggler  Fault = "straggler"  // one target runs at a third of its speed
	Burst      Fault = "burst"      // five times the arrival rate for 10 s
	DeadTarget Fault = "deadTarget" // an agent and its target die
	DeadEntry  Fault = "deadEntry"  // the home of the service, the entry that dispatches its tasks, dies
	FailAll    Fault = "failAll"    // one target fails every task immediately
	WrongSizes Fault = "wrongSizes" // declared sizes are wrong by a factor of up to ten
	CancelWave Fault = "cancelWave" // half of the running jobs are cancelled
	NeverRun   Fault = "neverRun"   // a fifth of the jobs name an unknown service
	HalfLimit  Fault = "halfLimit"  // every target's limit is halved for 20 s
)

// Faults lists all faults.
var Faults = []Fault{None, Straggler, Burst, DeadTarget, DeadEntry, FailAll, WrongSizes, CancelWave, NeverRun, HalfLimit}

const (
	warmUp            = 10 * time.Second // jobs that arrive earlier are left out of the figures
	faultAt           = 30 * time.Second
	burstDuration     = 10 * time.Second
	burstFactor       = 5
	halfLimitDuration = 20 * time.Second
	failedRunTime     = time.Millisecond // run time at a target that fails every task
	runLength         = 90 * time.Second
	floodFactor       = 3 // load of the flooding team, relative to the capacity
)

// Scenario describes a run.
type Scenario struct {
	Workload    *Workload
	Load        float64 // share of the capacity
	Fault       Fault
	SecondFault Fault // a fault at the same time; none if empty
	Strategy    Strategy
	Seed        uint64
	Deadline    time.Duration // of each job; a minute if 0
	Flood       bool          // another team submits several times the capacity
	Quota       int           // slots that each team may use at once; all if 0
}

func (sc *Scenario) length() time.Duration { return runLength }

func (sc *Scenario) deadline() time.Duration {
	if sc.Deadline > 0 {
		return sc.Deadline
	}
	return time.Minute
}

// remainingCapacity returns the share of the capacity that is left without
// faultTarget.
func (sc *Scenario) remainingCapacity() float64 {
	total := 0.0
	speeds := sc.Workload.speeds()
	for _, s := range speeds {
		total += s
	}
	return 1 - speeds[faultTarget]/total
}

func (sc *Scenario) has(f Fault) bool { return sc.Fault == f || sc.SecondFault == f }

// Result holds the figures of a run. Response times are those of the jobs that
// arrived after the warm-up and completed, divided by the ideal times of the same
// jobs.
type Result struct {
	Scenario
	Jobs               int
	Complete           int
	Failed             int
	Refused            int
	MeanRatio          float64 // mean response time divided by the mean ideal time
	P99Ratio           float64 // 99th percentile of the response times divided by that of the ideal
	MessagesPerTask    float64 // per task that started
	Tasks              int     // started
	NotRun             int
	Unknown            int
	StartedTwice       int           // tasks that started more than once
	FailingTargetShare float64       // share of the starts at the failing target in the 10 s after its first 20 failures
	Goodput            float64       // share of the slot time in the burst that was spent on jobs that completed
	TeamP99            time.Duration // 99th percentile of the response times of the team that does not flood
	MessageCounts      MessageCounts // messages by kind
}

// MessageCounts holds the number of messages by kind. A request and its reply are
// two messages.
type MessageCounts struct {
	Runs, Offers, Recalls, Asks, Seals, Claims, Inquiries, Forwards, Peers, Heartbeats int
}

func (c *MessageCounts) total() int {
	return c.Runs + c.Offers + c.Recalls + c.Asks + c.Seals + c.Claims + c.Inquiries + c.Forwards + c.Peers + c.Heartbeats
}

// Header is the head of a Markdown table with the columns of Result.Row.
const Header = "| workload | load | fault | strategy | mean | p99 | messages a task | complete | failed | notRun | unknown | twice |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

// Row formats the result as a line of a Markdown table.
func (r *Result) Row() string {
	fault := string(r.Fault)
	if r.SecondFault != "" {
		fault += " + " + string(r.SecondFault)
	}
	return fmt.Sprintf("| %s | %.0f%% | %s | %s | %.3f | %.3f | %.3f | %d | %d | %d | %d | %d |",
		r.Workload.Name, 100*r.Load, fault, r.Strategy, r.MeanRatio, r.P99Ratio, r.MessagesPerTask, r.Complete, r.Failed+r.Refused, r.NotRun, r.Unknown, r.StartedTwice)
}
