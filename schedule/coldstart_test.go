package schedule_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// The figures of slow start in these tests.
const (
	coldStart = 4 * time.Second
	coldRate  = 10.0
	overage   = 1.5
	slack     = 5.0
)

func newColdHarness(t *testing.T) *harness {
	h := newHarness(t)
	coldCfg := cfg
	coldCfg.ColdOverage, coldCfg.ColdSlack = overage, slack
	h.c = schedule.NewCore(coldCfg)
	return h
}

// coldJob is job for a service with figures of cold workers.
func coldJob(id string, tasks int, est time.Duration) work.Job {
	j := job(id, 0, tasks, est)
	j.Queue.ColdStart, j.Queue.ColdRate = coldStart, coldRate
	return j
}

// replayReturn plays a data centre of four workers that is taken back cold beside a warm worker,
// under 400 tasks of 100 ms per second. It returns the times of the starts by worker, counted from
// the return, and the number of tasks that ended.
func replayReturn(h *harness, newJob func(id string, tasks int, est time.Duration) work.Job) (starts map[string][]time.Duration, ended int) {
	const est = 100 * time.Millisecond
	names := []string{"c0", "c1", "c2", "c3", "warm"}
	begin := h.now
	h.addAgent("warm", 20)
	for _, name := range names[:4] {
		h.coldUntil[name] = begin.Add(coldStart)
		h.addAgent(name, 20)
	}
	starts = make(map[string][]time.Duration)
	ends := make(map[string]int)
	for step := range 600 {
		if step%2 == 0 {
			h.submit(newJob(strconv.Itoa(step), 8, est))
		}
		for _, name := range names {
			for ends[name] < len(starts[name]) && h.now.Sub(begin) >= starts[name][ends[name]]+est {
				h.endRun(name, h.starts[name][ends[name]], work.Done, est)
				ends[name]++
				ended++
			}
		}
		h.advance(10 * time.Millisecond)
		for _, name := range names {
			for len(starts[name]) < len(h.starts[name]) {
				starts[name] = append(starts[name], h.now.Sub(begin))
			}
		}
	}
	return starts, ended
}

// excess returns by how many starts the worst span exceeds the bound on starts at a cold worker.
func excess(starts []time.Duration) float64 {
	worst := 0.0
	for i := range starts {
		for k := i; k < len(starts) && starts[k] < coldStart; k++ {
			worst = max(worst, float64(k-i+1)-coldRate*overage*(starts[k]-starts[i]).Seconds()-slack)
		}
	}
	return worst
}

