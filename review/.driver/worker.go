package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world is what the executors have in common: the work of each job, the gangs, and the
// record of all runs. Its mutex guards the executors, too.
type world struct {
	rec *record

	mu      sync.Mutex // guards what follows and the fields of the workers
	jobs    map[string]*jobWork
	failed  map[string]int // by task: runs that have ended as failed
	starts  map[string]int // by task: runs that have started
	gangs   map[string]*gang
	runs    []*runRecord
	perTask map[string][]*runRecord
}

// jobWork tells what the tasks of a job do.
type jobWork struct {
	spec     string
	runTime  time.Duration // zero for tasks that last
	cpu, mem int           // of each task
	gang     int           // number of tasks that work only together; zero for single tasks
	failRuns int           // the first runs of each task that fail
	failTime time.Duration // after which they fail
	failStep time.Duration // by which each task fails later than the one before
}

// gang is one run of the tasks of a gang.
type gang struct {
	members []*workerRun
	working bool
}

// runRecord is a run as its executor has seen it.
type runRecord struct {
	Job, Task string
	Run       int
	Worker    string
	Started   time.Time
	Ended     time.Time // zero while it runs
	How       string
	Noted     bool // lastSeen has reached its end before the lease lapsed
}

func newWorld(rec *record) *world {
	return &world{
		rec: rec, jobs: make(map[string]*jobWork), failed: make(map[string]int), starts: make(map[string]int),
		gangs: make(map[string]*gang), perTask: make(map[string][]*runRecord),
	}
}

// runsOf returns copies of the records of a job's runs.
func (wd *world) runsOf(job string) (rs []runRecord) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for _, r := range wd.runs {
		if r.Job == job {
			rs = append(rs, *r)
		}
	}
	return rs
}

// worker is a stand-in of an executor.
type worker struct {
	wd       *world
	id       string
	service  string
	labels   []string
	cpu, mem int

	// The world's mutex guards what follows.
	born       time.Time
	token      uint64
	leaseUntil time.Duration
	running    map[string]*workerRun // by task
	highest    map[string]int        // by task: highest run that was stopped or has ended
	ended      []workerEnd
	lastEnd    uint64
	lapsedAt   time.Time // when the lease last ran out
	endListed  chan struct{}
	seq        uint64
	muted      func(start int) bool // whether a start is carried out and not answered
	down       bool                 // it has crashed
	late       func() time.Duration // after how long a start is carried out without an answer; zero: at once and answered
	starts     int
	startTimes []time.Duration // from the arrival of a start to the answer
}

type workerRun struct {
	w         *worker
	task      string
	run       int
	work      *jobWork
	rec       *runRecord
	workSince time.Time // zero while it waits for its gang
	timer     *time.Timer
}

type workerEnd struct {
	n    uint64
	task string
	run  int
	how  string
	at   time.Time
	rec  *runRecord
}

// The bounds of the executors.
const (
	clockStart     = 5 * time.Second // reading of an executor's clock when it starts
	holdMax        = time.Second
	stopTime       = 20 * time.Millisecond
	gangWait       = 3 * time.Second
	maxEndsAtATime = 500
	beatInterval   = 1500 * time.Millisecond
)

func newWorker(wd *world, id, service string, cpu, mem int, labels ...string) *worker {
	return &worker{
		wd: wd, id: id, service: service, labels: labels, cpu: cpu, mem: mem, born: time.Now(),
		running: make(map[string]*workerRun), highest: make(map[string]int), endListed: make(chan struct{}),
	}
}

// setMuted has the executor carry out some starts without an answer.
func (w *worker) setMuted(muted func(start int) bool) {
	w.wd.mu.Lock()
	defer w.wd.mu.Unlock()
	w.muted = muted
}

// answerTimes describes how long the executor took to answer starts.
func (w *worker) answerTimes() string {
	w.wd.mu.Lock()
	defer w.wd.mu.Unlock()
	slices.Sort(w.startTimes)
	if len(w.startTimes) == 0 {
		return "no starts"
	}
	n := len(w.startTimes)
	return fmt.Sprintf("%d starts, answered within %v (half), %v (99 of 100), %v (all)", n, w.startTimes[n/2], w.startTimes[n*99/100], w.startTimes[n-1])
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + clockStart }

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /masticbay/run-start", w.serve(w.start))
	mux.HandleFunc("POST /masticbay/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /masticbay/hold", w.serve(w.hold))
	return mux
}

