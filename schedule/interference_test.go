package schedule_test

import (
	"math"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"masticbay/interference"
	"masticbay/schedule"
	"masticbay/work"
)

// importPair lets the queues of two priorities slow each other down by a factor.
func (h *harness) importPair(kind, beside int, factor float64) {
	h.c.ImportPairs(h.now, []interference.Pair{{Kind: "q" + strconv.Itoa(kind), Beside: "q" + strconv.Itoa(beside), Factor: factor, Confidence: 10}})
}

// TestInterferingKindsAreKeptApart guards against placements beside an interfering kind while
// another worker has room, in either direction.
func TestInterferingKindsAreKeptApart(t *testing.T) {
	for _, slowed := range []int{0, 1} {
		h := newHarness(t)
		h.addAgent("a", 4)
		h.addAgent("b", 1) // has less free CPU, so that a is preferred without interference
		h.importPair(slowed, 1-slowed, 1.3)
		h.submit(job("first", 0, 1, 100*time.Millisecond))
		h.wantStarts("a", 1)
		h.submit(job("second", 1, 1, 100*time.Millisecond))
		h.wantStarts("b", 1)
	}
}

// TestInterferenceDelaysNoStart guards against tasks that wait, or go to a worker on which
// they are late, to avoid interference.
func TestInterferenceDelaysNoStart(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 4)
	h.importPair(1, 0, 5)
	h.submit(job("first", 0, 1, 100*time.Millisecond))
	h.submit(job("second", 1, 1, 100*time.Millisecond)) // late by the factor, but there is no other worker
	h.wantStarts("a", 2)

	h = newHarness(t)
	h.addAgent("slow", 4, "a")
	h.teachSlowness("slow", 3)
	h.addAgent("fast", 4, "b")
	h.starts = make(map[string][]work.Run)
	h.importPair(1, 0, 1.1)
	h.submit(job("first", 0, 1, 900*time.Millisecond))
	h.wantStarts("fast", 1)
	h.submit(job("second", 1, 1, 900*time.Millisecond)) // late on the slow worker
	h.wantStarts("fast", 2)
}

// TestRunningJobIsNotMadeLate guards against a new task that makes a running one late while a
// worker has room on which it makes none late.
func TestRunningJobIsNotMadeLate(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 2)
	h.addAgent("b", 2)
	h.importPair(0, 1, 2)
	h.submit(job("long", 0, 1, 900*time.Millisecond)) // 1,800 ms by the factor, late for 1,500 ms
	h.submit(job("short", 0, 1, 20*time.Millisecond))
	if len(h.starts["a"]) != 1 || len(h.starts["b"]) != 1 {
		t.Fatalf("starts %v", h.starts)
	}
	long := "a"
	if h.starts["b"][0].Task.Job == "long" {
		long = "b"
	}
	h.submit(job("new", 1, 1, 60*time.Millisecond))
	h.wantStarts(long, 1)
}

// TestHomeFindsInterference guards against evidence that is lost between placement and the
// end of runs, and against a change of home that loses the pairs.
func TestHomeFindsInterference(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	h := newHarness(t)
	h.now = h.now.Add(time.Second)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	for _, name := range names {
		h.addAgent(name, 3)
	}
	runs := 0
	running := make(map[string][]work.Run) // of queue 1
	for n := 0; n < 400 && h.c.NumInterferingPairs() == 0; n++ {
		h.now = h.now.Add(10 * time.Millisecond)
		h.starts = make(map[string][]work.Run)
		h.submit(job("b"+strconv.Itoa(n), 1, 1+rng.Intn(6), 100*time.Millisecond))
		for _, name := range names {
			running[name] = append(running[name], h.starts[name]...)
		}
		h.starts = make(map[string][]work.Run)
		h.submit(job("a"+strconv.Itoa(n), 0, 12, 100*time.Millisecond))
		estimateError := math.Exp(0.4 * rng.NormFloat64())
		for _, name := range names {
			for _, r := range h.starts[name] {
				took := 100 * estimateError * math.Exp(0.15*rng.NormFloat64())
				if len(running[name]) > 0 {
					took *= 1.3
				}
				h.endRun(name, r, work.Done, time.Duration(took*float64(time.Millisecond)))
				runs++
			}
		}
		for _, name := range names {
			var left []work.Run
			for _, r := range running[name] {
				if rng.Float64() < 0.4 {
					left = append(left, r)
					continue
				}
				h.endRun(name, r, work.Done, 100*time.Millisecond)
			}
			running[name] = left
		}
	}
	// The slowness of the workers contains a part of the interference.
	pairs := h.c.InterferingPairs(16)
	if len(pairs) != 1 || pairs[0].Kind != "q0" || pairs[0].Beside != "q1" || pairs[0].Factor < 1.1 || pairs[0].Factor > 1.45 {
		t.Fatalf("found %+v after %d runs", pairs, runs)
	}
	t.Logf("found after %d runs: %+v", runs, pairs[0])
	next := schedule.NewCore(cfg)
	next.ImportPairs(h.now, pairs)
	next.Tick(h.now.Add(time.Second))
	if notes := next.Take().Notes; next.NumInterferingPairs() != 1 || len(notes) != 1 || notes[0].Kind != "interferenceFound" {
		t.Errorf("the new home knows %d pairs, notes %+v", next.NumInterferingPairs(), notes)
	}
}
