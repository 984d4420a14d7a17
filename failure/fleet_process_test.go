package failure

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// processHost is the host of a process, which sends nothing once it was killed.
type processHost struct {
	webHost
	dead atomic.Bool
}

func (s *fleet) newProcessHost(name string) *processHost {
	return &processHost{webHost: webHost{host{s.network, name}}}
}

// Dial implements wire.Network.
func (h *processHost) Dial(ctx context.Context, address string) (net.Conn, error) {
	if h.dead.Load() {
		return nil, syscall.ECONNREFUSED
	}
	return h.webHost.Dial(ctx, address)
}

// kill resets the connections of the host and lets the process open no others.
func (h *processHost) kill() {
	h.dead.Store(true)
	h.network.resetConns(h.name)
}

// killEntry kills an entry as SIGKILL does. Kill alone lets calls that are under way go on.
func (s *fleet) killEntry(i int) {
	s.mu.Lock()
	e, h := s.entries[i], s.entryHosts[i]
	s.mu.Unlock()
	h.kill()
	e.Kill()
}

// killAgent is killEntry for an agent.
func (s *fleet) killAgent(i int) {
	s.mu.Lock()
	a, h := s.agents[i], s.agentHosts[i]
	s.mu.Unlock()
	h.kill()
	a.Kill()
}
