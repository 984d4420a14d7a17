package dispatch_test

import (
	"testing"
	"time"

	"masticbay/claim"
	"masticbay/credit"
	"masticbay/dispatch"
	"masticbay/gate"
	"masticbay/job"
	"masticbay/member"
	"masticbay/wire"
)

// coreDriver drives the Core of one entry. The test acts as its agent and its peer.
type coreDriver struct {
	t       *testing.T
	core    *dispatch.Core
	now     time.Time
	actions dispatch.Actions
}

func newCoreDriver(t *testing.T, young bool) *coreDriver {
	d := &coreDriver{t: t, core: dispatch.New("e1", worldConfig), now: time.Unix(1_000_000, 0)}
	d.core.SetRegistry(dispatch.Registry{Revision: 3, Entries: []string{"e2"}, Agents: map[string][]string{service: {"a1"}}})
	st := wire.Status{Agent: "a1", Listed: 2, Young: young, Slots: 4, Offer: credit.Offer{Epoch: 1, Granted: 4}}
	d.core.AgentUp(d.now, dispatch.AgentInfo{ID: "a1", Service: service}, &st)
	return d
}

// advance advances the clock in small steps and returns the actions of the Core
// in that time.
func (d *coreDriver) advance(span time.Duration) dispatch.Actions {
	d.actions = dispatch.Actions{}
	d.collect()
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(10 * time.Millisecond)
		d.core.Tick(d.now)
		d.collect()
	}
	return d.actions
}

func (d *coreDriver) collect() {
	acts := d.core.Take()
	d.actions.Runs = append(d.actions.Runs, acts.Runs...)
	d.actions.Seals = append(d.actions.Seals, acts.Seals...)
	d.actions.Claims = append(d.actions.Claims, acts.Claims...)
	d.actions.Inquiries = append(d.actions.Inquiries, acts.Inquiries...)
	d.actions.Answers = append(d.actions.Answers, acts.Answers...)
	d.actions.Redirects = append(d.actions.Redirects, acts.Redirects...)
}

func (d *coreDriver) submit(tasks int, claimed bool) {
	d.t.Helper()
	spec := job.Spec{Key: "t/k", Team: "t", Service: service, Deadline: 6 * time.Second, Tasks: make([]job.Task, tasks)}
	if _, err := d.core.Submit(d.now, &spec, dispatch.Admission{Submission: "s1", Claim: claimed}); err != nil {
		d.t.Fatal(err)
	}
}

// grantInquiry grants the latest inquiry in the name of the peer.
func (d *coreDriver) grantInquiry(qs []dispatch.SentInquiry, traces ...claim.Trace) {
	d.t.Helper()
	if len(qs) == 0 {
		d.t.Fatal("no inquiry was sent to the peer")
	}
	it := qs[len(qs)-1].Inquiry.Jobs[0]
	d.core.InquiryAnswered(d.now, "e2", []claim.Testimony{{Job: it.Job, Ballot: it.Ballot, OK: true, Traces: traces}})
}

func TestClaimForYoungAgentIsRetried(t *testing.T) {
	d := newCoreDriver(t, true)
	d.submit(1, false)
	if acts := d.advance(worldConfig.ClaimLimit + 100*time.Millisecond); len(acts.Inquiries) == 0 || len(acts.Runs) > 0 {
		t.Fatalf("before the claim: %d inquiries, want some; %d dispatches, want 0", len(acts.Inquiries), len(acts.Runs))
	}
	d.grantInquiry(d.advance(time.Second).Inquiries)
	if acts := d.advance(100 * time.Millisecond); len(acts.Runs) != 1 || acts.Runs[0].Args.Dispatch.Ballot.Zero() {
		t.Errorf("after the claim: dispatches %+v, want one with a ballot", acts.Runs)
	}
}

func TestTasksRunByAnotherEntryAreNotDispatched(t *testing.T) {
	d := newCoreDriver(t, false)
	d.submit(2, true)
	d.grantInquiry(d.advance(0).Inquiries, claim.Trace{Index: 0, State: job.Done, Agent: "a1", Entry: "e2", Attempt: 4, Result: []byte("7")})
	acts := d.advance(0)
	if len(acts.Runs) != 1 || acts.Runs[0].Args.Dispatch.Task.Index != 1 {
		t.Fatalf("dispatches %+v, want only that of task 1", acts.Runs)
	}
}

