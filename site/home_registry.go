package site

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"masticbay/store"
)

// The home of a site, or the first one of a site of several cells, keeps the addresses of the agents in the
// store. The next home learns from them which agents may have runs if all entries restart, as no process in
// contact can tell then.

// agentRegistry is what a home knows of the agents in the store. The zero value is one that was not read.
type agentRegistry struct {
	term      uint64          // of the home that keeps it; 0 for none
	agents    map[string]bool // addresses in the store; nil until they were read
	readAt    time.Time
	isWriting bool
}

// agentsPrefix is the prefix of the keys under which a home stores the addresses of agents; the rest of a
// key is the address.
const agentsPrefix = "masticbay/agents/"

// registeredAgentWait is how long an agent is awaited that is in the store and has not announced itself. It may
// have left since.
const registeredAgentWait = 300 * time.Millisecond

// registryRetryInterval is the time between calls of the store that fail.
const registryRetryInterval = 250 * time.Millisecond

func (r *agentRegistry) wasRead() bool { return r.agents != nil }

func (r *agentRegistry) sorted() []string { return slices.Sorted(maps.Keys(r.agents)) }

// agentsToAsk returns the agents in the store until those that are left must have announced themselves. A home
// that has just begun its term may learn of another one, and must not take the agents away from it.
func (r *agentRegistry) agentsToAsk(now time.Time) []string {
	if age := now.Sub(r.readAt); age < registryAskDelay || age > agentContactTimeout {
		return nil
	}
	return r.sorted()
}

// registryAskDelay is the time in which a new home is in contact with the other entries.
const registryAskDelay = 120 * time.Millisecond

// keepRegistry has this home keep the registry in a term, or not any more if the term is 0. The caller holds
// mu.
func (h *home) keepRegistry(term uint64) {
	if h.registry.term == term {
		return
	}
	h.registry = agentRegistry{term: term}
	if term > 0 {
		go h.readRegistry(term)
	}
}

// readRegistry reads the agents that the homes before a term have stored, or that are left after a commit
// without an answer.
func (h *home) readRegistry(term uint64) {
	for h.keepsRegistry(term) {
		ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
		items, err := h.e.store.List(ctx, agentsPrefix)
		cancel()
		if err == nil {
			h.takeRegistry(term, items)
			return
		}
		h.e.log.Warn().Err(err).Msg("agents not read from the store; will retry")
		sleep(h.e.ending, registryRetryInterval)
	}
}

func (h *home) keepsRegistry(term uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.closed && h.e.ending.Err() == nil && h.registry.term == term
}

func (h *home) takeRegistry(term uint64, items []store.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.registry.term != term {
		return
	}
	h.registry = agentRegistry{term: term, agents: make(map[string]bool), readAt: h.e.now()}
	for _, it := range items {
		h.registry.agents[strings.TrimPrefix(it.Key, agentsPrefix)] = true
	}
	h.notify()
}

// registeredAgents returns the given agents and those in the store, and whether the store has answered.
func (e *Entry) registeredAgents(agents []string) (all []string, ok bool) {
	ctx, cancel := context.WithTimeout(e.ending, registerTimeout)
	defer cancel()
	items, err := e.store.List(ctx, agentsPrefix)
	if err != nil {
		e.log.Warn().Err(err).Msg("agents not read from the store")
		return agents, false
	}
	for _, it := range items {
		agents = union(agents, []string{strings.TrimPrefix(it.Key, agentsPrefix)})
	}
	return agents, true
}

// updateRegistry has the store list the agents that this home knows. The caller holds mu.
func (h *home) updateRegistry(now time.Time) {
	r := &h.registry
	if !r.wasRead() || r.isWriting {
		return
	}
	known, _, _ := h.e.agentsSeen(now, 0)
	c := r.changes(now, known)
	if h.e.isIsolated() {
		c.Deletes = nil // there may be another home, which knows these agents
	}
	if len(c.Writes)+len(c.Deletes) > 0 {
		r.isWriting = true
		go h.writeRegistry(r.term, c)
	}
}

// changes returns a commit that has the store list the known agents, or some of them. The others have no runs
// any more once the home has not heard of them for a while.
func (r *agentRegistry) changes(now time.Time, known []string) *store.Commit {
	c := new(store.Commit)
	for _, a := range slices.Sorted(slices.Values(known)) {
		if !r.agents[a] && len(c.Writes) < maxCommitEntries/2 {
			c.Writes = append(c.Writes, store.Item{Key: agentsPrefix + a, Value: []byte(a)})
		}
	}
	if now.Sub(r.readAt) <= lostAgentRetention {
		return c
	}
	for _, a := range r.sorted() {
		if !slices.Contains(known, a) && len(c.Deletes) < maxCommitEntries/2 {
			c.Deletes = append(c.Deletes, agentsPrefix+a)
		}
	}
	return c
}

// writeRegistry commits changes of a term.
func (h *home) writeRegistry(term uint64, c *store.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	_, err := h.e.store.Commit(ctx, c)
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.registry
	if r.term != term || !r.wasRead() {
		return
	}
	r.isWriting = false
	if err != nil {
		h.e.log.Warn().Err(err).Msg("agents not stored; will read them again")
		r.agents = nil // the store may have carried the commit out
		go func() {
			sleep(h.e.ending, registryRetryInterval)
			h.readRegistry(term)
		}()
		return
	}
	for _, w := range c.Writes {
		r.agents[strings.TrimPrefix(w.Key, agentsPrefix)] = true
	}
	for _, key := range c.Deletes {
		delete(r.agents, strings.TrimPrefix(key, agentsPrefix))
	}
}
