package schedule_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// simWorkers is the number of workers of a simulation, with simSlots tasks each.
const (
	simWorkers = 20
	simSlots   = 8
	simRunTime = 60 * time.Millisecond
)

// simulation plays jobs of two tasks and two attempts against a Core whose workers fail runs.
type simulation struct {
	*harness
	fails func(now time.Time, worker int, r work.Run) bool
	ends  []simEnd
}

type simEnd struct {
	at     time.Time
	worker int
	run    work.Run
	failed bool
}

// play submits a job every interval and returns the jobs that completed and failed.
func (s *simulation) play(span, interval time.Duration, jobID func(int) string) (completed, failed int) {
	for i := range simWorkers {
		s.addAgent("w"+strconv.Itoa(i), simSlots)
	}
	started := make([]int, simWorkers)
	begin := s.now
	for n := 0; s.now.Sub(begin) < span+time.Second; n++ {
		s.now = s.now.Add(interval)
		if s.now.Sub(begin) < span {
			s.submit(job(jobID(n), 0, 2, simRunTime))
		}
		for w := range simWorkers {
			name := "w" + strconv.Itoa(w)
			var events []schedule.Event
			s.ends = slices.DeleteFunc(s.ends, func(e simEnd) bool {
				if e.worker != w || e.at.After(s.now) {
					return false
				}
				end := work.Done
				if e.failed {
					end = work.Failed
				}
				events = append(events, schedule.Event{Run: e.run, End: end, Took: simRunTime})
				return true
			})
			if len(events) > 0 || n%10 == 0 {
				s.report(name, events...)
			}
		}
		s.c.Tick(s.now)
		s.collect()
		for w := range simWorkers {
			runs := s.starts["w"+strconv.Itoa(w)]
			for _, r := range runs[started[w]:] {
				e := simEnd{at: s.now.Add(simRunTime), worker: w, run: r, failed: s.fails(s.now, w, r)}
				if e.failed {
					e.at = s.now.Add(2 * time.Millisecond)
				}
				s.ends = append(s.ends, e)
			}
			started[w] = len(runs)
		}
	}
	for _, out := range s.outcomes {
		switch out.State {
		case work.Completed:
			completed++
		case work.JobFailed:
			failed++
		}
	}
	return completed, failed
}

// TestWorkersThatFailAllRunsCostNoJob guards against jobs that lose both attempts to workers
// that fail all they start for 6 s. They fail at once and so have the most free capacity.
func TestWorkersThatFailAllRunsCostNoJob(t *testing.T) {
	s := &simulation{harness: newHarness(t)}
	begin, probes := s.now, 0
	s.fails = func(now time.Time, worker int, _ work.Run) bool {
		bad := worker%7 == 0 && now.Sub(begin) > time.Second && now.Sub(begin) < 7*time.Second
		if bad {
			probes++
		}
		return bad
	}
	completed, failed := s.play(10*time.Second, 2*time.Millisecond, func(n int) string { return "j" + strconv.Itoa(n) })
	afterwards := 0
	for _, r := range s.starts["w7"] {
		if n, err := strconv.Atoi(r.Task.Job[1:]); err == nil && n > 4600 {
			afterwards++
		}
	}
	t.Logf("%d completed, %d failed, %d runs failed, %d runs on a failing worker after it is well", completed, failed, probes, afterwards)
	// All three fail from the same moment on. In the first 2 ms, nothing tells them from others.
	if failed > 1 || completed < 4990 || probes > 25 || afterwards < 10 {
		t.Errorf("%d completed, %d failed, %d runs failed, %d afterwards", completed, failed, probes, afterwards)
	}
}

// TestJobsThatCannotBeDoneCostNoWorker guards against healthy workers without tasks while a
// fifth of the jobs fails wherever it runs.
func TestJobsThatCannotBeDoneCostNoWorker(t *testing.T) {
	s := &simulation{harness: newHarness(t)}
	s.fails = func(_ time.Time, _ int, r work.Run) bool { return r.Task.Job[0] == 'f' }
	most, later := 0, 0
	completed, failed := s.play(10*time.Second, 2*time.Millisecond, func(n int) string {
		if most = max(most, s.c.Ejected()); n > 250 {
			later = max(later, s.c.Ejected())
		}
		if n%5 == 0 {
			return "f" + strconv.Itoa(n)
		}
		return "j" + strconv.Itoa(n)
	})
	t.Logf("%d completed, %d failed, at most %d ejected at once, %d after half a second", completed, failed, most, later)
	if completed < 3995 || failed < 995 || most > simWorkers/2 || later > 0 {
		t.Errorf("%d completed, %d failed, at most %d ejected at once, %d after half a second", completed, failed, most, later)
	}
}

// TestOnlyWorkerOfALabelIsUsedWhileEjected guards against tasks that are never placed, since
// the only worker that can run them is ejected.
func TestOnlyWorkerOfALabelIsUsedWhileEjected(t *testing.T) {
	h := newHarness(t)
	h.addAgent("a", 8, "x")
	h.addAgent("b", 8)
	labelled := func(id string) work.Job {
		j := job(id, 0, 1, 60*time.Millisecond)
		j.Steps[0].Label = "x"
		return j
	}
	for i := range 2 {
		j := labelled("j" + strconv.Itoa(i))
		j.Queue.MaxAttempts = 1
		h.submit(j)
		h.endRun("a", h.starts["a"][i], work.Failed, time.Millisecond)
	}
	if h.c.Ejected() != 1 {
		t.Fatalf("%d ejected, want 1", h.c.Ejected())
	}
	h.submit(labelled("after"))
	h.wantStarts("a", 3)
}

// TestStoredJobsReadmitAnEjectedWorker guards against a worker that is well again and gets no task
// for good, since all jobs are stored.
func TestStoredJobsReadmitAnEjectedWorker(t *testing.T) {
	h := newTenureHarness(t, 1, "a", "b", "c", "d")
	round := func(name string, bEnd work.End) {
		for i := range h.agents {
			h.restore(name+i, 1)
		}
		h.advanceConfirmed(50 * time.Millisecond)
		for _, agent := range []string{"b", "a", "c", "d"} {
			for ; len(h.starts[agent]) > 0; h.starts[agent] = h.starts[agent][1:] {
				end := work.Done
				if agent == "b" {
					end = bEnd
				}
				h.confirm(agent, 1, nil, schedule.Event{Run: h.starts[agent][0], End: end, Took: 50 * time.Millisecond})
			}
		}
	}
	for i := 0; h.c.Ejected() == 0 && i < 10; i++ {
		round("failing"+strconv.Itoa(i), work.Failed)
	}
	if h.c.Ejected() != 1 {
		t.Fatalf("%d workers ejected, want b", h.c.Ejected())
	}
	for i := range 60 {
		round("well"+strconv.Itoa(i), work.Done)
	}
	if h.c.Ejected() != 0 {
		t.Error("b is still ejected after 3 s")
	}
}
