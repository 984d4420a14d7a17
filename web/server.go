// Package web serves HTTP through go-zero's rest.
//
// # Model
//
// rest can reply by itself: through a circuit breaker, a load shedder, a timeout
// or a connection limit. Such a reply could say that a job did not run although
// it did, so all of these are off here. The body limit, traces and the recovery
// from panics stay on. Package dispatch does the admission control: it refuses a
// job only if none of it ran.
//
// # Usage
//
//	srv, err := web.NewServer(web.Config{Address: addr, Name: "entry", MaxBytes: n}, routes)
//	go srv.Serve()
//	err = srv.Shutdown(ctx)
package web

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

// Config holds the settings of a server.
type Config struct {
	Name     string
	Address  string // IP address and port
	MaxBytes int64  // of a request's body
	Trace    bool
}

// Server is an HTTP server that can be stopped independently of the process. A
// nil Server serves nothing.
type Server struct {
	rest  *rest.Server
	ready chan struct{} // closed once http is set

	mu   sync.Mutex // guards http
	http *http.Server
}

// AllowSlowStop keeps go-zero from ending the process before limit has passed
// since a SIGTERM. By default it does so after 5.5 s.
func AllowSlowStop(limit time.Duration) {
	proc.Setup(proc.ShutdownConf{WrapUpTime: limit, WaitTime: 2 * limit})
}

// NewServer returns a server for routes.
func NewServer(cfg Config, routes []rest.Route) (s *Server, err error) {
	defer func() { err = errors.Annotatef(err, "setting up the HTTP server %s", cfg.Address) }()
	host, portText, err := net.SplitHostPort(cfg.Address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	conf := rest.RestConf{Host: host, Port: port, MaxBytes: cfg.MaxBytes}
	conf.ServiceConf = service.ServiceConf{Name: cfg.Name}
	conf.Telemetry.Disabled = true // package telemetry has set up tracing
	conf.Log.Mode = "console"
	conf.Log.Level = "error"
	conf.Middlewares = rest.MiddlewaresConf{Trace: cfg.Trace, Recover: true, MaxBytes: true}
	restServer, err := rest.NewServer(conf)
	if err != nil {
		return nil, err
	}
	restServer.AddRoutes(routes, rest.WithTimeout(0), rest.WithMaxBytes(cfg.MaxBytes))
	return &Server{rest: restServer, ready: make(chan struct{})}, nil
}

// Serve serves requests until Shutdown or Close is called.
func (s *Server) Serve() {
	if s == nil {
		return
	}
	s.rest.StartWithOpts(func(h *http.Server) {
		h.ReadTimeout, h.WriteTimeout = 0, 0
		h.ReadHeaderTimeout = headerTimeout
		s.mu.Lock()
		s.http = h
		s.mu.Unlock()
		close(s.ready)
	})
}

const headerTimeout = 10 * time.Second

// awaitHTTP waits until Serve has created the HTTP server and returns it.
func (s *Server) awaitHTTP() *http.Server {
	<-s.ready
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http
}

// Shutdown stops accepting requests and waits until those in progress have
// ended.
func (s *Server) Shutdown(ctx context.Context) error {
	if s == nil {
		return nil
	}
	return s.awaitHTTP().Shutdown(ctx)
}

// Close ends all connections at once.
func (s *Server) Close() {
	if s == nil {
		return
	}
	_ = s.awaitHTTP().Close()
}

// Reply writes v as JSON.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
