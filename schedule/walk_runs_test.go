package schedule_test

import (
	"slices"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// This file carries out the decisions of the Core in a walk, and ends the runs.

// endRuns ends the runs whose time has come, and those of workers that are out of contact.
func (w *walk) endRuns() {
	for _, x := range w.workers {
		lapsed := w.now.Sub(x.lastReport) > walkLease
		for _, r := range slices.Clone(x.runs) {
			switch {
			case !slices.Contains(x.runs, r): // ended with its gang
			case lapsed:
				w.endRun(r, work.Lapsed)
			case !w.isMuted(x) && !r.endsAt.IsZero() && !w.now.Before(r.endsAt):
				w.endRun(r, r.end)
			}
		}
	}
}

// endRun ends a run, and those of its gang if it was not done.
func (w *walk) endRun(r *walkRun, end work.End) {
	x := r.worker
	x.runs = slices.DeleteFunc(x.runs, func(o *walkRun) bool { return o == r })
	x.seq++
	x.events = append(x.events, schedule.Event{Seq: x.seq, Run: r.Run, End: end, Took: w.now.Sub(r.start), Stored: r.job.Stored, Reason: reasonOf(end)})
	r.job.unclear = r.job.unclear || end == work.Refused && w.isMuted(x)
	r.job.begun = r.job.begun || end != work.Refused && end != work.Alone
	step := &r.job.Steps[r.Task.Step]
	tk := &r.job.tasks[r.Task.Step][r.Task.Index]
	tk.run, tk.lastRun = nil, w.now
	switch end {
	case work.Done:
		tk.done = true
	case work.Failed:
		tk.failures++
	}
	if !step.Gang || end == work.Done {
		return
	}
	for i := range r.job.tasks[r.Task.Step] {
		if o := r.job.tasks[r.Task.Step][i].run; o != nil {
			w.endRun(o, work.Broken)
		}
	}
}

func reasonOf(end work.End) string {
	if end == work.Refused {
		return "unwell"
	}
	return ""
}

// report sends the reports of the agents that are in contact.
func (w *walk) report() {
	for _, x := range w.workers {
		if w.isMuted(x) {
			continue
		}
		events := x.events
		x.events, x.lastReport = nil, w.now
		w.c.Report(w.now, x.agent, &schedule.Report{Life: "1", Target: x.Target, Ready: true, Settled: true, Others: x.others, Events: events, Epoch: 1, Asked: true})
		w.take()
	}
}

// take carries out the decisions of the Core.
func (w *walk) take() {
	d := w.c.Take()
	for _, x := range w.workers {
		for _, r := range d.Stops[x.agent] {
			if i := slices.IndexFunc(x.runs, func(o *walkRun) bool { return o.Run == r }); i >= 0 && !w.isMuted(x) {
				w.endRun(x.runs[i], work.Stopped)
			}
		}
		for i := range d.Starts[x.agent] {
			w.start(x, &d.Starts[x.agent][i])
		}
	}
	for _, n := range d.Notes {
		if n.Kind == "taskWaits" || n.Run == (work.Run{}) && n.Agent != "" {
			w.note("%s %s%s: %s", n.Kind, n.Job, n.Agent, n.Reason)
		}
	}
	for _, j := range w.jobs {
		w.checkGang(j)
	}
	for _, out := range d.Outcomes {
		w.takeOutcome(out)
	}
}

func (w *walk) takeOutcome(out schedule.JobOutcome) {
	j := w.byID[out.Job]
	w.note("%s: %s %s", j.ID, out.Outcome.State, out.Outcome.Reason)
	if out.Outcome.State == work.Rejected && (j.started || j.Stored) {
		w.fail("%s rejected after a start", j.ID)
	}
	w.jobs = slices.DeleteFunc(w.jobs, func(o *walkJob) bool { return o == j })
}

// start carries out a start.
func (w *walk) start(x *walkWorker, s *work.Start) {
	j := w.byID[s.Run.Task.Job]
	step := &j.Steps[s.Run.Task.Step]
	tk := &j.tasks[s.Run.Task.Step][s.Run.Task.Index]
	w.note("%s starts on %s", s.Run, x.agent)
	w.checkStart(x, j, s.Run)
	j.started = true
	r := &walkRun{Run: s.Run, job: j, worker: x, start: w.now}
	x.runs = append(x.runs, r)
	tk.run, tk.number = r, s.Run.Number
	tk.waits, j.waits = time.Time{}, time.Time{}
	if w.now.Before(x.refusesUntil) {
		w.endRun(r, work.Refused)
		return
	}
	took := time.Duration(float64(step.Estimate) * x.slowness)
	r.end = work.Done
	if w.now.Before(x.failsUntil) || w.rng.Float64() < j.flaky {
		took, r.end = time.Duration(w.rng.IntN(300))*time.Millisecond, work.Failed
	}
	if !j.Lasts || r.end == work.Failed {
		r.endsAt = w.now.Add(took)
	}
}

// checkGang checks that the tasks of a gang run together, and lets them end together.
func (w *walk) checkGang(j *walkJob) {
	if !j.Steps[0].Gang {
		return
	}
	var latest time.Time
	n := 0
	for i := range j.tasks[0] {
		if r := j.tasks[0][i].run; r != nil {
			n++
			if r.end == work.Done && r.endsAt.After(latest) {
				latest = r.endsAt
			}
		}
	}
	for i := range j.tasks[0] {
		r := j.tasks[0][i].run
		switch {
		case r == nil:
		case n < len(j.tasks[0]): // a member was refused
			w.endRun(r, work.Alone)
		case r.end == work.Done:
			r.endsAt = latest
		}
	}
}
