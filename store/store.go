// Package store is the client of the platform's key-value service.
//
// # Model
//
// The service holds keys with values up to a megabyte. Each write gets the
// next revision of the whole store. Writes can be conditional on a key's
// revision, and a read can wait until something under a prefix is newer than a
// given revision. The service may be slow or down for a long time, and the
// answer to a write may be lost after the write took effect: after an error it
// is unknown whether the write took effect.
//
// Consul uses the key-value and session parts of Consul's published HTTP API.
// Memory is a store in memory. Server serves a Memory over the same API and can
// inject faults; it stands in for the platform in tests.
//
// # Usage
//
//	store := store.NewConsul("http://127.0.0.1:8500")
//	it, err := store.Get(ctx, "masticbay/registry")
//	rev, ok, err := store.CompareAndSwap(ctx, it.Key, value, it.Revision)
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Item is a key with its value and the revision of its last write.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// MaxValue is the maximum size of a value, in bytes.
const MaxValue = 1 << 20

// ErrNotFound is the cause of the error if a key does not exist.
const ErrNotFound = errors.ConstError("key not found")

// ErrTooLarge is the cause of the error if a value is larger than MaxValue.
const ErrTooLarge = errors.ConstError("value too large")

// ErrUnavailable is the cause of the error if the service does not answer.
const ErrUnavailable = errors.ConstError("key-value service unavailable")

// ErrRefused is the cause of the error if the service refused a write, which then
// had no effect.
const ErrRefused = errors.ConstError("key-value service refused the call")

// Commit is a set of writes and deletions that take effect together or not at
// all. Only Key and Value of the writes are used.
type Commit struct {
	Guard    string // key that must be at Revision; empty for no condition
	Revision uint64 // 0 if the guard must not exist
	Writes   []Item
	Deletes  []string
}

// ConflictError reports that the guard of a Commit has another revision.
type ConflictError struct {
	Current Item // the guard as stored; with revision 0 if it does not exist
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has revision %d", e.Current.Key, e.Current.Revision)
}

// ErrNoLease is the cause of the error if a lease has expired.
const ErrNoLease = errors.ConstError("lease has lapsed")

// Store is the key-value service. All methods are safe for concurrent use.
type Store interface {
	// Get returns one item or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items under prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits until the state under prefix is newer than revision after,
	// but no longer than wait, and returns what List returns.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error)
	// CompareAndSwap writes value if the key's revision is rev; rev 0 means
	// that the key must not exist. It returns the new revision, and false if
	// the key is at another revision.
	CompareAndSwap(ctx context.Context, key string, value []byte, rev uint64) (uint64, bool, error)
	// Grant creates a lease that expires if it is not renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (lease string, err error)
	// Renew extends a lease by its ttl, or returns ErrNoLease.
	Renew(ctx context.Context, lease string) error
	// PutLeased writes a key that is deleted when the lease expires.
	PutLeased(ctx context.Context, key string, value []byte, lease string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease string) error
}
