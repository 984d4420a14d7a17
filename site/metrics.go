package site

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"masticbay/schedule"
	"masticbay/telemetry"
	"masticbay/work"
)

// latencyBuckets are the bounds of the histograms: from a message between data
// centres to the longest time that callers wait.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 13)

// entryMetrics are what an entry counts.
type entryMetrics struct {
	all      *telemetry.Metrics
	scope    tally.Scope
	latency  tally.Histogram // from a request to its answer
	wait     tally.Histogram // from a job's begin to its first placement, at the home
	waiting  tally.Gauge     // tasks, at the home
	running  tally.Gauge
	changes  tally.Counter // of the home
	lostHome tally.Counter // jobs that were handed to another home
}

func newEntryMetrics() *entryMetrics {
	all := telemetry.NewMetrics("site_entry")
	s := all.Scope()
	return &entryMetrics{
		all: all, scope: s,
		latency: s.Histogram("answer_seconds", latencyBuckets), wait: s.Histogram("first_start_seconds", latencyBuckets),
		waiting: s.Gauge("home_tasks_waiting"), running: s.Gauge("home_tasks_running"),
		changes: s.Counter("home_changes"), lostHome: s.Counter("jobs_home_lost"),
	}
}

// answered counts the answer to a job.
func (m *entryMetrics) answered(s work.State, took time.Duration) {
	m.scope.Tagged(map[string]string{"state": string(s)}).Counter("jobs_answered").Inc(1)
	m.latency.RecordDuration(took)
}

// noted counts a decision of the home.
func (m *entryMetrics) noted(n *schedule.Note) {
	m.scope.Tagged(map[string]string{"what": n.What}).Counter("home_decisions").Inc(1)
	if first, ok := n.Values["firstStartMs"]; ok {
		m.wait.RecordDuration(time.Duration(first * float64(time.Millisecond)))
	}
}

// agentMetrics are what an agent counts.
type agentMetrics struct {
	all        *telemetry.Metrics
	started    tally.Counter   // starts that the worker took
	refused    tally.Counter   // starts that the worker refused
	unanswered tally.Counter   // orders without an answer
	failed     tally.Counter   // looks without an answer
	orphaned   tally.Counter   // runs stopped since their home was silent
	start      tally.Histogram // answer time of starts
}

func newAgentMetrics() *agentMetrics {
	all := telemetry.NewMetrics("site_agent")
	s := all.Scope()
	return &agentMetrics{
		all: all, started: s.Counter("starts_taken"), refused: s.Counter("starts_refused"),
		unanswered: s.Counter("orders_unanswered"), failed: s.Counter("looks_failed"), orphaned: s.Counter("runs_orphaned"),
		start: s.Histogram("start_seconds", latencyBuckets),
	}
}

// serveMetrics serves counters until the returned server is closed.
func serveMetrics(m *telemetry.Metrics) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", m.Handler())
	return &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
}
