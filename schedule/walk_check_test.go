package schedule_test

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"masticbay/work"
)

var (
	walkSeeds = flag.Int("walkSeeds", 100, "number of seeds of TestRandomWalk")
	walkFrom  = flag.Uint64("walkFrom", 0, "first seed of TestRandomWalk")
	walkLines = flag.Int("walkLines", 40, "lines of the log that a failed walk prints")
)

// walkRegressions are seeds of walks that failed before a change, with what they failed for.
var walkRegressions = []struct {
	failure string
	seeds   []uint64
}{
	{"a gang exceeds the limit per worker", []uint64{3, 7}},
	{"a task waits for a rack that is full for good", []uint64{2, 24, 35}},
	{"a job whose starts were refused does not count as waiting", []uint64{73}},
	{"a task that failed waits for workers at their limit", []uint64{600, 981}},
	{"a task that failed waits for a worker that is full for good", []uint64{186, 2885}},
	{"a worker that is well again stays ejected", []uint64{347, 648}},
	{"a task that lasts waits for the probe of an ejected worker", []uint64{2538, 26082, 93124}},
	{"a task whose worker is lost avoids another one for too long", []uint64{20344, 67413}},
}

// TestWalkRegressions plays the walks that failed before.
func TestWalkRegressions(t *testing.T) {
	t.Parallel()
	for _, tc := range walkRegressions {
		for _, seed := range tc.seeds {
			checkWalk(t, seed, tc.failure)
		}
	}
}

// TestRandomWalk plays random workers, jobs and faults. For a longer walk: go test -run
// TestRandomWalk ./schedule -walkSeeds 100000.
func TestRandomWalk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*walkSeeds) {
		checkWalk(t, *walkFrom+seed, "random")
	}
}

func checkWalk(t *testing.T, seed uint64, name string) {
	w := newWalk(seed)
	if err := w.play(); err != nil {
		t.Errorf("seed %d (%s): %v\n%s", seed, name, err, strings.Join(w.log[max(0, len(w.log)-*walkLines):], "\n"))
	}
}

// checkStart checks whether a start is allowed.
func (w *walk) checkStart(x *walkWorker, j *walkJob, r work.Run) {
	step := &j.Steps[r.Task.Step]
	tk := &j.tasks[r.Task.Step][r.Task.Index]
	switch {
	case tk.run != nil:
		w.fail("%s starts beside %s", r, tk.run.Run)
	case tk.done:
		w.fail("%s starts after its end", r)
	case r.Number <= tk.number:
		w.fail("%s: number used before", r)
	case !j.Lasts && tk.failures >= j.Queue.MaxAttempts:
		w.fail("%s starts after %d failures", r, tk.failures)
	case step.Label != "" && !slices.Contains(x.Labels, step.Label):
		w.fail("%s starts without its label", r)
	case w.evacuated == x.Zone:
		w.fail("%s starts in an evacuated data centre", r)
	case !w.ready(j, r.Task.Step):
		w.fail("%s starts before its turn", r)
	case x.used()-x.others.CPU+step.Room.CPU > x.Capacity.CPU:
		w.fail("%s starts without room", r)
	case step.MaxPerOne > 0 && x.runsOf(j, r.Task.Step) >= step.MaxPerOne:
		w.fail("%s starts beyond maxPerOne", r)
	}
}

// used returns the CPU that is in use on a worker.
func (x *walkWorker) used() int {
	sum := x.others.CPU
	for _, r := range x.runs {
		sum += r.job.Steps[r.Task.Step].Room.CPU
	}
	return sum
}

// runsOf returns the number of runs of a step on a worker.
func (x *walkWorker) runsOf(j *walkJob, step int) (n int) {
	for _, r := range x.runs {
		if r.job == j && r.Task.Step == step {
			n++
		}
	}
	return n
}

func (w *walk) isMuted(x *walkWorker) bool { return w.now.Before(x.mutedUntil) }

// isWell reports whether a worker carries out starts.
func (w *walk) isWell(x *walkWorker) bool {
	return !w.isMuted(x) && !x.Draining && x.Zone != w.evacuated && !w.now.Before(x.failsUntil) && !w.now.Before(x.refusesUntil)
}

// ready reports whether the turn of a step has come.
func (w *walk) ready(j *walkJob, step int) bool {
	for _, earlier := range j.Steps[step].After {
		if slices.ContainsFunc(j.tasks[earlier], func(t walkTask) bool { return !t.done }) {
			return false
		}
	}
	return true
}

// hasRoomTwice reports whether what waits of a step would find room twice over, while at most
// half of the capacity is in use.
func (w *walk) hasRoomTwice(j *walkJob, step int) bool {
	s := &j.Steps[step]
	need, fit, used, capacity := 1, 0, 0, 0
	if s.Gang {
		need = s.Count
	}
	for _, x := range w.workers {
		if !w.isWell(x) {
			continue
		}
		used, capacity = used+x.used(), capacity+x.Capacity.CPU
		if s.Label != "" && !slices.Contains(x.Labels, s.Label) {
			continue
		}
		n := max(x.Capacity.CPU-x.used(), 0) / s.Room.CPU
		if s.MaxPerOne > 0 {
			n = min(n, s.MaxPerOne-x.runsOf(j, step))
		}
		fit += n
	}
	return fit >= 2*need && 2*used <= capacity
}

// checkWaits checks that no task waits for longer than it may.
func (w *walk) checkWaits() {
	for _, j := range w.jobs {
		running, room := false, false
		for step := range j.tasks {
			if !w.ready(j, step) {
				continue
			}
			roomHere := w.hasRoomTwice(j, step)
			for i := range j.tasks[step] {
				t := &j.tasks[step][i]
				running = running || t.run != nil
				waits := !t.done && t.run == nil && roomHere
				room = room || waits
				if !waits || !j.Lasts {
					t.waits = time.Time{}
					continue
				}
				if t.waits.IsZero() {
					t.waits = w.now
				}
				if w.now.Sub(t.waits) > walkBound && w.now.Sub(t.lastRun) > walkLastsBound {
					w.fail("task %d of %s, which lasts, has waited since %s", i, j.ID, t.waits.Format("05.00"))
				}
			}
		}
		if running || !room || j.Lasts {
			j.waits = time.Time{}
			continue
		}
		if j.waits.IsZero() {
			j.waits = w.now
		}
		if w.now.Sub(j.waits) > walkBound {
			w.fail("%s has waited since %s", j.ID, j.waits.Format("05.00"))
		}
	}
}

// checkPending checks that the jobs that have not begun are counted.
func (w *walk) checkPending() {
	reported := make(map[string]bool)
	for _, x := range w.workers {
		for _, e := range x.events {
			reported[e.Run.Task.Job] = true
		}
	}
	want, unclear := 0, 0
	for _, j := range w.jobs {
		runs := slices.ContainsFunc(j.tasks[0], func(t walkTask) bool { return t.run != nil })
		switch {
		case j.begun || runs:
		case reported[j.ID], j.unclear:
			unclear++
		default:
			want++
		}
	}
	got := 0
	for _, n := range w.c.Waiting() {
		got += n
	}
	if got < want || got > want+unclear {
		w.fail("%d jobs count as waiting, want %d to %d", got, want, want+unclear)
	}
}
