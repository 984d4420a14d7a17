package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics holds the counters of one process.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

const reportInterval = time.Second

// NewMetrics returns the counters of a process that runs in the given role.
func NewMetrics(role string) *Metrics {
	reg := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "masticbay_" + role,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Scope returns the scope in which counters are created.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler returns a handler that serves the counters in the Prometheus format.
func (m *Metrics) Handler() http.HandlerFunc { return m.handler.ServeHTTP }

// Close stops the reporter.
func (m *Metrics) Close() { _ = m.closer.Close() }

// TotalCounter is a counter that is set from a total that never decreases.
type TotalCounter struct {
	counter tally.Counter
	last    uint64
}

// NewTotalCounter returns a TotalCounter for the counter with the given name.
func (m *Metrics) NewTotalCounter(name string) *TotalCounter {
	return &TotalCounter{counter: m.scope.Counter(name)}
}

// Set raises the counter to total. It ignores a total below the last one.
func (d *TotalCounter) Set(total uint64) {
	if total > d.last {
		d.counter.Inc(int64(total - d.last))
		d.last = total
	}
}