func TestUnclearAttemptOfAnotherEntryIsSealedFirst(t *testing.T) {
	d := newCoreDriver(t, false)
	d.submit(1, true)
	d.grantInquiry(d.advance(0).Inquiries, claim.Trace{State: job.Dispatched, Agent: "a1", Entry: "e2", Attempt: 4})
	acts := d.advance(100 * time.Millisecond)
	if len(acts.Runs) > 0 || len(acts.Seals) == 0 || acts.Seals[0].Seal.Entry != "e2" || acts.Seals[0].Seal.Items[0].Attempt != 4 {
		t.Fatalf("dispatches %+v, want none; seals %+v, want one of attempt 4 of e2", acts.Runs, acts.Seals)
	}
	st := wire.Status{Agent: "a1", Listed: 2, Slots: 4, Offer: credit.Offer{Epoch: 1, Granted: 4}}
	d.core.SealAnswered(d.now, &acts.Seals[0], []gate.Decision{{Verdict: gate.Sealed}}, &st)
	if acts := d.advance(0); len(acts.Runs) != 1 {
		t.Errorf("after the seal: dispatches %+v, want one", acts.Runs)
	}
}

func TestNotRunNeedsProof(t *testing.T) {
	d := newCoreDriver(t, true)
	d.submit(1, false)
	d.core.Cancel(d.now, "t/k")
	if acts := d.advance(worldConfig.ClaimLimit / 2); len(acts.Answers) > 0 {
		t.Fatalf("answered without a proof: %+v", acts.Answers)
	}
	acts := d.advance(2 * worldConfig.ClaimLimit)
	if len(acts.Answers) != 1 || acts.Answers[0].States[0] != job.Unknown {
		t.Errorf("without a grant of the claim: answers %+v, want one with the task unknown", acts.Answers)
	}
}

func TestHigherClaimTakesJobOver(t *testing.T) {
	d := newCoreDriver(t, false)
	d.submit(1, false)
	if acts := d.advance(0); len(acts.Runs) != 1 {
		t.Fatalf("dispatches %+v, want one", acts.Runs)
	}
	q := claim.Inquiry{Entry: "e2", Registry: 3, Jobs: []gate.ClaimItem{{Job: "t/k", Ballot: gate.Ballot{N: 1, Entry: "e2"}}}}
	ts := d.core.AnswerInquiry(d.now, &q)
	if !ts[0].OK || len(ts[0].Traces) != 1 || ts[0].Traces[0].State != job.Dispatched {
		t.Fatalf("testimony %+v, want the promise and one trace of a dispatch", ts)
	}
	if acts := d.advance(0); len(acts.Redirects) != 1 || acts.Redirects[0].Holder != "e2" {
		t.Errorf("redirects %+v, want one to e2", acts.Redirects)
	}
	old := q
	old.Registry = 2
	if ts := d.core.AnswerInquiry(d.now, &old); ts[0].OK || ts[0].Registry != 3 {
		t.Errorf("claim over an old registry: testimony %+v, want revision 3 and no promise", ts)
	}
}

// TestOnlyAgentsProveClaimAfterLostEntry: an isolated entry may have run jobs
// until it was removed, by claims that the agents granted. The answers of the
// other entries then do not complete a claim.
func TestOnlyAgentsProveClaimAfterLostEntry(t *testing.T) {
	d := newCoreDriver(t, false)
	reg := member.Registry{Revision: 4, Entries: []member.Entry{{ID: "e1"}}, Lost: []member.Entry{{ID: "e2"}}, Agents: []member.Agent{{ID: "a1", Service: service}}}
	d.core.SetRegistry(dispatch.NewRegistry("e1", &reg))
	d.submit(1, true)
	acts := d.advance(worldConfig.ClaimLimit / 2)
	if len(acts.Runs) > 0 || len(acts.Claims) == 0 {
		t.Fatalf("dispatches %+v, want none; claims %+v, want some", acts.Runs, acts.Claims)
	}
	it := acts.Claims[0].Jobs[0]
	rep := gate.Report{Task: gate.TaskID{Job: it.Job}, Phase: gate.Succeeded, Result: []byte("7")}
	d.core.ClaimAnswered(d.now, "a1", []gate.Grant{{Job: it.Job, Ballot: it.Ballot, OK: true, Reports: []gate.Report{rep}}})
	if acts := d.advance(0); len(acts.Runs) > 0 || len(acts.Answers) != 1 || acts.Answers[0].Status != job.StatusComplete {
		t.Errorf("after the claim: actions %+v, want only a complete answer", acts)
	}
}

