package site

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"masticbay/clock"
	"masticbay/platform"
	"masticbay/platform/standin"
	"masticbay/roster"
	"masticbay/store"
)

// TestHomeTakesRestartedSiteForNew guards against a double run: all entries restart, and the next home
// knows only an agent that restarted with them.
func TestHomeTakesRestartedSiteForNew(t *testing.T) {
	for _, tc := range []struct {
		name       string
		other      roster.Member // in contact
		registered []string      // in the store; not read yet if nil
		awaits     []string
	}{
		{"all entries restart", roster.Member{Fresh: true, Agents: 1}, nil, []string{""}},
		{"the store knows the agents", roster.Member{Fresh: true, Agents: 1}, []string{"a1", "a2"}, []string{"a1", "a2"}},
		{"the store does not know all agents", roster.Member{Fresh: true, Agents: 3}, []string{"a1", "a2"}, []string{""}},
		{"the site is new", roster.Member{Fresh: true, Agents: 1}, []string{}, []string{"a1"}},
		{"the other entry stays", roster.Member{Agents: 1}, nil, []string{"a1"}},
		{"the other entry stays, and knows more agents", roster.Member{Agents: 2}, nil, []string{""}},
		{"no other entry is in contact", roster.Member{}, []string{"a1", "a2"}, []string{""}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHome(testEntry())
			defer h.close()
			h.e.ending = t.Context()
			now := h.e.now()
			h.e.agents = map[string]agentContact{"a1": {lastAnnounced: now}}
			h.e.knownEntries.add(now, "e2")
			if tc.other != (roster.Member{}) {
				tc.other.Address, tc.other.Life = "e2", "entry-2"
				h.e.roster.RecordContact(now, tc.other)
			}
			h.mu.Lock()
			h.wasAlone = true
			h.keepRegistry(1)
			h.beginTerm(now, 1, nil)
			h.mu.Unlock()
			if tc.registered != nil {
				h.takeRegistry(1, registryItems(tc.registered...))
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.updateAgentsKnown(now)
			for _, agent := range []string{"", "a1", "a2"} {
				if got, want := h.core.AwaitsAgent(agent), slices.Contains(tc.awaits, agent); got != want && (agent == "" || !slices.Contains(tc.awaits, "")) {
					t.Errorf("awaits agent %q: %t, want %t", agent, got, want)
				}
			}
		})
	}
}

func registryItems(agents ...string) (items []store.Item) {
	for _, a := range agents {
		items = append(items, store.Item{Key: agentsPrefix + a})
	}
	return items
}

// TestRegistryForgetsAgents guards against jobs that wait for agents that have left for good, and against
// double runs at agents that a home does not know yet.
func TestRegistryForgetsAgents(t *testing.T) {
	now := time.Now()
	r := agentRegistry{agents: map[string]bool{"a1": true, "left": true}, readAt: now}
	for _, tc := range []struct {
		age     time.Duration
		deletes []string
	}{
		{lostAgentRetention, nil},
		{lostAgentRetention + 1, []string{agentsPrefix + "left"}},
	} {
		c := r.changes(now.Add(tc.age), []string{"a2", "a1"})
		if len(c.Writes) != 1 || c.Writes[0].Key != agentsPrefix+"a2" || !slices.Equal(c.Deletes, tc.deletes) {
			t.Errorf("after %v: %+v, want a2 written and %v deleted", tc.age, c, tc.deletes)
		}
	}
}

// TestCommitWithoutAnAnswerIsTakenForUndone guards against an agent that is not registered again after a commit
// that removed it and was not answered.
func TestCommitWithoutAnAnswerIsTakenForUndone(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	h.registry = agentRegistry{term: 1, agents: map[string]bool{"a1": true, "a2": true}, readAt: time.Now()}
	h.writeRegistry(1, &store.Commit{Deletes: []string{agentsPrefix + "a2"}})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registry.wasRead() {
		t.Errorf("the home takes %v for registered, want it to read them again", h.registry.sorted())
	}
}

// TestRefusedCommitIsRepeatedWithoutPause guards against a home that loads a store which answers reads and
// refuses writes.
func TestRefusedCommitIsRepeatedWithoutPause(t *testing.T) {
	var commits atomic.Int64
	reads := standin.NewStore(store.NewMemory(clock.System{})).Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			commits.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		reads.ServeHTTP(w, r)
	}))
	defer srv.Close()
	h := newHome(testEntry())
	defer h.close()
	h.e.store = platform.NewStore(srv.Listener.Addr().String(), nil)
	h.e.agents = map[string]agentContact{"a1": {lastAnnounced: h.e.now()}}
	h.mu.Lock()
	h.keepRegistry(1)
	h.mu.Unlock()
	for end := time.Now().Add(2 * registryRetryInterval); time.Now().Before(end); time.Sleep(time.Millisecond) {
		h.mu.Lock()
		h.updateRegistry(h.e.now())
		h.mu.Unlock()
	}
	if n := commits.Load(); n == 0 || n > 3 {
		t.Errorf("%d commits within %v, want one to three", n, 2*registryRetryInterval)
	}
}
