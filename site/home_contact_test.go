package site

import (
	"context"
	"testing"
	"time"

	"masticbay/work"
)

// TestHeldUpFirstGreetingRenewsContact guards against a double run: the first greeting of an entry,
// which has no echo yet, arrives late and counts as contact at that moment.
func TestHeldUpFirstGreetingRenewsContact(t *testing.T) {
	e := testEntry()
	h := newHome(e)
	defer h.close()
	echo := toStamp(e.now().Add(-withdrawJobsAfter - time.Millisecond))
	h.recordContact("entry-2", 0, echo)
	h.recordContact("entry-2", 0, 0)
	if c := h.entries["entry-2"].lastContact; c.After(fromStamp(echo)) {
		t.Errorf("contact %v after the last echo by a message without one", c.Sub(fromStamp(echo)))
	}
}

// TestHeldUpCallIsTaken guards against a double run: a call that its entry has given up arrives
// after later messages of the entry, and its job is started here as well as at another home.
func TestHeldUpCallIsTaken(t *testing.T) {
	e := testEntry()
	h := newHome(e)
	defer h.close()
	sent := e.now().Add(-withdrawJobsAfter - time.Millisecond)
	h.recordContact("entry-2", 0, toStamp(e.now()))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	args := RunArgs{Entry: "entry-2", Call: 1, Home: e.life, Echo: toStamp(sent), Job: work.Job{ID: "j", Left: time.Minute, Steps: []work.Step{{Count: 1}}}}
	if out, moved := h.run(ctx, &args); !moved {
		t.Errorf("the call was taken: %+v", out)
	}
}
