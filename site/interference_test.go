package site

import (
	"math"
	"testing"
	"time"

	"masticbay/interference"
	"masticbay/roster"
)

// TestNewHomeTakesPairs guards against a new home that doesn't know the pairs of the lost one,
// and against pairs of a malformed greeting, or of an entry that is no home.
func TestNewHomeTakesPairs(t *testing.T) {
	e := testEntry()
	e.homeReports, e.stamps, e.sentPairs = make(map[string]homeReport), make(map[string]peerStamp), make(map[string]sentPairs)
	e.home = newHome(e)
	defer e.home.close()
	pair := interference.Pair{Kind: "a", Beside: "b", Factor: 1.3, Confidence: 7}
	greet := func(name string, term uint64, pairs ...interference.Pair) {
		m := roster.Member{Name: name, Address: name, Life: "life-" + name, Term: term}
		e.takeGreeting(time.Time{}, &GreetReply{Member: m, Interference: pairs})
	}
	invalid := pair
	invalid.Factor = math.NaN()
	greet("e2", 1, invalid)
	greet("e3", 1, make([]interference.Pair, maxSentPairs+1)...)
	greet("e4", 0, pair)
	h := e.home
	h.mu.Lock()
	defer h.mu.Unlock()
	h.importPairs(e.now())
	if n := h.core.NumInterferingPairs(); n != 0 {
		t.Errorf("%d pairs of malformed greetings", n)
	}
	h.mu.Unlock()
	greet("e2", 1, pair)
	h.mu.Lock()
	h.importPairs(e.now())
	h.publishStatus(e.now())
	if got := h.status.Load().pairs; len(got) != 1 || got[0].Kind != "a" || got[0].Beside != "b" {
		t.Errorf("the new home passes on %+v", got)
	}
}
