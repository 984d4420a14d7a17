package site

import (
	"slices"
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// agentMethods are the RPC methods that homes call.
type agentMethods struct {
	a *Agent
}

// Sync takes orders from a home, waits for events (a long poll), and returns a report.
func (m *agentMethods) Sync(args *SyncArgs, reply *SyncReply) error {
	a := m.a
	a.evacuations.take(args.Evacuation, "home "+args.Home)
	a.mu.Lock()
	a.takeSync(args)
	a.executeOrders()
	eventsReady := a.eventsReady
	hasNew := hasNewer(a.guard.Events(args.Home, args.Acked), args.Known)
	a.mu.Unlock()
	if args.Wait > 0 && !hasNew {
		t := time.NewTimer(args.Wait)
		select {
		case <-eventsReady:
		case <-t.C:
		}
		t.Stop()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answerSync(args, reply)
	return nil
}

// takeSync takes the contact, the tenure, the claim and the orders of a home. It shortens the wait if
// the home is to learn of their effect at once. The caller holds mu.
func (a *Agent) takeSync(args *SyncArgs) {
	a.guard.RecordContact(a.now(), args.Home, fromStamp(args.Echo))
	wasPaused := a.guard.RenewalPaused()
	if args.Life == a.life {
		a.applyTenure(args)
		a.applyClaim(args)
		a.takeOrders(args)
	} else {
		args.Known, args.Acked, args.Transits = 0, 0, 0 // they are of an earlier incarnation
	}
	if wasPaused && !a.guard.RenewalPaused() {
		a.signalEvents() // the worker takes tasks now
		args.Wait = 0
	}
}

// answerSync sets the reply to a home. The caller holds mu.
func (a *Agent) answerSync(args *SyncArgs, reply *SyncReply) {
	if s := a.evacuations.set(); s.Revision > args.Evacuation.Revision && !slices.Equal(s.DataCentres, args.Evacuation.DataCentres) {
		reply.Evacuation = s
	}
	a.lastReply++
	reply.Number, reply.Stamp = a.lastReply, toStamp(a.now())
	reply.Taken = a.lastOrders[args.Home]
	reply.Report = a.reportFor(args.Home, args.Acked)
	if args.Tenure.Kept {
		args.Transits = 0 // the home does not know the runs yet that it may inherit
		reply.Report.Asked, reply.Report.Kept = true, a.inheritedRuns()
	}
	reply.Report.TransitVersion, reply.Report.Transits = a.guard.TransitVersion(), a.guard.TransitRuns(a.now(), args.Home, args.Transits)
	if reply.Target = a.targetVersion; args.Target == a.targetVersion && args.Life == a.life {
		reply.Report.Target, reply.Report.Pace = work.Target{}, schedule.Pace{}
	}
}

// hasNewer reports whether there is an event with a higher number than known.
func hasNewer(events []schedule.Event, known uint64) bool {
	return len(events) > 0 && events[len(events)-1].Seq > known
}

// applyClaim applies a home's claim to the guard, unless it may have been in transit for long. The
// caller holds mu.
func (a *Agent) applyClaim(args *SyncArgs) {
	now, c := a.now(), &args.Claim
	if echo := fromStamp(args.Echo); c.Term == 0 || now.Sub(echo) > orderMaxAge || echo.After(now) {
		return
	}
	before := a.guard.Leader()
	a.guard.Claim(now, worker.Claim{Home: args.Home, Seq: c.Seq, Term: c.Term, Reach: c.Reach, Former: c.Former, Shared: c.Shared, Homes: c.Homes})
	if after := a.guard.Leader(); after != before {
		a.log.Info().Str("home", after).Str("before", before).Uint64("term", c.Term).Int("reach", c.Reach).Int("former", len(c.Former)).
			Int("runsOfOthers", len(a.guard.RunsOfOthers(after))).Msg("agent follows another home")
		if !c.Shared {
			a.signalEvents() // the former leader learns that its starts are refused
		}
	}
	if !c.Listed && (!c.Shared || len(c.Homes) > 0) {
		args.Wait = min(args.Wait, listRetryInterval)
		if a.guard.ListsAllRuns(args.Home) {
			args.Wait = 0
		}
	}
}

// listRetryInterval is how often a home asks for the list of the runs of others that it needs
// before it places new jobs.
const listRetryInterval = 10 * time.Millisecond

// applyTenure applies a home's tenure, the ledger holder's term with its epoch, to the
// guard. The caller holds mu.
func (a *Agent) applyTenure(args *SyncArgs) {
	t := &args.Tenure
	before := a.guard.Epoch()
	a.guard.ApplyTenure(a.now(), args.Home, worker.Tenure{Epoch: t.Epoch, Vacant: t.Vacant, RenewedAt: fromStamp(t.Owned)})
	if after := a.guard.Epoch(); after != before {
		runs, _ := a.guard.InheritedRuns()
		a.log.Info().Str("home", args.Home).Uint64("epoch", after).Uint64("before", before).Int("runs", len(runs)).
			Int("unsavedEnds", len(a.guard.Uncommitted())).Uint64("seen", a.guard.AckedEnd()).Msg("another home holds the ledger")
	}
}

// inheritedRuns returns the runs of stored jobs, which a new holder of the ledger
// adopts. The caller holds mu.
func (a *Agent) inheritedRuns() []schedule.Kept {
	runs, orderedAt := a.guard.InheritedRuns()
	kept := make([]schedule.Kept, len(runs))
	for i, r := range runs {
		kept[i] = schedule.Kept{Run: r, Age: a.now().Sub(orderedAt[i])}
	}
	return kept
}

// takeOrders passes the orders that were not taken before to the guard. The caller
// holds mu.
func (a *Agent) takeOrders(args *SyncArgs) {
	now := a.now()
	for _, o := range args.Orders {
		if o.Seq <= a.lastOrders[args.Home] {
			continue
		}
		a.lastOrders[args.Home] = o.Seq
		for i := range o.Starts {
			o.Starts[i].Spec = o.Specs[o.Starts[i].Run.Task.Job]
		}
		a.guard.Seal(now, args.Home, o.Seals)
		a.guard.Order(now, args.Home, fromStamp(o.Echo), o.Starts, o.Stops)
		for _, r := range o.Stops {
			a.runLog.Info().Str("run", r.String()).Str("home", args.Home).Bool("known", a.guard.Knows(r)).Msg("stop taken")
		}
	}
}

// reportFor returns the report for a home, with the events after acked. The caller
// holds mu.
func (a *Agent) reportFor(home string, acked uint64) schedule.Report {
	r := schedule.ReportOf(a.guard, home, acked)
	r.Life, r.Ready = a.life, r.Ready && !a.leaving
	r.LeavesIn, r.KnowsLeave = a.guard.LeavesIn(a.now())
	r.ColdLeft = a.guard.ColdLeft(a.now())
	return r
}
