package schedule_test

import (
	"strconv"
	"testing"
	"time"

	"masticbay/schedule"
	"masticbay/work"
)

var cfg = schedule.Config{
	Suspect: 300 * time.Millisecond, Lost: 1350 * time.Millisecond, Late: 3, Margin: 5 * time.Millisecond,
	Far: 3, Remember: 100, MaxQueued: 1000,
}

// desk plays the agents and the entries around a Core.
type desk struct {
	t      *testing.T
	c      *schedule.Core
	now    time.Time
	seq    map[string]uint64
	starts map[string][]work.Run
	stops  map[string][]work.Run
	ends   map[string]work.Outcome
	agents map[string]work.Target
}

func newDesk(t *testing.T) *desk {
	return &desk{
		t: t, c: schedule.NewCore(cfg), now: time.Unix(1000, 0), seq: make(map[string]uint64),
		starts: make(map[string][]work.Run), stops: make(map[string][]work.Run),
		ends: make(map[string]work.Outcome), agents: make(map[string]work.Target),
	}
}

// agent adds an agent whose worker has room for some tasks of ten thousandths.
func (d *desk) agent(name string, room int, labels ...string) {
	d.agents[name] = work.Target{ID: "w-" + name, Born: 1, Service: "s", Labels: labels, Capacity: work.Room{CPU: 10 * room}}
	d.report(name)
}

func (d *desk) report(name string, events ...schedule.Event) {
	for i := range events {
		d.seq[name]++
		events[i].Seq = d.seq[name]
	}
	d.c.Report(d.now, name, &schedule.Report{Life: "1", Target: d.agents[name], Ready: true, Settled: true, Events: events})
	d.take()
}

func (d *desk) take() {
	acts := d.c.Take()
	for a, starts := range acts.Starts {
		for _, s := range starts {
			d.starts[a] = append(d.starts[a], s.Run)
		}
	}
	for a, runs := range acts.Stops {
		d.stops[a] = append(d.stops[a], runs...)
	}
	for _, e := range acts.Outcomes {
		d.ends[e.Job] = e.Outcome
	}
}

// pass lets time go on while all agents stay in contact.
func (d *desk) pass(span time.Duration, silent ...string) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(10 * time.Millisecond)
		for name := range d.agents {
			if len(silent) == 0 || silent[0] != name {
				d.report(name)
			}
		}
		d.c.Tick(d.now)
		d.take()
	}
}

func job(id string, priority, tasks int, est time.Duration) work.Job {
	return work.Job{
		ID: id, Left: 5 * time.Second,
		Queue: work.Queue{Name: "q" + strconv.Itoa(priority), Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond},
		Steps: []work.Step{{Count: tasks, Room: work.Room{CPU: 10}, Estimate: est}},
	}
}

func (d *desk) submit(j work.Job) {
	d.c.Submit(d.now, j, 0)
	d.take()
}

func (d *desk) end(agent string, r work.Run, how work.End, took time.Duration) {
	d.report(agent, schedule.Event{Run: r, End: how, Took: took})
}

func (d *desk) wantOutcome(id string, want work.State) {
	d.t.Helper()
	if got := d.ends[id].State; got != want {
		d.t.Errorf("job %s ended as %q (%s), want %q", id, got, d.ends[id].Reason, want)
	}
}

func (d *desk) wantStarts(agent string, want int) {
	d.t.Helper()
	if got := len(d.starts[agent]); got != want {
		d.t.Errorf("%d starts at %s, want %d", got, agent, want)
	}
}

func TestJobCompletesWithItsLastTask(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 4)
	d.submit(job("j", 0, 2, 60*time.Millisecond))
	d.wantStarts("a", 2)
	d.end("a", d.starts["a"][0], work.Done, 60*time.Millisecond)
	d.wantOutcome("j", "")
	d.end("a", d.starts["a"][1], work.Done, 60*time.Millisecond)
	d.wantOutcome("j", work.Completed)
}

func TestUrgentQueueGoesFirst(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.submit(job("busy", 0, 1, 60*time.Millisecond))
	d.submit(job("later", 2, 1, 60*time.Millisecond))
	d.submit(job("urgent", 0, 1, 60*time.Millisecond))
	d.end("a", d.starts["a"][0], work.Done, 60*time.Millisecond)
	if got := d.starts["a"][1].Task.Job; got != "urgent" {
		t.Errorf("%s was started first", got)
	}
}

// teach lets a worker of slowness x run tasks until its speed is known.
func (d *desk) teach(agent string, x float64) {
	est := 100 * time.Millisecond
	d.c.Submit(d.now, job("teach-"+agent, 0, 1, est), 0)
	for i := range 60 {
		d.take()
		r := d.starts[agent][len(d.starts[agent])-1]
		d.end(agent, r, work.Done, time.Duration(float64(est)*x))
		d.c.Submit(d.now, job("teach-"+agent+strconv.Itoa(i), 0, 1, est), 0)
	}
	d.take()
	d.end(agent, d.starts[agent][len(d.starts[agent])-1], work.Done, est)
}

