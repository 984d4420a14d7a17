package ejection_test

import (
	"fmt"
	"testing"
	"time"

	"masticbay/ejection"
	"masticbay/work"
)

var start = time.Unix(1000, 0)

func run(job, number int) work.Run {
	return work.Run{Task: work.TaskRef{Job: fmt.Sprint(job)}, Number: number}
}

// loads returns workers w0, w1 and so on with a capacity of 10 each, of which a part is used.
func loads(workers int, used float64) []ejection.Load {
	l := make([]ejection.Load, workers)
	for i := range l {
		l[i] = ejection.Load{Worker: fmt.Sprint("w", i), Capacity: 10, Used: used}
	}
	return l
}

// TestFailingWorkerIsProbed guards against a worker that fails all it starts and gets task
// after task, and against one that is well again and gets none.
func TestFailingWorkerIsProbed(t *testing.T) {
	tr, now := ejection.NewTracker(), start
	for i := range 2 {
		if tr.Ejected("w0") {
			t.Fatal("ejected after one failure")
		}
		tr.Failed(now, "w0", "q", run(i, 1), now)
		tr.Review(now, loads(4, 1))
	}
	if !tr.Ejected("w0") || tr.ProbeDue(now, "w0") {
		t.Fatalf("ejected %t, probe due %t", tr.Ejected("w0"), tr.ProbeDue(now, "w0"))
	}
	for i, want := range []time.Duration{500, 1000, 2000, 2000} {
		now = now.Add(want*time.Millisecond - 1)
		if tr.ProbeDue(now, "w0") {
			t.Fatalf("probe %d due before %d ms", i, want)
		}
		if now = now.Add(1); !tr.ProbeDue(now, "w0") {
			t.Fatalf("probe %d not due after %d ms", i, want)
		}
		tr.Probing(now, "w0", run(10+i, 1))
		if tr.ProbeDue(now, "w0") {
			t.Fatal("two probes at once")
		}
		tr.Failed(now, "w0", "q", run(10+i, 1), now)
	}
	now = now.Add(2 * time.Second)
	tr.Probing(now, "w0", run(20, 1))
	if tr.Done(now, "w0", "q", run(19, 1), now) || !tr.Done(now, "w0", "q", run(20, 1), now) || tr.Ejected("w0") {
		t.Fatal("want readmission by the end of the probe, and by no other")
	}
	tr.Failed(now, "w0", "q", run(30, 1), now)
	if tr.Review(now, loads(4, 1)); !tr.Ejected("w0") {
		t.Error("not ejected by the first failure on probation")
	}
}

// TestLostProbeIsRepeated guards against a worker that stays ejected for good, since its probe
// was refused, was lost, or never ended.
func TestLostProbeIsRepeated(t *testing.T) {
	tr, now := ejection.NewTracker(), start
	tr.Failed(now, "w0", "q", run(1, 1), now)
	tr.Failed(now, "w0", "q", run(2, 1), now)
	tr.Review(now, loads(4, 1))
	now = now.Add(time.Second)
	tr.Probing(now, "w0", run(3, 1))
	tr.Unproven(now, "w0", run(3, 1))
	if now = now.Add(time.Second); !tr.ProbeDue(now, "w0") {
		t.Error("no probe after one that was refused")
	}
	tr.Probing(now, "w0", run(4, 1))
	if now = now.Add(10 * time.Second); !tr.ProbeDue(now, "w0") {
		t.Error("no probe after one without an end")
	}
}

// TestFailuresOfOneJobCountOnce guards against a healthy worker that is ejected for a job
// with many tasks that can't be done.
func TestFailuresOfOneJobCountOnce(t *testing.T) {
	tr := ejection.NewTracker()
	for i := range 8 {
		r := run(1, 1)
		r.Task.Index = i
		tr.Failed(start, "w0", "q", r, start)
	}
	if tr.Review(start, loads(4, 1)); tr.Ejected("w0") {
		t.Error("ejected for one job")
	}
}

