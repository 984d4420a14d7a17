package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

var cfg = schedule.Config{
	Suspect: 300 * time.Millisecond, Lost: 1350 * time.Millisecond, LostHeld: 1650 * time.Millisecond, Late: 3, Margin: 5 * time.Millisecond,
	Far: 3, Remember: 100, MaxQueued: 1000,
}

// harness plays the agents and the entries around a Core.
type harness struct {
	t        *testing.T
	c        *schedule.Core
	now      time.Time
	seq      map[string]uint64
	starts   map[string][]work.Run
	stops    map[string][]work.Run
	outcomes map[string]work.Outcome
	agents   map[string]work.Target
}

func newHarness(t *testing.T) *harness {
	return &harness{
		t: t, c: schedule.NewCore(cfg), now: time.Unix(1000, 0), seq: make(map[string]uint64),
		starts: make(map[string][]work.Run), stops: make(map[string][]work.Run),
		outcomes: make(map[string]work.Outcome), agents: make(map[string]work.Target),
	}
}

// addAgent adds an agent whose worker has room for some tasks of ten thousandths.
func (d *harness) addAgent(name string, room int, labels ...string) {
	d.agents[name] = work.Target{ID: "w-" + name, Born: 1, Service: "s", Labels: labels, Capacity: work.Room{CPU: 10 * room}}
	d.report(name)
}

func (d *harness) report(name string, events ...schedule.Event) {
	for i := range events {
		d.seq[name]++
		events[i].Seq = d.seq[name]
	}
	d.c.Report(d.now, name, &schedule.Report{Life: "1", Target: d.agents[name], Ready: true, Settled: true, Events: events})
	d.collect()
}

func (d *harness) collect() {
	decisions := d.c.Take()
	for a, starts := range decisions.Starts {
		for _, s := range starts {
			d.starts[a] = append(d.starts[a], s.Run)
		}
	}
	for a, runs := range decisions.Stops {
		d.stops[a] = append(d.stops[a], runs...)
	}
	for _, e := range decisions.Outcomes {
		d.outcomes[e.Job] = e.Outcome
	}
}

// advance lets time go on while all agents stay in contact.
func (d *harness) advance(span time.Duration, silent ...string) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(10 * time.Millisecond)
		for name := range d.agents {
			if len(silent) == 0 || silent[0] != name {
				d.report(name)
			}
		}
		d.c.Tick(d.now)
		d.collect()
	}
}

func job(id string, priority, tasks int, est time.Duration) work.Job {
	return work.Job{
		ID: id, Left: 5 * time.Second,
		Queue: work.Queue{Name: "q" + strconv.Itoa(priority), Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond},
		Steps: []work.Step{{Count: tasks, Room: work.Room{CPU: 10}, Estimate: est}},
	}
}

func (d *harness) submit(j work.Job) {
	d.c.Submit(d.now, j, 0)
	d.collect()
}

func (d *harness) endRun(agent string, r work.Run, end work.End, took time.Duration) {
	d.report(agent, schedule.Event{Run: r, End: end, Took: took})
}

func (d *harness) wantOutcome(id string, want work.State) {
	d.t.Helper()
	if got := d.outcomes[id].State; got != want {
		d.t.Errorf("job %s ended as %q (%s), want %q", id, got, d.outcomes[id].Reason, want)
	}
}

func (d *harness) wantStarts(agent string, want int) {
	d.t.Helper()
	if got := len(d.starts[agent]); got != want {
		d.t.Errorf("%d starts at %s, want %d", got, agent, want)
	}
}

// teachSlowness lets a worker of slowness x run tasks until its speed is known.
func (d *harness) teachSlowness(agent string, x float64) {
	est := 100 * time.Millisecond
	d.c.Submit(d.now, job("teach-"+agent, 0, 1, est), 0)
	for i := range 60 {
		d.collect()
		r := d.starts[agent][len(d.starts[agent])-1]
		d.endRun(agent, r, work.Done, time.Duration(float64(est)*x))
		d.c.Submit(d.now, job("teach-"+agent+strconv.Itoa(i), 0, 1, est), 0)
	}
	d.collect()
	d.endRun(agent, d.starts[agent][len(d.starts[agent])-1], work.Done, est)
}