// TestSealAfterRetentionIsNoProof: an agent deletes its records after the
// retention, so a seal after that time does not prove that a task did not start.
func TestSealAfterRetentionIsNoProof(t *testing.T) {
	for _, afterRetention := range []bool{false, true} {
		d := newCoreDriver(t, false)
		d.core.SetRegistry(dispatch.Registry{Revision: 4, Agents: map[string][]string{service: {"a1"}}})
		d.submit(1, false)
		run := d.advance(0).Runs[0]
		if afterRetention {
			d.now = d.now.Add(retention)
		}
		d.core.RunCallFailed(d.now, run.Args.Dispatch.Attempt, true)
		seals := d.advance(100 * time.Millisecond).Seals
		st := wire.Status{Agent: "a1", Listed: 2, Slots: 4, Offer: credit.Offer{Epoch: 1, Granted: 4}}
		d.core.SealAnswered(d.now, &seals[0], []gate.Decision{{Verdict: gate.Sealed}}, &st)
		acts := d.advance(2 * worldConfig.UnclearLimit)
		if dispatched := len(acts.Runs) > 0; dispatched == afterRetention {
			t.Errorf("seal after the retention: %t; dispatched again: %t", afterRetention, dispatched)
		}
		if afterRetention && (len(acts.Answers) != 1 || acts.Answers[0].States[0] != job.Unknown) {
			t.Errorf("answers %+v, want one with the task unknown", acts.Answers)
		}
	}
}

// TestRequeuedTaskWaitsForClaim: a task that is refused during a claim of its job
// waits for the end of the claim, and does not queue the job again.
func TestRequeuedTaskWaitsForClaim(t *testing.T) {
	d := newCoreDriver(t, false)
	d.core.SetRegistry(dispatch.Registry{Revision: 3, Entries: []string{"e2"}, Agents: map[string][]string{service: {"a1", "a2"}}})
	ready := wire.Status{Agent: "a1", Listed: 2, Slots: 1, Offer: credit.Offer{Epoch: 2, Granted: 1}}
	d.core.ApplyStatus(d.now, &ready)
	young := wire.Status{Agent: "a2", Listed: 2, Young: true, Slots: 1, Offer: credit.Offer{Epoch: 1, Granted: 1}}
	d.core.AgentUp(d.now, dispatch.AgentInfo{ID: "a2", Service: service}, &young)
	d.submit(2, false)
	acts := d.advance(0)
	if len(acts.Runs) != 1 || len(acts.Inquiries) != 1 {
		t.Fatalf("%d dispatches and %d inquiries, want one of each", len(acts.Runs), len(acts.Inquiries))
	}
	ready.Offer.Granted = 3
	busy := gate.Decision{Verdict: gate.Refused, Reason: gate.Busy}
	d.core.RunAnswered(d.now, acts.Runs[0].Args.Dispatch.Attempt, &busy, &ready)
	if acts := d.advance(0); len(acts.Runs) > 0 {
		t.Fatalf("dispatched during the claim: %+v", acts.Runs)
	}
	d.core.InquiryAnswered(d.now, "e2", []claim.Testimony{{Job: "t/k", Ballot: acts.Inquiries[0].Inquiry.Jobs[0].Ballot, OK: true}})
	if acts := d.advance(0); len(acts.Runs) != 2 {
		t.Errorf("after the claim: %d dispatches, want 2", len(acts.Runs))
	}
}

// TestClaimOverOldRegistryIsIncomplete: another entry has claimed over a newer
// registry, which may list agents that this entry does not know.
func TestClaimOverOldRegistryIsIncomplete(t *testing.T) {
	d := newCoreDriver(t, false)
	d.core.SetIsolated(true)
	newer := claim.Inquiry{Entry: "e2", Registry: 4, Jobs: []gate.ClaimItem{{Job: "t/other", Ballot: gate.Ballot{N: 1, Entry: "e2"}}}}
	d.core.AnswerInquiry(d.now, &newer)
	d.submit(1, true)
	it := d.advance(0).Claims[0].Jobs[0]
	d.core.ClaimAnswered(d.now, "a1", []gate.Grant{{Job: it.Job, Ballot: it.Ballot, OK: true}})
	if acts := d.advance(100 * time.Millisecond); len(acts.Runs) > 0 {
		t.Errorf("dispatched over an old registry: %+v", acts.Runs)
	}
}
