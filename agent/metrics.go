package agent

import (
	"time"

	"github.com/uber-go/tally/v4"

	"masticbay/telemetry"
)

// counters are the counters that the agent increments itself.
type counters struct {
	started, refused, succeeded, failed tally.Counter
	unreached, seals, claims            tally.Counter
	offersDropped                       tally.Counter
}

func newCounters(m *telemetry.Metrics) counters {
	s := m.Scope()
	return counters{
		started:       s.Counter("tasks_started"),
		refused:       s.Counter("tasks_refused"),
		succeeded:     s.Counter("tasks_succeeded"),
		failed:        s.Counter("tasks_failed"),
		unreached:     s.Counter("target_unreached"),
		seals:         s.Counter("seals"),
		claims:        s.Counter("claims"),
		offersDropped: s.Counter("offers_dropped"),
	}
}

const metricsInterval = time.Second

// metricsDuty updates the metrics that are sampled.
func (a *Agent) metricsDuty() {
	requests := a.metrics.NewTotalCounter("messages_requests")
	replies := a.metrics.NewTotalCounter("messages_replies")
	scope := a.metrics.Scope()
	slots, running := scope.Gauge("slots"), scope.Gauge("running")
	jobs, attempts := scope.Gauge("records_jobs"), scope.Gauge("records_attempts")
	tick := time.NewTicker(metricsInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.stop:
			a.metrics.Close()
			return
		case <-tick.C:
		}
		requests.Set(a.messages.Requests())
		replies.Set(a.messages.Replies())
		a.mu.Lock()
		jobCount, attemptCount := a.gate.Records()
		slots.Update(float64(a.lender.Slots()))
		running.Update(float64(a.gate.Running()))
		a.mu.Unlock()
		jobs.Update(float64(jobCount))
		attempts.Update(float64(attemptCount))
	}
}