// TestTasksThatFailEverywhereEjectNoWorker guards against healthy workers that are ejected
// while a third of all jobs can't be done anywhere. Two consecutive failures on a worker,
// as counted before, come every few runs then.
func TestTasksThatFailEverywhereEjectNoWorker(t *testing.T) {
	const workers = 20
	tr, now := ejection.NewTracker(), start
	ejections, late, consecutive := 0, 0, 0
	type retry struct {
		worker string
		run    work.Run
	}
	var retries []retry
	failures := make(map[string]int)
	for job := range 4000 {
		now = now.Add(2 * time.Millisecond)
		usable := func(k int) string {
			for tr.Ejected(fmt.Sprint("w", k%workers)) && !tr.ProbeDue(now, fmt.Sprint("w", k%workers)) {
				k++
			}
			return fmt.Sprint("w", k%workers)
		}
		first, second := usable(job*7), usable(job*7+3)
		tr.Probing(now, first, run(job, 1))
		if job%3 != 0 && job%7 != 0 {
			tr.Done(now, first, "q", run(job, 1), now)
			failures[first] = 0
			continue
		}
		tr.Failed(now, first, "q", run(job, 1), now)
		if failures[first]++; failures[first] == 2 {
			consecutive++
		}
		for _, c := range tr.Review(now, loads(workers, 5)) {
			if c.Ejected {
				if ejections++; job > 400 {
					late++
				}
			}
		}
		retries = append(retries, retry{second, run(job, 2)})
		if len(retries) > 20 { // the second attempt fails later
			tr.Failed(now, retries[0].worker, "q", retries[0].run, now)
			retries = retries[1:]
		}
	}
	t.Logf("%d ejections, %d after the first 400 jobs; %d times two consecutive failures", ejections, late, consecutive)
	if late > 0 || ejections > workers/2 || tr.Count() > 0 {
		t.Errorf("%d ejections, %d after the first 400 jobs, %d at the end", ejections, late, tr.Count())
	}
}

// TestEjectionIsBounded guards against ejections that leave the others without the capacity
// for the load, or leave less than half of it at all.
func TestEjectionIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name       string
		failures   int // of each worker
		used, want float64
	}{
		{"little load", 2, 1, 5},
		{"load of eight workers", 2, 7, 2},
		{"full load", 2, 10, 0},
		{"full load, overwhelming evidence", 5, 10, 5},
	} {
		tr := ejection.NewTracker()
		for i := range 10 {
			for n := range tc.failures {
				tr.Failed(start, fmt.Sprint("w", i), "q", run(10*i+n, 1), start)
			}
		}
		l := loads(10, tc.used)
		tr.Review(start, l)
		tr.Review(start, l)
		if got := tr.Count(); got != int(tc.want) {
			t.Errorf("%s: %d of 10 ejected, want %v", tc.name, got, tc.want)
		}
	}
}

// TestWorkerThatRestartsAgainAndAgainIsEjected guards against a worker that loses its runs
// every second, where short runs are done between.
func TestWorkerThatRestartsAgainAndAgainIsEjected(t *testing.T) {
	tr, now := ejection.NewTracker(), start
	for i := range 6 {
		tr.Lost(now, "w0")
		tr.Restarted(now.Add(500*time.Millisecond), "w0")
		tr.Review(now, loads(4, 1))
		if want := i >= 1; tr.Ejected("w0") != want {
			t.Fatalf("after %d restarts: ejected %t", i+1, !want)
		}
		now = now.Add(time.Second)
		if tr.ProbeDue(now, "w0") {
			t.Fatal("probe due at a worker that is up for half a second")
		}
		tr.Done(now, "w0", "q", run(i, 1), now)
	}
	if now = now.Add(2 * time.Second); !tr.ProbeDue(now, "w0") {
		t.Fatal("no probe at a worker that has stayed up")
	}
	tr.Probing(now, "w0", run(9, 1))
	if tr.Done(now, "w0", "q", run(9, 1), now); tr.Ejected("w0") {
		t.Error("not readmitted")
	}
}

// TestOneRestartIsNoEvidence guards against the ejection of workers that were replaced once.
func TestOneRestartIsNoEvidence(t *testing.T) {
	tr := ejection.NewTracker()
	tr.Failed(start, "w0", "q", run(1, 1), start)
	tr.Restarted(start, "w0")
	tr.Failed(start, "w0", "q", run(2, 1), start)
	if tr.Review(start, loads(4, 1)); tr.Ejected("w0") {
		t.Error("ejected for one failure of each of two incarnations")
	}
}
