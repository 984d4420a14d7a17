// Package queue orders the waiting jobs of one service.
//
// # Model
//
// Teams share a service by weight: the next task comes from the waiting team
// that has received the least service for its weight (weighted fair queueing
// with a virtual time per team). Within a team the job with the fewest waiting
// tasks goes first, since finishing jobs early lowers the mean response time;
// ties go to the earlier deadline and then to the earlier submission.
//
// A Queue does no I/O and is not safe for concurrent use.
//
// # Usage
//
//	var q queue.Queue
//	q.Push(queue.Item{Key: k, Team: team, Waiting: n, Deadline: t}, weight)
//	it, ok := q.Next(func(team string) bool { return quota.Allows(team) })
//	q.Take(it.Key)
package queue

import (
	"container/heap"
	"time"

	"masticbay/job"
)

// Item is a job with waiting tasks.
type Item struct {
	Key      job.Key
	Team     string
	Waiting  int
	Deadline time.Time
}

// Queue holds the waiting jobs of one service. The zero Queue is empty.
type Queue struct {
	teams       map[string]*team
	order       []*team // in the order of their first job
	items       map[job.Key]*waitingJob
	waiting     int
	virtualTime float64 // highest at which a team was served; in tasks per unit of weight
	seq         uint64
}

type team struct {
	name            string
	weight          float64
	virtualTime     float64
	busyPeriodTasks int // tasks taken since the team last had none waiting
	jobs            jobHeap
}

// waitingJob is an element of its team's jobHeap.
type waitingJob struct {
	Item
	team  *team
	seq   uint64
	index int
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.waiting }

// Jobs returns the number of waiting jobs.
func (q *Queue) Jobs() int { return len(q.items) }

// WaitingOf returns the number of waiting tasks of one team.
func (q *Queue) WaitingOf(name string) (n int) {
	t := q.teams[name]
	if t == nil {
		return 0
	}
	for _, j := range t.jobs {
		n += j.Waiting
	}
	return n
}

// Push adds it.Waiting tasks of a job whose team has the given weight.
func (q *Queue) Push(it Item, weight float64) {
	if it.Waiting <= 0 {
		return
	}
	q.waiting += it.Waiting
	if j := q.items[it.Key]; j != nil {
		j.Waiting += it.Waiting
		heap.Fix(&j.team.jobs, j.index)
		return
	}
	t := q.team(it.Team)
	t.weight = max(weight, minWeight)
	if len(t.jobs) == 0 {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	q.seq++
	j := &waitingJob{Item: it, team: t, seq: q.seq}
	q.items[it.Key] = j
	heap.Push(&t.jobs, j)
}

// InLongestBusyPeriod reports whether a team is in the longest busy period: since it last
// had no waiting task, more of its tasks have been taken than of any other team.
func (q *Queue) InLongestBusyPeriod(name string) bool {
	t := q.teams[name]
	if t == nil {
		return false
	}
	for _, other := range q.order {
		if other != t && other.busyPeriodTasks >= t.busyPeriodTasks {
			return false
		}
	}
	return true
}

// minWeight is the weight of a team whose weight is zero or unset.
const minWeight = 0.001

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t != nil {
		return t
	}
	if q.teams == nil {
		q.teams = make(map[string]*team)
		q.items = make(map[job.Key]*waitingJob)
	}
	t = &team{name: name}
	q.teams[name] = t
	q.order = append(q.order, t)
	return t
}

// Next returns the job whose task goes next among the teams that are allowed one.
func (q *Queue) Next(allowed func(team string) bool) (Item, bool) {
	var best *team
	for _, t := range q.order {
		if len(t.jobs) == 0 || (best != nil && t.virtualTime >= best.virtualTime) {
			continue
		}
		if allowed(t.name) {
			best = t
		}
	}
	if best == nil {
		return Item{}, false
	}
	return best.jobs[0].Item, true
}

// Take removes one waiting task of a job and charges its team for it.
func (q *Queue) Take(k job.Key) {
	j := q.items[k]
	if j == nil {
		return
	}
	q.virtualTime = max(q.virtualTime, j.team.virtualTime)
	j.team.virtualTime += 1 / j.team.weight
	j.team.busyPeriodTasks++
	q.removeTasks(j, 1)
}

// Remove removes all waiting tasks of a job and returns their number.
func (q *Queue) Remove(k job.Key) int {
	j := q.items[k]
	if j == nil {
		return 0
	}
	waiting := j.Waiting
	q.removeTasks(j, waiting)
	return waiting
}

func (q *Queue) removeTasks(j *waitingJob, count int) {
	j.Waiting -= count
	q.waiting -= count
	if j.Waiting > 0 {
		heap.Fix(&j.team.jobs, j.index)
		return
	}
	heap.Remove(&j.team.jobs, j.index)
	if len(j.team.jobs) == 0 {
		j.team.busyPeriodTasks = 0
	}
	delete(q.items, j.Key)
}

// jobHeap is a heap of a team's jobs, the next one first.
type jobHeap []*waitingJob

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Waiting != b.Waiting {
		return a.Waiting < b.Waiting
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *jobHeap) Push(x any) {
	j := x.(*waitingJob)
	j.index = len(*h)
	*h = append(*h, j)
}

func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}
