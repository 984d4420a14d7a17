package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Faults selects the faults that a Server injects.
type Faults struct {
	Outage      bool          `json:"outage"`      // close every connection without an answer
	Delay       time.Duration `json:"delay"`       // before every answer, in nanoseconds
	DropReplies bool          `json:"loseAnswers"` // drop the answers to writes, which still take effect
}

// Server serves a Memory over Consul's HTTP API. Its faults are read and set at
// /faults; /calls returns the numbers of reads and writes that it received.
type Server struct {
	store  *Memory
	mu     sync.Mutex // guards faults
	faults Faults
	reads  atomic.Uint64
	writes atomic.Uint64
}

// NewServer returns a Server for store.
func NewServer(store *Memory) *Server {
	return &Server{store: store}
}

// Store returns the store that is served.
func (s *Server) Store() *Memory { return s.store }

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that are injected.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the numbers of reads, watches included, and of writes.
func (s *Server) Calls() (reads, writes uint64) {
	return s.reads.Load(), s.writes.Load()
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.readHandler(s.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.writeHandler(s.put))
	mux.HandleFunc("PUT /v1/txn", s.writeHandler(s.txn))
	mux.HandleFunc("PUT /v1/session/create", s.writeHandler(s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.writeHandler(s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.writeHandler(s.destroySession))
	mux.HandleFunc("GET /faults", s.getFaults)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /calls", s.getCalls)
	return mux
}

// answer is the result of a handler; it is written to the client unless a fault
// drops it.
type answer struct {
	status int
	index  uint64
	body   any
}

// handler serves one call and leaves the writing of its answer to the caller.
type handler func(r *http.Request) (answer, error)

// readHandler serves reads by h, with faults. An outage that begins while a read
// waits drops its answer.
func (s *Server) readHandler(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.reads.Add(1)
		if !s.applyFaults(w, r) {
			return
		}
		ans, err := h(r)
		if s.Faults().Outage {
			closeConnection(w)
			return
		}
		respond(w, ans, err)
	}
}

// writeHandler serves writes by h, with faults. A dropped answer does not undo the
// write.
func (s *Server) writeHandler(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.writes.Add(1)
		if !s.applyFaults(w, r) {
			return
		}
		ans, err := h(r)
		if s.Faults().DropReplies {
			closeConnection(w)
			return
		}
		respond(w, ans, err)
	}
}

// applyFaults delays or drops a call, and reports whether to serve it.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults()
	if f.Outage {
		closeConnection(w)
		return false
	}
	if f.Delay <= 0 {
		return true
	}
	select {
	case <-time.After(f.Delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

func respond(w http.ResponseWriter, ans answer, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatUint(ans.index, 10))
	w.WriteHeader(ans.status)
	if ans.body != nil {
		_ = json.NewEncoder(w).Encode(ans.body)
	}
}

func (s *Server) get(r *http.Request) (answer, error) {
	key, query := r.PathValue("key"), r.URL.Query()
	if !query.Has("recurse") {
		return s.getOne(r.Context(), key)
	}
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	items, rev, err := s.store.Watch(r.Context(), key, after, wait)
	if err != nil {
		return answer{}, err
	}
	return pairsAnswer(items, rev), nil
}

func (s *Server) getOne(ctx context.Context, key string) (answer, error) {
	it, err := s.store.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return answer{status: http.StatusNotFound}, nil
	}
	return pairsAnswer([]Item{it}, it.Revision), err
}

func pairsAnswer(items []Item, rev uint64) answer {
	if len(items) == 0 {
		return answer{status: http.StatusNotFound, index: rev}
	}
	pairs := make([]consulPair, len(items))
	for i, it := range items {
		pairs[i] = consulPair{Key: it.Key, Value: it.Value, ModifyIndex: it.Revision}
	}
	return answer{status: http.StatusOK, index: rev, body: pairs}
}

func (s *Server) put(r *http.Request) (answer, error) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValue+1))
	if err != nil {
		return answer{}, err
	}
	lease := r.URL.Query().Get("acquire")
	if lease == "" {
		return answer{}, errors.New("the stand-in writes keys by transactions or with acquire only")
	}
	err = s.store.PutLeased(r.Context(), r.PathValue("key"), value, lease)
	if errors.Is(err, ErrNoLease) {
		return answer{status: http.StatusOK, body: false}, nil
	}
	return answer{status: http.StatusOK, body: true}, err
}

func (s *Server) txn(r *http.Request) (answer, error) {
	var ops []consulTxn
	if err := json.NewDecoder(r.Body).Decode(&ops); err != nil {
		return answer{}, err
	}
	if len(ops) != 1 || ops[0].KV.Verb != "cas" {
		return answer{}, errors.New("the stand-in takes transactions of one cas only")
	}
	kv := ops[0].KV
	rev, ok, err := s.store.CompareAndSwap(r.Context(), kv.Key, kv.Value, kv.Index)
	if err != nil || !ok {
		return answer{status: http.StatusConflict, body: consulTxnReply{}}, err
	}
	res := consulTxn{KV: consulTxnKV{Key: kv.Key, ModifyIndex: rev}}
	return answer{status: http.StatusOK, index: rev, body: consulTxnReply{Results: []consulTxn{res}}}, nil
}

func (s *Server) createSession(r *http.Request) (answer, error) {
	var sess consulSession
	if err := json.NewDecoder(r.Body).Decode(&sess); err != nil {
		return answer{}, err
	}
	ttl, err := time.ParseDuration(sess.TTL)
	if err != nil {
		return answer{}, err
	}
	id, err := s.store.Grant(r.Context(), ttl)
	return answer{status: http.StatusOK, body: consulSession{ID: id}}, err
}

func (s *Server) renewSession(r *http.Request) (answer, error) {
	err := s.store.Renew(r.Context(), r.PathValue("id"))
	if errors.Is(err, ErrNoLease) {
		return answer{status: http.StatusNotFound}, nil
	}
	return answer{status: http.StatusOK, body: []consulSession{}}, err
}

func (s *Server) destroySession(r *http.Request) (answer, error) {
	err := s.store.Revoke(r.Context(), r.PathValue("id"))
	return answer{status: http.StatusOK, body: true}, err
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	respond(w, answer{status: http.StatusOK, body: s.Faults()}, nil)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	err := json.NewDecoder(r.Body).Decode(&f)
	if err == nil {
		s.SetFaults(f)
	}
	respond(w, answer{status: http.StatusOK, body: f}, err)
}

// Calls is the reply of /calls.
type Calls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	reads, writes := s.Calls()
	respond(w, answer{status: http.StatusOK, body: Calls{Reads: reads, Writes: writes}}, nil)
}
