package site

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"masticbay/clock"
	"masticbay/intake"
	"masticbay/platform"
	"masticbay/schedule"
	"masticbay/telemetry"
	"masticbay/work"
	"masticbay/worker"
)

// latencyBuckets are the bounds of the histograms: from the time of a message between
// data centres to the longest time that callers wait.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 13)

// entryMetrics are the metrics of an entry.
type entryMetrics struct {
	all          *telemetry.Metrics
	scope        tally.Scope
	latency      tally.Histogram // from a request to its answer
	firstStart   tally.Histogram // from the receipt of a job to its first placement, at the home
	waiting      tally.Gauge     // tasks that wait, at the home
	running      tally.Gauge
	ejected      tally.Gauge   // workers that are ejected, at the home
	homeChanges  tally.Counter // changes of the home
	jobsHomeLost tally.Counter // jobs whose home was lost
	evacuated    tally.Gauge   // evacuated data centres
	pairs        tally.Gauge   // of kinds of task that slow each other down, at the home
}

func newEntryMetrics() *entryMetrics {
	all := telemetry.NewMetrics("site_entry")
	s := all.Scope()
	return &entryMetrics{
		all: all, scope: s,
		latency: s.Histogram("answer_seconds", latencyBuckets), firstStart: s.Histogram("first_start_seconds", latencyBuckets),
		waiting: s.Gauge("home_tasks_waiting"), running: s.Gauge("home_tasks_running"), ejected: s.Gauge("home_workers_ejected"),
		homeChanges: s.Counter("home_changes"), jobsHomeLost: s.Counter("jobs_home_lost"),
		evacuated: s.Gauge("evacuated_data_centres"), pairs: s.Gauge("home_interfering_pairs"),
	}
}

// countAnswer counts the answer to a job.
func (m *entryMetrics) countAnswer(s work.State, took time.Duration) {
	m.scope.Tagged(map[string]string{"state": string(s)}).Counter("jobs_answered").Inc(1)
	m.latency.RecordDuration(took)
}

// countNote counts a log note about a decision of the home.
func (m *entryMetrics) countNote(n *schedule.Note) {
	m.scope.Tagged(map[string]string{"what": n.Kind}).Counter("home_decisions").Inc(1)
	if n.Kind == "rejected" {
		m.scope.Tagged(map[string]string{"why": n.Reason}).Counter("home_rejections").Inc(1)
	}
	if first, ok := n.Values["firstStartMs"]; ok {
		m.firstStart.RecordDuration(time.Duration(first * float64(time.Millisecond)))
	}
}

// agentMetrics are the metrics of an agent.
type agentMetrics struct {
	all         *telemetry.Metrics
	started     tally.Counter   // starts that the worker took
	refused     tally.Counter   // starts that the worker refused
	unanswered  tally.Counter   // starts without an answer
	sentAgain   tally.Counter   // starts that were sent again to the worker
	inTransit   tally.Counter   // runs that wait, as a start of them may still be carried out
	pollsFailed tally.Counter   // polls without an answer
	listsCut    tally.Counter   // polls whose list of ends was cut off
	workerConns tally.Gauge     // connections to the worker that were opened so far
	orphaned    tally.Counter   // runs stopped because their home was out of contact
	evacuated   tally.Gauge     // evacuated data centres
	startTime   tally.Histogram // answer time of starts
	stopTime    tally.Histogram // from the first request of a stop to the end of the run
	// Runs that the worker lists as running, or as ended, and that are not known here.
	unknownListed, unknownEnded map[worker.UnknownCause]tally.Counter
}

func newAgentMetrics() *agentMetrics {
	all := telemetry.NewMetrics("site_agent")
	s := all.Scope()
	return &agentMetrics{
		all: all, started: s.Counter("starts_taken"), refused: s.Counter("starts_refused"),
		unanswered: s.Counter("orders_unanswered"), sentAgain: s.Counter("starts_sent_again"), inTransit: s.Counter("runs_in_transit"),
		pollsFailed: s.Counter("looks_failed"), listsCut: s.Counter("lists_cut"), workerConns: s.Gauge("worker_connections_opened"), orphaned: s.Counter("runs_orphaned"),
		evacuated: s.Gauge("evacuated_data_centres"),
		startTime: s.Histogram("start_seconds", latencyBuckets), stopTime: s.Histogram("stop_seconds", latencyBuckets),
		unknownListed: newUnknownCounters(s, "unknown_runs_listed"), unknownEnded: newUnknownCounters(s, "unknown_runs_ended"),
	}
}

// scrapeCost covers the text of all metrics and its compressed form.
const scrapeCost = 512 << 10 // bytes

// serveMetrics returns a server of metrics. The caller starts and closes it.
func serveMetrics(m *telemetry.Metrics) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		if intake.Reserve(w, r, scrapeCost) != nil {
			_ = platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second) // never fails
			return
		}
		m.Handler()(w, r)
	})
	return intake.NewServer(mux)
}

// newGate returns the bounds of what the clients of a process hold, with their metrics.
func newGate(n *platform.Node, clk clock.Clock, log zerolog.Logger, m *telemetry.Metrics, limits func() intake.Limits) *intake.Gate {
	scope := m.Scope()
	return intake.NewGate(intake.Options{
		Machine: intake.Machine{MemoryMB: n.MemoryMB, MaxDescriptors: n.MaxFDs}, Clock: clk, Log: log, Limits: limits,
		Report: func(u intake.Usage) {
			part := scope.Tagged(map[string]string{"part": u.Part})
			part.Gauge("clients_held_bytes").Update(float64(u.Held))
			part.Gauge("clients_connections").Update(float64(u.Connections))
			for cause, count := range u.Refused {
				scope.Tagged(map[string]string{"part": u.Part, "cause": string(cause)}).Counter("clients_refused").Inc(int64(count))
			}
		},
	})
}
