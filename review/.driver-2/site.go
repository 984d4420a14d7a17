package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"masticbay/clock"
	"masticbay/platform"
	"masticbay/platform/standin"
	"masticbay/store"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	clientDeadline    = 1500 * time.Millisecond
	host              = "desk.example"
	service           = "desk"
	program           = "target/masticbay"
)

// The ports are the same on all machines; each machine has an address of its own.
const (
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	appPort      = 8165
	internalPort = 7720
	metricsPort  = 9464
	storePort    = 8169
)

// siteConfig describes a small deployment.
type siteConfig struct {
	entries   int
	executors []executorConfig
	// maxAttempts of the queue "short"; the queue "long" has the same.
	maxAttempts  int
	remoteFactor float64
}

// process is a program of the project on a machine.
type process struct {
	name string
	ip   string
	role string
	cut  cutMode
	cmd  *exec.Cmd
	done chan struct{}
}

type site struct {
	ctx       context.Context
	rec       *record
	cfg       siteConfig
	dir       string
	logDir    string
	net       string // the first three bytes of all addresses
	store     *standin.Store
	memory    *store.Memory // of store
	storeSrvs []*http.Server
	journal   *journal
	executors []*executor

	mu        sync.Mutex // guards processes
	processes []*process
	lastJob   uint64
}

func startSite(ctx context.Context, rec *record, cfg siteConfig, logDir string) (*site, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{ctx: ctx, rec: rec, cfg: cfg, dir: dir, logDir: logDir, journal: &journal{rec: rec}, lastJob: rand.Uint64() >> 8}
	if _, err := os.Stat(program); err != nil {
		return s, err
	}
	if err := s.chooseNet(); err != nil {
		return s, err
	}
	s.memory = store.NewMemory(clock.System{})
	s.store = standin.NewStore(s.memory)
	if err := s.putConfig(); err != nil {
		return s, err
	}
	for i := range cfg.entries {
		if err := s.startProcess(fmt.Sprintf("entry-%d", i+1), "entry", 10+i); err != nil {
			return s, err
		}
	}
	for i, x := range cfg.executors {
		name := fmt.Sprintf("side-%d", i+1)
		if err := s.startProcess(name, "agent", 30+i); err != nil {
			return s, err
		}
		ip := s.ip(30 + i)
		e := &executor{name: name, address: hostPort(ip, appPort), control: hostPort(ip, controlPort), service: service, zone: zoneOf(i), rec: rec, journal: s.journal}
		if err := e.start(x); err != nil {
			return s, err
		}
		s.executors = append(s.executors, e)
	}
	return s, s.awaitServing()
}

func zoneOf(i int) string { return []string{"z1", "z2", "z3", "z4"}[i%4] }

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func (s *site) ip(last int) string { return s.net + strconv.Itoa(last) }

// storeAddress returns where the machine with an address reaches the store. Each machine has
// an address of its own for it, so that its path can be cut.
func (s *site) storeAddress(last int) string { return hostPort(s.ip(100+last), storePort) }

// cutMode is what happens to the calls of a machine to the store.
type cutMode int

const (
	uncut   cutMode = iota
	busyCut         // 503
	manyCut         // 429
	resetCut
	silentCut // no answer; the calls are carried out after the cut
	lostCut   // no answer; the calls are not carried out
)

// serveStore serves the store to one machine.
func (s *site) serveStore(p *process, last int) error {
	ln, err := net.Listen("tcp", s.storeAddress(last))
	if err != nil {
		return err
	}
	h := s.store.Handler()
	srv := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch mode := s.cutOf(p); mode {
		case busyCut:
			w.WriteHeader(http.StatusServiceUnavailable)
		case manyCut:
			w.WriteHeader(http.StatusTooManyRequests)
		case resetCut:
			panic(http.ErrAbortHandler)
		case silentCut, lostCut:
			raw, err := io.ReadAll(r.Body)
			for s.cutOf(p) != uncut && s.ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if err == nil && mode == silentCut && r.Method == http.MethodPost {
				late := r.Clone(context.Background())
				late.Body = io.NopCloser(bytes.NewReader(raw))
				h.ServeHTTP(w, late)
			}
			panic(http.ErrAbortHandler)
		default:
			h.ServeHTTP(w, r)
		}
	})}
	s.storeSrvs = append(s.storeSrvs, srv)
	go func() { _ = srv.Serve(ln) }()
	return nil
}

