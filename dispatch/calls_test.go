package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	"masticbay/dispatch"
	"masticbay/gate"
	"masticbay/job"
	"masticbay/wire"
)

// run sends a dispatch to its agent and the reply back.
func (w *world) run(e *simEntry, r dispatch.Run) {
	args := r.Args
	inst := instance{e.id, args.Dispatch.Task.Job, e.instances[args.Dispatch.Task.Job]}
	lost := func() {
		if !e.dead {
			e.core.RunCallFailed(w.now, args.Dispatch.Attempt, true)
		}
	}
	a := w.agentByID(r.Agent)
	reply := func(rep wire.RunReply) {
		w.toEntry(e, func() { e.core.RunAnswered(w.now, args.Dispatch.Attempt, &rep.Decision, &rep.Status) }, lost)
	}
	w.toAgent(a, func() { w.admit(a, e, &args, inst, runningTask{reply: reply, lost: lost}) }, lost)
}

func (w *world) admit(a *simAgent, e *simEntry, args *wire.RunArgs, inst instance, t runningTask) {
	d := w.omitted.dispatch(a, args.Dispatch)
	a.gate.ObserveRegistry(d.Registry)
	dec := a.gate.Dispatch(w.now, &d, a.lender.HasFreeSlot(e.id, args.Epoch))
	dec = w.omitted.decision(a, &d, dec)
	a.lender.DispatchDecided(e.id, args.Epoch, args.Demand, dec.Verdict == gate.Start)
	w.tracef("%s: dispatch %s#%d attempt %d of %s ballot %v registry %d -> verdict %d %s", a.id, d.Task.Job, d.Task.Index, d.Attempt, e.id, d.Ballot, d.Registry, dec.Verdict, dec.Reason)
	if dec.Verdict != gate.Start {
		w.refusals[dec.Reason]++
		t.reply(wire.RunReply{Decision: dec, Status: w.status(a, e)})
		return
	}
	w.starts[startID{inst, d.Task.Rerun, d.Task.Index}]++
	key := taskKey{d.Task.Job, d.Task.Index}
	w.startSeqs[key] = append(w.startSeqs[key], w.nextSeq())
	t.dispatch = d
	a.running = append(a.running, t)
	if a.gate.Running() > a.lender.Slots() {
		w.violationf("agent %s runs %d tasks in %d slots", a.id, a.gate.Running(), a.lender.Slots())
	}
}

// nextSeq returns the next sequence number of starts and answers.
func (w *world) nextSeq() int {
	w.seq++
	return w.seq
}

// killAgent ends an agent. The calls that wait for its tasks fail.
func (w *world) killAgent(a *simAgent) {
	w.tracef("%s: dies", a.id)
	a.dead = true
	for _, t := range a.running {
		t.lost()
	}
	a.running = nil
}

// finishTask ends a running task of an agent; one of 20 tasks fails.
func (w *world) finishTask(a *simAgent, i int) {
	w.actor = a.id
	t := a.running[i]
	a.running = slices.Delete(a.running, i, i+1)
	rep := gate.Report{Task: t.dispatch.Task, Phase: gate.Succeeded, Result: taskResult(t.dispatch.Task.Job, t.dispatch.Task.Index), Took: time.Second}
	if w.r.IntN(20) == 0 {
		rep.Phase, rep.Result, rep.Error = gate.Errored, nil, "failed"
	}
	a.gate.Finish(w.now, rep)
	a.lender.Finish(t.dispatch.Entry)
	if e := w.entryByID(t.dispatch.Entry); e != nil {
		t.reply(wire.RunReply{Decision: gate.Decision{Verdict: gate.Recorded, Report: rep}, Status: w.status(a, e)})
	}
}

func taskResult(k job.Key, index int) []byte {
	return fmt.Appendf(nil, "%q", fmt.Sprintf("%s#%d", k, index))
}

// recordHolder returns the agent that has the records of the agent id by what the
// entry knows: its successor, or the agent itself.
func (w *world) recordHolder(e *simEntry, id string) *simAgent {
	if heir, ok := e.heirs[id]; ok {
		return w.agentByID(heir)
	}
	if heir, ok := e.view.Registry().Heir(id); ok {
		return w.agentByID(heir)
	}
	return w.agentByID(id)
}

func (w *world) seal(e *simEntry, sent dispatch.SentSeal) {
	s := sent.Seal
	a := w.recordHolder(e, s.Agent)
	if a == nil {
		return
	}
	w.toAgent(a, func() {
		decs := w.omitted.seal(w, a, &s)
		w.tracef("%s: seal of %s for %s: %+v -> %+v", a.id, e.id, s.Agent, s.Items, decs)
		for i, dec := range decs {
			if dec.Verdict == gate.Sealed && dec.Reason != gate.Repeated {
				a.lender.DispatchLost(s.Entry, s.Items[i].Epoch)
			}
		}
		st := w.status(a, e)
		w.toEntry(e, func() { e.core.SealAnswered(w.now, &sent, decs, &st) }, noop)
	}, noop)
}

func (w *world) claim(e *simEntry, cl gate.Claim) {
	a := w.recordHolder(e, cl.Agent)
	if a == nil {
		return
	}
	if w.omitted.skipClaim(w, e, a, &cl) {
		return
	}
	w.toAgent(a, func() {
		grants := a.gate.Claim(w.now, &cl)
		w.tracef("%s: claim of %s for %s: %+v", a.id, e.id, cl.Agent, grants)
		w.toEntry(e, func() { e.core.ClaimAnswered(w.now, cl.Agent, grants) }, noop)
	}, noop)
}

func (w *world) inquire(e *simEntry, q dispatch.SentInquiry) {
	p := w.entryByID(q.To)
	if w.omitted.skipInquiry(w, e, p, &q) {
		return
	}
	w.toEntry(p, func() {
		ts := p.core.AnswerInquiry(w.now, &q.Inquiry)
		w.tracef("%s: inquiry of %s registry %d: %+v", p.id, e.id, q.Inquiry.Registry, ts)
		w.toEntry(e, func() { e.core.InquiryAnswered(w.now, p.id, ts) }, noop)
	}, noop)
}

func (w *world) ask(e *simEntry, ask dispatch.Ask) {
	a := w.agentByID(ask.Agent)
	failed := func() { e.core.AskAnswered(w.now, ask.Agent, nil) }
	w.toAgent(a, func() {
		a.lender.Ask(e.id, ask.Demand)
		st := w.status(a, e)
		w.toEntry(e, func() { e.core.AskAnswered(w.now, ask.Agent, &st) }, failed)
	}, failed)
}

// tracef prints the events of the schedules under the flag -show.
func (w *world) tracef(format string, args ...any) {
	if *show {
		fmt.Printf("%8.3f "+format+"\n", append([]any{w.now.Sub(time.Unix(1_000_000, 0)).Seconds()}, args...)...)
	}
}

func (w *world) violationf(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}
