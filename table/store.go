package table

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"masticbay/clock"
	"masticbay/store"
)

// Prefix is where the rows live in the key-value service.
const Prefix = "masticbay/table/"

const historyPrefix = "masticbayHistory/"

// HistoryLen is the number of earlier states kept for each row.
const HistoryLen = 20

// Edit is a change of one row. Base is the revision that it was based on, 0
// for a row that must not exist yet.
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
	all, err := Decode(items)
	for _, r := range all {
		if !r.Removed {
			rows = append(rows, r)
		}
	}
	return rows, err
}

// Decode turns items of the key-value service into rows.
func Decode(items []store.Item) (rows []Row, err error) {
	for _, it := range items {
		r, err := decodeRow(it)
		if err != nil {
			return nil, errors.Annotatef(err, "reading %s", it.Key)
		}
		rows = append(rows, r)
	}
	return rows, nil
}

func decodeRow(it store.Item) (r Row, err error) {
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return Row{}, err
	}
	r.Revision = it.Revision
	return r, nil
}

// Get returns one row; removed rows are returned with Removed set. The error
// is store.ErrNotFound if there never was such a row.
func (e *Editor) Get(ctx context.Context, kind Kind, name string) (r Row, err error) {
	r = Row{Kind: kind, Name: name}
	defer func() { err = errors.Annotatef(err, "reading row %s", r.ID()) }()
	it, err := e.Store.Get(ctx, Prefix+r.ID())
	if err != nil {
		return r, err
	}
	return decodeRow(it)
}

// Set writes an edit and returns the row as it then is. It returns a
// *ConflictError if the row is not at the base revision; then nothing was
// written, and nothing will be.
//
// When the answer to the write is lost, the row is read back. If it is still
// at the base, the same write is tried again, which is idempotent. If it has
// moved on, the edit took effect if and only if the row remembers the edit's
// identifier. Only while the service does not answer is an *UncertainError
// returned.
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
		e.remember(ctx, r)
	}
	return r, err
}

// current returns a row, or a row of revision 0 if there is none.
func (e *Editor) current(ctx context.Context, kind Kind, name string) (Row, error) {
	cur, err := e.Get(ctx, kind, name)
	if errors.Is(err, store.ErrNotFound) {
		return cur, nil
	}
	return cur, err
}

// writeTries bounds how often a write whose answer was lost is repeated.
const writeTries = 4

func (e *Editor) write(ctx context.Context, r Row, base uint64) (Row, error) {
	value, err := json.Marshal(&r)
	if err != nil {
		return r, err
	}
	for try := 1; ; try++ {
		rev, ok, err := e.Store.CompareAndSwap(ctx, Prefix+r.ID(), value, base)
		if err == nil && ok {
			r.Revision = rev
			return r, nil
		}
		cur, readErr := e.current(ctx, r.Kind, r.Name)
		switch {
		case readErr != nil && try >= writeTries:
			return r, &UncertainError{EditID: r.EditID, Cause: readErr}
		case readErr != nil:
			continue
		case cur.has(r.EditID):
			return cur, nil
		case cur.Revision != base:
			return r, &ConflictError{Base: base, Current: cur}
		case try >= writeTries:
			return r, &UncertainError{EditID: r.EditID, Cause: err}
		}
	}
}

// UncertainError reports that the answers to a write were lost and that
// reading back did not tell whether it took effect.
type UncertainError struct {
	EditID string
	Cause  error
}

// Error tells what to compare.
func (e *UncertainError) Error() string {
	return "the edit " + e.EditID + " may have taken effect or may still do so; read the row again: " + e.Cause.Error()
}

// Unwrap returns the error of the last call.
func (e *UncertainError) Unwrap() error { return e.Cause }

// History returns the kept states of a row, the newest first.
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

// remember adds a state to the history. The history is informative: a failure
// to write it does not undo the edit.
func (e *Editor) remember(ctx context.Context, r Row) {
	key := historyPrefix + r.ID()
	for range historyTries {
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

const historyTries = 5

// insertRow keeps rows sorted by revision, the newest first.
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
