package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

type soakJob struct {
	id       string
	best     bool
	steps    [][]int // after
	counts   []int
	accepted time.Time
	answers  []int // statuses of attempts; 0 none
	cancelAt time.Time
	state    string
	attempts int
	kind     string
	first    time.Time
	every    time.Duration
	times    int
	ended    time.Time // its cancelling was acknowledged
}

func soak(s *site, trouble bool) (broken []string, err error) {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_S"))
	if seconds == 0 {
		seconds = 60
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	if n, _ := strconv.Atoi(os.Getenv("SOAK_PAUSE")); n > 0 {
		nemesisPause = n
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	if err := s.start(4, 5, route("/q/", 20_000, 0, 3), executorSpec{cpu: 8000, mem: 16384}); err != nil {
		return nil, err
	}
	c := newClient(s)
	var mu sync.Mutex
	var jobs []*soakJob
	stop := make(chan struct{})
	var wg sync.WaitGroup
	entries := s.entries()
	loadPause, shortest, spread := 40*time.Millisecond, 30, 300
	if os.Getenv("SOAK_LOAD") == "heavy" {
		loadPause, shortest, spread = 4*time.Millisecond, 5, 20
	}
	submit := func(j *soakJob, fails int, ms int) {
		defer wg.Done()
		var steps []any
		for i, n := range j.counts {
			st := map[string]any{"count": n, "cpu": 1000, "memMb": 64, "estRuntimeMs": ms}
			if len(j.steps[i]) > 0 {
				st["after"] = j.steps[i]
			}
			steps = append(steps, st)
		}
		w := work{Ms: ms, Fails: fails}
		body := map[string]any{}
		st := steps[0].(map[string]any)
		switch j.kind {
		case "gang":
			w.Gang, w.Save, st["gang"], st["checkpointing"] = j.counts[0], 100, true, true
		case "max":
			w.Max, st["maxPerServer"] = 1, 1
		case "label":
			w.Label, st["requiredLabel"] = "r1-1", "r1-1"
		case "save":
			w.Save, st["checkpointing"] = 60, true
		case "times":
			body["runCount"], body["firstRunMs"], body["intervalMs"] = j.times, j.first.UnixMilli(), j.every.Milliseconds()
		case "lasts":
			w.Lasts, body["longRunning"] = true, true
		}
		body["spec"], body["steps"] = spec(w), steps
		limit := 4 * time.Second
		if j.best {
			body["bestEffort"], limit = true, 1500*time.Millisecond
		}
		first := rand.IntN(len(entries))
		for try := range 8 {
			status, raw := c.do(entries[(first+try)%len(entries)], http.MethodPost, "/q/"+j.id, body, limit)
			s.rec.add("client", "POST %s best %t try %d: %d %s", j.id, j.best, try, status, raw)
			mu.Lock()
			j.answers = append(j.answers, status)
			if status >= 200 && status < 300 && j.accepted.IsZero() {
				j.accepted = time.Now()
			}
			mu.Unlock()
			if status != 0 && status != 502 && status != 504 {
				break
			}
			time.Sleep(1300 * time.Millisecond)
		}
		mu.Lock()
		ok := !j.accepted.IsZero() && !j.best
		mu.Unlock()
		if ok && rand.IntN(12) == 0 { // it arrives again
			time.Sleep(rand.N(4 * time.Second))
			status, _ := c.do(entries[rand.IntN(len(entries))], http.MethodPost, "/q/"+j.id, body, limit)
			s.rec.add("client", "POST %s again: %d", j.id, status)
		}
		if ok && (rand.IntN(10) == 0 || j.kind == "lasts") {
			if j.kind == "lasts" {
				time.Sleep(5 * time.Second)
			}
			time.Sleep(rand.N(2 * time.Second))
			mu.Lock()
			j.cancelAt = time.Now()
			mu.Unlock()
			status := 0
			for range 20 {
				if status, _ = c.do(entries[rand.IntN(len(entries))], http.MethodDelete, "/q/"+j.id, nil, 4*time.Second); status == 200 || status == 410 {
					break
				}
				s.rec.add("client", "DELETE %s: %d", j.id, status)
				time.Sleep(300 * time.Millisecond)
			}
			s.rec.add("client", "DELETE %s: %d", j.id, status)
			if status == 200 || status == 410 {
				j.ended = time.Now()
			}
		}
	}
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(loadPause):
			}
			j := &soakJob{id: newID(), best: i%3 == 0, attempts: 3}
			j.counts, j.steps = []int{1 + rand.IntN(4)}, [][]int{nil}
			if rand.IntN(3) == 0 {
				j.counts, j.steps = append(j.counts, 1+rand.IntN(3)), append(j.steps, []int{0})
			}
			fails := 0
			if rand.IntN(5) == 0 {
				fails = 25
			}
			if kinds := []string{"gang", "max", "label", "save", "times", "lasts"}; rand.IntN(3) == 0 {
				j.kind = kinds[rand.IntN(len(kinds))]
				j.counts, j.steps = j.counts[:1], j.steps[:1]
				switch j.kind {
				case "times":
					j.best, j.times, j.first, j.every = false, 3, time.Now().Add(2*time.Second), 700*time.Millisecond
				case "lasts":
					j.best = false
				case "gang":
					j.counts[0] = 2 + rand.IntN(3)
				}
			}
			mu.Lock()
			jobs = append(jobs, j)
			mu.Unlock()
			wg.Add(1)
			go submit(j, fails, shortest+rand.IntN(spread))
		}
	}()
	if trouble {
		nemesis(s, rng, time.Now().Add(time.Duration(seconds)*time.Second), os.Getenv("SOAK_KINDS"))
	} else {
		time.Sleep(time.Duration(seconds) * time.Second)
	}
	s.rec.add("case", "no more trouble")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(14 * time.Second)
	for _, j := range jobs {
		if j.best || j.accepted.IsZero() {
			continue
		}
		status, raw := c.do(entries[0], http.MethodGet, "/q/"+j.id, nil, 4*time.Second)
		var b struct{ State string }
		_ = json.Unmarshal(raw, &b)
		j.state = b.State
		if status != 200 {
			broken = append(broken, fmt.Sprintf("LOST: %s answered %d", j.id, status))
		}
	}
	return append(broken, judge(s, jobs)...), nil
}