func TestLongTasksGetTheFastWorkerAndShortOnesTheSlow(t *testing.T) {
	d := newDesk(t)
	d.agent("slow", 4, "a")
	d.teach("slow", 2)
	d.agent("fast", 4, "b")
	d.starts = make(map[string][]work.Run)
	d.submit(job("short", 0, 1, 60*time.Millisecond)) // 120 ms on the slow one, in time for 156 ms
	d.wantStarts("slow", 1)
	d.submit(job("long", 0, 1, 900*time.Millisecond)) // 1800 ms on the slow one, too late for 1500 ms
	d.wantStarts("fast", 1)
}

func TestJobThatCannotEndInTimeIsRejectedAtOnce(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.pass(500 * time.Millisecond)
	d.submit(job("busy", 0, 1, time.Second))
	for i := range 8 {
		d.submit(job("wait"+strconv.Itoa(i), 0, 1, time.Second))
	}
	d.wantOutcome("wait7", work.Rejected)
	if d.ends["wait7"].RetryAfter < time.Second {
		t.Errorf("come back after %v", d.ends["wait7"].RetryAfter)
	}
	d.wantOutcome("wait0", "")
}

func TestTaskThatFailedIsTriedElsewhere(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.submit(job("j", 0, 1, 60*time.Millisecond))
	d.agent("b", 1)
	d.end("a", d.starts["a"][0], work.Failed, time.Millisecond)
	d.wantStarts("b", 1)
	if r := d.starts["b"][0]; r.Number != 2 {
		t.Errorf("run number %d", r.Number)
	}
	d.end("b", d.starts["b"][0], work.Failed, time.Millisecond)
	d.wantOutcome("j", work.JobFailed)
}

func TestRunThatWasRefusedIsNoAttempt(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.submit(job("j", 0, 1, 60*time.Millisecond))
	for i := range 5 {
		d.report("a", schedule.Event{Run: d.starts["a"][i], End: work.Refused, Reason: "noRoom"})
		d.pass(50 * time.Millisecond)
	}
	d.wantOutcome("j", "")
	d.wantStarts("a", 6)
}

// TestLostAgentsRunsStartAgainAfterTheLeases: not before both leases are over.
func TestLostAgentsRunsStartAgainAfterTheLeases(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	j := job("j", 0, 1, 900*time.Millisecond)
	d.submit(j)
	d.agent("b", 1)
	d.pass(cfg.Lost, "a")
	d.wantStarts("b", 0)
	d.pass(20*time.Millisecond, "a")
	d.wantStarts("b", 1)
}

func TestSilentAgentGetsNothingNew(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 4)
	d.agent("b", 4)
	d.pass(cfg.Suspect+20*time.Millisecond, "a")
	d.submit(job("j", 0, 4, 60*time.Millisecond))
	d.wantStarts("a", 0)
	d.wantStarts("b", 4)
}

func TestWithdrawnJobIsStoppedAndItsRoomFreed(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.submit(job("next", 0, 1, 60*time.Millisecond))
	d.c.Withdraw(d.now, "j")
	d.take()
	if len(d.stops["a"]) != 1 {
		t.Fatalf("stops %v", d.stops)
	}
	d.wantStarts("a", 1)
	d.end("a", d.starts["a"][0], work.Stopped, time.Millisecond)
	d.wantStarts("a", 2)
}

func TestJobSubmittedAgainIsTheSameJob(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 4)
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.wantStarts("a", 1)
	d.c.Withdraw(d.now, "j")
	d.submit(job("j", 0, 1, 900*time.Millisecond))
	d.wantStarts("a", 1)
	d.end("a", d.starts["a"][0], work.Stopped, time.Millisecond)
	d.wantStarts("a", 2)
}

func TestStalledRunIsStoppedAndTriedElsewhere(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.submit(job("j", 0, 1, 60*time.Millisecond))
	d.agent("b", 1)
	d.c.Report(d.now, "a", &schedule.Report{Life: "1", Target: d.agents["a"], Ready: true, Settled: true, Idle: d.starts["a"]})
	d.take()
	if len(d.stops["a"]) != 1 {
		t.Fatalf("stops %v", d.stops)
	}
	d.wantStarts("b", 0)
	d.end("a", d.starts["a"][0], work.Stopped, 400*time.Millisecond)
	d.wantStarts("b", 1)
}

// TestSlowRunIsGivenUpInTheEnd: far beyond what a wrong estimate explains.
func TestSlowRunIsGivenUpInTheEnd(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.submit(job("j", 0, 1, 100*time.Millisecond))
	d.pass(800 * time.Millisecond)
	if len(d.stops["a"]) != 0 {
		t.Fatal("given up although the estimate may be wrong by that much")
	}
	d.pass(450 * time.Millisecond)
	if len(d.stops["a"]) != 1 {
		t.Errorf("stops %v", d.stops)
	}
}

