package dispatch

import (
	"container/heap"
	"time"

	"masticbay/job"
)

// timerKind says which handler a timer runs.
type timerKind uint8

const (
	deadlineTimer timerKind = iota
	claimTimer
	sealTimer
	expiryTimer
	scheduleTimer
	requeueTimer
	memoryTimer
)

// timer runs a handler when it is due. The state it was set for may have changed
// by then, so each handler checks it.
type timer struct {
	due  time.Time
	kind timerKind
	key  job.Key
	name string // of the service, of a scheduleTimer
	n    uint64 // ballot of a claimTimer, attempt of a sealTimer
}

// timers is a heap of timers with the earliest first.
type timers []timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (h *timers) add(due time.Time, t timer) {
	t.due = due
	heap.Push(h, t)
}

// Next returns the time at which Tick has to be called next, if any timer is set.
func (c *Core) Next() (due time.Time, ok bool) {
	if len(c.timers) == 0 {
		return time.Time{}, false
	}
	return c.timers[0].due, true
}

// Tick runs the timers that are due.
func (c *Core) Tick(now time.Time) {
	for len(c.timers) > 0 && !c.timers[0].due.After(now) {
		c.fire(now, heap.Pop(&c.timers).(timer))
	}
}

func (c *Core) fire(now time.Time, t timer) {
	switch t.kind {
	case deadlineTimer:
		c.onDeadline(now, t.key)
	case claimTimer:
		c.onClaim(now, t.key, t.n)
	case sealTimer:
		c.onSeal(now, t.n)
	case expiryTimer:
		c.onExpiry(now, t.key)
	case scheduleTimer:
		c.schedule(now, c.service(t.name))
	case requeueTimer:
		c.onRequeue(now, t.key)
	case memoryTimer:
		c.onMemory(now, t.key)
	}
}

// onRequeue puts a parked or refused job back into its queue.
func (c *Core) onRequeue(now time.Time, k job.Key) {
	j := c.jobs[k]
	if j == nil || j.answer != nil || j.claim != nil {
		return
	}
	s := c.service(j.spec.Service)
	s.queue.Remove(k)
	c.enqueue(j)
	c.schedule(now, s)
}

func (c *Core) onDeadline(now time.Time, k job.Key) {
	j := c.jobs[k]
	if j == nil || j.answer != nil || j.claim != nil || now.Before(j.deadline) {
		return
	}
	c.stopQueued(now, j, j.stopReason(now))
}

// onExpiry deletes an answer whose retention has ended. The timer may belong to
// an earlier job of the same key.
func (c *Core) onExpiry(now time.Time, k job.Key) {
	if j := c.jobs[k]; j != nil && j.answer != nil && !now.Before(j.expiresAt) {
		delete(c.jobs, k)
	}
}
