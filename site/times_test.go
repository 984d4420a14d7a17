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