// TestLongTaskWaitsForAFastWorker: a slow one with room could not be in time.
func TestLongTaskWaitsForAFastWorker(t *testing.T) {
	d := newDesk(t)
	d.agent("slow", 4, "a")
	d.teach("slow", 2.2)
	d.agent("fast", 1, "b")
	d.starts = make(map[string][]work.Run)
	d.submit(job("first", 0, 1, 900*time.Millisecond))
	d.submit(job("second", 0, 1, 900*time.Millisecond))
	d.wantStarts("slow", 0)
	d.wantStarts("fast", 1)
	d.pass(200 * time.Millisecond)
	d.end("fast", d.starts["fast"][0], work.Done, 200*time.Millisecond)
	d.wantStarts("fast", 2)
}

func TestStepsFollowOneAnother(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 4)
	j := job("j", 0, 2, 60*time.Millisecond)
	j.Steps = append(j.Steps, work.Step{Count: 1, Room: work.Room{CPU: 10}, Estimate: 60 * time.Millisecond, After: []int{0}})
	d.submit(j)
	d.wantStarts("a", 2)
	d.end("a", d.starts["a"][0], work.Done, 60*time.Millisecond)
	d.wantStarts("a", 2)
	d.end("a", d.starts["a"][1], work.Done, 60*time.Millisecond)
	d.wantStarts("a", 3)
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 2)
	j := job("j", 0, 3, 60*time.Millisecond)
	j.Steps[0].Gang = true
	d.submit(j)
	d.wantStarts("a", 0)
	d.agent("b", 2)
	if n := len(d.starts["a"]) + len(d.starts["b"]); n != 3 {
		t.Errorf("%d starts, want 3", n)
	}
}

func TestLabelAndMostOnOneWorkerAreKept(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 4, "x")
	d.agent("b", 4, "y")
	j := job("j", 0, 4, 60*time.Millisecond)
	j.Steps[0].Label, j.Steps[0].MaxPerOne = "x", 2
	d.submit(j)
	d.wantStarts("a", 2)
	d.wantStarts("b", 0)
}

func TestWorkerThatFailsAllIsLeftAlone(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.agent("b", 8)
	for i := range 2 {
		j := job("j"+strconv.Itoa(i), 0, 1, 60*time.Millisecond)
		j.Steps[0].Label = ""
		d.c.Submit(d.now, j, 0)
		d.take()
		for _, a := range []string{"a", "b"} {
			for _, r := range d.starts[a] {
				if r.Task.Job == j.ID && r.Number == 1 {
					d.end(a, r, work.Failed, time.Millisecond)
				}
			}
		}
	}
	before := len(d.starts["b"])
	d.submit(job("after", 0, 1, 60*time.Millisecond))
	if len(d.starts["b"]) != before {
		t.Error("a worker on which runs failed one after the other got another one")
	}
}

// TestJobThatRanIsNotSaidToHaveNotRun: its caller was lost after some of it had
// run; what comes again is rejected by a home that knows of that.
func TestJobThatRanIsNotSaidToHaveNotRun(t *testing.T) {
	d := newDesk(t)
	d.agent("a", 1)
	d.submit(job("j", 0, 1, 100*time.Millisecond))
	d.c.Withdraw(d.now, "j")
	d.take()
	d.end("a", d.starts["a"][0], work.Stopped, time.Millisecond)
	late := job("j", 0, 1, 100*time.Millisecond)
	late.Left = time.Millisecond
	d.submit(late)
	d.wantOutcome("j", work.Unknown)
}

// TestManyJobsOfOneRack: what answers a rush of jobs whose data is on one rack.
// They wait for workers of that rack while they can be in time there, and what
// runs elsewhere does not make a worker count as slow.
func TestManyJobsOfOneRack(t *testing.T) {
	d := newDesk(t)
	d.agent("near", 1, "a", "r1")
	d.agent("far", 8, "a", "r2")
	near := func(id string, est time.Duration) work.Job {
		j := job(id, 0, 1, est)
		j.Steps[0].Affinity = "r1"
		return j
	}
	d.submit(near("first", 300*time.Millisecond))
	d.submit(near("second", 300*time.Millisecond))
	d.wantStarts("near", 1)
	d.wantStarts("far", 0)
	d.pass(100 * time.Millisecond)
	d.end("near", d.starts["near"][0], work.Done, 100*time.Millisecond)
	d.wantStarts("near", 2)

	for i := range 60 {
		j := job("far"+strconv.Itoa(i), 0, 1, 100*time.Millisecond)
		j.Steps[0].Affinity, j.Steps[0].Label = "r1", "r2"
		d.submit(j)
		d.end("far", d.starts["far"][i], work.Done, 300*time.Millisecond)
	}
	before := len(d.starts["far"])
	d.submit(job("any", 0, 1, 100*time.Millisecond))
	d.wantStarts("far", before+1)
}