// nemesisPause is the most ms between two faults.
var nemesisPause = 2500

func nemesis(s *site, rng *rand.Rand, end time.Time, kinds string) {
	var nodes []*node
	nodes = append(nodes, s.nodes...)
	busy := make(map[string]bool)
	var mu sync.Mutex
	var wg sync.WaitGroup
	claim := func(n *node) bool {
		mu.Lock()
		defer mu.Unlock()
		if busy[n.name] {
			return false
		}
		busy[n.name] = true
		return true
	}
	free := func(n *node) {
		mu.Lock()
		defer mu.Unlock()
		busy[n.name] = false
	}
	pick := func(role string) *node {
		if role == "entry" && rng.IntN(2) == 0 {
			if n := s.node(s.writer()); n != nil && n.role == "entry" {
				return n
			}
		}
		for {
			if n := nodes[rng.IntN(len(nodes))]; n.role == role {
				return n
			}
		}
	}
	all := []string{"killentry", "killagent", "stopentry", "stopagent", "termentry", "termagent", "silent", "lost", "late", "orders", "crash", "killall"}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rng.IntN(nemesisPause)) * time.Millisecond)
		kind := all[rng.IntN(len(all))]
		if kinds != "" {
			allowed := splitKinds(kinds)
			kind = allowed[rng.IntN(len(allowed))]
		}
		role := "entry"
		if slices.Contains([]string{"killagent", "stopagent", "termagent"}, kind) {
			role = "agent"
		}
		n, w := pick(role), s.workers[rng.IntN(len(s.workers))]
		pause := time.Duration(50+rng.IntN(1500)) * time.Millisecond
		long := time.Duration(200+rng.IntN(4000)) * time.Millisecond
		s.rec.add("nemesis", "%s %s %s", kind, n.name, w.id)
		wg.Add(1)
		go func() {
			defer wg.Done()
			switch kind {
			case "killentry", "killagent":
				if claim(n) {
					n.signal(syscall.SIGKILL)
					<-n.exited
					time.Sleep(pause)
					_ = n.start()
					free(n)
				}
			case "termentry", "termagent":
				if claim(n) {
					n.signal(syscall.SIGTERM)
					select {
					case <-n.exited:
					case <-time.After(6 * time.Second):
						n.signal(syscall.SIGKILL)
						<-n.exited
					}
					time.Sleep(pause)
					_ = n.start()
					free(n)
				}
			case "stopentry", "stopagent":
				if claim(n) {
					n.signal(syscall.SIGSTOP)
					time.Sleep(long)
					n.signal(syscall.SIGCONT)
					free(n)
				}
			case "silent":
				s.silenceStore(long)
			case "lost", "late":
				s.mu.Lock()
				if kind == "lost" {
					s.lostShare = .35
				} else {
					s.lateWrites = .35
				}
				s.mu.Unlock()
				time.Sleep(long)
				s.mu.Lock()
				s.lostShare, s.lateWrites = 0, 0
				s.mu.Unlock()
			case "orders":
				for _, w := range s.workers {
					w.mu.Lock()
					w.lateShare = .06
					w.mu.Unlock()
				}
				time.Sleep(long)
				for _, w := range s.workers {
					w.mu.Lock()
					w.lateShare = 0
					w.mu.Unlock()
				}
			case "crash":
				w.crash()
			case "killall":
				var down []*node
				for _, n := range s.nodes {
					if (n.role == "entry" || pause%2 == 0) && claim(n) {
						n.signal(syscall.SIGKILL)
						down = append(down, n)
					}
				}
				time.Sleep(pause)
				for _, n := range down {
					<-n.exited
					_ = n.start()
					free(n)
				}
			}
		}()
	}
	wg.Wait()
}

