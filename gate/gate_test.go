package gate_test

import (
	"testing"
	"time"

	"masticbay/gate"
	"masticbay/job"
)

const window = time.Minute

var startedAt = time.Unix(1_000_000, 0)

// newListedGate returns a gate that is listed at revision 5, at a time after its
// join window.
func newListedGate() (g *gate.Gate, now time.Time) {
	g = gate.New("a1", gate.Config{Window: window, StampMaxAge: time.Second}, startedAt)
	g.SetListed(5)
	return g, startedAt.Add(window)
}

func dispatchOf(g *gate.Gate, now time.Time, attempt uint64) gate.Dispatch {
	return gate.Dispatch{
		Task: gate.TaskID{Job: "t/k"}, Entry: "e1", Agent: g.ID(), Attempt: attempt,
		Registry: 5, Stamp: g.Stamp(now), StartWithin: time.Minute,
	}
}

func TestSecondDispatchReturnsRecord(t *testing.T) {
	g, now := newListedGate()
	d := dispatchOf(g, now, 1)
	if decision := g.Dispatch(now, &d, true); decision.Verdict != gate.Start {
		t.Fatalf("first dispatch: got %+v, want a start", decision)
	}
	g.Finish(now, gate.Report{Task: d.Task, Phase: gate.Succeeded, Result: []byte("7")})
	d.Attempt = 2
	decision := g.Dispatch(now, &d, true)
	if decision.Verdict != gate.Recorded || string(decision.Report.Result) != "7" {
		t.Errorf("second dispatch: got %+v, want the recorded result 7", decision)
	}
}

func TestSealedAttemptNeverStarts(t *testing.T) {
	g, now := newListedGate()
	d := dispatchOf(g, now, 1)
	s := gate.Seal{Entry: "e1", Agent: "a1", Items: []gate.SealItem{{Task: d.Task, Attempt: 1}}}
	if decision := g.Seal(now, &s)[0]; decision.Verdict != gate.Sealed {
		t.Fatalf("seal: got %+v, want sealed", decision)
	}
	if decision := g.Dispatch(now, &d, true); decision.Verdict != gate.Refused || decision.Reason != gate.Repeated {
		t.Errorf("dispatch of the sealed attempt: got %+v, want refused as repeated", decision)
	}
}

func TestRefusalReasons(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*gate.Gate, *gate.Dispatch)
		after  time.Duration
		free   bool
		want   gate.Reason
	}{
		{"unlisted", func(g *gate.Gate, _ *gate.Dispatch) {
			*g = *gate.New("a1", gate.Config{Window: window, StampMaxAge: time.Hour}, startedAt)
		}, 0, true, gate.Unlisted},
		{"old registry", func(_ *gate.Gate, d *gate.Dispatch) { d.Registry = 4 }, 0, true, gate.OldRegistry},
		{"young", func(_ *gate.Gate, _ *gate.Dispatch) {}, -time.Second, true, gate.Young},
		{"stale stamp", func(_ *gate.Gate, _ *gate.Dispatch) {}, 2 * time.Second, true, gate.Stale},
		{"start limit passed", func(_ *gate.Gate, d *gate.Dispatch) { d.StartWithin = time.Millisecond }, 2 * time.Millisecond, true, gate.Stale},
		{"busy", func(_ *gate.Gate, _ *gate.Dispatch) {}, 0, false, gate.Busy},
		{"draining", func(g *gate.Gate, _ *gate.Dispatch) { g.Drain(true) }, 0, true, gate.Draining},
		{"wrong agent", func(_ *gate.Gate, d *gate.Dispatch) { d.Agent = "a0" }, 0, true, gate.WrongAgent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g, now := newListedGate()
			d := dispatchOf(g, now, 1)
			tc.change(g, &d)
			decision := g.Dispatch(now.Add(tc.after), &d, tc.free)
			if decision.Verdict != gate.Refused || decision.Reason != tc.want {
				t.Errorf("got %+v, want refusal %v", decision, tc.want)
			}
		})
	}
}

func TestClaimSetsMarkerAndReports(t *testing.T) {
	g, now := newListedGate()
	d := dispatchOf(g, now, 1)
	g.Dispatch(now, &d, true)
	claim := func(entry string, n, registry uint64) gate.Grant {
		c := gate.Claim{Entry: entry, Agent: "a1", Registry: registry, Jobs: []gate.ClaimItem{{Job: "t/k", Ballot: gate.Ballot{N: n, Entry: entry}}}}
		return g.Claim(now, &c)[0]
	}
	if got := claim("e2", 2, 5); !got.OK || len(got.Reports) != 1 {
		t.Fatalf("claim: got %+v, want granted with 1 report", got)
	}
	if got := claim("e1", 1, 5); got.OK || got.Holder.Entry != "e2" {
		t.Errorf("lower claim: got %+v, want not granted, held by e2", got)
	}
	if got := claim("e3", 9, 4); got.OK || got.Registry != 5 {
		t.Errorf("claim over an old registry: got %+v, want not granted, with revision 5", got)
	}
	other := dispatchOf(g, now, 2)
	other.Task.Index = 1
	if decision := g.Dispatch(now, &other, true); decision.Verdict != gate.Held {
		t.Errorf("dispatch against the claim: got %+v, want held", decision)
	}
}

func TestImportAnswersForLeavingAgent(t *testing.T) {
	g, now := newListedGate()
	d := dispatchOf(g, now, 1)
	g.Dispatch(now, &d, true)
	g.Drain(true)
	if _, ok := g.Export(now); ok {
		t.Fatal("Export succeeded while a task runs")
	}
	g.Finish(now, gate.Report{Task: d.Task, Phase: gate.Succeeded})
	h, _ := g.Export(now)
	successor := gate.New("a2", gate.Config{Window: window}, startedAt)
	successor.Import(now, &h)
	seal := gate.Seal{Entry: "e1", Agent: "a1", Items: []gate.SealItem{{Task: d.Task, Attempt: 1}, {Task: gate.TaskID{Job: job.Key("t/x")}, Attempt: 2}}}
	decisions := successor.Seal(now, &seal)
	if decisions[0].Verdict != gate.Recorded || decisions[1].Verdict != gate.Sealed {
		t.Errorf("seals at the successor: got %+v, want recorded and sealed", decisions)
	}
	seal.Agent = "a9"
	if decision := successor.Seal(now, &seal)[0]; decision.Verdict != gate.Lost {
		t.Errorf("seal for an unknown agent: got %+v, want lost", decision)
	}
}

func TestRecordsExpire(t *testing.T) {
	g, now := newListedGate()
	d := dispatchOf(g, now, 1)
	g.Dispatch(now, &d, true)
	g.Expire(now.Add(10 * window))
	if jobs, _ := g.Records(); jobs != 1 {
		t.Fatal("the record of a running task expired")
	}
	g.Finish(now.Add(10*window), gate.Report{Task: d.Task, Phase: gate.Succeeded})
	g.Expire(now.Add(12 * window))
	if jobs, attempts := g.Records(); jobs+attempts != 0 {
		t.Errorf("%d jobs and %d attempts are still recorded", jobs, attempts)
	}
}