func (s *site) cutOf(p *process) cutMode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.cut
}

// cutStore cuts a machine from the store for a time.
func (s *site) cutStore(name string, mode cutMode, d time.Duration) {
	p := s.process(name)
	set := func(m cutMode) {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.cut = m
	}
	s.rec.line("%s: cut from the store, mode %d, for %v", name, mode, d)
	set(mode)
	s.sleep(d)
	set(uncut)
	s.rec.line("%s: reaches the store again", name)
}

// chooseNet picks loopback addresses on which the ports are free.
func (s *site) chooseNet() error {
	for range 20 {
		s.net = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if s.portsFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (s *site) portsFree() bool {
	var lasts []int
	for i := range s.cfg.entries {
		lasts = append(lasts, 10+i, 110+i)
	}
	for i := range s.cfg.executors {
		lasts = append(lasts, 30+i, 130+i)
	}
	for _, last := range lasts {
		for _, port := range []int{frontPort, readyPort, controlPort, appPort, internalPort, metricsPort, storePort} {
			ln, err := net.Listen("tcp", hostPort(s.ip(last), port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// putConfig writes the configuration as the operator does: a queue "short" and a queue
// "long" of a lower priority.
func (s *site) putConfig() error {
	route := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "kind": "non_idempotent", "timeoutMs": 1500, "targetDurationMs": 60,
			"priority": priority, "service": service, "maxAttempts": s.cfg.maxAttempts, "stretch": 1.6,
		}
	}
	guards := true
	for _, x := range s.cfg.executors {
		guards = guards && x.guards
	}
	raw, err := json.Marshal(map[string]any{
		"version": 7, "routes": []any{route("short", 0), route("long", 1)},
		"services": []any{map[string]any{"name": service, "enforcesCapacity": guards}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	})
	if err != nil {
		return err
	}
	_, err = s.store.Put(platform.ConfigKey, raw)
	return err
}

const settings = `node = "%[1]s"
role = "%[2]s"
machineClass = "%[3]s"
serves = ["%[3]s"]
ip = "%[4]s"
zone = "%[5]s"
region = "quebec"
internalPorts = [%[6]d, %[7]d]
seeds = [%[8]s]
bootstrap = true
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
controlMode = "call"
%[9]s
[listen]
%[10]s
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
recoveryS = 12
holdMaxMs = 1000
stopMs = 50
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = %[11]g
checkpointIntervalS = 2
restoreMs = 600
requireFencing = true
leaseMs = 3000
retransmitMs = 1300
[platform]
address = "%[12]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// startProcess starts a program of the project with the command of the deploy file.
func (s *site) startProcess(name, role string, last int) error {
	p := &process{name: name, ip: s.ip(last), role: role}
	class, extra := "side", fmt.Sprintf("app = %q\nservice = %q\n", hostPort(p.ip, appPort), service)
	listen := fmt.Sprintf("control = %q\n", hostPort(p.ip, controlPort))
	if role == "entry" {
		class, extra = "frontend", ""
		listen += fmt.Sprintf("front = %q\nready = %q\n", hostPort(p.ip, frontPort), hostPort(p.ip, readyPort))
	}
	var seeds []string
	for i := range min(s.cfg.entries, 3) {
		seeds = append(seeds, strconv.Quote(hostPort(s.ip(10+i), controlPort)))
	}
	text := fmt.Sprintf(settings, name, role, class, p.ip, zoneOf(last), internalPort, internalPort+15, strings.Join(seeds, ","), extra, listen, s.cfg.remoteFactor, s.storeAddress(last))
	if err := os.WriteFile(filepath.Join(s.dir, name+".toml"), []byte(text), 0o600); err != nil {
		return err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	if err := s.serveStore(p, last); err != nil {
		return err
	}
	return s.launch(p)
}

func (s *site) launch(p *process) error {
	cmd := exec.Command(program, "site", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "MASTICBAY_NODE_FILE=" + filepath.Join(s.dir, p.name+".toml")}
	out, err := os.OpenFile(s.logPath(p.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	s.mu.Lock()
	p.cmd, p.done = cmd, done
	s.mu.Unlock()
	s.rec.line("%s: process starts", p.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		s.rec.line("%s: process ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

// logPath returns the file with the log of a process.
func (s *site) logPath(name string) string {
	if s.logDir != "" {
		return filepath.Join(s.logDir, name+".log")
	}
	return filepath.Join(s.dir, name+".log")
}

func (s *site) process(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// kill ends a process at once and waits for its end.
func (s *site) kill(name string) {
	p := s.process(name)
	s.rec.line("%s: SIGKILL", name)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

func (s *site) close() {
	s.mu.Lock()
	ps := s.processes
	s.mu.Unlock()
	for _, p := range ps {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
	for _, x := range s.executors {
		x.crash()
	}
	for _, srv := range s.storeSrvs {
		_ = srv.Close()
	}
	_ = os.RemoveAll(s.dir)
}

func (s *site) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// until waits at most for d until f holds, and reports whether it does.
func (s *site) until(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end) && s.ctx.Err() == nil; s.sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// awaitServing waits until all entries are ready, and a little longer, as traffic starts 10 s
// after the machines do.
func (s *site) awaitServing() error {
	ok := s.until(8*time.Second, func() bool {
		for i := range s.cfg.entries {
			resp, err := http.Get("http://" + hostPort(s.ip(10+i), readyPort) + "/masticbay/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
	if !ok {
		return errors.New("the entries are not ready")
	}
	s.sleep(5 * time.Second)
	return s.ctx.Err()
}

// step is a step of a job as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"memMb,omitempty"`
	EstRuntimeMs  int    `json:"estRuntimeMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Label         string `json:"requiredLabel,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
}

type jobBody struct {
	Spec        string `json:"spec"`
	BestEffort  bool   `json:"bestEffort,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	RunCount    int    `json:"runCount,omitempty"`
	FirstRunMs  int64  `json:"firstRunMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
	Steps       []step `json:"steps"`
}

func (s *site) newID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastJob++
	return fmt.Sprintf("%016x", s.lastJob)
}

// reply is the answer to a client; status is 0 if there was none.
type reply struct {
	status  int
	state   string
	pending int
}

// call sends a request of a client to an entry, by its number from 0.
func (s *site) call(entry int, method, queue, id string, body any, deadline time.Duration) reply {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			s.rec.line("client: %v", err)
			return reply{}
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+hostPort(s.ip(10+entry), frontPort)+"/"+queue+"/"+id, bytes.NewReader(raw))
	if err != nil {
		s.rec.line("client: %v", err)
		return reply{}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.rec.line("client: %s /%s/%s at entry-%d: no answer: %v", method, queue, id, entry+1, err)
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	var b struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&b) // many answers have no body
	s.rec.line("client: %s /%s/%s at entry-%d: %d %s", method, queue, id, entry+1, resp.StatusCode, b.State)
	return reply{resp.StatusCode, b.State, b.Pending}
}

// submit hands a stored job in until it is accepted, with a new ID after each rejection.
func (s *site) submit(entry int, queue string, j jobBody) (id string, err error) {
	for range 20 {
		id := s.newID()
		r := s.call(entry, http.MethodPost, queue, id, j, clientDeadline)
		if r.status/100 == 2 {
			return id, nil
		}
		s.sleep(300 * time.Millisecond)
	}
	return "", errors.New("no job was accepted")
}

func (s *site) stateOf(entry int, queue, id string) string {
	return s.call(entry, http.MethodGet, queue, id, nil, clientDeadline).state
}
