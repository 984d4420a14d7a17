package site

import (
	"time"

	"masticbay/schedule"
	"masticbay/work"
	"masticbay/worker"
)

// agentMethods are what homes call.
type agentMethods struct {
	a *Agent
}

// Sync takes orders from a home and returns news once there is any.
func (m *agentMethods) Sync(args *SyncArgs, reply *SyncReply) error {
	a := m.a
	a.mu.Lock()
	a.guard.Hear(args.Home, unstamp(args.Echo))
	if args.Life == a.life {
		a.own(args)
	}
	if args.Life == a.life {
		a.takeOrders(args)
	}
	news := a.news
	fresh := newer(a.guard.Events(args.Home, args.Acked), args.Known)
	a.mu.Unlock()
	if args.Wait > 0 && !fresh {
		t := time.NewTimer(args.Wait)
		select {
		case <-news:
		case <-t.C:
		}
		t.Stop()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Stamp = stamp(a.now())
	reply.Taken = a.taken[args.Home]
	reply.Report = a.reportFor(args.Home, args.Acked)
	if args.Tenure.Kept {
		reply.Report.Asked, reply.Report.Kept = true, a.kept()
	}
	if reply.Target = a.version; args.Target == a.version && args.Life == a.life {
		reply.Report.Target, reply.Report.Pace = work.Target{}, schedule.Pace{}
	}
	return nil
}

// newer reports whether there is an event with a higher number than known.
func newer(events []schedule.Event, known uint64) bool {
	return len(events) > 0 && events[len(events)-1].Seq > known
}

// own takes what a home tells about the ledger. The caller holds mu.
func (a *Agent) own(args *SyncArgs) {
	t := &args.Tenure
	before := a.guard.Epoch()
	a.guard.Own(a.now(), args.Home, worker.Tenure{Epoch: t.Epoch, Vacant: t.Vacant, Owned: unstamp(t.Owned)})
	if after := a.guard.Epoch(); after != before {
		runs, _ := a.guard.Kept()
		a.log.Info().Str("home", args.Home).Uint64("epoch", after).Uint64("before", before).Int("runs", len(runs)).
			Int("unsavedEnds", len(a.guard.Unsaved())).Uint64("seen", a.guard.Seen()).Msg("another home holds the ledger")
	}
}

// kept returns the runs of stored jobs. The caller holds mu.
func (a *Agent) kept() []schedule.Kept {
	runs, since := a.guard.Kept()
	kept := make([]schedule.Kept, len(runs))
	for i, r := range runs {
		kept[i] = schedule.Kept{Run: r, Age: a.now().Sub(since[i])}
	}
	return kept
}

// takeOrders takes the orders that are new. The caller holds mu.
func (a *Agent) takeOrders(args *SyncArgs) {
	now := a.now()
	for _, o := range args.Orders {
		if o.Seq <= a.taken[args.Home] {
			continue
		}
		a.taken[args.Home] = o.Seq
		for i := range o.Starts {
			o.Starts[i].Spec = o.Specs[o.Starts[i].Run.Task.Job]
		}
		a.guard.Order(now, args.Home, unstamp(o.Echo), o.Starts, o.Stops)
	}
	a.perform()
}

// reportFor returns what a home is told. The caller holds mu.
func (a *Agent) reportFor(home string, acked uint64) schedule.Report {
	r := schedule.ReportOf(a.guard, home, acked)
	r.Life, r.Ready = a.life, r.Ready && !a.leaving
	return r
}
