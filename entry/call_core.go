package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// errEnded reports that the entry ended before the call completed.
const errEnded = errors.ConstError("the entry has ended")

// post sends an event to the core loop, waiting for space in the channel. It
// reports false if the entry has ended.
func (e *Entry) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.stop:
		return false
	}
}

// callCore runs f in the core loop and returns its result. After an error f may
// have run, or may run later.
func callCore[T any](ctx context.Context, e *Entry, f func(now time.Time) T) (v T, err error) {
	done := make(chan T, 1)
	if !e.post(func(now time.Time) { done <- f(now) }) {
		return v, errEnded
	}
	select {
	case v = <-done:
		return v, nil
	case <-ctx.Done():
		return v, ctx.Err()
	case <-e.stop:
		return v, errEnded
	}
}

// doInCore runs f in the core loop and waits until it returns. It fails as
// callCore does.
func (e *Entry) doInCore(ctx context.Context, f event) error {
	_, err := callCore(ctx, e, func(now time.Time) struct{} {
		f(now)
		return struct{}{}
	})
	return err
}
