package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"masticbay/platform/standin"
)

// The soak plays stored jobs under random disruptions and checks the rules that hold at all
// times. It is no case of its own: it looks for cases.

var soakConfig = siteConfig{entries: 3, executors: executors(8, 3, 16000), maxAttempts: 3, remoteFactor: 1.5}

// soakOpenConfig is soakConfig with executors that start whatever they are told to.
var soakOpenConfig = func() siteConfig {
	cfg := soakConfig
	cfg.executors = executors(8, 3, 16000)
	for i := range cfg.executors {
		cfg.executors[i].guards = false
	}
	return cfg
}()

// soakJob is a job of the soak and what its client knows of it.
type soakJob struct {
	id, queue   string
	body        jobBody
	acceptedAt  time.Time
	rejected    int
	attempts    int
	cancelAt    time.Time // when the cancellation was acknowledged
	cancelSent  bool
	ended       string
	shownDoneAt time.Time
	gone        []string
}

type soak struct {
	s   *site
	rnd *rand.Rand
	mix []string // kinds of job to choose from
	// scale multiplies the CPU of the tasks.
	scale int

	mu   sync.Mutex      // guards what follows
	busy map[string]bool // machines under a disruption
	jobs []*soakJob
}

// soakKinds are the disruptions to choose from; the environment variable SOAK_KINDS names others.
const soakKinds = "killEntry killEntry freezeEntry termEntry killAgent freezeAgent termAgent crash crashNewID grey hang mute mute unwell late storeDown storeSlow storeLost storeLate storeSome coreCut coreCut drain killTwo killAllEntries killAll freezeAgents"

// soakMix are the kinds of job to choose from; the environment variable SOAK_MIX names others.
const soakMix = "plain plain plain after after fails gang gangAfter label spread saves saves timed timed lasts"

// clientInterval is the time between the jobs of the soak.
const clientInterval = 40 * time.Millisecond

func playSoak(s *site, trouble bool) (verdict, error) {
	seed, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	if err != nil {
		seed = rand.Uint64() >> 32
	}
	s.rec.line("soak: seed %d", seed)
	mix := os.Getenv("SOAK_MIX")
	if mix == "" {
		mix = soakMix
	}
	k := &soak{s: s, busy: make(map[string]bool), mix: strings.Fields(mix), rnd: rand.New(rand.NewPCG(seed, 1))}
	kinds := strings.Fields(soakKinds)
	if v := os.Getenv("SOAK_KINDS"); v != "" {
		kinds = strings.Fields(v)
	}
	s.store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
	k.scale = 1
	if os.Getenv("SOAK_HEAVY") != "" {
		k.scale = 3
	}
	stop := s.background(clientInterval, func(int) { k.client() })
	end := time.Now().Add(45 * time.Second)
	var running sync.WaitGroup
	for time.Now().Before(end) && s.ctx.Err() == nil {
		s.sleep(time.Duration(500+k.intN(3000)) * time.Millisecond)
		if trouble {
			kind := kinds[k.intN(len(kinds))]
			running.Go(func() { k.disrupt(kind) })
		}
	}
	running.Wait()
	stop()
	s.sleep(finishTime)
	broken := k.check()
	if len(broken) > 0 {
		return verdict{true, fmt.Sprintf("seed %d: %d:\n  %s", seed, len(broken), strings.Join(broken[:min(len(broken), 30)], "\n  "))}, nil
	}
	return verdict{false, fmt.Sprintf("seed %d, %d jobs, %d runs", seed, len(k.jobs), len(s.journal.all()))}, nil
}

func (k *soak) intN(n int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rnd.IntN(n)
}