func (w *worker) serve(carryOut func(context.Context, *order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		arrived := time.Now()
		w.wd.mu.Lock()
		if w.down {
			w.wd.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if o.Spec != "" && w.late != nil {
			if after := w.late(); after > 0 {
				w.wd.mu.Unlock()
				w.wd.rec.printf("%s: the start of %s#%d is held up for %v", w.id, o.Task, o.Run, after)
				time.AfterFunc(after, func() { w.carryOutLate(&o) })
				<-r.Context().Done()
				return
			}
		}
		muted := false
		if o.Spec != "" {
			w.starts++
			muted = w.muted != nil && w.muted(w.starts)
		}
		status, body := carryOut(r.Context(), &o)
		w.wd.mu.Unlock()
		if muted {
			w.wd.rec.printf("%s: the answer to the start of %s#%d is lost", w.id, o.Task, o.Run)
			<-r.Context().Done()
			return
		}
		answer(rw, status, body)
		if o.Spec == "" {
			return
		}
		w.wd.mu.Lock()
		defer w.wd.mu.Unlock()
		w.startTimes = append(w.startTimes, time.Since(arrived))
	}
}

// carryOutLate carries out a start that was held up, if the executor is up. The order names
// no incarnation, so a later one carries it out as well.
func (w *worker) carryOutLate(o *order) {
	w.wd.mu.Lock()
	defer w.wd.mu.Unlock()
	if w.down {
		return
	}
	status, body := w.start(context.Background(), o)
	if status == http.StatusOK {
		w.wd.rec.printf("%s: the start of %s#%d, which was held up, is carried out: %v", w.id, o.Task, o.Run, body)
	}
}

// reply returns a response. The caller holds the world's mutex, as for all that follows.
func (w *worker) reply(reason string) (int, map[string]any) {
	body := map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	return http.StatusOK, body
}

// fenced takes the token of an order and reports whether it is too low.
func (w *worker) fenced(o *order) bool {
	if o.FencingToken < w.token {
		return true
	}
	w.token = o.FencingToken
	return false
}

func (w *worker) extendLease(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock()+holdMax)
	if until <= w.leaseUntil {
		return
	}
	w.leaseUntil = until
	time.AfterFunc(until-w.clock()+time.Millisecond, w.checkLease)
}

func (w *worker) checkLease() {
	w.wd.mu.Lock()
	defer w.wd.mu.Unlock()
	if w.clock() < w.leaseUntil {
		return
	}
	w.lapsedAt = time.Now()
	for _, r := range w.running {
		w.end(r, "lapsed")
	}
}

func (w *worker) start(_ context.Context, o *order) (int, map[string]any) {
	if w.fenced(o) {
		return w.reply("fence")
	}
	if time.Duration(o.UntilMs)*time.Millisecond <= w.clock() {
		return w.reply("late")
	}
	w.extendLease(o.UntilMs)
	if r, ok := w.running[o.Task]; ok && r.run == o.Run {
		return w.reply("")
	}
	if _, ok := w.running[o.Task]; ok || o.Run <= w.highest[o.Task] {
		return w.reply("old")
	}
	job, _, _ := strings.Cut(o.Task, ".")
	work, ok := w.wd.jobs[job]
	if !ok || work.spec != o.Spec {
		w.wd.rec.printf("%s: start of %s#%d, which no client sent", w.id, o.Task, o.Run)
		work = &jobWork{runTime: 100 * time.Millisecond}
	}
	cpu, mem := work.cpu, work.mem
	for _, r := range w.running {
		cpu, mem = cpu+r.work.cpu, mem+r.work.mem
	}
	if cpu > w.cpu || mem > w.mem {
		return w.reply("room")
	}
	w.begin(job, o, work)
	return w.reply("")
}

