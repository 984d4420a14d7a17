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
	c.host.network.awaitResume(c.host.name)
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

func (s hostStore) checkReachable() error {
	s.host.network.awaitResume(s.host.name)
	time.Sleep(2 * latency)
	if outage, _ := s.faults.get(); outage || s.host.network.isCut(link{s.host.name, storeName}) {
		return errors.Trace(store.ErrUnavailable)
	}
	return nil
}

// Get implements store.Store.
func (s hostStore) Get(ctx context.Context, key string) (it store.Item, err error) {
	if err := s.checkReachable(); err != nil {
		return it, err
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s hostStore) List(ctx context.Context, prefix string) ([]store.Item, uint64, error) {
	if err := s.checkReachable(); err != nil {
		return nil, 0, err
	}
	return s.Store.List(ctx, prefix)
}

// Watch implements store.Store.
func (s hostStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Item, uint64, error) {
	if err := s.checkReachable(); err != nil {
		return nil, 0, err
	}
	items, rev, err := s.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = s.checkReachable()
	}
	return items, rev, err
}

// CompareAndSwap implements store.Store. The answer may be lost after the
// write took effect.
func (s hostStore) CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64) (uint64, bool, error) {
	if err := s.checkReachable(); err != nil {
		return 0, false, err
	}
	next, ok, err := s.Store.CompareAndSwap(ctx, key, value, rev)
	if _, lost := s.faults.get(); lost {
		return 0, false, errors.Trace(store.ErrUnavailable)
	}
	return next, ok, err
}

// fakeTarget is a target: it runs tasks that its agent posts to it. Each run has a
// result of its own, so that two runs of a task can be told apart.
type fakeTarget struct {
	host    host // of its agent
	name    string
	journal target.Journal
	gauge   *gauge

	mu                sync.Mutex // guards what follows
	rand              *rand.Rand
	runs              int
	dead              chan struct{} // closed while the target is dead
	stoppedAnnouncing bool          // it runs tasks, but announces itself no more
	lastSeq           uint64        // of its last announcement
}

func newFakeTarget(h host, seed uint64, g *gauge) *fakeTarget {
	return &fakeTarget{host: h, gauge: g, name: "desk-" + h.name, rand: rand.New(rand.NewPCG(seed, 1)), dead: make(chan struct{})}
}

func (d *fakeTarget) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.dead)
}

// nextAnnouncement returns the next announcement of the target, and false if it
// makes none.
func (d *fakeTarget) nextAnnouncement() (ann target.Announcement, ok bool) {
	dead := d.isDead()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newAnnouncementLocked(false), !dead && !d.stoppedAnnouncing
}

// leavingAnnouncement returns the one with which the target leaves.
func (d *fakeTarget) leavingAnnouncement() target.Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stoppedAnnouncing = true
	return d.newAnnouncementLocked(true)
}

// newAnnouncementLocked numbers an announcement. The caller holds mu.
func (d *fakeTarget) newAnnouncementLocked(leaving bool) target.Announcement {
	d.lastSeq++
	return target.Announcement{
		Name: d.name, Service: service, Address: d.name + ":1", Slots: slots, Leaving: leaving, Life: d.name, Seq: d.lastSeq,
	}
}

func (d *fakeTarget) revive() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dead = make(chan struct{})
}

func (d *fakeTarget) isDead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.dead:
		return true
	default:
		return false
	}
}

// The run times of tasks.
const (
	minRunTime    = 40 * time.Millisecond
	runTimeSpread = 80 * time.Millisecond
)

func (d *fakeTarget) beginRun() (took time.Duration, run int, killed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs++
	return minRunTime + time.Duration(d.rand.Int64N(int64(runTimeSpread))), d.runs, d.dead
}

// RoundTrip implements http.RoundTripper.
func (d *fakeTarget) RoundTrip(req *http.Request) (*http.Response, error) {
	_ = req.Body.Close()
	d.host.network.awaitResume(d.host.name)
	if d.isDead() {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	index, _ := strconv.Atoi(req.Header.Get(target.IndexHeader))
	d.journal.Record(target.Started{Key: req.Header.Get(target.KeyHeader), Rerun: req.Header.Get(target.RerunHeader), Index: index})
	d.gauge.begin()
	defer d.gauge.end()
	took, run, killed := d.beginRun()
	select {
	case <-time.After(took):
	case <-killed:
		return nil, io.ErrUnexpectedEOF
	}
	d.host.network.awaitResume(d.host.name)
	body := fmt.Sprintf("%q", fmt.Sprintf("%s/%d", d.name, run))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader([]byte(body))), Request: req}, nil
}
