package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment: the project's programs as processes, and stand-ins of
// everything else.
type site struct {
	rec    *record
	dir    string
	root   string // of the repository
	net    string // first three parts of all addresses
	store  *store
	world  *world
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex // guards what follows
	procs   map[string]*process
	workers map[string]*worker // by the name of their agent
	closed  bool
}

// process is one of the project's programs.
type process struct {
	name, role string
	host       int // last part of its address
	service    string
	cmd        *exec.Cmd
	ended      chan struct{}
}

// The ports of the site. Each process has an address of its own.
const (
	frontPort    = 8161
	appPort      = 8165
	controlPort  = 8166
	readyPort    = 8167
	internalPort = 7720
	metricsPort  = 9464
	storePort    = 8169
	firstEntry   = 10 // last part of the address of the first entry
	firstAgent   = 30
	storeOffset  = 100 // of the address at which a process reaches the store
	graceTime    = 6 * time.Second
)

const (
	service   = "dispatch-a"
	queueHost = "desk.example"
)

func newSite(rec *record) (*site, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, root: root, store: newStore(), world: newWorld(rec), procs: make(map[string]*process), workers: make(map[string]*worker)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.net, err = freeNet(); err != nil {
		return nil, err
	}
	s.setConfig(3)
	return s, nil
}

// freeNet returns the first three parts of loopback addresses that nobody uses.
func freeNet() (string, error) {
	for i := range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 65+(os.Getpid()+i)%180, 1+(os.Getpid()/180)%250)
		free := true
		for _, address := range []string{prefix + ".10:7720", prefix + ".10:9464", prefix + ".30:8165", prefix + ".110:8169"} {
			ln, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// setConfig writes the operator's configuration, with one queue.
func (s *site) setConfig(maxAttempts int) {
	raw, err := json.Marshal(map[string]any{
		"version": 100 + maxAttempts,
		"routes": []map[string]any{{
			"name": "jobs", "host": queueHost, "prefix": "/jobs/", "service": service, "priority": 1,
			"maxAttempts": maxAttempts, "stretch": 1.6, "targetDurationMs": 5000,
		}},
		"services": []map[string]any{{"name": service, "enforcesCapacity": true}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	if err != nil {
		panic(err)
	}
	s.store.put("op/config", raw)
}

func (s *site) ip(host int) string { return fmt.Sprintf("%s.%d", s.net, host) }

func (s *site) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(s.ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// startAll starts entries and agents, each agent with an executor, and waits until the
// entries are ready.
func (s *site) startAll(entries, agents, cpu, mem int, labels func(i int) []string) error {
	for i := range agents {
		if err := s.addAgent(i, cpu, mem, labels(i)...); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.addProcess(fmt.Sprintf("frontend-%d", i), "entry", firstEntry+i, ""); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.awaitReady(fmt.Sprintf("frontend-%d", i)); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// addAgent adds a machine with an executor and an agent.
func (s *site) addAgent(i, cpu, mem int, labels ...string) error {
	name := fmt.Sprintf("side-%d", i)
	w := newWorker(s.world, fmt.Sprintf("i-%04d", i), service, cpu, mem, labels...)
	s.mu.Lock()
	s.workers[name] = w
	s.mu.Unlock()
	if err := s.serve(fmt.Sprintf("%s:%d", s.ip(firstAgent+i), appPort), w.handler()); err != nil {
		return err
	}
	go w.beat(s.ctx, fmt.Sprintf("%s:%d", s.ip(firstAgent+i), controlPort))
	return s.addProcess(name, "agent", firstAgent+i, service)
}

func (s *site) addProcess(name, role string, host int, service string) error {
	if err := s.serve(fmt.Sprintf("%s:%d", s.ip(host+storeOffset), storePort), s.store.handler(name)); err != nil {
		return err
	}
	p := &process{name: name, role: role, host: host, service: service}
	s.mu.Lock()
	s.procs[name] = p
	s.mu.Unlock()
	return s.start(name)
}

// settings returns the settings file of a process.
func (s *site) settings(p *process) string {
	ip := s.ip(p.host)
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = %q\nip = %q\nzone = \"z\"\nregion = \"r\"\ninternalPorts = [%d, %d]\n", p.name, p.role, ip, internalPort, internalPort+15)
	fmt.Fprintf(&b, "seeds = [\"%s:%d\", \"%s:%d\", \"%s:%d\"]\nheartbeatMs = 1500\n", s.ip(firstEntry), controlPort, s.ip(firstEntry+1), controlPort, s.ip(firstEntry+2), controlPort)
	if p.role == "agent" {
		fmt.Fprintf(&b, "app = \"%s:%d\"\nservice = %q\n[listen]\ncontrol = \"%s:%d\"\n", ip, appPort, p.service, ip, controlPort)
	} else {
		fmt.Fprintf(&b, "[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n", ip, frontPort, ip, readyPort, ip, controlPort)
	}
	b.WriteString("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\n")
	b.WriteString("[bounds]\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nconfigApplyMs = 2000\nholdMaxMs = 1000\nstopMs = 50\ngangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 1.5\nretransmitMs = 1300\n")
	fmt.Fprintf(&b, "[platform]\naddress = \"%s:%d\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n", s.ip(p.host+storeOffset), storePort)
	return b.String()
}

// start starts a process with the command of the deploy file.
func (s *site) start(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.procs[name]
	if s.closed {
		return fmt.Errorf("the site is closed")
	}
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(s.settings(p)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(s.root, "target", "masticbay"), "site", p.role)
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "MASTICBAY_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	s.rec.printf("%s: process started", name)
	go func() {
		err := cmd.Wait()
		s.rec.printf("%s: process ended: %v", name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to a process.
func (s *site) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.printf("%s: gets signal %v", name, sig)
	_ = s.procs[name].cmd.Process.Signal(sig)
}

// killFor kills a process and starts it again after a time.
func (s *site) killFor(name string, d time.Duration) error {
	s.signal(name, syscall.SIGKILL)
	time.Sleep(d)
	return s.start(name)
}

// restart stops a process as the platform does and starts it again.
func (s *site) restart(name string) error {
	s.mu.Lock()
	ended := s.procs[name].ended
	s.mu.Unlock()
	s.signal(name, syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		s.signal(name, syscall.SIGKILL)
		<-ended
	}
	return s.start(name)
}

// freezeFor freezes a process for a time.
func (s *site) freezeFor(name string, d time.Duration) {
	s.signal(name, syscall.SIGSTOP)
	time.Sleep(d)
	s.signal(name, syscall.SIGCONT)
}

func (s *site) awaitReady(name string) error {
	s.mu.Lock()
	address := fmt.Sprintf("http://%s:%d/masticbay/ready", s.ip(s.procs[name].host), readyPort)
	s.mu.Unlock()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(address)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", name)
}

// front returns the address of an entry for clients.
func (s *site) front(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s:%d", s.ip(s.procs[name].host), frontPort)
}

// close ends all processes.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	for _, p := range s.procs {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
		}
	}
	s.mu.Unlock()
	for _, p := range s.procs {
		if p.cmd != nil {
			<-p.ended
		}
	}
	s.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.dir)
	}
}
