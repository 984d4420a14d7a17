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

// storeWay is how a home reaches the store: by itself or, while that fails, through
// another entry. The store may turn some VMs away and serve others. A commit does
// no harm if it is sent again on another way, since it is conditional.
type storeWay struct {
	e *Entry

	mu    sync.Mutex    // guards what follows
	via   string        // address of the entry that passes calls on; empty for none
	limit time.Duration // for the answer to the next commit
}

func newStoreWay(e *Entry) *storeWay { return &storeWay{e: e, limit: commitPatience} }

// StoreArgs is a call that an entry passes on to the store.
type StoreArgs struct {
	Key    string        // to be read, if set
	Prefix string        // to be listed, if set
	Commit *store.Commit // to be carried out, if set
	Limit  time.Duration // for the answer to a commit
}

// StoreReply is the answer.
type StoreReply struct {
	Items    []store.Item
	Revision uint64
	Conflict *store.Item // the guard, if the condition does not hold
	Missing  bool        // the key does not exist
}

func (w *storeWay) get(key string) (it store.Item, err error) {
	rep, err := w.call(&StoreArgs{Key: key})
	switch {
	case err != nil:
		return it, err
	case rep.Missing:
		return it, store.ErrNotFound
	}
	return rep.Items[0], nil
}

func (w *storeWay) list(prefix string) ([]store.Item, error) {
	rep, err := w.call(&StoreArgs{Prefix: prefix})
	if err != nil {
		return nil, err
	}
	return rep.Items, nil
}

func (w *storeWay) commit(c *store.Commit) (rev uint64, err error) {
	w.mu.Lock()
	limit := w.limit
	w.mu.Unlock()
	sent := w.e.now()
	rep, err := w.call(&StoreArgs{Commit: c, Limit: limit})
	w.learn(limit, w.e.now().Sub(sent), err)
	switch {
	case err != nil:
		return 0, err
	case rep.Conflict != nil:
		return 0, &store.ConflictError{Have: *rep.Conflict}
	}
	return rep.Revision, nil
}

// patience is how many times as long as for the last answer a commit waits.
const patience = 4

// learn sets how long the next commit waits. A wait that is too short costs two calls,
// as the commit is sent again; one that is too long holds everybody up when an answer
// is lost.
func (w *storeWay) learn(limit, took time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.limit = min(max(patience*took, commitPatience), relayTimeout)
	case !errors.Is(err, store.ErrRefused):
		w.limit = min(max(w.limit, 2*limit), relayTimeout)
	}
}

// call tries the present way. If that fails, the next call tries another.
func (w *storeWay) call(args *StoreArgs) (rep *StoreReply, err error) {
	w.mu.Lock()
	via := w.via
	w.mu.Unlock()
	if via == "" {
		rep, err = w.e.callStore(args)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		rep, err = wire.Call[StoreArgs, StoreReply](ctx, w.e.peer(via), entryStore, args)
	}
	if err != nil {
		w.turn(via)
	}
	return rep, err
}

// relayTimeout bounds a call through another entry, which bounds its own.
const relayTimeout = time.Second

// turn goes on to the next way after one that failed: the entries in contact in
// turn, and this entry itself between them.
func (w *storeWay) turn(failed string) {
	var others []string
	for _, m := range w.e.inTouch() {
		others = append(others, m.Address)
	}
	slices.Sort(others)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.via != failed {
		return
	}
	next, _ := slices.BinarySearch(others, failed+"\x00")
	if w.via = ""; next < len(others) {
		w.via = others[next]
	}
}

// now returns the entry through which the store is called; empty for none.
func (w *storeWay) now() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.via
}

// callStore makes a call of the store by itself.
func (e *Entry) callStore(args *StoreArgs) (rep *StoreReply, err error) {
	ctx := context.Background()
	rep = &StoreReply{}
	switch {
	case args.Commit != nil:
		ctx, cancel := context.WithTimeout(ctx, args.Limit)
		defer cancel()
		rep.Revision, err = e.store.Commit(ctx, args.Commit)
		if conflict, ok := errors.AsType[*store.ConflictError](err); ok {
			rep.Conflict, err = &conflict.Have, nil
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

// Store passes a call on to the store for a home that does not reach it.
func (m *entryMethods) Store(args *StoreArgs, reply *StoreReply) error {
	rep, err := m.e.callStore(args)
	if err != nil {
		return err
	}
	*reply = *rep
	return nil
}

func ledgerConfig(n *platform.Node) ledger.Config {
	return ledger.Config{Keep: n.StatusKept + statusKept, Refresh: ledgerRefresh, Gap: ledgerGap, Entries: ledgerEntries, Flights: ledgerFlights}
}
