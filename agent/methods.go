package agent

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"masticbay/gate"
	"masticbay/wire"
)

// methods are the RPC methods that other processes call.
type methods struct {
	a *Agent
}

// Run starts a task if the gate allows it, and replies when the task has ended.
func (m *methods) Run(args *wire.RunArgs, rep *wire.RunReply) error {
	a, d := m.a, &args.Dispatch
	dec := a.admit(args)
	if dec.Verdict == gate.Start {
		dec = a.execute(d)
		a.runningTasks.Done()
	}
	rep.Decision = dec
	rep.Status = a.status(d.Entry)
	return nil
}

// admit lets the gate decide on a dispatch. If the verdict is Start, the caller must
// call runningTasks.Done.
func (a *Agent) admit(args *wire.RunArgs) gate.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	d := &args.Dispatch
	a.gate.ObserveRegistry(d.Registry)
	free := a.lender.HasFreeSlot(d.Entry, args.Epoch)
	dec := a.gate.Dispatch(now, d, free)
	started := dec.Verdict == gate.Start
	a.lender.DispatchDecided(d.Entry, args.Epoch, args.Demand, started)
	if started {
		a.runningTasks.Add(1)
		a.counters.started.Inc(1)
	} else {
		a.counters.refused.Inc(1)
	}
	return dec
}

// execute runs a task that the gate has recorded as started.
func (a *Agent) execute(d *gate.Dispatch) gate.Decision {
	rep, reached := a.callTarget(context.Background(), d)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	moved := a.lender.Finish(d.Entry)
	for _, entry := range moved {
		a.offer(entry)
	}
	if !reached {
		a.gate.Drain(true)
		return a.gate.Abort(now, d)
	}
	a.gate.Finish(now, rep)
	return gate.Decision{Verdict: gate.Recorded, Report: rep}
}

// Seal closes attempts and returns the state of their tasks.
func (m *methods) Seal(args *wire.SealArgs, rep *wire.SealReply) error {
	a := m.a
	a.mu.Lock()
	defer a.mu.Unlock()
	rep.Decisions = a.gate.Seal(a.clock.Now(), &args.Seal)
	for i, dec := range rep.Decisions {
		if dec.Verdict == gate.Sealed && dec.Reason != gate.Repeated {
			a.lender.DispatchLost(args.Seal.Entry, args.Seal.Items[i].Epoch)
		}
	}
	rep.Status = a.statusLocked(args.Seal.Entry)
	a.counters.seals.Inc(int64(len(args.Seal.Items)))
	return nil
}

// Claim binds the agent to the ballots of a claim; a ballot is used as in Paxos.
func (m *methods) Claim(args *wire.ClaimArgs, rep *wire.ClaimReply) error {
	a := m.a
	a.mu.Lock()
	defer a.mu.Unlock()
	rep.Grants = a.gate.Claim(a.clock.Now(), &args.Claim)
	rep.Status = a.statusLocked(args.Claim.Entry)
	a.counters.claims.Inc(int64(len(args.Claim.Jobs)))
	return nil
}

// Ask grants credits to an entry that has waiting tasks. If no credit is spare, it
// recalls idle ones from other entries.
func (m *methods) Ask(args *wire.AskArgs, rep *wire.AskReply) error {
	a := m.a
	a.mu.Lock()
	holders := a.lender.Ask(args.Entry, args.Demand)
	a.mu.Unlock()
	var recalls sync.WaitGroup
	for _, holder := range holders {
		recalls.Go(func() { a.recall(holder) })
	}
	recalls.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lender.Ask(args.Entry, args.Demand)
	rep.Status = a.statusLocked(args.Entry)
	return nil
}

// Update applies newer rows of the table and the registry revision.
func (m *methods) Update(args *wire.UpdateArgs, rep *wire.UpdateReply) error {
	m.a.update(args)
	rep.Status = m.a.status(args.Entry)
	return nil
}

// Handover imports the records of an agent that is leaving.
func (m *methods) Handover(args *wire.HandoverArgs, rep *wire.HandoverReply) error {
	a := m.a
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return errors.New("the agent is leaving itself")
	}
	a.gate.Import(a.clock.Now(), &args.Handover)
	rep.Status = a.statusLocked("")
	a.log.Info().Strs("agents", args.Handover.Agents).Int("jobs", len(args.Handover.Jobs)).Msg("took over records")
	return nil
}
