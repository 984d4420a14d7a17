package site

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/platform"
	"masticbay/work"
	"masticbay/worker"
)

// TestAgentReportsColdWorker guards against homes that are not told that a worker is cold, and
// against reports of it where the settings switch slow start off.
func TestAgentReportsColdWorker(t *testing.T) {
	for name, tc := range map[string]struct {
		node platform.Node
		cold bool
	}{
		"on":       {platform.Node{ColdOverage: 1.5, ColdSlack: 5}, true},
		"no slack": {platform.Node{ColdOverage: 1.5}, false},
		"off":      {platform.Node{}, false},
	} {
		a := &Agent{
			node: &tc.node, log: zerolog.Nop(), runLog: zerolog.Nop(), clock: clock.System{}, guard: worker.NewGuard(worker.Config{}),
			worker: platform.NewWorker("w", dialOf(unreachableNetwork{})), metrics: newAgentMetrics(), eventsReady: make(chan struct{}), lastOrders: make(map[string]uint64),
		}
		a.guard.TakeHeartbeat(a.now(), work.Target{ID: "w", Born: 1, Service: "s"}, time.Second, 0)
		a.takeReport(platform.WorkerReport{Target: work.Target{ID: "w", Born: 1, Service: "s", ColdLeft: time.Hour}})
		a.mu.Lock()
		if left := a.reportFor("h", 0).ColdLeft; (left > 0) != tc.cold {
			t.Errorf("%s: cold for %v", name, left)
		}
		if woken := a.targetVersion > 0; woken != tc.cold {
			t.Errorf("%s: homes are told at once: %t", name, woken)
		}
		a.mu.Unlock()
	}
}
