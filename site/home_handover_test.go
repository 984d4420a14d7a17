package site

import (
	"testing"
	"time"
)

// TestUnknownAgentIsTakenForAllSealed guards against a double run: a home that takes over a
// job does not know of an agent that the lost home was in contact with.
func TestUnknownAgentIsTakenForAllSealed(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name         string
		onPanelFor   time.Duration // not at all if zero
		ofLostHome   int
		wantComplete bool
	}{
		{"all known", time.Minute, 2, true},
		{"fewer agents than the lost home", time.Minute, 3, false},
		{"on the panel too shortly", agentContactTimeout / 2, 2, false},
		{"not on the panel", 0, 2, false},
	} {
		e := testEntry()
		e.agents = map[string]agentContact{"a": {}, "b": {}}
		e.lostAgents = map[string]time.Time{"c": now}
		if tc.onPanelFor > 0 {
			e.onPanelSince = now.Add(-tc.onPanelFor)
		}
		agents, complete, silent := e.agentsSeen(now, tc.ofLostHome)
		if len(agents) != 3 || complete != tc.wantComplete || !silent {
			t.Errorf("%s: agents %v, complete %t, silent %t", tc.name, agents, complete, silent)
		}
	}
}
