package table

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/juju/errors"

	"masticbay/clock"
	"masticbay/store"
)

// Prefix begins the keys of the rows in the key-value service.
const Prefix = "masticbay/table/"

const historyPrefix = "masticbayHistory/"

// HistoryLen is the number of earlier states kept for each row.
const HistoryLen = 20

// Edit is a change of one row. Base is the revision of the row that it is based
// on, or 0 if the row must not exist yet.
type Edit struct {
	Row  Row
	Base uint64
}

// Editor reads and edits rows in the key-value service.
type Editor struct {
	Store store.Store
	Clock clock.Clock
	NewID func() string // returns a unique edit identifier
}

// List returns all rows that are not removed.
func (e *Editor) List(ctx context.Context) (rows []Row, err error) {
	defer func() { err = errors.Annotate(err, "listing the table") }()
	items, _, err := e.Store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	all, _ := Decode(items) // the entries log what is ignored
	for _, r := range all {
		if !r.Removed {
			rows = append(rows, r)
		}
	}
	return rows, nil
}

// Decode parses the items of the key-value service that are rows. Items under Prefix that are
// not rows are ignored, as a foreign program may have written them; ignored says why.
func Decode(items []store.Item) (rows []Row, ignored []error) {
	for _, it := range items {
		if !strings.HasPrefix(it.Key, Prefix) {
			continue
		}
		r, err := decodeRow(it)
		if err != nil {
			ignored = append(ignored, errors.Annotatef(err, "reading %s", it.Key))
			continue
		}
		rows = append(rows, r)
	}
	return rows, ignored
}

func decodeRow(it store.Item) (r Row, err error) {
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return Row{}, errors.NewNotValid(err, "")
	}
	if err := r.Check(); err != nil {
		return Row{}, errors.NewNotValid(err, "")
	}
	if it.Key != Prefix+r.ID() {
		return Row{}, errors.NotValidf("row %s", r.ID())
	}
	r.Revision = it.Revision
	return r, nil
}

// Get returns one row; a removed row is returned with Removed set. The error is
// store.ErrNotFound if the row never existed.
func (e *Editor) Get(ctx context.Context, kind Kind, name string) (r Row, err error) {
	r = Row{Kind: kind, Name: name}
	defer func() { err = errors.Annotatef(err, "reading row %s", r.ID()) }()
	it, err := e.Store.Get(ctx, Prefix+r.ID())
	if err != nil {
		return r, err
	}
	return decodeRow(it)
}

// Set writes an edit and returns the resulting row. It returns a *ConflictError
// if the row is not at the base revision; then nothing was written, and nothing
// will be.
//
// When the answer to the write is lost, Set reads the row back. If the row is
// still at the base revision, the same write is tried again, which is
// idempotent. If the row is at a later revision, the edit took effect if and
// only if the row lists the edit's identifier. Set returns an *UncertainError
// if it still has no answer after maxWriteAttempts.
func (e *Editor) Set(ctx context.Context, ed Edit) (r Row, err error) {
	r = ed.Row
	defer func() { err = errors.Annotatef(err, "editing row %s", r.ID()) }()
	if err := r.Check(); err != nil {
		return r, err
	}
	cur, err := e.current(ctx, r.Kind, r.Name)
	if err != nil {
		return r, err
	}
	if cur.Revision != ed.Base {
		return r, &ConflictError{Base: ed.Base, Current: cur}
	}
	r.Revision = 0
	r.EditID = e.NewID()
	r.Earlier = cur.editIDs()
	r.Edited = e.Clock.Now().UTC().Round(time.Millisecond)
	r, err = e.write(ctx, r, ed.Base)
	if err == nil {
		e.addToHistory(ctx, r)
	}
	return r, err
}

// current returns a row, or one with revision 0 if the row never existed. Of an item that is
// not a row, it returns the revision, so that an edit can replace it.
func (e *Editor) current(ctx context.Context, kind Kind, name string) (Row, error) {
	r := Row{Kind: kind, Name: name}
	it, err := e.Store.Get(ctx, Prefix+r.ID())
	if errors.Is(err, store.ErrNotFound) {
		return r, nil
	}
	if err != nil {
		return r, err
	}
	cur, err := decodeRow(it)
	if err != nil {
		r.Revision = it.Revision
		return r, nil
	}
	return cur, nil
}

// maxWriteAttempts bounds the attempts of a write whose answers are lost.
const maxWriteAttempts = 4

// write writes r if the stored row is at the base revision. See Set for lost
// answers.
func (e *Editor) write(ctx context.Context, r Row, base uint64) (Row, error) {
	value, err := json.Marshal(&r)
	if err != nil {
		return r, err
	}
	for attempt := 1; ; attempt++ {
		rev, ok, err := e.Store.CompareAndSwap(ctx, Prefix+r.ID(), value, base)
		if err == nil && ok {
			r.Revision = rev
			return r, nil
		}
		cur, readErr := e.current(ctx, r.Kind, r.Name)
		switch {
		case readErr != nil && attempt >= maxWriteAttempts:
			return r, &UncertainError{EditID: r.EditID, Cause: readErr}
		case readErr != nil:
			continue
		case cur.includesEdit(r.EditID):
			return cur, nil
		case cur.Revision != base:
			return r, &ConflictError{Base: base, Current: cur}
		case attempt >= maxWriteAttempts:
			return r, &UncertainError{EditID: r.EditID, Cause: err}
		}
	}
}

// UncertainError reports that the answers to a write were lost and that reading
// the row back did not show whether the write took effect.
type UncertainError struct {
	EditID string
	Cause  error
}

// Error names the edit and the error of the last call.
func (e *UncertainError) Error() string {
	return "the edit " + e.EditID + " may have taken effect or may still do so; read the row again: " + e.Cause.Error()
}

// Unwrap returns the error of the last call.
func (e *UncertainError) Unwrap() error { return e.Cause }

// History returns the earlier states of a row that are kept, the newest first.
func (e *Editor) History(ctx context.Context, kind Kind, name string) (rows []Row, err error) {
	r := Row{Kind: kind, Name: name}
	defer func() { err = errors.Annotatef(err, "reading the history of %s", r.ID()) }()
	it, err := e.Store.Get(ctx, historyPrefix+r.ID())
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return rows, json.Unmarshal(it.Value, &rows)
}

// addToHistory adds a state of a row to its history. The history is informative:
// an edit stands even if its history can not be written.
func (e *Editor) addToHistory(ctx context.Context, r Row) {
	key := historyPrefix + r.ID()
	for range maxHistoryAttempts {
		var rows []Row
		it, err := e.Store.Get(ctx, key)
		if err == nil {
			err = json.Unmarshal(it.Value, &rows)
		}
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return
		}
		rows = insertRow(rows, r)
		value, err := json.Marshal(rows)
		if err != nil {
			return
		}
		if _, ok, err := e.Store.CompareAndSwap(ctx, key, value, it.Revision); err != nil || ok {
			return
		}
	}
}

// maxHistoryAttempts bounds the attempts to add to a history that other edits
// change at the same time.
const maxHistoryAttempts = 5

// insertRow inserts r into rows, which are sorted by revision, the newest first,
// and returns at most HistoryLen of them.
func insertRow(rows []Row, r Row) []Row {
	i := 0
	for i < len(rows) && rows[i].Revision > r.Revision {
		i++
	}
	if i < len(rows) && rows[i].Revision == r.Revision {
		return rows
	}
	rows = append(rows[:i], append([]Row{r}, rows[i:]...)...)
	return rows[:min(len(rows), HistoryLen)]
}
