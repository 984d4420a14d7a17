package diagnosis

import "strings"

// Cause is why a job was not served in time.
type Cause string

// The causes, in the order in which they are looked for.
const (
	EntryLost     Cause = "entry lost"
	HomeLost      Cause = "home lost"
	StoreAway     Cause = "store away"
	CallerGone    Cause = "caller gone"
	WorkerLost    Cause = "worker lost"
	WorkerFailing Cause = "failing worker"
	WorkerSlow    Cause = "slow worker"
	NoWorkers     Cause = "no workers"
	Evacuated     Cause = "data centre evacuated"
	Rejected      Cause = "rejected for the load"
	WaitedForRoom Cause = "waited for room"
	LongRun       Cause = "longer than estimated"
	Unexplained   Cause = "unexplained"
)

// causes lists the causes in the order of the table.
var causes = []Cause{EntryLost, HomeLost, StoreAway, CallerGone, WorkerLost, WorkerFailing, WorkerSlow, NoWorkers, Evacuated, Rejected, WaitedForRoom, LongRun, Unexplained}

// outcome is how a job ended for its caller.
type outcome int

const (
	inTime outcome = iota
	late
	rejected
	failed // no answer, or one that leaves open whether the job ran
)

// The limits by which a slow run and a long wait are recognised.
const (
	slowRunFactor  = 1.5 // run time over the expected one
	longWaitFactor = 0.3 // of the objective
)

// outcome returns how a job ended, by its last answer.
func (j *jobLines) outcome() outcome {
	answer, ended := j.last("answered"), j.last("jobEnded")
	switch {
	case answer == nil:
		return failed
	case answer.State == "rejected":
		return rejected
	case answer.State != "completed":
		return failed
	case ended != nil && ended.Objective > 0 && answer.Took > ended.Objective:
		return late
	}
	return inTime
}

// cause returns the first cause of the list that the job's lines show.
func (j *jobLines) cause() Cause {
	shows := func(match func(*line) bool) bool {
		for i := range j.lines {
			if match(&j.lines[i]) {
				return true
			}
		}
		return false
	}
	message := func(prefix string) func(*line) bool {
		return func(l *line) bool { return strings.HasPrefix(l.Message, prefix) }
	}
	reason := func(msg, text string) func(*line) bool {
		return func(l *line) bool { return l.Message == msg && strings.Contains(l.Reason, text) }
	}
	ended := j.last("jobEnded")
	switch {
	case shows(reason("job withdrawn", "out of contact")) && j.last("answered") == nil:
		return EntryLost
	case shows(message("home lost with a job")), shows(reason("answered", "no entry acts as home")):
		return HomeLost
	case shows(reason("answered", "store")), shows(message("state not known")):
		return StoreAway
	case shows(reason("answered", "caller")):
		return CallerGone
	case shows(reason("answered", "evacuated")):
		return Evacuated
	case shows(reason("runEnded", "lapsed")):
		return WorkerLost
	case shows(reason("runEnded", "failed")), shows(func(l *line) bool {
		return l.Message == "runEnded" && strings.Contains(l.Reason, "refused") && !strings.Contains(l.Reason, "evacuated")
	}):
		return WorkerFailing
	case shows(message("runGivenUp")), shows(message("runMoved")):
		return WorkerSlow
	case shows(reason("answered", "no worker")):
		return NoWorkers
	case j.outcome() == rejected:
		return Rejected
	case ended != nil && ended.LastWait > longWaitFactor*ended.Objective:
		return WaitedForRoom
	case ended != nil && ended.LastRun > slowRunFactor*ended.LastExpected:
		return LongRun
	}
	return Unexplained
}

// last returns the last line of a job with a message, or nil.
func (j *jobLines) last(message string) *line {
	for i := len(j.lines) - 1; i >= 0; i-- {
		if j.lines[i].Message == message {
			return &j.lines[i]
		}
	}
	return nil
}
