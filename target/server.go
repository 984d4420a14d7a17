package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"masticbay/identity"
)

// Config configures a stand-in.
type Config struct {
	Address          string // listen address
	AgentURL         string // of the agent beside it; empty to send no announcements
	Name             string
	Service          string
	Slots            int
	Median           time.Duration // of the run times
	Sigma            float64       // of the run times' log-normal distribution
	Speed            float64       // divides run times; 0 means 1
	Seed             int
	AnnounceInterval time.Duration
	Journal          *Journal
}

// Faults selects the faults that a stand-in injects.
type Faults struct {
	Slow    float64 `json:"slow"`    // multiplies run times; 0 means 1
	FailAll bool    `json:"failAll"` // fail every task immediately
	Hang    bool    `json:"hang"`    // accept tasks and never answer
}

// Server is a stand-in for a target.
type Server struct {
	cfg         Config
	incarnation string
	http        *http.Server
	cancel      context.CancelFunc
	loops       sync.WaitGroup
	running     atomic.Int64
	announceSeq atomic.Uint64 // Seq of the last announcement

	mu     sync.Mutex // guards the fields below
	rand   *rand.Rand
	faults Faults
}

// Start starts a stand-in, which serves tasks and sends announcements until Close
// or Kill.
func Start(cfg Config) (s *Server, err error) {
	defer func() { err = errors.Annotatef(err, "starting target %s", cfg.Name) }()
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	cfg.Address = ln.Addr().String()
	if cfg.Journal == nil {
		cfg.Journal = &Journal{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{cfg: cfg, incarnation: identity.New("target"), cancel: cancel, rand: rand.New(rand.NewPCG(uint64(cfg.Seed), 1))}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+RunPath, s.run)
	mux.HandleFunc("PUT /faults", s.putFaults)
	mux.HandleFunc("GET /journal", s.getJournal)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.http.Serve(ln) }()
	if cfg.AgentURL != "" {
		s.loops.Go(func() { s.announceLoop(ctx) })
	}
	return s, nil
}

const headerTimeout = 10 * time.Second

// Address returns the address at which the target listens.
func (s *Server) Address() string { return s.cfg.Address }

// Journal returns the record of starts.
func (s *Server) Journal() *Journal { return s.cfg.Journal }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Close announces that the target leaves, waits for running tasks and stops.
func (s *Server) Close(ctx context.Context) error {
	s.cancel()
	s.loops.Wait()
	if s.cfg.AgentURL != "" {
		_ = s.sendAnnouncement(ctx, true)
	}
	return s.http.Shutdown(ctx)
}

// Kill stops immediately, without an announcement.
func (s *Server) Kill() {
	s.cancel()
	_ = s.http.Close()
}

func (s *Server) announceLoop(ctx context.Context) {
	tick := time.NewTicker(s.cfg.AnnounceInterval)
	defer tick.Stop()
	for {
		_ = s.sendAnnouncement(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) sendAnnouncement(ctx context.Context, leaving bool) (err error) {
	defer func() { err = errors.Annotate(err, "sending an announcement") }()
	body, err := json.Marshal(Announcement{
		Name: s.cfg.Name, Service: s.cfg.Service, Address: s.cfg.Address,
		Slots: s.cfg.Slots, Leaving: leaving, Life: s.incarnation, Seq: s.announceSeq.Add(1),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.cfg.AgentURL+AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// maxPayload bounds what the stand-in reads of a request, in bytes.
const maxPayload = 1 << 20

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.Header.Get(IndexHeader))
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxPayload))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.cfg.Journal.Record(Started{Key: r.Header.Get(KeyHeader), Rerun: r.Header.Get(RerunHeader), Index: index})
	s.running.Add(1)
	defer s.running.Add(-1)
	runTime, faults := s.drawRunTime(payload)
	if faults.FailAll {
		http.Error(w, "this target fails every task", http.StatusInternalServerError)
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(runTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Result{Target: s.cfg.Name, Index: index, TookMillis: runTime.Milliseconds()})
}

// Result is the result of a task that the stand-in ran.
type Result struct {
	Target     string `json:"target"`
	Index      int    `json:"index"`
	TookMillis int64  `json:"tookMillis"`
}

// payloadOptions is the part of a payload that the stand-in evaluates.
type payloadOptions struct {
	RunMillis *float64 `json:"runMillis"` // the run time at speed 1
}

// drawRunTime returns a random run time for a task, or the one in its payload,
// adjusted for speed and faults.
func (s *Server) drawRunTime(payload []byte) (time.Duration, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runTime := float64(s.cfg.Median) * math.Exp(s.cfg.Sigma*s.rand.NormFloat64())
	var p payloadOptions
	if json.Unmarshal(payload, &p) == nil && p.RunMillis != nil {
		runTime = *p.RunMillis * float64(time.Millisecond)
	}
	if s.cfg.Speed > 0 {
		runTime /= s.cfg.Speed
	}
	if s.faults.Slow > 0 {
		runTime *= s.faults.Slow
	}
	return time.Duration(runTime), s.faults
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// JournalLine is one line of the /journal reply.
type JournalLine struct {
	Started
	Count int `json:"count"`
}

func (s *Server) getJournal(w http.ResponseWriter, _ *http.Request) {
	enc := json.NewEncoder(w)
	for start, n := range s.cfg.Journal.Counts() {
		_ = enc.Encode(JournalLine{start, n})
	}
}
