package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold        = time.Second // longest lease, holdMaxMs
	maxHoldWait    = 2 * time.Second
	maxListed      = 500 // ends in one reply
	lastingStartup = 200 * time.Millisecond
	checkpointWork = 2 * time.Second        // of work between checkpoints
	restoreTime    = 600 * time.Millisecond // until a resumed run goes on, restoreMs
)

// executorConfig describes one incarnation of an executor.
type executorConfig struct {
	id     string
	labels []string
	cpu    int
	memMB  int
	guards bool // it rejects what does not fit
	// firstBeatAfter is the time from the start of an incarnation to its first heartbeat.
	firstBeatAfter time.Duration
}

// executor is a stand-in of an executor on a side machine.
type executor struct {
	name    string // of its machine
	address string
	control string
	service string
	zone    string
	rec     *record
	journal *journal

	mu      sync.Mutex // guards the fields below
	cfg     executorConfig
	up      bool
	life    int // number of the incarnation
	server  *http.Server
	cancel  context.CancelFunc
	started time.Time
	seq     uint64
	state   string

	token      uint64
	leaseUntil time.Time
	leaseTimer *time.Timer
	running    map[string]*taskRun
	highest    map[string]int // highest run that was stopped or has ended, by task
	ends       []taskEnd
	lastEnd    uint64
	ended      chan struct{} // closed and replaced at each end

	failing   bool          // all that it starts fails, while its heartbeats are good
	unwell    bool          // it refuses starts with 503
	gone      bool          // lost for good
	hanging   bool          // runs make no progress and don't end
	mute      bool          // it carries out no call and answers none
	lateShare float64       // of the orders, which get no answer and are carried out late
	drainFor  time.Duration // how long it drains before it leaves; 0 if that is not told
	drainAt   time.Time
	lapsedAt  time.Time // when its lease last expired
}

type taskRun struct {
	run     int
	entry   int // in the journal
	started time.Time
	work    workSpec
	timer   *time.Timer
	fails   bool
	resumed time.Duration // of its work that a checkpoint holds
	saved   string
}

type taskEnd struct {
	at     time.Time
	saved  string
	number uint64
	task   string
	run    int
	how    string
	entry  int
}

// workSpec is what the spec of a job says about its tasks, such as "work=200 fail".
type workSpec struct {
	takes  time.Duration
	lasts  bool
	fails  bool
	needed int // thousandths of a core
	memMB  int
	label  string // that the step requires
	saves  bool   // its tasks write checkpoints
}

func parseSpec(spec string) (w workSpec) {
	for _, f := range strings.Fields(spec) {
		k, v, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(v) // 0 for words without a number
		switch k {
		case "work":
			w.takes = time.Duration(n) * time.Millisecond
		case "lasts":
			w.lasts = true
		case "fails":
			w.fails = true
		case "cpu":
			w.needed = n
		case "mem":
			w.memMB = n
		case "label":
			w.label = v
		case "saves":
			w.saves = true
		}
	}
	return w
}

func (x *executor) start(cfg executorConfig) error {
	ln, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /masticbay/run-start", x.handle(x.handleStart))
	mux.HandleFunc("POST /masticbay/run-stop", x.handle(x.handleStop))
	mux.HandleFunc("POST /masticbay/hold", x.handle(x.handleHold))
	mux.HandleFunc("POST /masticbay/pace", x.handle(x.handlePace))
	ctx, cancel := context.WithCancel(context.Background())
	x.mu.Lock()
	x.cfg, x.up, x.cancel = cfg, true, cancel
	x.life++
	x.started, x.seq, x.state, x.drainAt = time.Now(), 0, "ready", time.Time{}
	x.token, x.leaseUntil, x.lastEnd = 0, time.Time{}, 0
	x.running, x.highest, x.ends, x.ended = make(map[string]*taskRun), make(map[string]int), nil, make(chan struct{})
	x.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	srv := x.server
	x.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go x.beat(ctx, cfg.firstBeatAfter)
	x.rec.line("%s: executor %s starts, labels %v, cpu %d", x.name, cfg.id, cfg.labels, cfg.cpu)
	return nil
}

// crash ends the executor without a word; everything that runs there ends with it.
func (x *executor) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up {
		return
	}
	x.up = false
	x.cancel()
	_ = x.server.Close()
	for task, r := range x.running {
		r.timer.Stop()
		x.journal.end(r.entry, "crashed")
		delete(x.running, task)
	}
	if x.gone {
		return
	}
	x.rec.line("%s: executor %s crashes", x.name, x.cfg.id)
}

