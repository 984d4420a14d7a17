package bench

import (
	"slices"
	"time"

	"masticbay/work"
)

// PatternScore weighs the result of a pattern as the deployments of
// docs/design/hard-load.md do: each queue has the same part of the worth, and a job is
// worth more the more work it is.
type PatternScore struct {
	Whole         float64 `toml:"whole"`      // weight of all jobs
	WorstQueue    float64 `toml:"worstQueue"` // weight of the worst queue
	WorstZone     float64 `toml:"worstZone"`  // weight of the worst data centre of callers
	WorstWindows  float64 `toml:"worstWindows"`
	WindowSeconds float64 `toml:"windowSeconds"`
}

// A job is worth fixedWorth plus workWorth times its work relative to the mean of its
// queue.
const (
	fixedWorth = 0.3
	workWorth  = 0.7
)

// A job that is not served, and was held for longer than lateRejectFraction of its
// objective without being offered to a worker, costs half of its worth.
const (
	lateRejectFraction = 0.25
	lateRejectLoss     = -0.5
)

// earlyRejectTime is the time within which a job that is not served has to be rejected.
const earlyRejectTime = 50 * time.Millisecond

// worth returns the weighed sum of the shares of a result.
func (s *PatternScore) worth(r *ReplayResult, worstQueue float64) float64 {
	return s.Whole*r.OverallShare + s.WorstQueue*worstQueue + s.WorstZone*slices.Min(r.ZoneShares) + s.WorstWindows*r.WorstWindows()
}

// windowLength returns the length of the windows of a result; s may be nil.
func (s *PatternScore) windowLength() time.Duration {
	if s == nil || s.WindowSeconds <= 0 {
		return windowDuration
	}
	return seconds(s.WindowSeconds)
}

// work returns the sum of the run times of the job's tasks times their CPU.
func (m *modelJob) work() float64 {
	sum := time.Duration(0)
	for _, t := range m.taskTimes {
		sum += t
	}
	return float64(sum) * float64(m.job.Steps[0].Room.CPU)
}

// inTime reports whether a job was completed within its objective.
func (m *modelJob) inTime() bool {
	return m.outcome == work.Completed && m.answeredAt-m.submittedAt <= m.objective
}

// capacity returns the work that all workers can do while jobs arrive, in the unit of
// modelJob.work.
func (p *Pattern) capacity() float64 {
	sum := 0.0
	for _, w := range p.Workers {
		sum += float64(w.Count*w.CPU) / w.Slowness
	}
	return sum * float64(seconds(p.Seconds))
}

// rejectedLate reports whether a job was not served although it was never offered to a
// worker, and its caller learned of that too late.
func (m *modelJob) rejectedLate() bool {
	unserved := m.outcome != work.Completed && m.outcome != work.JobFailed
	held := m.answeredAt - m.submittedAt
	return unserved && !m.wasSent && (m.outcome == "" || float64(held) > lateRejectFraction*float64(m.objective))
}

// jobWorths returns a function that returns the worth of a job: that of its queue
// without a PatternScore.
func (r *replay) jobWorths() func(*modelJob) float64 {
	if r.pattern.Score == nil {
		return func(m *modelJob) float64 { return m.queue.Worth }
	}
	count, sum := make(map[*PatternQueue]float64), make(map[*PatternQueue]float64)
	for _, m := range r.submitted {
		count[m.queue]++
		sum[m.queue] += m.work()
	}
	return func(m *modelJob) float64 {
		n := count[m.queue]
		return (fixedWorth + workWorth*m.work()*n/sum[m.queue]) / n
	}
}

// drawZone draws the data centre of a job's caller. The additional jobs of a burst may
// come from one.
func (r *replay) drawZone(q *PatternQueue) int {
	if len(r.pattern.Zones) == 0 {
		return 0
	}
	if zone, factor := r.burstZone[q.Name], r.burstFactors[q.Name]; zone != "" && r.rng.Float64() < 1-1/factor {
		return slices.IndexFunc(r.pattern.Zones, func(z PatternZone) bool { return z.Name == zone })
	}
	x := r.rng.Float64()
	for i, z := range r.pattern.Zones {
		if x -= z.Share; x < 0 {
			return i
		}
	}
	return len(r.pattern.Zones) - 1
}

// handoverDelay returns how long the entry of a data centre takes to hand over a job.
func (p *Pattern) handoverDelay(zone int) time.Duration {
	if len(p.Zones) == 0 {
		return 0
	}
	return millis(p.Zones[zone].DelayMs)
}