func (w *worker) begin(job string, o *order, work *jobWork) {
	rec := &runRecord{Job: job, Task: o.Task, Run: o.Run, Worker: w.id, Started: time.Now()}
	w.wd.runs = append(w.wd.runs, rec)
	w.wd.perTask[o.Task] = append(w.wd.perTask[o.Task], rec)
	w.wd.rec.printf("%s: %s#%d starts", w.id, o.Task, o.Run)
	r := &workerRun{w: w, task: o.Task, run: o.Run, work: work, rec: rec}
	w.running[o.Task] = r
	w.wd.starts[o.Task]++
	if work.gang == 0 {
		r.workSince = time.Now()
		how, after := "done", work.runTime
		if w.wd.starts[o.Task] <= work.failRuns {
			how, after = "failed", work.failTime+time.Duration(taskIndex(o.Task))*work.failStep
		}
		if after > 0 {
			r.timer = time.AfterFunc(after, func() { w.timedEnd(r, how) })
		}
		return
	}
	g := w.wd.gangOf(r)
	g.members = append(g.members, r)
	if len(g.members) < work.gang {
		r.timer = time.AfterFunc(gangWait, func() { w.timedEnd(r, "alone") })
		return
	}
	g.working = true
	for _, m := range g.members {
		m.timer.Stop()
		m.workSince = time.Now()
	}
	r.timer = time.AfterFunc(work.runTime, func() { w.wd.endGang(g) })
}

// taskIndex returns the last number of a task's name.
func taskIndex(task string) int {
	n, err := strconv.Atoi(task[strings.LastIndexByte(task, '.')+1:])
	if err != nil {
		return 0
	}
	return n
}

// gangOf returns the gang of a run.
func (wd *world) gangOf(r *workerRun) *gang {
	step := r.task[:strings.LastIndexByte(r.task, '.')]
	key := fmt.Sprintf("%s#%d", step, r.run)
	if wd.gangs[key] == nil {
		wd.gangs[key] = &gang{}
	}
	r.timer = time.NewTimer(time.Hour)
	return wd.gangs[key]
}

// endGang ends all members as done if none has ended before.
func (wd *world) endGang(g *gang) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if !g.working {
		return
	}
	g.working = false
	for _, m := range g.members {
		m.w.end(m, "done")
	}
}

func (w *worker) timedEnd(r *workerRun, how string) {
	w.wd.mu.Lock()
	defer w.wd.mu.Unlock()
	if w.running[r.task] == r && (how != "alone" || r.workSince.IsZero()) {
		w.end(r, how)
	}
}

// end ends a run, and the other members of its gang if they are at work.
func (w *worker) end(r *workerRun, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.highest[r.task] = max(w.highest[r.task], r.run)
	r.rec.Ended, r.rec.How = time.Now(), how
	if how == "failed" {
		w.wd.failed[r.task]++
	}
	w.lastEnd++
	w.ended = append(w.ended, workerEnd{w.lastEnd, r.task, r.run, how, time.Now(), r.rec})
	w.wd.rec.printf("%s: %s#%d ends %s", w.id, r.task, r.run, how)
	close(w.endListed)
	w.endListed = make(chan struct{})
	if r.work.gang == 0 || how == "done" {
		return
	}
	g := w.wd.gangOf(r)
	working := g.working
	g.working = false
	g.members = slices.DeleteFunc(g.members, func(m *workerRun) bool { return m == r })
	if working {
		for _, m := range slices.Clone(g.members) {
			m.w.end(m, "broken")
		}
	}
}

func (w *worker) stop(_ context.Context, o *order) (int, map[string]any) {
	if w.fenced(o) {
		return w.reply("fence")
	}
	if r, ok := w.running[o.Task]; ok && r.run == o.Run {
		time.AfterFunc(stopTime, func() { w.timedEnd(r, "stopped") })
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	return w.reply("")
}

func (w *worker) hold(ctx context.Context, o *order) (int, map[string]any) {
	if w.fenced(o) {
		return w.reply("fence")
	}
	if o.UntilMs > 0 {
		w.extendLease(o.UntilMs)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e workerEnd) bool {
		seen := e.n <= o.LastSeen
		if seen && w.lapsedAt.Before(e.at) {
			e.rec.Noted = true
		}
		return seen
	})
	if len(w.ended) == 0 && o.WaitMs > 0 {
		listed := w.endListed
		w.wd.mu.Unlock()
		select {
		case <-listed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-ctx.Done():
		}
		w.wd.mu.Lock()
	}
	status, body := w.reply("")
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		running = append(running, []any{task, r.run, "", r.percent(), r.work.cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), maxEndsAtATime)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	body["running"], body["ended"] = running, ended
	return status, body
}

func (r *workerRun) percent() int {
	switch {
	case r.workSince.IsZero():
		return 0
	case r.work.runTime == 0:
		return 100
	}
	return int(min(99, 100*time.Since(r.workSince)/r.work.runTime))
}
