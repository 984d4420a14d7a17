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

// hostClock is the clock of a host. Reading it blocks while the host is paused.
type hostClock struct{ host host }

// Now implements clock.Clock.
func (c hostClock) Now() time.Time {
	c.host.network.awaitResume(c.host.name)
	return time.Now()
}

// storeFaults are the injected faults of the key-value service.
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

// storeName is the host name of the key-value service.
const storeName = "store"

// hostStore is the key-value service as seen by one host.
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

// CompareAndSwap implements store.Store. With the fault loseAnswers, the write
// takes effect but its answer is lost.
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

// fakeTarget is a target that simulates the tasks its agent posts to it. Each run
// has a result of its own, so that two runs of a task can be told apart.
type fakeTarget struct {
	host    host // the host of its agent
	name    string
	journal target.Journal
	gauge   *gauge

	mu                sync.Mutex // guards what follows
	rand              *rand.Rand
	runs              int
	dead              chan struct{} // closed while the target is dead
	stoppedAnnouncing bool          // it runs tasks, but no longer announces itself
	lastSeq           uint64        // sequence number of the last announcement
}

func newFakeTarget(h host, seed uint64, g *gauge) *fakeTarget {
	return &fakeTarget{host: h, gauge: g, name: "desk-" + h.name, rand: rand.New(rand.NewPCG(seed, 1)), dead: make(chan struct{})}
}

func (f *fakeTarget) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.dead)
}

// nextAnnouncement returns the next announcement of the target. Its ok is false if
// the target makes none.
func (f *fakeTarget) nextAnnouncement() (announcement target.Announcement, ok bool) {
	isDead := f.isDead()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newAnnouncementLocked(false), !isDead && !f.stoppedAnnouncing
}

// leavingAnnouncement returns the announcement that the target leaves, its last.
func (f *fakeTarget) leavingAnnouncement() target.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stoppedAnnouncing = true
	return f.newAnnouncementLocked(true)
}

// newAnnouncementLocked makes the next announcement. The caller holds mu.
func (f *fakeTarget) newAnnouncementLocked(leaving bool) target.Announcement {
	f.lastSeq++
	return target.Announcement{
		Name: f.name, Service: service, Address: f.name + ":1", Slots: slots, Leaving: leaving, Life: f.name, Seq: f.lastSeq,
	}
}

func (f *fakeTarget) revive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead = make(chan struct{})
}

func (f *fakeTarget) isDead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.dead:
		return true
	default:
		return false
	}
}

// The run time of a task is between minRunTime and minRunTime+runTimeSpread.
const (
	minRunTime    = 40 * time.Millisecond
	runTimeSpread = 80 * time.Millisecond
)

func (f *fakeTarget) beginRun() (runTime time.Duration, run int, dead <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs++
	return minRunTime + time.Duration(f.rand.Int64N(int64(runTimeSpread))), f.runs, f.dead
}

// RoundTrip implements http.RoundTripper.
func (f *fakeTarget) RoundTrip(req *http.Request) (*http.Response, error) {
	_ = req.Body.Close()
	f.host.network.awaitResume(f.host.name)
	if f.isDead() {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	index, _ := strconv.Atoi(req.Header.Get(target.IndexHeader))
	f.journal.Record(target.Started{Key: req.Header.Get(target.KeyHeader), Rerun: req.Header.Get(target.RerunHeader), Index: index})
	f.gauge.begin()
	defer f.gauge.end()
	runTime, run, dead := f.beginRun()
	select {
	case <-time.After(runTime):
	case <-dead:
		return nil, io.ErrUnexpectedEOF
	}
	f.host.network.awaitResume(f.host.name)
	body := fmt.Sprintf("%q", fmt.Sprintf("%s/%d", f.name, run))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader([]byte(body))), Request: req}, nil
}
