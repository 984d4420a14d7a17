package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"masticbay/clock"
	"masticbay/platform/standin"
	"masticbay/store"
)

// The ports of all machines of a site.
const (
	internalPort = 7720
	frontPort    = 8161
	workerPort   = 8165
	controlPort  = 8166
	readyPort    = 8167
	storePort    = 8169
)

const (
	serviceName = "desk"
	hostName    = "desk.example"
	heartbeat   = 1500 * time.Millisecond
)

// The bounds of the small deployments that the cases use.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	visibleTime = 3 * time.Second
)

// site is a small deployment on loopback addresses, a network of its own.
type site struct {
	rec     *recorder
	dir     string
	prefix  string // of the addresses: the first three bytes
	memory  *store.Memory
	store   *standin.Store
	nodes   []*node
	workers []*executor

	mu          sync.Mutex
	silentUntil time.Time // the store answers nothing before
	lastWriter  string    // node whose conditional write the store answered last
}

// node is a machine of the system with one process.
type node struct {
	s       *site
	name    string
	role    string
	ip      string
	storeIP string // at which the store serves this machine
	file    string
	cmd     *exec.Cmd
	exited  chan struct{}
}

func newSite(rec *recorder) (*site, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, memory: store.NewMemory(clock.System{})}
	s.store = standin.NewStore(s.memory)
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if s.isFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// isFree reports whether the ports of the first and the last machine are free.
func (s *site) isFree() bool {
	for _, port := range []int{internalPort, frontPort, workerPort, controlPort, readyPort, storePort, 9464} {
		for _, last := range []int{10, 100} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", s.prefix, last, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range s.nodes {
		if n.exited != nil {
			<-n.exited
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// start starts a site with so many entries and agents, and waits until it is ready.
func (s *site) start(entries, agents int, route map[string]any, spec executorSpec) error {
	cfg := map[string]any{
		"version": 3,
		"routes":  []any{route},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	if _, err := s.store.Put("op/config", raw); err != nil {
		return err
	}
	for i := range entries {
		if err := s.addNode(fmt.Sprintf("frontend-%d", i+1), "entry", s.prefix+fmt.Sprint(10+i), i); err != nil {
			return err
		}
	}
	for i := range agents {
		ip := s.prefix + fmt.Sprint(100+i)
		if err := s.addNode(fmt.Sprintf("side-%d", i+1), "agent", ip, i); err != nil {
			return err
		}
		w, err := newExecutor(s.rec, fmt.Sprintf("i-%d", i+1), ip, i, spec)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, w := range s.workers {
		go w.sendHeartbeats()
	}
	return s.awaitReady(10 * time.Second)
}

// awaitReady waits until all entries say that they are ready.
func (s *site) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range s.entries() {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // for the first contact of all machines
	return nil
}

func (s *site) entries() (entries []*node) {
	for _, n := range s.nodes {
		if n.role == "entry" {
			entries = append(entries, n)
		}
	}
	return entries
}

func (s *site) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (s *site) addNode(name, role, ip string, i int) error {
	n := &node{s: s, name: name, role: role, ip: ip, file: filepath.Join(s.dir, name+".toml")}
	n.storeIP = s.prefix + fmt.Sprint(200+len(s.nodes))
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.storeIP, storePort))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, s.storeHandler(name)) }()
	s.nodes = append(s.nodes, n)
	return os.WriteFile(n.file, []byte(n.settings(i)), 0o600)
}

// storeHandler serves the store to one machine.
func (s *site) storeHandler(name string) http.Handler {
	inner := s.store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		time.Sleep(4 * time.Millisecond) // the usual answer time
		inner.ServeHTTP(w, r)
		if r.URL.Path == "/masticbay/kv-txn" {
			s.mu.Lock()
			s.lastWriter = name
			s.mu.Unlock()
		}
	})
}

func (s *site) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil)
}

// silenceStore has the store answer nothing for a while.
func (s *site) silenceStore(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
}

func (s *site) writer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

func (n *node) settings(i int) string {
	class, serves, listen, app, limits := "frontend", `["frontend","control_plane"]`, "", "", "cpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100"
	listen = fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"", n.ip, frontPort, n.ip, readyPort, n.ip, controlPort)
	if n.role == "agent" {
		class, serves = "side", `["side"]`
		listen = fmt.Sprintf("control = \"%s:%d\"", n.ip, controlPort)
		app = fmt.Sprintf("app = \"%s:%d\"\nservice = \"%s\"\n", n.ip, workerPort, serviceName)
		limits = "cpuShare = 0.24\ncores = 1\nmemoryMb = 152\nmaxFds = 4096"
	}
	zone := []string{"kilimani", "ngong-rd", "upper-hill", "kibera"}[i%4]
	return strings.NewReplacer("NAME", n.name, "ROLE", n.role, "CLASS", class, "SERVES", serves, "LISTEN", listen, "APP", app, "LIMITS", limits, "IP", n.ip,
		"SEEDS", fmt.Sprintf("%q", n.s.prefix+fmt.Sprintf("10:%d", controlPort)), "ZONE", zone, "STORE", fmt.Sprintf("%s:%d", n.storeIP, storePort), "INTERNAL", fmt.Sprint(internalPort)).Replace(settingsTemplate)
}

const settingsTemplate = `node = "NAME"
role = "ROLE"
machineClass = "CLASS"
serves = SERVES
ip = "IP"
zone = "ZONE"
region = "nairobi"
internalPorts = [INTERNAL,7735]
seeds = [SEEDS]
bootstrap = true
inFaultBudget = false
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
controlMode = "call"
APP
[zones]
kilimani = "nairobi"
ngong-rd = "nairobi"
upper-hill = "nairobi"
kibera = "nairobi"
[listen]
LISTEN
[limits]
LIMITS
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 1000
stopMs = 50
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointIntervalS = 1
restoreMs = 250
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
retransmitMs = 1300
[platform]
address = "STORE"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// start starts the process of a machine.
func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command("target/masticbay", "site", n.role)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTICBAY_NODE_FILE=" + n.file}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
	n.s.rec.add(n.name, "process started")
	return nil
}

func (n *node) signal(sig os.Signal) {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.s.rec.add(n.name, "signal %v", sig)
	_ = n.cmd.Process.Signal(sig)
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/masticbay/ready", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
