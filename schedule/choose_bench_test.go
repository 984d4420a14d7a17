package schedule_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// BenchmarkPlaceTask measures a task's placement and end on a site of 62 workers of two
// kinds that are half full. Every other job has an affinity to one of nine racks if racks is set.
func BenchmarkPlaceTask(b *testing.B) {
	for _, racks := range []bool{false, true} {
		b.Run(fmt.Sprint("racks=", racks), func(b *testing.B) { benchmarkPlaceTask(b, racks) })
	}
}

func benchmarkPlaceTask(b *testing.B, racks bool) {
	const workers, jobsHeld = 62, 120
	c := schedule.NewCore(cfg)
	now := time.Unix(1000, 0)
	reports := make(map[string]*schedule.Report)
	for i := range workers {
		name := "agent" + strconv.Itoa(100+i)
		t := work.Target{ID: name, Born: 1, Service: "s", Labels: []string{"a", "rack" + strconv.Itoa(i%9)}, Capacity: work.Room{CPU: 32000}}
		if i >= 41 {
			t.Labels[0], t.Capacity.CPU = "b", 48000
		}
		reports[name] = &schedule.Report{Life: "1", Target: t, Ready: true, Settled: true}
		c.Report(now, name, reports[name])
	}
	type placed struct {
		agent string
		run   work.Run
	}
	queues := []struct {
		tasks int
		est   time.Duration
	}{{8, 60 * time.Millisecond}, {2, 200 * time.Millisecond}, {4, 900 * time.Millisecond}}
	held := make(map[string][]placed)
	seq := make(map[string]uint64)
	var order []string
	n := 0
	b.ResetTimer()
	for i := 0; n < b.N; i++ {
		now = now.Add(time.Millisecond)
		q := queues[i%3]
		j := job(strconv.Itoa(1_000_000+i), i%3, q.tasks, q.est)
		j.Steps[0].Room.CPU = 2900
		if racks && i%2 == 0 {
			j.Steps[0].Affinity = "rack" + strconv.Itoa(i%9)
		}
		c.Submit(now, j, 0)
		order = append(order, j.ID)
		for len(order) > jobsHeld {
			for _, p := range held[order[0]] {
				seq[p.agent]++
				r := *reports[p.agent]
				r.Events = []schedule.Event{{Seq: seq[p.agent], Run: p.run, End: work.Done, Took: q.est}}
				c.Report(now, p.agent, &r)
			}
			delete(held, order[0])
			order = order[1:]
		}
		for agent, starts := range c.Take().Starts {
			n += len(starts)
			for _, s := range starts {
				held[s.Run.Task.Job] = append(held[s.Run.Task.Job], placed{agent, s.Run})
			}
		}
		if i%10 == 0 {
			for name, r := range reports {
				c.Report(now, name, r)
			}
			c.Tick(now)
		}
	}
}
