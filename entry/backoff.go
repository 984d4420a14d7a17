package entry

import (
	"math/rand/v2"
	"time"
)

// backoff computes exponentially growing delays with jitter between retries.
type backoff struct {
	initial, limit time.Duration
	current        time.Duration
}

// next returns the next delay: between half and the whole of a value that
// doubles up to the limit.
func (b *backoff) next() time.Duration {
	b.current = min(max(b.initial, 2*b.current), b.limit)
	return b.current/2 + rand.N(b.current/2+1)
}

// reset makes the next delay start from the initial one.
func (b *backoff) reset() { b.current = 0 }

// sleep waits for d and reports false if the entry ends meanwhile.
func (e *Entry) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.stop:
		return false
	}
}

// notify wakes the loop that waits on ch.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default: // a wakeup is already pending
	}
}
