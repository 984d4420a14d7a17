package wire

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/juju/errors"

	"masticbay/intake"
)

// Server serves the methods of one process. NewServer makes one.
type Server struct {
	rpc      *rpc.Server
	messages *MessageCounter
	links    *intake.Part // bounds connections and messages; nil for no bounds

	mu     sync.Mutex // guards the fields below
	conns  map[net.Conn]struct{}
	ln     net.Listener
	closed bool
}

// NewServer returns a Server that serves the methods of receiver under name. It
// counts its replies in m, which may be nil.
func NewServer(name string, receiver any, m *MessageCounter) (s *Server, err error) {
	defer func() { err = errors.Annotatef(err, "registering the methods of %s", name) }()
	s = &Server{rpc: rpc.NewServer(), messages: m, conns: make(map[net.Conn]struct{})}
	return s, s.rpc.RegisterName(name, receiver)
}

// Limit bounds the connections and messages by those of p. It is called before Serve.
func (s *Server) Limit(p *intake.Part) { s.links = p }

// Serve accepts and serves connections on ln until Close.
func (s *Server) Serve(ln net.Listener) {
	if !s.setListener(ln) {
		return
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		var link *intake.Link
		if s.links != nil {
			if link = s.links.Admit(conn); link == nil {
				continue
			}
			conn = link
		}
		if s.addConn(conn) {
			go s.serveConn(conn, link)
		}
	}
}

// setListener makes ln the listener that Close closes. If the Server is closed
// already, it closes ln and reports false.
func (s *Server) setListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = ln.Close()
		return false
	}
	s.ln = ln
	return true
}

// serveConn serves a connection; link is the same one, or nil if it has no bounds.
func (s *Server) serveConn(conn net.Conn, link *intake.Link) {
	defer s.removeConn(conn)
	if link == nil {
		s.rpc.ServeConn(&countingConn{deadlineConn{conn, defaultWriteTimeout, s.messages}})
		return
	}
	s.rpc.ServeCodec(newCodec(&countingConn{deadlineConn{link, defaultWriteTimeout, s.messages}}, link))
}

// addConn registers conn, or closes it if the Server is closed already.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) removeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// countingConn counts replies: net/rpc sends each reply by one Write.
type countingConn struct {
	deadlineConn
}

func (c *countingConn) Write(p []byte) (int, error) {
	if c.messages != nil {
		c.messages.replies.Add(1)
	}
	return c.deadlineConn.Write(p)
}