func splitKinds(s string) (kinds []string) {
	for len(s) > 0 {
		i := 0
		for i < len(s) && s[i] != ',' {
			i++
		}
		kinds = append(kinds, s[:i])
		s = s[min(i+1, len(s)):]
	}
	return kinds
}

type runRecord struct {
	endRecord
	worker string
}

func judge(s *site, jobs []*soakJob) (broken []string) {
	byTask := make(map[string][]runRecord)
	begun := make(map[string]bool)
	for _, w := range s.workers {
		w.mu.Lock()
		for _, e := range w.ends {
			byTask[e.task] = append(byTask[e.task], runRecord{e, w.id})
			begun[e.task[:16]] = true
		}
		broken = append(broken, w.violations...)
		for task, r := range w.running {
			begun[task[:16]] = true
			byTask[task] = append(byTask[task], runRecord{endRecord{task: task, run: r.run, begun: r.begunAt, at: time.Now(), how: "running"}, w.id})
		}
		w.mu.Unlock()
	}
	byID := make(map[string]*soakJob)
	for _, j := range jobs {
		byID[j.id] = j
	}
	doneAt := func(task string) time.Time {
		for _, r := range byTask[task] {
			if r.how == "done" {
				return r.at
			}
		}
		return time.Time{}
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b runRecord) int { return a.begun.Compare(b.begun) })
		j := byID[task[:16]]
		if j == nil {
			broken = append(broken, "UNASKED: "+task)
			continue
		}
		failed := 0
		if j.kind == "times" {
			var k int
			_, _ = fmt.Sscanf(task[17:], "%d.", &k)
			due := j.first.Add(time.Duration(k) * j.every)
			if early := due.Sub(runs[0].begun); early > 250*time.Millisecond {
				broken = append(broken, fmt.Sprintf("ORDER: %s %v early", task, early))
			}
		}
		for i, r := range runs {
			if r.how == "alone" {
				broken = append(broken, fmt.Sprintf("GANG: %s run %d alone, begun %v", task, r.run, r.begun.Sub(s.rec.start)))
			}
			if !j.ended.IsZero() && r.begun.Sub(j.ended) > 3*time.Second {
				broken = append(broken, fmt.Sprintf("UNASKED: %s run %d begun %v after its cancelling", task, r.run, r.begun.Sub(j.ended)))
			}
			if !j.ended.IsZero() && (r.how == "running" || r.at.Sub(j.ended) > 3*time.Second) {
				broken = append(broken, fmt.Sprintf("UNASKED?: %s run %d %s ends %v after its cancelling", task, r.run, r.how, r.at.Sub(j.ended)))
			}
			for _, o := range runs[:i] {
				if o.at.After(r.begun) {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d at %s from %v while run %d at %s ends %v later (best %t)", task, r.run, r.worker, r.begun.Sub(s.rec.start), o.run, o.worker, o.at.Sub(r.begun), j.best))
				}
				if !j.best && j.kind != "lasts" && o.how == "done" && !o.acked.IsZero() {
					broken = append(broken, fmt.Sprintf("TWICE: %s run %d at %s starts %v, after run %d at %s was done at %v and noted at %v", task, r.run, r.worker, r.begun.Sub(s.rec.start), o.run, o.worker, o.at.Sub(s.rec.start), o.acked.Sub(s.rec.start)))
				}
			}
			if !j.best && j.kind != "lasts" && failed >= j.attempts {
				broken = append(broken, fmt.Sprintf("BUDGET: %s run %d after %d failed", task, r.run, failed))
			}
			if r.how == "failed" && !r.acked.IsZero() {
				failed++
			}
		}
	}
	for _, j := range jobs {
		rejected := len(j.answers) > 0
		for _, a := range j.answers {
			rejected = rejected && (a == 503 || a == 429)
		}
		if rejected && begun[j.id] {
			broken = append(broken, fmt.Sprintf("REFUSED: %s", j.id))
		}
		for i := range j.counts {
			for k := range j.counts[i] {
				task := fmt.Sprintf("%s.0.%d.%d", j.id, i, k)
				if j.kind == "gang" {
					continue
				}
				if j.state == "completed" && doneAt(task).IsZero() {
					broken = append(broken, fmt.Sprintf("MIXED: %s completed without %s", j.id, task))
				}
				if i > 0 && len(byTask[task]) > 0 {
					for m := range j.counts[0] {
						before := fmt.Sprintf("%s.0.0.%d", j.id, m)
						if at := doneAt(before); at.IsZero() || at.After(byTask[task][0].begun) {
							broken = append(broken, fmt.Sprintf("ORDER: %s before %s", task, before))
						}
					}
				}
			}
		}
		switch {
		case j.best || j.accepted.IsZero():
		case j.state == "cancelled" && j.cancelAt.IsZero():
			broken = append(broken, "LOST: cancelled without cause "+j.id)
		case j.state == "failed":
			worst := 0
			for task, runs := range byTask {
				if task[:16] != j.id {
					continue
				}
				n := 0
				for _, r := range runs {
					if r.how == "failed" {
						n++
					}
				}
				worst = max(worst, n)
			}
			if worst < j.attempts {
				broken = append(broken, fmt.Sprintf("LOST: %s failed after %d", j.id, worst))
			}
		case j.state != "completed" && j.state != "cancelled":
			broken = append(broken, fmt.Sprintf("LOST?: %s is %s at the end", j.id, j.state))
		}
	}
	return broken
}
