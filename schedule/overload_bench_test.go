package schedule_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

// newBusyHome returns a home of 62 workers that are full, with a number of waiting jobs of
// four tasks in three queues. The queues have different priorities if ranked.
func newBusyHome(b *testing.B, jobs int, ranked bool) (*schedule.Core, time.Time, []agentStart) {
	b.Helper()
	config := cfg
	config.MaxQueued = 1 << 20
	c, now := schedule.NewCore(config), time.Unix(1000, 0)
	for i := range 62 {
		name := fmt.Sprint("a", 100+i)
		c.Report(now, name, &schedule.Report{Life: "1", Target: benchTarget(name), Ready: true, Settled: true})
	}
	var starts []agentStart
	for i := range 200 + jobs {
		c.Submit(now, benchJob(i, ranked), 0)
		starts = append(starts, takeStarts(c)...)
	}
	return c, now, starts
}

func benchJob(i int, ranked bool) work.Job {
	priority := 0
	if ranked {
		priority = i % 3
	}
	j := job("job"+strconv.Itoa(i), priority, 4, 200*time.Millisecond)
	j.Queue.Name = "q" + strconv.Itoa(i%3)
	return j
}

// benchSizes are numbers of waiting jobs of four tasks each.
var benchSizes = []int{100, 1000, 4000}

func forBusyHomes(b *testing.B, run func(b *testing.B, c *schedule.Core, now time.Time, starts []agentStart, ranked bool)) {
	for _, ranked := range []bool{false, true} {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("ranked=%v/jobs=%d", ranked, n), func(b *testing.B) {
				c, now, starts := newBusyHome(b, n, ranked)
				b.ReportAllocs()
				b.ResetTimer()
				run(b, c, now, starts, ranked)
			})
		}
	}
}

// BenchmarkTick measures the timers of a home whose workers are full.
func BenchmarkTick(b *testing.B) {
	forBusyHomes(b, func(b *testing.B, c *schedule.Core, now time.Time, _ []agentStart, _ bool) {
		for b.Loop() {
			c.Tick(now)
			c.Take()
		}
	})
}

// BenchmarkSubmit measures the submission of a job to such a home, and its withdrawal.
func BenchmarkSubmit(b *testing.B) {
	forBusyHomes(b, func(b *testing.B, c *schedule.Core, now time.Time, _ []agentStart, ranked bool) {
		for i := 0; b.Loop(); i++ {
			j := benchJob(1_000_000+i, ranked)
			c.Submit(now, j, 0)
			c.Withdraw(now, j.ID)
			c.Take()
		}
	})
}

// BenchmarkEndOfRun measures the report of a run's end, after which a waiting task starts;
// a new job replaces each that is done.
func BenchmarkEndOfRun(b *testing.B) {
	forBusyHomes(b, func(b *testing.B, c *schedule.Core, now time.Time, starts []agentStart, ranked bool) {
		seq := make(map[string]uint64)
		for i := 0; b.Loop(); i++ {
			s := starts[0]
			starts = starts[1:]
			seq[s.agent]++
			c.Report(now, s.agent, &schedule.Report{
				Life: "1", Target: benchTarget(s.agent), Ready: true, Settled: true,
				Events: []schedule.Event{{Seq: seq[s.agent], Run: s.run, End: work.Done, Took: 200 * time.Millisecond}},
			})
			if i%4 == 0 {
				c.Submit(now, benchJob(1_000_000+i, ranked), 0)
			}
			starts = append(starts, takeStarts(c)...)
		}
	})
}

func benchTarget(agent string) work.Target {
	return work.Target{ID: agent, Born: 1, Service: "s", Capacity: work.Room{CPU: 110}}
}

// agentStart is a run that was started at an agent.
type agentStart struct {
	agent string
	run   work.Run
}

func takeStarts(c *schedule.Core) (starts []agentStart) {
	for agent, list := range c.Take().Starts {
		for i := range list {
			starts = append(starts, agentStart{agent, list[i].Run})
		}
	}
	return starts
}