// drain has the heartbeats say that the executor drains.
func (x *executor) drain(left time.Duration) {
	x.mu.Lock()
	x.state, x.drainFor = "draining", left
	x.rec.line("%s: executor %s drains for %v", x.name, x.cfg.id, left)
	x.mu.Unlock()
	_ = x.sendBeat(context.Background()) // repeated at the next interval
}

// draining returns the time since the acknowledgement that it drains. The caller holds mu.
func (x *executor) draining() time.Duration {
	if x.drainAt.IsZero() {
		return 0
	}
	return time.Since(x.drainAt)
}

// leave announces the end of the executor and ends it.
func (x *executor) leave() {
	x.mu.Lock()
	id := x.cfg.id
	x.mu.Unlock()
	resp, err := http.Post("http://"+x.control+"/masticbay/instances/"+id+"/leave", "application/json", nil)
	if err == nil {
		_ = resp.Body.Close()
	}
	x.crash()
}

func (x *executor) setFailing(f bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failing = f
	x.rec.line("%s: executor fails all that it starts: %v", x.name, f)
}

func (x *executor) setHanging(h bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hanging = h
	x.rec.line("%s: tasks stand still: %v", x.name, h)
}

func (x *executor) setMute(m bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mute = m
	x.rec.line("%s: executor answers no call: %v", x.name, m)
}

func (x *executor) setUnwell(u bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unwell = u
	x.rec.line("%s: executor refuses starts: %v", x.name, u)
}

func (x *executor) used() (cpu int) {
	for _, r := range x.running {
		cpu += r.work.needed
	}
	return cpu
}

// load returns the capacity and the part of it in use.
func (x *executor) load() (capacity, used int, up bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cfg.cpu, x.used(), x.up && !x.gone
}

func (x *executor) clock() int64 { return time.Since(x.started).Milliseconds() + 1000 }

