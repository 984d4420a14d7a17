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

// ReplayResult holds the figures of a replay. A share is the part of the worth of a
// set of jobs that their answers earned; see lateWorth.
type ReplayResult struct {
	Pattern      string
	Queues       []QueueResult
	WindowShares []float64 // of the jobs submitted in each windowDuration
	OverallShare float64   // of all jobs
	ZoneShares   []float64 // by data centre of the callers
	LateRejects  int       // rejections that came too late to cost nothing; see lateRejectFraction
	SlowRejects  int       // rejections more than earlyRejectTime after the submission
	Goodput      float64   // work of the jobs that were in time, as a part of the capacity while jobs arrived
	score        *PatternScore
	Starts       int
	WastedWork   time.Duration // of runs that were stopped or lost, at slowness 1
}

// QueueResult holds the figures of a queue.
type QueueResult struct {
	Name                                      string
	Submitted, InTime, Late, Missed, Rejected int     // Missed: failed, without an answer, or answered too late to earn anything
	WorthShare                                float64 // share of the worth of the queue's jobs that was earned
}

// The rules by which the users count: the two worst windows of 2 s matter most; an
// answer after the objective, but within three times the objective, earns a fifth of
// the worth, and a later one nothing.
const (
	windowDuration   = 2 * time.Second
	worstWindowCount = 2
	lateWorth        = 0.2
	lateLimitFactor  = 3
)

// Worth weighs the figures as Retour-Plateau does: all jobs, the worst windows and
// the worst queue.
func (r *ReplayResult) Worth() float64 {
	worst := r.Queues[0].WorthShare
	for _, q := range r.Queues {
		worst = min(worst, q.WorthShare)
	}
	if r.score != nil {
		return r.score.worth(r, worst)
	}
	return 0.35*r.OverallShare + 0.5*r.WorstWindows() + 0.15*worst
}

// WorstWindows returns the mean share of the worst windows.
func (r *ReplayResult) WorstWindows() float64 {
	sorted := slices.Sorted(slices.Values(r.WindowShares))
	sum, n := 0.0, min(worstWindowCount, len(sorted))
	for _, v := range sorted[:n] {
		sum += v
	}
	return sum / float64(n)
}

// result computes the figures of a replay that has ended.
func (r *replay) result() *ReplayResult {
	result := &ReplayResult{Pattern: r.pattern.Name, Starts: r.startCount, WastedWork: r.wastedWork, score: r.pattern.Score}
	var overall worthShare
	windowLength := r.pattern.Score.windowLength()
	windows := make([]worthShare, int(seconds(r.pattern.Seconds)/windowLength))
	zones := make([]worthShare, max(len(r.pattern.Zones), 1))
	worthOf := r.jobWorths()
	for i := range r.pattern.Queues {
		q := &r.pattern.Queues[i]
		queueResult := QueueResult{Name: q.Name}
		var queueShare worthShare
		for _, job := range r.submitted {
			if job.queue != q {
				continue
			}
			earned := queueResult.countJob(job)
			if r.pattern.Score != nil && job.rejectedLate() {
				earned = lateRejectLoss
				result.LateRejects++
			}
			if job.outcome == work.Rejected && job.answeredAt-job.submittedAt > earlyRejectTime {
				result.SlowRejects++
			}
			if job.inTime() {
				result.Goodput += job.work() / r.pattern.capacity()
			}
			worth := worthOf(job)
			queueShare.add(earned, worth)
			overall.add(earned, worth)
			zones[job.zone].add(earned, worth)
			if i := int(job.submittedAt / windowLength); i < len(windows) {
				windows[i].add(earned, worth)
			}
		}
		queueResult.WorthShare = queueShare.value()
		result.Queues = append(result.Queues, queueResult)
	}
	result.OverallShare = overall.value()
	for _, z := range zones {
		result.ZoneShares = append(result.ZoneShares, z.value())
	}
	for _, w := range windows {
		result.WindowShares = append(result.WindowShares, w.value())
	}
	return result
}

// worthShare adds up the worth that was earned and that could be earned.
type worthShare struct{ earned, possible float64 }

func (s *worthShare) add(share, worth float64) {
	s.earned += share * worth
	s.possible += worth
}

func (s *worthShare) value() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

// countJob counts a job and returns the share of its worth that was earned.
func (q *QueueResult) countJob(job *modelJob) float64 {
	q.Submitted++
	responseTime := job.answeredAt - job.submittedAt
	switch {
	case job.outcome == work.Rejected:
		q.Rejected++
		return 0
	case job.outcome != work.Completed || responseTime > lateLimitFactor*job.objective:
		q.Missed++
		return 0
	case responseTime > job.objective:
		q.Late++
		return lateWorth
	}
	q.InTime++
	return 1
}

// Write writes a table of the queues and a plot of the windows.
func (r *ReplayResult) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\tasked\tin time\tlate\tnever\trejected\tworth\t\n", r.Pattern)
	for _, q := range r.Queues {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", q.Name, q.Submitted, q.InTime, q.Late, q.Missed, q.Rejected, q.WorthShare)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	const width = 50
	for i, v := range r.WindowShares {
		bar := strings.Repeat("#", int(v*width+0.5))
		if _, err := fmt.Fprintf(w, "%4.0f s %-*s %.3f\n", (time.Duration(i) * r.score.windowLength()).Seconds(), width, bar, v); err != nil {
			return err
		}
	}
	if r.score != nil {
		if _, err := fmt.Fprintf(w, "data centres %.3f, %d late rejections, %d after %v, goodput %.3f of the capacity\n", r.ZoneShares, r.LateRejects, r.SlowRejects, earlyRejectTime, r.Goodput); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "whole %.3f, worst windows %.3f, worth %.3f; %d starts, %.1f s of work wasted\n",
		r.OverallShare, r.WorstWindows(), r.Worth(), r.Starts, r.WastedWork.Seconds())
	return err
}
