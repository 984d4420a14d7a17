package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

var cfg = schedule.Config{
	SuspectAfter: 300 * time.Millisecond, RunsLostAfter: 1350 * time.Millisecond, StoredRunsLostAfter: 1650 * time.Millisecond, CutoffFactor: 3, Margin: 5 * time.Millisecond,
	RemoteFactor: 3, MaxRemembered: 100, MaxQueued: 1000, MaxSealingAgents: 3, TransitTime: 13 * time.Second, RunsOfOthersEndAfter: 1750 * time.Millisecond,
}

// harness simulates the agents and the entries around a Core.
type harness struct {
	t         *testing.T
	c         *schedule.Core
	now       time.Time
	seq       map[string]uint64
	starts    map[string][]work.Run
	stops     map[string][]work.Run
	seals     map[string][]worker.Seal
	outcomes  map[string]work.Outcome
	agents    map[string]work.Target
	coldUntil map[string]time.Time // by agent; its worker is cold until then
}

func newHarness(t *testing.T) *harness {
	return &harness{
		t: t, c: schedule.NewCore(cfg), now: time.Unix(1000, 0), seq: make(map[string]uint64),
		starts: make(map[string][]work.Run), stops: make(map[string][]work.Run), seals: make(map[string][]worker.Seal),
		outcomes: make(map[string]work.Outcome), agents: make(map[string]work.Target), coldUntil: make(map[string]time.Time),
	}
}

// addAgent adds an agent whose worker has capacity for a number of tasks, each of
// which needs ten thousandths of a core.
func (h *harness) addAgent(name string, slots int, labels ...string) {
	h.agents[name] = work.Target{ID: "w-" + name, Born: 1, Service: "s", Labels: labels, Capacity: work.Room{CPU: 10 * slots}}
	h.report(name)
}

func (h *harness) report(name string, events ...schedule.Event) {
	for i := range events {
		h.seq[name]++
		events[i].Seq = h.seq[name]
	}
	h.c.Report(h.now, name, &schedule.Report{Life: "1", Target: h.agents[name], Ready: true, Settled: true, Events: events, ColdLeft: max(h.coldUntil[name].Sub(h.now), 0)})
	h.collect()
}

// collect records the decisions since the last call.
func (h *harness) collect() {
	decisions := h.c.Take()
	for a, starts := range decisions.Starts {
		for _, s := range starts {
			h.starts[a] = append(h.starts[a], s.Run)
		}
	}
	for a, runs := range decisions.Stops {
		h.stops[a] = append(h.stops[a], runs...)
	}
	for a, seals := range decisions.Seals {
		h.seals[a] = append(h.seals[a], seals...)
	}
	for _, e := range decisions.Outcomes {
		h.outcomes[e.Job] = e.Outcome
	}
}

// advance moves time on while all agents stay in contact, except the one given.
func (h *harness) advance(span time.Duration, outOfContact ...string) {
	for end := h.now.Add(span); h.now.Before(end); {
		h.now = h.now.Add(10 * time.Millisecond)
		for name := range h.agents {
			if len(outOfContact) == 0 || outOfContact[0] != name {
				h.report(name)
			}
		}
		h.c.Tick(h.now)
		h.collect()
	}
}

// job returns a job of one step for the queue of a priority.
func job(id string, priority, tasks int, est time.Duration) work.Job {
	return work.Job{
		ID: id, Left: 5 * time.Second,
		Queue: work.Queue{Name: "q" + strconv.Itoa(priority), Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond},
		Steps: []work.Step{{Count: tasks, Room: work.Room{CPU: 10}, Estimate: est}},
	}
}

func (h *harness) submit(j work.Job) {
	h.c.Submit(h.now, j, 0)
	h.collect()
}

func (h *harness) endRun(agent string, r work.Run, end work.End, took time.Duration) {
	h.report(agent, schedule.Event{Run: r, End: end, Took: took})
}

func (h *harness) wantOutcome(id string, want work.State) {
	h.t.Helper()
	if got := h.outcomes[id].State; got != want {
		h.t.Errorf("job %s ended as %q (%s), want %q", id, got, h.outcomes[id].Reason, want)
	}
}

func (h *harness) wantStarts(agent string, want int) {
	h.t.Helper()
	if got := len(h.starts[agent]); got != want {
		h.t.Errorf("%d starts at %s, want %d", got, agent, want)
	}
}

// lastStart returns the last run of a task that was started, and where.
func (h *harness) lastStart(ref work.TaskRef) (agent string, last work.Run) {
	for a, runs := range h.starts {
		for _, r := range runs {
			if r.Task == ref && r.Number > last.Number {
				agent, last = a, r
			}
		}
	}
	return agent, last
}

// teachSlowness lets a worker of the given slowness run tasks until its slowness is known.
func (h *harness) teachSlowness(agent string, slowness float64) {
	est := 100 * time.Millisecond
	h.c.Submit(h.now, job("teach-"+agent, 0, 1, est), 0)
	for i := range 60 {
		h.collect()
		r := h.starts[agent][len(h.starts[agent])-1]
		h.endRun(agent, r, work.Done, time.Duration(float64(est)*slowness))
		h.c.Submit(h.now, job("teach-"+agent+strconv.Itoa(i), 0, 1, est), 0)
	}
	h.collect()
	h.endRun(agent, h.starts[agent][len(h.starts[agent])-1], work.Done, est)
}
