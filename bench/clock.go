package bench

import (
	"container/heap"
	"slices"
	"time"
)

// eventQueue is a heap of events in the order of virtual time. Events of the same
// time run in the order in which they were scheduled.
type eventQueue []event

// event is an action at a point in virtual time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// clock is the virtual clock of a run, with the events that are scheduled.
type clock struct {
	elapsed time.Duration
	events  eventQueue
	seq     int
	endAt   time.Duration // events after this time do not run
}

// after schedules an action for d from now.
func (c *clock) after(d time.Duration, action func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.elapsed + d, seq: c.seq, action: action})
}

// run runs the events in order until endAt, and calls afterEach after each.
func (c *clock) run(afterEach func()) {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		if e.at > c.endAt {
			return
		}
		c.elapsed = e.at
		e.action()
		afterEach()
	}
}

// percentile returns the value below which the given share of values lies. It
// sorts values.
func percentile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

func mean(values []float64) (sum float64) {
	for _, v := range values {
		sum += v / float64(len(values))
	}
	return sum
}
