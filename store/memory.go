package store

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"masticbay/clock"
)

// Memory is a Store in memory. NewMemory makes one.
type Memory struct {
	clock     clock.Clock
	mu        sync.Mutex // guards the fields below
	rev       uint64
	items     map[string]memoryItem
	deletions map[string]uint64 // by deleted key: the revision of its last deletion
	leases    map[string]*memoryLease
	lastID    uint64        // number of the lease granted last
	changed   chan struct{} // closed and replaced at each change
}

// memoryItem is an item with the lease that it is bound to, if any.
type memoryItem struct {
	Item
	lease string
}

type memoryLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewMemory returns an empty store whose leases expire by the time of clk.
func NewMemory(clk clock.Clock) *Memory {
	return &Memory{
		clock:     clk,
		items:     make(map[string]memoryItem),
		deletions: make(map[string]uint64),
		leases:    make(map[string]*memoryLease),
		changed:   make(chan struct{}),
	}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	it, ok := m.items[key]
	if !ok {
		return Item{Key: key}, errors.Trace(ErrNotFound)
	}
	return it.Item, nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, prefix string) ([]Item, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	items, _ := m.list(prefix)
	return items, m.rev, nil
}

// list returns the items under prefix and the revision of the last change
// there, deletions included.
func (m *Memory) list(prefix string) (items []Item, last uint64) {
	for key, it := range m.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, it.Item)
			last = max(last, it.Revision)
		}
	}
	for key, rev := range m.deletions {
		if strings.HasPrefix(key, prefix) {
			last = max(last, rev)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items, last
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		m.expireLeases()
		items, last := m.list(prefix)
		rev, changed := m.rev, m.changed
		m.mu.Unlock()
		if last > after {
			return items, rev, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, errors.Trace(ctx.Err())
		case <-timeout.C:
			return items, rev, nil
		case <-changed:
		}
	}
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(_ context.Context, key string, value []byte, rev uint64) (uint64, bool, error) {
	if len(value) > MaxValue {
		return 0, false, errors.Trace(ErrTooLarge)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.items[key].Revision != rev {
		return 0, false, nil
	}
	return m.write(key, value, ""), true, nil
}

// Commit applies c. The error is a *ConflictError if the guard has another
// revision.
func (m *Memory) Commit(c *Commit) (rev uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if guard := m.items[c.Guard].Item; c.Guard != "" && guard.Revision != c.Revision {
		guard.Key = c.Guard
		return 0, &ConflictError{Current: guard}
	}
	m.rev++
	for _, w := range c.Writes {
		m.items[w.Key] = memoryItem{Item: Item{Key: w.Key, Value: slices.Clone(w.Value), Revision: m.rev}}
	}
	for _, key := range c.Deletes {
		if _, ok := m.items[key]; ok {
			delete(m.items, key)
			m.deletions[key] = m.rev
		}
	}
	m.notifyWatchers()
	return m.rev, nil
}

// Deletions returns the keys under prefix that were deleted after a revision, with the
// revision of their last deletion. They may exist again.
func (m *Memory) Deletions(prefix string, after uint64) map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	deleted := make(map[string]uint64)
	for key, rev := range m.deletions {
		if strings.HasPrefix(key, prefix) && rev > after {
			deleted[key] = rev
		}
	}
	return deleted
}

func (m *Memory) write(key string, value []byte, lease string) uint64 {
	m.rev++
	m.items[key] = memoryItem{Item: Item{Key: key, Value: slices.Clone(value), Revision: m.rev}, lease: lease}
	m.notifyWatchers()
	return m.rev
}

func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Grant implements Store.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	id := "lease-" + strconv.FormatUint(m.lastID, 10)
	m.leases[id] = &memoryLease{ttl: ttl, expiresAt: m.clock.Now().Add(ttl)}
	return id, nil
}

// Renew implements Store.
func (m *Memory) Renew(_ context.Context, lease string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	l := m.leases[lease]
	if l == nil {
		return errors.Trace(ErrNoLease)
	}
	l.expiresAt = m.clock.Now().Add(l.ttl)
	return nil
}

// PutLeased implements Store.
func (m *Memory) PutLeased(_ context.Context, key string, value []byte, lease string) error {
	if len(value) > MaxValue {
		return errors.Trace(ErrTooLarge)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.leases[lease] == nil {
		return errors.Trace(ErrNoLease)
	}
	m.write(key, value, lease)
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(_ context.Context, lease string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease(lease)
	return nil
}

// expireLeases ends the leases that were not renewed in time.
func (m *Memory) expireLeases() {
	now := m.clock.Now()
	for id, l := range m.leases {
		if l.expiresAt.Before(now) {
			m.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys.
func (m *Memory) endLease(lease string) {
	delete(m.leases, lease)
	for key, it := range m.items {
		if it.lease == lease {
			m.rev++
			delete(m.items, key)
			m.deletions[key] = m.rev
			m.notifyWatchers()
		}
	}
}
