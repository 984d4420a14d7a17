package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"masticbay/ledger"
	"masticbay/platform"
	"masticbay/store"
	"masticbay/wire"
)

// storeRoute is how a home reaches the store: directly or, while that fails, through
// another entry. The store may refuse some VMs and serve others. A commit can be sent
// again on another route without harm, since it is conditional.
type storeRoute struct {
	e *Entry

	mu    sync.Mutex    // guards what follows
	via   string        // address of the entry that relays calls; empty for direct calls
	limit time.Duration // timeout of the next commit
}

func newStoreRoute(e *Entry) *storeRoute { return &storeRoute{e: e, limit: minCommitTimeout} }

// StoreArgs is a call that an entry relays to the store.
type StoreArgs struct {
	Key    string        // is read, if set
	Prefix string        // is listed, if set
	Commit *store.Commit // is carried out, if set
	Limit  time.Duration // timeout of a commit
}

// StoreReply is the store's answer to a StoreArgs.
type StoreReply struct {
	Items    []store.Item
	Revision uint64
	Conflict *store.Item // the guard, if the condition does not hold
	Missing  bool        // the key does not exist
}

func (r *storeRoute) get(key string) (it store.Item, err error) {
	rep, err := r.call(&StoreArgs{Key: key})
	switch {
	case err != nil:
		return it, err
	case rep.Missing:
		return it, store.ErrNotFound
	case len(rep.Items) != 1 || rep.Items[0].Key != key:
		return it, errors.NotValidf("reply with %d items to a read of %q", len(rep.Items), key)
	}
	return rep.Items[0], nil
}

func (r *storeRoute) list(prefix string) ([]store.Item, error) {
	rep, err := r.call(&StoreArgs{Prefix: prefix})
	if err != nil {
		return nil, err
	}
	return rep.Items, nil
}

func (r *storeRoute) commit(c *store.Commit) (rev uint64, err error) {
	r.mu.Lock()
	limit := r.limit
	r.mu.Unlock()
	sent := r.e.now()
	rep, err := r.call(&StoreArgs{Commit: c, Limit: limit})
	r.adjustLimit(limit, r.e.now().Sub(sent), err)
	switch {
	case err != nil:
		return 0, err
	case rep.Conflict != nil:
		return 0, &store.ConflictError{Current: *rep.Conflict}
	}
	return rep.Revision, nil
}

// commitTimeoutFactor is the ratio of a commit's timeout to the time that the last
// answered commit took.
const commitTimeoutFactor = 4

// adjustLimit sets the timeout of the next commit. A timeout that is too short costs
// two calls, since the commit is sent again; one that is too long delays all later
// changes when an answer is lost.
func (r *storeRoute) adjustLimit(limit, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.limit = min(max(commitTimeoutFactor*took, minCommitTimeout), relayTimeout)
	case !errors.Is(err, store.ErrRefused):
		r.limit = min(max(r.limit, 2*limit), relayTimeout)
	}
}

// call uses the current route. If the call fails, the next call uses another route.
func (r *storeRoute) call(args *StoreArgs) (rep *StoreReply, err error) {
	r.mu.Lock()
	via := r.via
	r.mu.Unlock()
	if via == "" {
		rep, err = r.e.callStore(args)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		rep, err = wire.Call[StoreArgs, StoreReply](ctx, r.e.peer(via), entryStore, args)
	}
	if err != nil {
		r.nextRoute(via)
	}
	return rep, err
}

// relayTimeout bounds a call through another entry, which bounds its own.
const relayTimeout = time.Second

// nextRoute switches from a route that failed to the next one. The rotation is made
// of this entry itself and the entries in contact, in the order of their addresses.
func (r *storeRoute) nextRoute(failed string) {
	var others []string
	for _, m := range r.e.entriesInContact() {
		others = append(others, m.Address)
	}
	slices.Sort(others)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.via != failed {
		return
	}
	next, _ := slices.BinarySearch(others, failed+"\x00")
	if r.via = ""; next < len(others) {
		r.via = others[next]
	}
}

// currentRoute returns the address of the entry that relays calls of the store; empty
// if this entry calls the store directly.
func (r *storeRoute) currentRoute() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.via
}

// callStore calls the store directly.
func (e *Entry) callStore(args *StoreArgs) (rep *StoreReply, err error) {
	ctx := context.Background()
	rep = &StoreReply{}
	switch {
	case args.Commit != nil:
		ctx, cancel := context.WithTimeout(ctx, args.Limit)
		defer cancel()
		rep.Revision, err = e.store.Commit(ctx, args.Commit)
		if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
			rep.Conflict, err = &conflict.Current, nil
		}
	case args.Key != "":
		var it store.Item
		it, _, err = e.store.Get(ctx, args.Key)
		rep.Items = []store.Item{it}
		if errors.Is(err, store.ErrNotFound) {
			rep.Missing, err = true, nil
		}
	default:
		rep.Items, err = e.store.List(ctx, args.Prefix)
	}
	return rep, err
}

// Store relays a call to the store for a home that cannot reach it.
func (m *entryMethods) Store(args *StoreArgs, reply *StoreReply) error {
	rep, err := m.e.callStore(args)
	if err != nil {
		return err
	}
	*reply = *rep
	return nil
}

func ledgerConfig(n *platform.Node) ledger.Config {
	return ledger.Config{EndedRetention: n.StatusRetention + extraStatusRetention, RenewalInterval: tenureRenewInterval, CommitInterval: minCommitInterval, MaxCommitEntries: maxCommitEntries, MaxInFlight: maxPendingCommits}
}
