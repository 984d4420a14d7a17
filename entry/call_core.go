package entry

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// errEnded tells that the entry ended before it could do what was asked.
const errEnded = errors.ConstError("the entry has ended")

// post puts an event into the ring, waiting for room. It reports false if the
// entry has ended.
func (e *Entry) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.stop:
		return false
	}
}

// ask runs f in the core duty and returns its result. After an error f may
// still run, or may have run.
func ask[T any](ctx context.Context, e *Entry, f func(now time.Time) T) (v T, err error) {
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

// do runs f in the core duty and waits for its end. The error is that of ask.
func (e *Entry) do(ctx context.Context, f event) error {
	_, err := ask(ctx, e, func(now time.Time) struct{} {
		f(now)
		return struct{}{}
	})
	return err
}
