package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu        sync.Mutex // guards what follows
	rev       uint64
	items     map[string]storeItem
	events    []storeItem // history, which is kept whole
	changed   chan struct{}
	down      bool   // every call gets 503
	lossy     bool   // some writes get no answer
	lastActor string // process that last wrote under a condition
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	AsOf      uint64 `json:"asOf,omitempty"`
}

const (
	storeAnswerTime = 4 * time.Millisecond
	storePage       = 500 // items
	maxTxnEntries   = 32
)

func newStore() *store {
	return &store{rev: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// handler serves the store's protocol to one process of the site.
func (s *store) handler(process string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /masticbay/kv-key", s.get)
	mux.HandleFunc("GET /masticbay/kv-range", s.list)
	mux.HandleFunc("GET /masticbay/kv-watch", s.watch)
	mux.HandleFunc("POST /masticbay/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.txn(w, r, process) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime / 2)
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes every call get 503, or serves calls again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// leader returns the process that last wrote under a condition.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastActor
}

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, value)
	close(s.changed)
	s.changed = make(chan struct{})
}

// write sets a key at the present revision. The caller holds mu.
func (s *store) write(key string, value []byte) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := storeItem{Key: key, Value: value, Revision: s.rev, Created: created}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	it.AsOf = s.rev
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"asOf": it.AsOf})
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	more := len(items) > storePage
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), storePage)], "hasMore": more, "asOf": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		events, rev, changed := s.eventsAfter(q.Get("prefix"), after)
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answer(w, http.StatusOK, map[string]any{"events": []storeItem{}, "asOf": rev})
			return
		case <-r.Context().Done():
			return
		}
		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) (events []storeItem, rev uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.events) - 1; i >= 0 && s.events[i].Revision > after; i-- {
		if strings.HasPrefix(s.events[i].Key, prefix) {
			events = append(events, s.events[i])
		}
	}
	slices.Reverse(events)
	return events, s.rev, s.changed
}

type txnBody struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expectedRev"`
	Writes  []storeItem `json:"writes"`
	Deletes []string    `json:"deletes"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request, process string) {
	var b txnBody
	err := json.NewDecoder(r.Body).Decode(&b)
	if n := len(b.ExpectedRev) + len(b.Writes) + len(b.Deletes); err != nil || n > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	conflicts, rev := s.apply(&b, process)
	time.Sleep(storeAnswerTime / 2)
	if s.losesAnswer() {
		<-r.Context().Done()
		return
	}
	if conflicts != nil {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": conflicts})
		return
	}
	answer(w, http.StatusOK, map[string]uint64{"revision": rev})
}

// apply carries out a transaction. It returns the present items of its conditions if one
// of them does not hold.
func (s *store) apply(b *txnBody, process string) (conflicts []storeItem, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []storeItem{}
	for _, e := range b.ExpectedRev {
		it, ok := s.items[e.Key]
		if !ok {
			it.Key = e.Key
		}
		current = append(current, it)
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		return current, 0
	}
	if len(b.ExpectedRev) > 0 {
		s.lastActor = process
	}
	s.rev++
	for _, it := range b.Writes {
		s.write(it.Key, it.Value)
	}
	for _, key := range b.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, storeItem{Key: key, Revision: s.rev, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.rev
}

func answer(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a failure shows at the client
}
