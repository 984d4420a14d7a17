package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// executorSpec is the room of an executor.
type executorSpec struct {
	cpu int // thousandths of a core
	mem int // MB
}

// work is what a task does; clients send it as the job's spec.
type work struct {
	Ms    int  `json:"ms"`    // run time
	Lasts bool `json:"lasts"` // it runs until it is stopped
}

// executor is a sound executor on the same machine as its agent.
type executor struct {
	rec     *recorder
	id      string
	address string // where the agent calls it
	control string // where its heartbeats go
	spec    executorSpec
	labels  []string
	born    time.Time
	http    *http.Client // for heartbeats
	// send sends a heartbeat and reports whether it was acknowledged.
	send func(body []byte) bool

	mu         sync.Mutex
	token      uint64
	until      time.Duration // end of the lease, on its clock
	running    map[string]*taskRun
	highest    map[string]int // highest run that was stopped or has ended, by task
	ended      []endedRun
	lastEnd    uint64
	changed    chan struct{} // closed and replaced when a run ends
	starts     []startRecord
	stops      []stopRecord
	ends       []endRecord
	draining   bool
	drainAcked time.Time // first acknowledgement of a heartbeat that says draining
	seq        int
	lapsed     bool
	lapsedAt   time.Time // when the lease lapsed last
	server     *http.Server
	down       bool
	cutUntil   time.Time // no call reaches it before
	gone       bool      // it runs and answers nothing any more
	lateShare  float64   // of the starts that are held up
	lateUntil  time.Time
}

type taskRun struct {
	run       int
	work      work
	startedAt time.Time
}

type endedRun struct {
	number uint64
	task   string
	run    int
	how    string
}

type startRecord struct {
	task string
	run  int
	at   time.Time
}

type stopRecord struct {
	task   string
	at     time.Time
	atWork bool // it was at work
}

type endRecord struct {
	task   string
	run    int
	how    string
	number uint64
	born   time.Time
	at     time.Time
	acked  time.Time // when it was taken note of, unless the lease had lapsed since its end
}

// lastingStartup is how long a task that lasts takes until it is at work.
const lastingStartup = 100 * time.Millisecond

const (
	clockBase = 400 * time.Second // reading of an executor's clock at its start
	maxHold   = time.Second       // holdMaxMs
)

