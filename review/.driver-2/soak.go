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

	mu   sync.Mutex // guards jobs and what they hold
	jobs []*soakJob
}

// soakKinds are the disruptions to choose from; the environment variable SOAK_KINDS names others.
const soakKinds = "killEntry killEntry freezeEntry termEntry killAgent freezeAgent termAgent crash crashNewID grey unwell late storeDown storeSlow storeLost storeLate storeSome drain killTwo"

func playSoak(s *site, trouble bool) (verdict, error) {
	seed, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64)
	if err != nil {
		seed = rand.Uint64() >> 32
	}
	s.rec.line("soak: seed %d", seed)
	k := &soak{s: s, rnd: rand.New(rand.NewPCG(seed, 1))}
	kinds := strings.Fields(soakKinds)
	if v := os.Getenv("SOAK_KINDS"); v != "" {
		kinds = strings.Fields(v)
	}
	s.store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
	stop := s.background(60*time.Millisecond, func(int) { k.client() })
	end := time.Now().Add(45 * time.Second)
	for time.Now().Before(end) && s.ctx.Err() == nil {
		s.sleep(time.Duration(1000+k.intN(3000)) * time.Millisecond)
		if trouble {
			k.disrupt(kinds[k.intN(len(kinds))])
		}
	}
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
	switch kind {
	case "killEntry", "killTwo":
		s.kill(entry)
		if kind == "killTwo" {
			s.sleep(time.Duration(k.intN(1500)) * time.Millisecond)
			other := fmt.Sprintf("entry-%d", 1+k.intN(s.cfg.entries))
			if other != entry {
				s.kill(other)
				_ = s.launch(s.process(other))
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
		host, _, _ := strings.Cut(s.process(entry).ip, ":")
		k.fault(standin.StoreFaults{RefusedHosts: map[string]bool{host: true}}, 5*time.Second)
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
	cpu := 200 + k.intN(1500)
	st := step{Count: 1 + k.intN(4), CPU: cpu, MemMB: 64, EstRuntimeMs: work}
	spec := fmt.Sprintf("work=%d cpu=%d n=%d", work, cpu, k.intN(1<<30))
	switch kind := k.intN(20); {
	case kind < 5:
		j.body.Steps = []step{st, {Count: 2, CPU: cpu, MemMB: 64, EstRuntimeMs: work, After: []int{0}}}
	case kind == 5:
		spec += " fails"
	case kind == 6:
		st.Gang = true
	case kind == 7:
		st.Label, spec = "b", spec+" label=b"
	case kind < 10:
		work = 2000 + k.intN(4000)
		spec = fmt.Sprintf("work=%d cpu=%d saves n=%d", work, cpu, k.intN(1<<30))
		st.EstRuntimeMs, st.Checkpointing, st.Count = work, true, 1
	}
	if j.body.Steps == nil {
		j.body.Steps = []step{st}
	}
	j.body.Spec = spec
	j.id = s.newID()
	k.mu.Lock()
	k.jobs = append(k.jobs, j)
	k.mu.Unlock()
	for range 4 {
		r := s.call(k.intN(s.cfg.entries), "POST", j.queue, j.id, j.body, clientDeadline)
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
	if j.acceptedAt.IsZero() {
		return
	}
	cancels := k.intN(10) == 0
	if k.intN(20) == 0 {
		go func() {
			s.sleep(time.Duration(k.intN(3000)) * time.Millisecond)
			s.call(k.intN(s.cfg.entries), "POST", j.queue, j.id, j.body, clientDeadline) // a late copy
		}()
	}
	s.sleep(time.Duration(work+k.intN(800)) * time.Millisecond)
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
		if !j.acceptedAt.IsZero() {
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
			failed := 0
			var doneSeen, done bool
			for i, e := range es {
				if failed >= k.s.cfg.maxAttempts {
					add("BUDGET %s run %d starts at %s after %d failed runs", task, e.run, at(e.start), failed)
				}
				if doneSeen {
					add("TWICE %s run %d starts at %s after a run was done", task, e.run, at(e.start))
				}
				for _, o := range es[i+1:] {
					if e.end.IsZero() || o.start.Before(e.end) {
						add("TWICE %s run %d on %s from %s to %s (%s), run %d on %s from %s", task, e.run, e.machine, at(e.start), at(e.end), e.how, o.run, o.machine, at(o.start))
					}
				}
				if e.how == "failed" && e.seen {
					failed++
				}
				done = done || e.how == "done"
				doneSeen = doneSeen || e.how == "done" && e.seen
			}
			if done {
				doneTasks++
			}
			if strings.Split(task, ".")[2] == "1" {
				for n := range j.body.Steps[0].Count {
					first := fmt.Sprintf("%s.0.0.%d", j.id, n)
					ok := j.body.Steps[0].Gang
					for _, e := range byTask[first] {
						ok = ok || e.how == "done" && e.end.Before(es[0].start)
					}
					if !ok {
						add("ORDER %s starts at %s before %s is done", task, at(es[0].start), first)
					}
				}
			}
			if j.ended == "failed" && failed >= k.s.cfg.maxAttempts {
				doneTasks = -1000
			}
		}
		total := 0
		for _, st := range j.body.Steps {
			total += st.Count
		}
		switch {
		case j.acceptedAt.IsZero():
		case j.ended == "completed" && doneTasks != total && !j.body.Steps[0].Gang:
			add("MIXED %s completed with %d of %d tasks done", j.id, doneTasks, total)
		case j.ended == "failed" && doneTasks >= 0:
			add("LOST %s failed without cause", j.id)
		case j.ended == "cancelled" && !j.cancelSent:
			add("LOST %s cancelled without cause", j.id)
		case j.ended == "":
			add("LOST %s has not ended, %d runs, spec %s", j.id, len(runs), j.body.Spec)
		}
	}
	return broken
}