func (k *soak) disrupt(kind string) {
	s := k.s
	s.rec.line("soak: %s", kind)
	entry := fmt.Sprintf("entry-%d", 1+k.intN(s.cfg.entries))
	if k.intN(2) == 0 {
		entry = k.holder(entry)
	}
	n := k.intN(len(s.executors))
	agent, x := fmt.Sprintf("side-%d", n+1), s.executors[n]
	for _, of := range []struct{ kind, thing string }{{"Entry", entry}, {"Two", entry}, {"Agent", agent}, {"crash", agent}, {"drain", agent}, {"grey", agent}, {"unwell", agent}, {"hang", agent}, {"mute", agent}, {"store", "store"}, {"late", "late"}, {"All", "entry-1"}, {"All", "entry-2"}, {"All", "entry-3"}} {
		if strings.Contains(kind, of.kind) {
			if !k.take(of.thing) {
				return
			}
			defer k.release(of.thing)
		}
	}
	switch kind {
	case "killAll", "killAllEntries":
		names := []string{}
		for _, p := range s.processes {
			if p.role == "entry" || kind == "killAll" && k.take(p.name) {
				names = append(names, p.name)
			}
		}
		for _, name := range names {
			s.kill(name)
		}
		s.sleep(time.Duration(300+k.intN(1200)) * time.Millisecond)
		for _, name := range names {
			_ = s.launch(s.process(name))
			if !strings.HasPrefix(name, "entry") {
				k.release(name)
			}
		}
	case "freezeAgents":
		var frozen sync.WaitGroup
		for range 3 {
			other := fmt.Sprintf("side-%d", 1+k.intN(len(s.executors)))
			frozen.Go(func() {
				if k.take(other) {
					s.freeze(other, time.Duration(200+k.intN(3800))*time.Millisecond)
					k.release(other)
				}
			})
		}
		frozen.Wait()
	case "killEntry", "killTwo":
		s.kill(entry)
		if kind == "killTwo" {
			s.sleep(time.Duration(k.intN(1500)) * time.Millisecond)
			other := fmt.Sprintf("entry-%d", 1+k.intN(s.cfg.entries))
			if other != entry && k.take(other) {
				s.kill(other)
				_ = s.launch(s.process(other))
				k.release(other)
			}
		}
		s.sleep(time.Duration(k.intN(3000)) * time.Millisecond)
		_ = s.launch(s.process(entry))
	case "freezeEntry":
		s.freeze(entry, time.Duration(200+k.intN(3800))*time.Millisecond)
	case "termEntry":
		s.term(entry)
	case "killAgent":
		s.kill(agent)
		s.sleep(time.Duration(k.intN(1500)) * time.Millisecond)
		_ = s.launch(s.process(agent))
	case "freezeAgent":
		s.freeze(agent, time.Duration(200+k.intN(3800))*time.Millisecond)
	case "termAgent":
		s.term(agent)
	case "crash", "crashNewID":
		cfg := x.cfg
		x.crash()
		s.sleep(time.Duration(100+k.intN(4000)) * time.Millisecond)
		if kind == "crashNewID" {
			cfg.id = fmt.Sprintf("i-%08x", k.intN(1<<30))
		}
		cfg.firstBeatAfter = time.Duration(k.intN(300)) * time.Millisecond
		_ = x.start(cfg)
	case "grey":
		x.setFailing(true)
		s.sleep(5 * time.Second)
		x.setFailing(false)
	case "unwell":
		x.setUnwell(true)
		s.sleep(5 * time.Second)
		x.setUnwell(false)
	case "hang":
		x.setHanging(true)
		s.sleep(5 * time.Second)
		x.setHanging(false)
	case "mute":
		x.setMute(true)
		s.sleep(time.Duration(100+k.intN(3000)) * time.Millisecond)
		x.setMute(false)
	case "late":
		for _, x := range s.executors {
			x.setLate(0.05)
		}
		s.sleep(5 * time.Second)
		for _, x := range s.executors {
			x.setLate(0)
		}
	case "storeDown":
		k.fault(standin.StoreFaults{Down: true}, 4500*time.Millisecond)
	case "storeSlow":
		k.fault(standin.StoreFaults{Delay: time.Duration(20+k.intN(220)) * time.Millisecond}, 4500*time.Millisecond)
	case "storeLost":
		k.fault(standin.StoreFaults{DropReplies: true}, time.Duration(500+k.intN(1500))*time.Millisecond)
	case "storeLate":
		k.fault(standin.StoreFaults{WriteDelay: 2 * time.Second}, time.Duration(500+k.intN(1500))*time.Millisecond)
	case "storeSome":
		var cuts sync.WaitGroup
		for _, p := range s.processes {
			if k.intN(3) == 0 {
				mode := cutMode(1 + k.intN(5))
				cuts.Go(func() { s.cutStore(p.name, mode, 6*time.Second) })
			}
		}
		cuts.Wait()
	case "coreCut":
		s.cutStore(entry, cutMode(1+k.intN(5)), time.Duration(1000+k.intN(4500))*time.Millisecond)
	case "slowKill":
		s.store.SetFaults(standin.StoreFaults{Delay: 60 * time.Millisecond})
		s.sleep(time.Duration(1000+k.intN(1000)) * time.Millisecond)
		entry = k.holder(entry)
		s.kill(entry)
		s.sleep(2 * time.Second)
		s.store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
		_ = s.launch(s.process(entry))
	case "drain":
		cfg := x.cfg
		x.drain(3 * time.Second)
		s.sleep(3 * time.Second)
		x.leave()
		s.sleep(time.Second)
		cfg.id = fmt.Sprintf("i-%08x", k.intN(1<<30))
		_ = x.start(cfg)
	}
}