func countBetween(starts []time.Duration, from, to time.Duration) (n int) {
	for _, at := range starts {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// TestColdDataCentreIsFilledSlowly guards against a data centre that is taken back cold and whose
// free workers get all waiting tasks at once.
func TestColdDataCentreIsFilledSlowly(t *testing.T) {
	starts, ended := replayReturn(newColdHarness(t), coldJob)
	for _, name := range []string{"c0", "c1", "c2", "c3"} {
		s := starts[name]
		if over := excess(s); over > 0 {
			t.Errorf("%s: %.1f starts over the bound", name, over)
		}
		first, last, warm := countBetween(s, time.Second, 2*time.Second), countBetween(s, 3*time.Second, coldStart), countBetween(s, 5*time.Second, 6*time.Second)
		t.Logf("%s: %d, %d and %d starts in the seconds 2, 4 and 6; %d tasks ended", name, first, last, warm, ended)
		if first < int(coldRate)-1 || last <= first || warm <= 2*last {
			t.Errorf("%s: %d, %d and %d starts in the seconds 2, 4 and 6; want about %v at first, then more", name, first, last, warm, coldRate)
		}
	}
	// Without slow start, the same load exceeds the bound.
	starts, _ = replayReturn(newHarness(t), coldJob)
	if excess(starts["c0"]) <= 0 {
		t.Error("the load does not show the bound")
	}
}

// TestSlowStartOffLeavesPlacement guards against a changed placement where a field is missing.
func TestSlowStartOffLeavesPlacement(t *testing.T) {
	want, _ := replayReturn(newHarness(t), func(id string, tasks int, est time.Duration) work.Job { return job(id, 0, tasks, est) })
	noRate := func(id string, tasks int, est time.Duration) work.Job {
		j := coldJob(id, tasks, est)
		j.Queue.ColdRate = 0
		return j
	}
	noStart := func(id string, tasks int, est time.Duration) work.Job {
		j := coldJob(id, tasks, est)
		j.Queue.ColdStart = 0
		return j
	}
	for name, got := range map[string]map[string][]time.Duration{
		"no settings": first(replayReturn(newHarness(t), coldJob)),
		"no rate":     first(replayReturn(newColdHarness(t), noRate)),
		"no start":    first(replayReturn(newColdHarness(t), noStart)),
	} {
		if !maps.EqualFunc(got, want, slices.Equal[[]time.Duration]) {
			t.Errorf("%s: placement differs", name)
		}
	}
}

func first(starts map[string][]time.Duration, _ int) map[string][]time.Duration { return starts }

// TestColdRunsDoNotMarkTheWarmWorker guards against a worker that counts as slow after it has
// warmed up, and against one that counts as slow while it is cold before any end shows it.
func TestColdRunsDoNotMarkTheWarmWorker(t *testing.T) {
	h := newColdHarness(t)
	est := 100 * time.Millisecond
	h.coldUntil["a"] = h.now.Add(coldStart)
	h.addAgent("a", 20)
	expected := func(id string) (time.Duration, work.Run) {
		h.c.Submit(h.now, coldJob(id, 1, est), 0)
		s := h.c.Take().Starts["a"]
		if len(s) != 1 {
			t.Fatalf("%d starts of job %s", len(s), id)
		}
		return s[0].Expected, s[0].Run
	}
	var cold time.Duration
	for i := range 8 {
		var r work.Run
		if cold, r = expected(fmt.Sprint("cold", i)); i == 0 && cold != est {
			t.Errorf("%v expected before an end", cold)
		}
		h.endRun("a", r, work.Done, 3*est)
		h.advance(200 * time.Millisecond)
	}
	if cold < 3*est/2 {
		t.Errorf("%v expected on the cold worker, whose runs take %v", cold, 3*est)
	}
	h.advance(coldStart)
	if warm, _ := expected("warm"); warm != est {
		t.Errorf("%v expected on the warm worker, want %v", warm, est)
	}
}

// TestJobsBeyondColdWorkersAreRejectedAtOnce guards against jobs that are held, as the capacity of
// cold workers counts as free, and rejected late.
func TestJobsBeyondColdWorkersAreRejectedAtOnce(t *testing.T) {
	h := newColdHarness(t)
	h.coldUntil["a"] = h.now.Add(coldStart)
	h.addAgent("a", 100)
	h.advance(time.Second)
	for i := range 20 {
		h.submit(coldJob(strconv.Itoa(i), 2, 100*time.Millisecond))
	}
	h.wantOutcome("19", work.Rejected)
}

// TestJobWithoutFiguresLiftsNoBound guards against starts over the bound when entries of which some
// lack the figures submit jobs in turn, and against a bound that stays when the operator has
// removed it.
func TestJobWithoutFiguresLiftsNoBound(t *testing.T) {
	h := newColdHarness(t)
	h.coldUntil["a"] = h.now.Add(coldStart)
	h.addAgent("a", 100)
	for i := range 20 {
		h.submit(coldJob(fmt.Sprint("with", i), 4, time.Second))
		h.submit(job(fmt.Sprint("without", i), 0, 1, time.Second))
	}
	if n := len(h.starts["a"]); float64(n) > slack {
		t.Errorf("%d starts at once, want at most %v", n, slack)
	}
	h.coldUntil["a"] = h.now.Add(time.Minute)
	h.advance(6 * time.Second)
	before := len(h.starts["a"])
	h.submit(job("removed", 0, 20, time.Second))
	h.wantStarts("a", before+20)
}

// TestGangKeepsToTheBudgetOfAColdWorker guards against a gang that starts more runs on a cold
// worker than it may get.
func TestGangKeepsToTheBudgetOfAColdWorker(t *testing.T) {
	h := newColdHarness(t)
	h.coldUntil["a"] = h.now.Add(coldStart)
	h.addAgent("a", 100)
	j := coldJob("gang", 8, time.Second)
	j.Steps[0].Gang = true
	h.submit(j)
	h.wantStarts("a", 0)
	h.coldUntil["a"] = h.now
	h.advance(20 * time.Millisecond)
	h.wantStarts("a", 8)
}
