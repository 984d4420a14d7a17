package site

import (
	"testing"
	"time"
)

// messageTime is far above the round trip between data centres, dialing included.
const messageTime = 20 * time.Millisecond

// TestLostMessagesAreRepeatedInTime checks that one message on a silent connection does
// not cost a home or an entry its contact: the message is repeated on a new connection
// before the contact times out.
func TestLostMessagesAreRepeatedInTime(t *testing.T) {
	if d := maxSyncWait + syncSlack + syncRetryInterval + messageTime; d >= stopRunsAfter {
		t.Errorf("an exchange is repeated after %v, want it before an agent stops the home's runs, %v", d, stopRunsAfter)
	}
	if d := maxHomeGreetInterval + greetAnswerTimeout + messageTime; d >= homeContactTimeout {
		t.Errorf("a greeting is repeated after %v, want it before the home counts as lost, %v", d, homeContactTimeout)
	}
}

// retransmitDelay is the shortest time after which callers of a lost entry submit again.
const retransmitDelay = 1300 * time.Millisecond

// TestRunOutlastsWhatOthersAssume guards against a double run: each bound after which a
// process treats a run as ended must cover the chain of bounds that end it, with a stop
// that the worker never carries out.
func TestRunOutlastsWhatOthersAssume(t *testing.T) {
	const (
		clockDrift = 0.03
		latency    = 4 * time.Millisecond
	)
	leaseEnds := time.Duration(float64(workerLease)*(1+clockDrift)) + latency
	homeLost := renewContactAge + leaseEnds // since the last contact of the home and the agent
	entryLost := withdrawnRunsStopAfter + latency + workerStopTime + leaseEnds
	for _, tc := range []struct {
		name         string
		ends, assume time.Duration
	}{
		{"a home gives up the runs of a silent agent", homeLost, runsLostAfter},
		{"a home gives up the stored runs of a silent agent", stopStoredRunsAfter + agentTickInterval + leaseEnds, storedRunsLostAfter},
		{"a caller submits again after its entry, the home, was lost", homeLost, retransmitDelay},
		{"a caller submits again after its entry, not the home, was lost", entryLost, retransmitDelay},
		{"a caller submits again after its entry and then the home were lost", withdrawnRunsStopAfter + latency + homeLost, retransmitDelay},
		{"a home takes over a job, an agent is out of contact with both homes", withdrawnRunsStopAfter + latency + homeLost, RunsOfLostHomeEndAfter},
		{"a home begins its term, an agent is out of contact with all homes", withdrawnRunsStopAfter + latency + homeLost, formerRunsEndAfter},
		{"another holder of the ledger goes on without an agent", tenureDuration + agentTickInterval + leaseEnds, previousRunsEndAfter},
	} {
		if tc.ends > tc.assume {
			t.Errorf("%s after %v, but a run may last until %v", tc.name, tc.assume, tc.ends)
		}
	}
}

// finishTime is the users' bound on the time from the end of the load until every accepted job runs
// or has ended.
const finishTime = 14 * time.Second

// TestUnansweredStartIsDecidedTooLate guards against a task whose start was on its way to a lost
// worker, and which is still waiting when the users ask for it.
func TestUnansweredStartIsDecidedTooLate(t *testing.T) {
	const longestLease = time.Second
	lastRenewal := workerContactTimeout + pollWait + pollSlack
	decided := lastRenewal + orderDelay + longestLease*103/100 + agentTickInterval
	if decided > finishTime {
		t.Errorf("a start is decided %v after its worker was lost, later than the users' bound of %v", decided, finishTime)
	}
}