func newExecutor(rec *recorder, id, ip string, i int, spec executorSpec) (*executor, error) {
	e := &executor{
		rec: rec, id: id, control: fmt.Sprintf("%s:%d", ip, controlPort), spec: spec, labels: []string{"a", fmt.Sprintf("r1-%d", i/3)}, born: time.Now(),
		http: &http.Client{Timeout: time.Second}, running: make(map[string]*taskRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	e.send, e.address = e.post, fmt.Sprintf("%s:%d", ip, workerPort)
	if err := e.listen(); err != nil {
		return nil, err
	}
	go e.tick()
	return e, nil
}

// listen serves the agent.
func (e *executor) listen() error {
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /masticbay/run-start", e.handle(true, e.start))
	mux.HandleFunc("POST /masticbay/run-stop", e.handle(false, e.stop))
	mux.HandleFunc("POST /masticbay/hold", e.handle(false, e.hold))
	server := &http.Server{Handler: mux}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	return nil
}

// crash ends all runs, and starts the executor again under its id after a while. It then knows
// nothing of before.
func (e *executor) crash(d time.Duration) error {
	e.mu.Lock()
	e.rec.add(e.id, "crashes, and is back after %v", d)
	e.down = true
	server := e.server
	for task := range e.running {
		e.end(task, "crashed")
	}
	e.mu.Unlock()
	_ = server.Close()
	time.Sleep(d)
	e.mu.Lock()
	e.down, e.born, e.token, e.until, e.ended, e.lastEnd, e.seq = false, time.Now(), 0, 0, nil, 0, 0
	e.highest = make(map[string]int)
	e.rec.add(e.id, "is back")
	e.mu.Unlock()
	return e.listen()
}

// lose ends all runs. The executor answers nothing from then on.
func (e *executor) lose() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.add(e.id, "is lost for good")
	e.gone = true
	for task := range e.running {
		e.end(task, "lost")
	}
}

// cutOff has no call of the agent reach the executor until a time.
func (e *executor) cutOff(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutUntil = until
}

// carryOutLate has a share of the starts get no answer and be carried out 2 to 12 s late, for a while.
func (e *executor) carryOutLate(share float64, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateShare, e.lateUntil = share, time.Now().Add(d)
}

// delay returns by how much an order is held up on its way; 0 for not at all. The caller holds mu.
func (e *executor) delay() time.Duration {
	if time.Now().After(e.lateUntil) || rand.Float64() >= e.lateShare {
		return 0
	}
	return 2*time.Second + rand.N(10*time.Second)
}

func (e *executor) clock() time.Duration { return clockBase + time.Since(e.born) }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Token    uint64 `json:"fencingToken"`
	LastSeen uint64 `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

func (e *executor) handle(mayBeLate bool, do func(ctx context.Context, o *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		if e.gone || time.Now().Before(e.cutUntil) {
			e.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if wait := e.delay(); mayBeLate && wait > 0 {
			e.rec.add(e.id, "gets the start of %s run %d in %v", o.Task, o.Run, wait.Round(time.Millisecond))
			e.mu.Unlock()
			time.AfterFunc(wait, func() { e.takeLate(r.Header.Get("Expect-Instance"), &o, do) })
			<-r.Context().Done()
			return
		}
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if id := r.Header.Get("Expect-Instance"); id == "" || id == e.id {
			status, body = do(r.Context(), &o)
		}
		body["clockMs"], body["born"] = e.clock().Milliseconds(), e.born.UnixMilli()
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// takeLate takes an order that was held up. It is lost if the executor is down.
func (e *executor) takeLate(id string, o *order, do func(ctx context.Context, o *order) (int, map[string]any)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down && (id == "" || id == e.id) {
		do(context.Background(), o)
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (e *executor) extend(untilMs int64) {
	e.until = max(e.until, min(time.Duration(untilMs)*time.Millisecond, e.clock()+maxHold))
}

func (e *executor) start(_ context.Context, o *order) (int, map[string]any) {
	if o.Token < e.token {
		return refuse("fence")
	}
	e.token = o.Token
	if time.Duration(o.UntilMs)*time.Millisecond <= e.clock() {
		return refuse("late")
	}
	e.extend(o.UntilMs)
	if r, ok := e.running[o.Task]; ok && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if _, ok := e.running[o.Task]; ok || o.Run <= e.highest[o.Task] {
		return refuse("old")
	}
	var w work
	if json.Unmarshal([]byte(o.Spec), &w) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	e.running[o.Task] = &taskRun{run: o.Run, work: w, startedAt: time.Now()}
	e.starts = append(e.starts, startRecord{o.Task, o.Run, time.Now()})
	e.rec.add(e.id, "starts %s run %d, token %d", o.Task, o.Run, o.Token)
	return http.StatusOK, map[string]any{}
}

func (e *executor) stop(_ context.Context, o *order) (int, map[string]any) {
	if o.Token < e.token {
		return refuse("fence")
	}
	e.token = o.Token
	if r, ok := e.running[o.Task]; ok && r.run == o.Run {
		e.stops = append(e.stops, stopRecord{o.Task, time.Now(), r.percent() == 100})
		e.rec.add(e.id, "is told to stop %s run %d, at work: %t", o.Task, o.Run, r.percent() == 100)
		e.end(o.Task, "stopped")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

func (e *executor) hold(ctx context.Context, o *order) (int, map[string]any) {
	if o.Token < e.token {
		return refuse("fence")
	}
	e.token = o.Token
	if o.UntilMs > 0 {
		e.extend(o.UntilMs)
	}
	e.acknowledge(o.LastSeen)
	if len(e.ended) == 0 && o.WaitMs > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, r := range e.running {
		running = append(running, []any{task, r.run, "", r.percent(), 0})
	}
	for _, r := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{r.number, r.task, r.run, r.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// acknowledge forgets the ends up to a number. The caller holds mu.
func (e *executor) acknowledge(lastSeen uint64) {
	for len(e.ended) > 0 && e.ended[0].number <= lastSeen {
		for i := len(e.ends) - 1; i >= 0; i-- {
			r := &e.ends[i]
			if r.born == e.born && r.number == e.ended[0].number {
				if r.acked.IsZero() && e.lapsedAt.Before(r.at) {
					r.acked = time.Now()
				}
				break
			}
		}
		e.ended = e.ended[1:]
	}
}

func (r *taskRun) percent() int {
	elapsed := time.Since(r.startedAt)
	switch {
	case r.work.Lasts && elapsed >= lastingStartup:
		return 100
	case r.work.Lasts:
		return 0
	}
	return int(min(99, 100*elapsed.Milliseconds()/int64(max(r.work.Ms, 1))))
}

// end ends a run. The caller holds mu.
func (e *executor) end(task, how string) {
	r := e.running[task]
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], r.run)
	e.lastEnd++
	e.ended = append(e.ended, endedRun{e.lastEnd, task, r.run, how})
	e.ends = append(e.ends, endRecord{task: task, run: r.run, how: how, number: e.lastEnd, born: e.born, at: time.Now()})
	e.rec.add(e.id, "end %d: %s run %d %s", e.lastEnd, task, r.run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// tick ends runs that are over, and all when the lease has expired.
func (e *executor) tick() {
	for {
		time.Sleep(time.Millisecond)
		e.mu.Lock()
		if e.clock() >= e.until {
			if !e.lapsed {
				e.lapsed, e.lapsedAt = true, time.Now()
			}
		} else {
			e.lapsed = false
		}
		for task, r := range e.running {
			switch {
			case e.clock() >= e.until:
				e.end(task, "lapsed")
			case !r.work.Lasts && time.Since(r.startedAt) >= time.Duration(r.work.Ms)*time.Millisecond:
				e.end(task, "done")
			}
		}
		e.mu.Unlock()
	}
}

// beat returns the next heartbeat and whether it says that the executor drains.
func (e *executor) beat() (body []byte, draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	ip, _, _ := strings.Cut(e.control, ":")
	body, _ = json.Marshal(map[string]any{
		"service": serviceName, "address": fmt.Sprintf("%s:%d", ip, workerPort), "zone": "kilimani", "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": e.spec.cpu, "memMb": e.spec.mem, "gpus": 0}, "labels": e.labels, "clockMs": e.clock().Milliseconds(), "seq": e.seq, "born": e.born.UnixMilli(),
	})
	e.rec.add(e.id, "sends heartbeat %d: %s", e.seq, state)
	return body, e.draining
}

// post sends a heartbeat on a connection that is used again.
func (e *executor) post(body []byte) bool {
	resp, err := e.http.Post(fmt.Sprintf("http://%s/masticbay/instances/%s/heartbeat", e.control, e.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sendHeartbeats sends heartbeats; after one that is not acknowledged within a second, the
// next one follows shortly.
func (e *executor) sendHeartbeats() {
	for {
		e.mu.Lock()
		send, down := e.send, e.down || e.gone
		e.mu.Unlock()
		if down {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body, draining := e.beat()
		if !send(body) {
			time.Sleep(250 * time.Millisecond)
			continue
		}
		e.mu.Lock()
		if draining && e.drainAcked.IsZero() {
			e.drainAcked = time.Now()
			e.rec.add(e.id, "its draining is acknowledged")
		}
		e.mu.Unlock()
		e.pause(heartbeat)
	}
}

// pause waits, but not beyond a restart of the executor.
func (e *executor) pause(d time.Duration) {
	e.mu.Lock()
	born := e.born
	e.mu.Unlock()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		e.mu.Lock()
		restarted := e.born != born
		e.mu.Unlock()
		if restarted {
			return
		}
	}
}

// drain has the executor say that it leaves, from its next heartbeat on.
func (e *executor) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

func (e *executor) setSend(send func(body []byte) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.send = send
}