// take reserves a machine for a disruption.
func (k *soak) take(machine string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy[machine] {
		return false
	}
	k.busy[machine] = true
	return true
}

func (k *soak) release(machine string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.busy, machine)
}

// fault injects faults of the store for a time.
func (k *soak) fault(f standin.StoreFaults, d time.Duration) {
	k.s.store.SetFaults(f)
	k.s.sleep(d)
	k.s.store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
}

// holder returns the entry that holds the ledger by the logs; another one if it is not known.
func (k *soak) holder(otherwise string) string {
	if k.s.logDir == "" {
		return otherwise
	}
	last, at := otherwise, ""
	for i := range k.s.cfg.entries {
		name := fmt.Sprintf("entry-%d", i+1)
		raw, err := os.ReadFile(k.s.logDir + "/" + name + ".log")
		if err != nil {
			continue
		}
		lines := strings.Split(string(raw), "\n")
		for j := len(lines) - 1; j >= 0; j-- {
			if strings.Contains(lines[j], `"ledger held"`) {
				if _, t, ok := strings.Cut(lines[j], `"time":"`); ok && t[:min(30, len(t))] > at {
					last, at = name, t[:min(30, len(t))]
				}
				break
			}
		}
	}
	return last
}

// freeze stops a process for a time.
func (s *site) freeze(name string, d time.Duration) {
	p := s.process(name)
	s.rec.line("%s: SIGSTOP for %v", name, d)
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	s.sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	s.rec.line("%s: SIGCONT", name)
}

