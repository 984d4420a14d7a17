package queue_test

import (
	"testing"
	"time"

	"masticbay/queue"
)

func all(string) bool { return true }

// take removes n tasks and counts them by team.
func take(q *queue.Queue, n int) map[string]int {
	got := make(map[string]int)
	for range n {
		it, ok := q.Next(all)
		if !ok {
			break
		}
		q.Take(it.Key)
		got[it.Team]++
	}
	return got
}

func TestTeamsShareByWeight(t *testing.T) {
	var q queue.Queue
	q.Push(queue.Item{Key: "a/1", Team: "a", Waiting: 900}, 1)
	q.Push(queue.Item{Key: "b/1", Team: "b", Waiting: 900}, 3)
	if got := take(&q, 400); got["a"] != 100 || got["b"] != 300 {
		t.Errorf("shares are %v, want 100 for a and 300 for b", got)
	}
}

func TestIdleTeamDoesNotSaveUpShares(t *testing.T) {
	var q queue.Queue
	q.Push(queue.Item{Key: "a/1", Team: "a", Waiting: 500}, 1)
	take(&q, 200)
	q.Push(queue.Item{Key: "b/1", Team: "b", Waiting: 500}, 1)
	if got := take(&q, 100); got["b"] > 51 {
		t.Errorf("the team that was idle got %d of 100, want at most 51", got["b"])
	}
}

func TestNearestCompletionFirst(t *testing.T) {
	var q queue.Queue
	late := time.Unix(100, 0)
	q.Push(queue.Item{Key: "t/long", Team: "t", Waiting: 9, Deadline: late}, 1)
	q.Push(queue.Item{Key: "t/short", Team: "t", Waiting: 2, Deadline: late}, 1)
	q.Push(queue.Item{Key: "t/soon", Team: "t", Waiting: 2, Deadline: late.Add(-time.Second)}, 1)
	for _, want := range []string{"t/soon", "t/soon", "t/short", "t/short", "t/long"} {
		it, _ := q.Next(all)
		q.Take(it.Key)
		if string(it.Key) != want {
			t.Errorf("got %s, want %s", it.Key, want)
		}
	}
	if n := q.Remove("t/long"); n != 8 || q.Len() != 0 || q.Jobs() != 0 {
		t.Errorf("removed %d tasks; %d tasks of %d jobs are left", n, q.Len(), q.Jobs())
	}
}

func TestTeamsOverTheirQuotaAreSkipped(t *testing.T) {
	var q queue.Queue
	q.Push(queue.Item{Key: "a/1", Team: "a", Waiting: 1}, 1)
	q.Push(queue.Item{Key: "b/1", Team: "b", Waiting: 1}, 1)
	it, ok := q.Next(func(team string) bool { return team != "a" })
	if !ok || it.Team != "b" {
		t.Errorf("next is %+v, want a task of team b", it)
	}
}
