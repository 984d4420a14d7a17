package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"masticbay/dispatch"
	"masticbay/telemetry"
)

// counters holds the counters that the entry increments itself.
type counters struct {
	takeovers tally.Counter // forwards to another entry that failed
}

func newCounters(m *telemetry.Metrics) counters {
	return counters{takeovers: m.Scope().Counter("takeovers")}
}

const metricsInterval = time.Second

// metricsDuty publishes the counters of the Core and of sent messages in every
// metricsInterval.
func (e *Entry) metricsDuty() {
	report := e.newReport()
	tick := time.NewTicker(metricsInterval)
	defer tick.Stop()
	for {
		select {
		case <-e.stop:
			e.metrics.Close()
			return
		case <-tick.C:
			report()
		}
	}
}

// newReport returns a function that updates all metrics.
func (e *Entry) newReport() func() {
	requests := e.metrics.NewTotalCounter("messages_requests")
	replies := e.metrics.NewTotalCounter("messages_replies")
	totals := newCoreTotals(e.metrics)
	open := e.metrics.Scope().Gauge("jobs_open")
	agents := e.metrics.Scope().Gauge("agents")
	tableRevision := e.metrics.Scope().Gauge("table_revision")
	return func() {
		requests.Set(e.messages.Requests())
		replies.Set(e.messages.Replies())
		tableRevision.Update(float64(e.rows.Current().Revision()))
		_ = e.doInCore(context.Background(), func(time.Time) { // fails only if the entry has ended
			open.Update(float64(e.core.dispatch.Open()))
			agents.Update(float64(len(e.core.dispatch.Agents())))
			totals.set(e.core.dispatch.Counters())
		})
	}
}

// coreTotals holds the metrics that are set from the totals of the Core.
type coreTotals struct {
	submitted, attached, refused, complete, failed *telemetry.TotalCounter
	dispatched, requeued, seals, claims            *telemetry.TotalCounter
	claimsIncomplete, unclear, notRun, unknown     *telemetry.TotalCounter
}

func newCoreTotals(m *telemetry.Metrics) *coreTotals {
	return &coreTotals{
		submitted:        m.NewTotalCounter("jobs_submitted"),
		attached:         m.NewTotalCounter("jobs_attached"),
		refused:          m.NewTotalCounter("jobs_refused"),
		complete:         m.NewTotalCounter("jobs_complete"),
		failed:           m.NewTotalCounter("jobs_failed"),
		dispatched:       m.NewTotalCounter("tasks_dispatched"),
		requeued:         m.NewTotalCounter("tasks_requeued"),
		seals:            m.NewTotalCounter("seals"),
		claims:           m.NewTotalCounter("claims"),
		claimsIncomplete: m.NewTotalCounter("claims_incomplete"),
		unclear:          m.NewTotalCounter("tasks_unclear"),
		notRun:           m.NewTotalCounter("tasks_not_run"),
		unknown:          m.NewTotalCounter("tasks_unknown"),
	}
}

func (t *coreTotals) set(c dispatch.Counters) {
	t.submitted.Set(c.Submitted)
	t.attached.Set(c.Attached)
	t.refused.Set(c.Refused)
	t.complete.Set(c.Complete)
	t.failed.Set(c.Failed)
	t.dispatched.Set(c.Dispatched)
	t.requeued.Set(c.Requeued)
	t.seals.Set(c.Seals)
	t.claims.Set(c.Claims)
	t.claimsIncomplete.Set(c.ClaimsIncomplete)
	t.unclear.Set(c.Unclear)
	t.notRun.Set(c.NotRun)
	t.unknown.Set(c.Unknown)
}
