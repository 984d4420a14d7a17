package site

import (
	"flag"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"masticbay/worker"
)

// lateOrders are the faults of a walk whose workers leave orders unanswered, carry them out late, also
// as another incarnation, and list few ends at a time.
type lateOrders struct {
	rng   *rand.Rand
	limit int // of the ends in a list
	// ofLostAgents is set if late starts of an agent that has restarted are carried out, too.
	ofLostAgents bool
}

func newLateOrders(seed uint64) *lateOrders {
	l := &lateOrders{rng: rand.New(rand.NewPCG(seed, 61)), limit: 500}
	if l.rng.IntN(3) == 0 {
		l.limit = 1 + l.rng.IntN(4)
	}
	return l
}

// listedEnds returns the most ends in a list of a worker.
func (l *lateOrders) listedEnds() int {
	if l == nil {
		return math.MaxInt
	}
	return l.limit
}

// holdUp decides whether an order gets no answer. It is lost, carried out at once, or late.
func (w *exchangeWalk) holdUp(x *exchangeAgent, o *worker.Order) bool {
	rng := w.late.rng
	if w.calm || rng.IntN(100) >= 20 {
		return false
	}
	switch n := rng.IntN(10); {
	case n < 1: // lost
	case n < 3:
		w.take(x, o)
	default:
		a := x.a
		w.after(2*time.Second+time.Duration(rng.Int64N(int64(orderDelay-2*time.Second))), func() {
			if x.a == a || w.late.ofLostAgents {
				w.takeLate(x, o)
			}
		})
	}
	if a, r := x.a, o.Start.Run; !o.Stop {
		w.note("%s leaves the start of %v unanswered", x.name, r)
		w.after(orderTimeout, func() {
			if x.a == a {
				a.guard.Unanswered(w.now(), r)
			}
		})
	}
	return true
}

// takeLate has a worker take an order late, perhaps just after it has restarted.
func (w *exchangeWalk) takeLate(x *exchangeAgent, o *worker.Order) {
	rng := w.late.rng
	switch rng.IntN(4) {
	case 0, 1:
		w.restartWorker(x, x.id)
	case 2:
		if rng.IntN(2) == 0 {
			w.restartWorker(x, x.id+"'")
			w.restartWorker(x, o.Worker)
		}
	}
	reason := w.take(x, o)
	w.note("%s takes the order of %v late, stop %t: %q", x.name, o.Start.Run, o.Stop, reason)
}

func (w *exchangeWalk) restartWorker(x *exchangeAgent, id string) {
	if id == "" {
		id = x.id // the order names no worker
	}
	w.update(x)
	w.note("worker of %s restarts as %s", x.name, id)
	w.startWorker(x, id, time.Second)
	x.a.guard.PollFailed(w.now()) // its connections are reset
	w.after(time.Duration(w.late.rng.IntN(1500))*time.Millisecond, func() { w.sendHeartbeat(x) })
}

// TestRandomLateStarts guards against a task that starts twice since a worker carries out a start late, as
// another incarnation: orders get no answer while homes, agents and workers restart. For a longer walk:
// go test -run TestRandomLateStarts ./site -lateSeeds 100000 -timeout 120m.
func TestRandomLateStarts(t *testing.T) {
	testLateStarts(t, false)
}

var lateSeeds = flag.Int("lateSeeds", 15, "number of seeds of TestRandomLateStarts, from exchangeFrom on")

var runKnownRed = flag.Bool("red", false, "run the tests that KNOWN-RED.txt lists")

// TestRandomLateStartsOfLostAgents is TestRandomLateStarts with starts of agents that have restarted and
// do not know any more which of their starts were not answered.
func TestRandomLateStartsOfLostAgents(t *testing.T) {
	if !*runKnownRed {
		t.Skip("KNOWN-RED.txt, 50")
	}
	testLateStarts(t, true)
}

func testLateStarts(t *testing.T, ofLostAgents bool) {
	parts := runtime.GOMAXPROCS(0)
	for part := range parts {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			for i := part; i < *lateSeeds; i += parts {
				seed := *exchangeFrom + uint64(i)
				late := newLateOrders(seed)
				late.ofLostAgents = ofLostAgents
				checkWalk(t, seed, newExchangeWalk(seed, late))
			}
		})
	}
}

// lateStartRegressions are seeds of walks that failed before a change, with what they failed for.
var lateStartRegressions = []struct {
	failure string
	seeds   []uint64
}{
	{"a start is taken for void by a list", []uint64{6, 14, 22, 30, 38, 46, 54, 62, 73, 140, 142, 259}},
	{"the first poll of a restarted worker drops ends", []uint64{202, 250, 330, 386, 394, 810, 1010, 1074, 1130, 1314}},
}

// TestLateStartRegressions plays the walks that failed before.
func TestLateStartRegressions(t *testing.T) {
	for _, tc := range lateStartRegressions {
		t.Run(tc.failure, func(t *testing.T) {
			t.Parallel()
			for _, seed := range tc.seeds {
				checkWalk(t, seed, newExchangeWalk(seed, newLateOrders(seed)))
			}
		})
	}
}