func (x *executor) at(clockMs int64) time.Time {
	return x.started.Add(time.Duration(clockMs-1000) * time.Millisecond)
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`

	LastCheckpoint string `json:"lastCheckpoint"`
}

func (x *executor) handle(f func(context.Context, *order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		x.mu.Lock()
		if x.gone {
			x.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		for x.mute && x.up {
			x.mu.Unlock()
			select {
			case <-time.After(5 * time.Millisecond):
			case <-r.Context().Done():
				// A half of the calls that were given up is carried out all the same.
				if rand.IntN(2) == 0 {
					return
				}
				time.Sleep(rand.N(2 * time.Second))
			}
			x.mu.Lock()
		}
		if !x.up {
			x.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if x.lateShare > 0 && rand.Float64() < x.lateShare {
			life := x.life
			x.mu.Unlock()
			time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
				x.mu.Lock()
				defer x.mu.Unlock()
				if x.up && x.life == life {
					o.WaitMs = 0
					f(context.Background(), &o)
				}
			})
			<-r.Context().Done()
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != x.cfg.id {
			x.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := f(r.Context(), &o)
		x.mu.Unlock()
		raw, err := json.Marshal(body)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(raw) // the caller notices
	}
}

func (x *executor) reply(reason string) (int, map[string]any) {
	body := map[string]any{"clockMs": x.clock(), "born": x.started.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	return http.StatusOK, body
}

func (x *executor) extend(untilMs int64) {
	until := x.at(untilMs)
	if longest := time.Now().Add(maxHold); until.After(longest) {
		until = longest
	}
	if !until.After(x.leaseUntil) {
		return
	}
	x.leaseUntil = until
	life := x.life
	time.AfterFunc(time.Until(until)+time.Millisecond, func() { x.expire(life) })
}

func (x *executor) expire(life int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if life != x.life || !x.up || time.Now().Before(x.leaseUntil) {
		return
	}
	x.lapsedAt = time.Now()
	x.rec.line("%s: the lease expires, %d running", x.name, len(x.running))
	for task := range x.running {
		x.end(task, "lapsed")
	}
}

func (x *executor) handleStart(_ context.Context, o *order) (int, map[string]any) {
	if x.unwell {
		x.rec.line("%s: start of %s run %d refused with 503", x.name, o.Task, o.Run)
		return http.StatusServiceUnavailable, map[string]any{"clockMs": x.clock(), "born": x.started.UnixMilli()}
	}
	if o.FencingToken < x.token {
		return x.reply("fence")
	}
	x.token = o.FencingToken
	if !x.at(o.UntilMs).After(time.Now()) {
		return x.reply("late")
	}
	x.extend(o.UntilMs)
	if r, ok := x.running[o.Task]; ok && r.run == o.Run {
		return x.reply("")
	}
	if _, ok := x.running[o.Task]; ok || o.Run <= x.highest[o.Task] {
		return x.reply("old")
	}
	w := parseSpec(o.Spec)
	if x.cfg.guards && x.used()+w.needed > x.cfg.cpu {
		return x.reply("room")
	}
	r := &taskRun{run: o.Run, started: time.Now(), work: w, fails: w.fails, saved: o.LastCheckpoint}
	if o.LastCheckpoint != "" {
		r.resumed = x.journal.checkpoint(o.LastCheckpoint)
	}
	if x.failing {
		r.fails, r.work.lasts, r.work.takes = true, false, 5*time.Millisecond
	}
	r.entry = x.journal.begin(x, o.Task, o.Run, w, o.LastCheckpoint, o.Spec)
	x.running[o.Task] = r
	if r.work.lasts {
		r.timer = time.NewTimer(time.Hour)
		return x.reply("")
	}
	life, run := x.life, o.Run
	left := r.work.takes - r.resumed
	if r.resumed > 0 {
		left += restoreTime
	}
	r.timer = time.AfterFunc(max(left, time.Millisecond), func() { x.finish(life, o.Task, run) })
	return x.reply("")
}

func (x *executor) finish(life int, task string, run int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r, ok := x.running[task]
	if life != x.life || !x.up || !ok || r.run != run {
		return
	}
	if x.hanging {
		r.timer = time.AfterFunc(100*time.Millisecond, func() { x.finish(life, task, run) })
		return
	}
	if r.fails {
		x.end(task, "failed")
		return
	}
	x.end(task, "done")
}

func (x *executor) end(task, how string) {
	r := x.running[task]
	r.timer.Stop()
	delete(x.running, task)
	x.highest[task] = max(x.highest[task], r.run)
	x.journal.end(r.entry, how)
	if how != "done" && how != "failed" {
		r.save(x.journal, task, how == "stopped")
	}
	x.lastEnd++
	x.ends = append(x.ends, taskEnd{time.Now(), r.saved, x.lastEnd, task, r.run, how, r.entry})
	close(x.ended)
	x.ended = make(chan struct{})
}

func (x *executor) handleStop(_ context.Context, o *order) (int, map[string]any) {
	if o.FencingToken < x.token {
		return x.reply("fence")
	}
	x.token = o.FencingToken
	if r, ok := x.running[o.Task]; ok && r.run == o.Run {
		x.end(o.Task, "stopped")
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	return x.reply("")
}

func (x *executor) handlePace(_ context.Context, o *order) (int, map[string]any) {
	if o.FencingToken < x.token {
		return x.reply("fence")
	}
	x.token = o.FencingToken
	return x.reply("")
}

func (x *executor) handleHold(ctx context.Context, o *order) (int, map[string]any) {
	if o.FencingToken < x.token {
		return x.reply("fence")
	}
	x.token = o.FencingToken
	if o.UntilMs > 0 {
		x.extend(o.UntilMs)
	}
	kept := x.ends[:0]
	for _, e := range x.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		if !x.lapsedAt.After(e.at) {
			x.journal.seen(e.entry)
		}
	}
	x.ends = kept
	if len(x.ends) == 0 && o.WaitMs > 0 {
		ended := x.ended
		x.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait)):
		case <-ctx.Done():
		}
		x.mu.Lock()
	}
	status, body := x.reply("")
	running, ended := [][]any{}, [][]any{}
	for task, r := range x.running {
		r.save(x.journal, task, false)
		percent := r.percent()
		if x.hanging {
			percent = min(percent, 40)
		}
		running = append(running, []any{task, r.run, r.saved, percent, r.work.needed})
	}
	for _, e := range x.ends[:min(len(x.ends), maxListed)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	body["running"], body["ended"] = running, ended
	return status, body
}

func (r *taskRun) percent() int {
	elapsed := time.Since(r.started)
	switch {
	case r.work.lasts && elapsed > lastingStartup:
		return 100
	case r.work.lasts:
		return 0
	}
	return int(min(99, 100*r.worked()/max(r.work.takes, 1)))
}

// worked returns how much of its work is done.
func (r *taskRun) worked() time.Duration {
	elapsed := time.Since(r.started)
	if r.resumed > 0 {
		return r.resumed + max(elapsed-restoreTime, 0)
	}
	return elapsed
}

// save writes a checkpoint if one is due, or now.
func (r *taskRun) save(j *journal, task string, now bool) {
	if !r.work.saves {
		return
	}
	worked, last := r.worked(), j.checkpoint(r.saved)
	if now && worked > last || worked-last >= checkpointWork {
		r.saved = j.newCheckpoint(task, worked)
	}
}

// beat sends heartbeats until ctx ends.
func (x *executor) beat(ctx context.Context, first time.Duration) {
	pause := first
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = heartbeatInterval
		if err := x.sendBeat(ctx); err != nil {
			pause = heartbeatInterval / 5
		}
	}
}

func (x *executor) sendBeat(ctx context.Context) error {
	x.mu.Lock()
	x.seq++
	id := x.cfg.id
	body := map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": x.state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": x.cfg.cpu, "memMb": x.cfg.memMB, "gpus": 0}, "labels": x.cfg.labels,
		"clockMs": x.clock(), "seq": x.seq, "born": x.started.UnixMilli(),
	}
	if x.state == "draining" && x.drainFor > 0 {
		body["drainRemainingMs"] = x.drainFor.Milliseconds()
	}
	x.mu.Unlock()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.control+"/masticbay/instances/"+id+"/heartbeat", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // nothing more is read
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat of %s: status %d", id, resp.StatusCode)
	}
	x.mu.Lock()
	if body["state"] == "draining" && x.drainAt.IsZero() && x.cfg.id == id {
		x.drainAt = time.Now()
		x.rec.line("%s: heartbeat of %s (%s) acknowledged", x.name, id, body["state"])
	}
	x.mu.Unlock()
	return nil
}

// journalEntry is a run as its executor has seen it.
type journalEntry struct {
	machine  string
	executor string
	life     int
	labels   []string
	task     string
	run      int
	work     workSpec
	start    time.Time
	end      time.Time // zero while it runs
	how      string
	seen     bool   // lastSeen has reached its end, and the lease has not expired between
	resumes  string // checkpoint that its start carried
	spec     string
	usedCPU  int           // on the executor, this run included
	cpu      int           // of the executor
	draining time.Duration // since the acknowledgement that it drains; 0 before
}

// journal holds the runs of all executors.
type journal struct {
	rec *record

	mu      sync.Mutex // guards the fields below
	entries []journalEntry
	saves   []checkpoint
}

// checkpoint is the state that a task has saved.
type checkpoint struct {
	task   string
	worked time.Duration
}

func (j *journal) newCheckpoint(task string, worked time.Duration) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.saves = append(j.saves, checkpoint{task, worked})
	return fmt.Sprintf("%016x", len(j.saves))
}

// checkpoint returns the work that a checkpoint holds.
func (j *journal) checkpoint(name string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c, ok := j.find(name); ok {
		return c.worked
	}
	return 0
}

func (j *journal) find(name string) (c checkpoint, ok bool) {
	n, err := strconv.ParseInt(name, 16, 64)
	if err != nil || n < 1 || int(n) > len(j.saves) {
		return c, false
	}
	return j.saves[n-1], true
}

func (j *journal) begin(x *executor, task string, run int, w workSpec, resumes, spec string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, journalEntry{
		machine: x.name, executor: x.cfg.id, life: x.life, labels: x.cfg.labels, task: task, run: run, work: w,
		start: time.Now(), usedCPU: x.used() + w.needed, cpu: x.cfg.cpu, resumes: resumes, spec: spec,
		draining: x.draining(),
	})
	j.rec.line("%s: %s starts %s run %d", x.name, x.cfg.id, task, run)
	return len(j.entries) - 1
}

func (j *journal) end(entry int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := &j.entries[entry]
	e.end, e.how = time.Now(), how
	j.rec.line("%s: %s run %d ends %s", e.machine, e.task, e.run, how)
}

func (j *journal) seen(entry int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := &j.entries[entry]
	e.seen = true
	if late := time.Since(e.end); late > time.Second {
		j.rec.line("%s: the end of %s run %d is taken note of after %v", e.machine, e.task, e.run, late.Round(time.Millisecond))
	}
}

// of returns the runs of a job in the order of their starts.
func (j *journal) of(job string) []journalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var es []journalEntry
	for _, e := range j.entries {
		if strings.HasPrefix(e.task, job+".") {
			es = append(es, e)
		}
	}
	sort.SliceStable(es, func(a, b int) bool { return es[a].start.Before(es[b].start) })
	return es
}

// runningTasks returns the tasks of a job that run now.
func (j *journal) runningTasks(job string) map[string]bool {
	tasks := make(map[string]bool)
	for _, e := range j.of(job) {
		if e.end.IsZero() {
			tasks[e.task] = true
		}
	}
	return tasks
}

// all returns all runs.
func (j *journal) all() []journalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]journalEntry(nil), j.entries...)
}
