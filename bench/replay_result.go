package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"masticbay/work"
)

// ReplayResult tells how a replay went.
type ReplayResult struct {
	Pattern string
	Queues  []QueueResult
	Windows []float64 // by resultWindow: the part of the worth that was earned
	Whole   float64   // part of the worth that was earned
	Starts  int
	Wasted  time.Duration // work at slowness 1 that was stopped or lost
}

// QueueResult counts the jobs of a queue.
type QueueResult struct {
	Name                            string
	Asked, InTime, Late, Never, Rej int     // Never: answered too late, failed or not at all
	Part                            float64 // of the worth that was earned
}

// As the users count: the worst two windows of 2 s, an answer that is late by up
// to three times the objective is worth a fifth, and a later one nothing.
const (
	resultWindow = 2 * time.Second
	worstWindows = 2
	latePart     = 0.2
	lateTimes    = 3
)

// Worth weighs a result as Retour-Plateau does: the whole day, the worst
// windows, the worst queue.
func (r *ReplayResult) Worth() float64 {
	worst := r.Queues[0].Part
	for _, q := range r.Queues {
		worst = min(worst, q.Part)
	}
	return 0.35*r.Whole + 0.5*r.WorstWindows() + 0.15*worst
}

// WorstWindows returns the mean of the worst windows.
func (r *ReplayResult) WorstWindows() float64 {
	sorted := slices.Sorted(slices.Values(r.Windows))
	sum, n := 0.0, min(worstWindows, len(sorted))
	for _, v := range sorted[:n] {
		sum += v
	}
	return sum / float64(n)
}

func (r *replay) result() *ReplayResult {
	res := &ReplayResult{Pattern: r.pattern.Name, Starts: r.started, Wasted: r.wasted}
	var whole share
	windows := make([]share, int(seconds(r.pattern.Seconds)/resultWindow))
	for i := range r.pattern.Queues {
		q := &r.pattern.Queues[i]
		qr := QueueResult{Name: q.Name}
		var part share
		for _, m := range r.order {
			if m.queue != q {
				continue
			}
			got := qr.count(m)
			part.add(got, q.Worth)
			whole.add(got, q.Worth)
			if i := int(m.submitted / resultWindow); i < len(windows) {
				windows[i].add(got, q.Worth)
			}
		}
		qr.Part = part.value()
		res.Queues = append(res.Queues, qr)
	}
	res.Whole = whole.value()
	for _, w := range windows {
		res.Windows = append(res.Windows, w.value())
	}
	return res
}

// share is a part of what could be earned.
type share struct{ earned, owed float64 }

func (s *share) add(part, worth float64) {
	s.earned += part * worth
	s.owed += worth
}

func (s *share) value() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

// count counts a job and returns the part of its worth that was earned.
func (q *QueueResult) count(m *modelJob) float64 {
	q.Asked++
	took := m.answered - m.submitted
	switch {
	case m.outcome == work.Rejected:
		q.Rej++
		return 0
	case m.outcome != work.Completed || took > lateTimes*m.objective:
		q.Never++
		return 0
	case took > m.objective:
		q.Late++
		return latePart
	}
	q.InTime++
	return 1
}

// Write writes a table of the queues and a plot of the windows.
func (r *ReplayResult) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tasked\tin time\tlate\tnever\trejected\tworth\t\n", r.Pattern)
	for _, q := range r.Queues {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", q.Name, q.Asked, q.InTime, q.Late, q.Never, q.Rej, q.Part)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	const width = 50
	for i, v := range r.Windows {
		bar := strings.Repeat("#", int(v*width+0.5))
		if _, err := fmt.Fprintf(w, "%4.0f s %-*s %.3f\n", (time.Duration(i) * resultWindow).Seconds(), width, bar, v); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "whole %.3f, worst windows %.3f, worth %.3f; %d starts, %.1f s of work wasted\n",
		r.Whole, r.WorstWindows(), r.Worth(), r.Starts, r.Wasted.Seconds())
	return err
}