// term stops a process as planned, at most for the grace period, and starts it again.
func (s *site) term(name string) {
	p := s.process(name)
	s.rec.line("%s: SIGTERM", name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	s.sleep(300 * time.Millisecond)
	_ = s.launch(p)
}

func (x *executor) setLate(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lateShare = share
}

// client submits one job and follows it.
func (k *soak) client() {
	s := k.s
	j := &soakJob{queue: []string{"short", "long"}[k.intN(2)]}
	work := 30 + k.intN(300)
	cpu := k.scale * (200 + k.intN(1500))
	st := step{Count: 1 + k.intN(4), CPU: cpu, MemMB: 64, EstRuntimeMs: work}
	spec := fmt.Sprintf("work=%d cpu=%d n=%d", work, cpu, k.intN(1<<30))
	switch kind := k.mix[k.intN(len(k.mix))]; kind {
	case "after":
		j.body.Steps = []step{st, {Count: 2, CPU: cpu, MemMB: 64, EstRuntimeMs: work, After: []int{0}}}
	case "fails":
		spec += " fails"
		st.Count = 1 + k.intN(2)
	case "gang":
		st.Gang = true
	case "gangAfter":
		st.Gang = true
		j.body.Steps = []step{st, {Count: 2, CPU: cpu, MemMB: 64, EstRuntimeMs: work, After: []int{0}, Gang: true}}
	case "label":
		st.Label, spec = "b", spec+" label=b"
	case "spread":
		st.Count, st.MaxPerServer = 4, 1
	case "saves":
		work = 2000 + k.intN(4000)
		spec = fmt.Sprintf("work=%d cpu=%d saves n=%d", work, cpu, k.intN(1<<30))
		st.EstRuntimeMs, st.Checkpointing, st.Count = work, true, 1
	case "timed":
		j.body.RunCount, j.body.FirstRunMs, j.body.IntervalMs = 1+k.intN(6), time.Now().UnixMilli()+int64(k.intN(3000)), int64(200+k.intN(2000))
	case "wide":
		st.Count, st.CPU = 100+k.intN(300), 100
		spec = fmt.Sprintf("work=%d cpu=100 n=%d", work, k.intN(1<<30))
	case "loose":
		j.body.BestEffort = true
	case "looseWide":
		j.body.BestEffort = true
		st.Count = 8 + k.intN(24)
	case "lasts":
		spec = fmt.Sprintf("lasts cpu=%d saves n=%d", cpu, k.intN(1<<30))
		j.body.LongRunning, st.Checkpointing = true, true
	}
	if j.body.Steps == nil {
		j.body.Steps = []step{st}
	}
	j.body.Spec = spec
	j.id = s.newID()
	k.mu.Lock()
	k.jobs = append(k.jobs, j)
	k.mu.Unlock()
	deadline := clientDeadline
	if j.body.BestEffort && k.intN(2) == 0 {
		deadline = 5 * time.Second
	}
	for range 4 {
		r := s.call(k.intN(s.cfg.entries), "POST", j.queue, j.id, j.body, deadline)
		k.mu.Lock()
		j.attempts++
		if r.status/100 == 2 {
			j.acceptedAt = time.Now()
		} else if r.status == 429 || r.status == 503 || r.status == 404 {
			j.rejected++
		}
		k.mu.Unlock()
		if r.status/100 == 2 || r.status == 429 || r.status == 503 || r.status == 404 {
			break
		}
		s.sleep(1300 * time.Millisecond)
	}
	if j.acceptedAt.IsZero() || j.body.BestEffort {
		return
	}
	cancels := k.intN(10) == 0 || j.body.LongRunning && k.intN(3) > 0
	if k.intN(20) == 0 {
		go func() {
			s.sleep(time.Duration(k.intN(3000)) * time.Millisecond)
			s.call(k.intN(s.cfg.entries), "POST", j.queue, j.id, j.body, clientDeadline) // a late copy
		}()
	}
	s.sleep(time.Duration(work+k.intN(800)) * time.Millisecond)
	if j.body.RunCount > 0 {
		s.sleep(time.Until(time.UnixMilli(j.body.FirstRunMs + int64(j.body.RunCount)*j.body.IntervalMs)))
	}
	for range 8 {
		if cancels {
			j.cancelSent = true
			r := s.call(k.intN(s.cfg.entries), "DELETE", j.queue, j.id, nil, clientDeadline)
			if r.status/100 == 2 || r.status == 410 {
				k.mu.Lock()
				j.cancelAt = time.Now()
				k.mu.Unlock()
				cancels = false
			}
			continue
		}
		if k.see(j, k.intN(s.cfg.entries)) {
			return
		}
		s.sleep(time.Duration(800+k.intN(1200)) * time.Millisecond)
	}
}

// see asks for the state of a job and reports whether it has ended.
func (k *soak) see(j *soakJob, entry int) bool {
	asked := time.Now()
	r := k.s.call(entry, "GET", j.queue, j.id, nil, clientDeadline)
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.status == 410 && asked.Sub(j.acceptedAt) > visibleTime {
		j.gone = append(j.gone, fmt.Sprintf("410 at entry-%d %v after its acceptance", entry+1, asked.Sub(j.acceptedAt)))
	}
	switch r.state {
	case "completed", "failed", "cancelled":
		if j.ended != "" && j.ended != r.state {
			j.gone = append(j.gone, fmt.Sprintf("shown as %s and as %s", j.ended, r.state))
		}
		j.ended = r.state
		if j.shownDoneAt.IsZero() && r.state == "completed" {
			j.shownDoneAt = time.Now()
		}
		return true
	}
	return false
}

// check returns the rules that were broken.
func (k *soak) check() (broken []string) {
	add := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	t0 := k.s.rec.start
	at := func(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(t0).Seconds()) }
	for _, j := range k.jobs {
		if !j.acceptedAt.IsZero() && !j.body.BestEffort {
			for range 3 {
				if k.see(j, k.intN(k.s.cfg.entries)) {
					break
				}
			}
		}
	}
	for _, j := range k.jobs {
		for _, g := range j.gone {
			add("LOST/MIXED %s: %s", j.id, g)
		}
		runs := k.s.journal.of(j.id)
		byTask := make(map[string][]journalEntry)
		for _, e := range runs {
			byTask[e.task] = append(byTask[e.task], e)
			if e.spec != j.body.Spec {
				add("UNASKED %s: another spec", e.task)
			}
			if e.work.label != "" && !contains(e.labels, e.work.label) {
				add("ROUTE %s run %d at %s on %s %v", e.task, e.run, at(e.start), e.executor, e.labels)
			}
			if !k.s.cfg.executors[0].guards && e.usedCPU > e.cpu {
				add("LIMIT %s run %d at %s on %s: %d of %d", e.task, e.run, at(e.start), e.machine, e.usedCPU, e.cpu)
			}
			if e.draining > 2*time.Second {
				add("DRAIN %s run %d at %s, %v after the ack", e.task, e.run, at(e.start), e.draining)
			}
			if e.resumes != "" {
				if c, ok := k.s.journal.find(e.resumes); !ok || c.task != e.task {
					add("UNASKED %s run %d resumes from %s of %s", e.task, e.run, e.resumes, c.task)
				}
			}
			if !j.cancelAt.IsZero() && e.start.Sub(j.cancelAt) > 3*time.Second {
				add("UNASKED %s run %d starts %v after the cancellation", e.task, e.run, e.start.Sub(j.cancelAt))
			}
			if !j.cancelAt.IsZero() && (e.end.IsZero() || e.end.Sub(j.cancelAt) > 3050*time.Millisecond) && e.how != "crashed" {
				add("UNASKED %s run %d from %s goes on until %s, cancelled at %s", e.task, e.run, at(e.start), at(e.end), at(j.cancelAt))
			}
			if !j.shownDoneAt.IsZero() && e.start.Sub(j.shownDoneAt) > time.Second {
				add("TWICE %s run %d starts %v after the job was shown as completed", e.task, e.run, e.start.Sub(j.shownDoneAt))
			}
		}
		if len(runs) > 0 && j.rejected > 0 && j.rejected == j.attempts {
			add("REFUSED %s ran, rejected %d times", j.id, j.rejected)
		}
		doneTasks := 0
		for task, es := range byTask {
			sort.Slice(es, func(a, b int) bool { return es[a].start.Before(es[b].start) })
			failed, failedAll := 0, 0
			var doneSeen, done bool
			for i, e := range es {
				if failed >= k.s.cfg.maxAttempts && !j.body.BestEffort {
					add("BUDGET %s run %d starts at %s after %d failed runs", task, e.run, at(e.start), failed)
				}
				if doneSeen && !j.body.BestEffort {
					add("TWICE %s run %d starts at %s after a run was done", task, e.run, at(e.start))
				}
				for _, o := range es[i+1:] {
					if e.end.IsZero() || o.start.Before(e.end) {
						add("TWICE %s run %d on %s from %s to %s (%s), run %d on %s from %s", task, e.run, e.machine, at(e.start), at(e.end), e.how, o.run, o.machine, at(o.start))
					}
				}
				if e.how == "failed" {
					failedAll++
				}
				if e.how == "failed" && e.seen && !j.body.LongRunning {
					failed++
				}
				done = done || e.how == "done"
				doneSeen = doneSeen || e.how == "done" && e.seen
			}
			if done {
				doneTasks++
			}
			name := strings.Split(task, ".")
			if j.body.RunCount > 0 {
				occurrence, _ := strconv.ParseInt(name[1], 10, 64)
				if due := time.UnixMilli(j.body.FirstRunMs + occurrence*j.body.IntervalMs); es[0].start.Before(due.Add(-250 * time.Millisecond)) {
					add("ORDER %s starts %v before its time", task, due.Sub(es[0].start))
				}
			}
			if name[2] == "1" {
				for n := range j.body.Steps[0].Count {
					first := fmt.Sprintf("%s.%s.0.%d", j.id, name[1], n)
					ok := j.body.Steps[0].Gang
					for _, e := range byTask[first] {
						ok = ok || e.how == "done" && e.end.Before(es[0].start)
					}
					if !ok {
						add("ORDER %s starts at %s before %s is done", task, at(es[0].start), first)
					}
				}
			}
			if j.ended == "failed" && failedAll >= k.s.cfg.maxAttempts {
				doneTasks = -1000
			}
		}
		total := 0
		for _, st := range j.body.Steps {
			total += st.Count * max(j.body.RunCount, 1)
		}
		switch {
		case j.acceptedAt.IsZero(), j.body.BestEffort:
		case j.ended == "completed" && doneTasks != total && !j.body.Steps[0].Gang:
			add("MIXED %s completed with %d of %d tasks done", j.id, doneTasks, total)
		case j.ended == "failed" && doneTasks >= 0:
			add("LOST %s failed without cause", j.id)
		case j.ended == "cancelled" && !j.cancelSent:
			add("LOST %s cancelled without cause", j.id)
		case j.body.LongRunning && j.cancelAt.IsZero() && !j.cancelSent:
			if n := len(k.s.journal.runningTasks(j.id)); n < total {
				add("LOST %s has %d of %d tasks that last at work, state %q", j.id, n, total, j.ended)
			}
		case j.body.LongRunning && j.cancelAt.IsZero():
		case j.ended == "":
			add("LOST %s has not ended, %d runs, spec %s", j.id, len(runs), j.body.Spec)
		}
	}
	sort.SliceStable(broken, func(a, b int) bool {
		return !strings.HasPrefix(broken[a], "LOST") && strings.HasPrefix(broken[b], "LOST")
	})
	return broken
}
