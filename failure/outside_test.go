package failure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
	"masticbay/target"
)

// hostClock stands still for a paused host: whoever asks waits.
type hostClock struct{ host host }

// Now implements clock.Clock.
func (c hostClock) Now() time.Time {
	c.host.n.awaken(c.host.name)
	return time.Now()
}

// storeFaults are the switches of the key-value service.
type storeFaults struct {
	mu          sync.Mutex // guards what follows
	outage      bool
	loseAnswers bool
}

func (f *storeFaults) set(outage, loseAnswers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage, f.loseAnswers = outage, loseAnswers
}

func (f *storeFaults) get() (outage, loseAnswers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage, f.loseAnswers
}

// storeName is the host of the key-value service.
const storeName = "store"

// hostStore is the key-value service as one host sees it.
type hostStore struct {
	store.Store
	host   host
	faults *storeFaults
}

func (s hostStore) reach() error {
	s.host.n.awaken(s.host.name)
	time.Sleep(2 * latency)
	if outage, _ := s.faults.get(); outage || s.host.n.isCut(link{s.host.name, storeName}) {
		return errors.Trace(store.ErrUnavailable)
	}
	return nil
}

// Get implements store.Store.
func (s hostStore) Get(ctx context.Context, key string) (it store.Item, err error) {
	if err := s.reach(); err != nil {
		return it, err
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s hostStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := s.reach(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Watch implements store.Store.
func (s hostStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	if err := s.reach(); err != nil {
		return nil, 0, err
	}
	items, rev, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = s.reach()
	}
	return items, rev, err
}

// CompareAndSwap implements store.Store. The answer may be lost after the
// write took effect.
func (s hostStore) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64) (uint64, bool, error) {
	if err := s.reach(); err != nil {
		return 0, false, err
	}
	next, ok, err := s.Store.CompareAndSwap(ctx, key, value, rev)
	if _, lost := s.faults.get(); lost {
		return 0, false, errors.Trace(store.ErrUnavailable)
	}
	return next, ok, err
}

// desk is a target: it runs tasks that its agent posts to it. Each run has a
// result of its own, so that two runs of a task can be told apart.
type desk struct {
	host    host // of its agent
	name    string
	journal target.Journal
	gauge   *gauge

	mu     sync.Mutex // guards what follows
	rand   *rand.Rand
	runs   int
	killed chan struct{} // closed while the target is dead
	silent bool          // it runs tasks, but announces itself no more
	seq    uint64        // of its last announcement
}

func newDesk(h host, seed uint64, g *gauge) *desk {
	return &desk{host: h, gauge: g, name: "desk-" + h.name, rand: rand.New(rand.NewPCG(seed, 1)), killed: make(chan struct{})}
}

func (d *desk) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.killed)
}

// announcement returns the next announcement of the target, and false if it
// makes none.
func (d *desk) announcement() (ann target.Announcement, ok bool) {
	dead := d.dead()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announce(false), !dead && !d.silent
}

// lastAnnouncement returns the one with which the target leaves.
func (d *desk) lastAnnouncement() target.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = true
	return d.announce(true)
}

// announce numbers an announcement. The caller holds mu.
func (d *desk) announce(leaving bool) target.Announcement {
	d.seq++
	return target.Announcement{
		Name: d.name, Service: service, Address: d.name + ":1", Slots: slots, Leaving: leaving, Life: d.name, Seq: d.seq,
	}
}

func (d *desk) revive() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = make(chan struct{})
}

func (d *desk) dead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.killed:
		return true
	default:
		return false
	}
}

// The run times of tasks.
const (
	shortestRun = 40 * time.Millisecond
	runSpread   = 80 * time.Millisecond
)

func (d *desk) begin() (took time.Duration, run int, killed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs++
	return shortestRun + time.Duration(d.rand.Int64N(int64(runSpread))), d.runs, d.killed
}

// RoundTrip implements http.RoundTripper.
func (d *desk) RoundTrip(req *http.Request) (*http.Response, error) {
	_ = req.Body.Close()
	d.host.n.awaken(d.host.name)
	if d.dead() {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	index, _ := strconv.Atoi(req.Header.Get(target.IndexHeader))
	d.journal.Record(target.Started{Key: req.Header.Get(target.KeyHeader), Rerun: req.Header.Get(target.RerunHeader), Index: index})
	d.gauge.begin()
	defer d.gauge.end()
	took, run, killed := d.begin()
	select {
	case <-time.After(took):
	case <-killed:
		return nil, io.ErrUnexpectedEOF
	}
	d.host.n.awaken(d.host.name)
	body := fmt.Sprintf("%q", fmt.Sprintf("%s/%d", d.name, run))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader([]byte(body))), Request: req}, nil
}
