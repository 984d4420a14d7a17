package site

import (
	"time"

	"masticbay/schedule"
	"masticbay/work"
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
		a.takeOrders(args)
	}
	news := a.news
	fresh := len(a.guard.Events(args.Home, args.Acked)) > 0
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
	if reply.Target = a.version; args.Target == a.version && args.Life == a.life {
		reply.Report.Target, reply.Report.Pace = work.Target{}, schedule.Pace{}
	}
	return nil
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
