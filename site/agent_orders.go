package site

import (
	"context"

	"github.com/juju/errors"

	"masticbay/platform"
	"masticbay/telemetry"
	"masticbay/worker"
)

// executeOrders sends the orders that the guard has decided on to the worker. The
// caller holds mu.
func (a *Agent) executeOrders() {
	for _, o := range a.guard.Take() {
		if o.Stop {
			go a.stopRun(o)
		} else {
			go a.startRun(o)
		}
	}
	a.reportStopped()
	a.reportUnknown()
	a.reportLease()
	a.reportTransits()
}

// reportTransits logs what becomes of runs of which a start may still be carried out. The caller holds mu.
func (a *Agent) reportTransits() {
	for _, c := range a.guard.TakeTransitChanges() {
		if c.SentAgain {
			a.metrics.sentAgain.Inc(1)
			a.runLog.Info().Str("run", c.Run.String()).Str("home", c.Home).Int64("leftMs", c.Left.Milliseconds()).Msg("start sent again")
			continue
		}
		a.metrics.inTransit.Inc(1)
		a.runLog.Warn().Str("run", c.Run.String()).Str("home", c.Home).Int64("leftMs", c.Left.Milliseconds()).
			Str("end", string(c.End)).Str("reason", c.Reason).Msg("run waits: a start of it may still be carried out")
	}
}

// reportLease logs when the lease is withheld or renewed again, and tells the homes. The
// caller holds mu.
func (a *Agent) reportLease() {
	withheld := a.guard.LeaseWithheld()
	if withheld == a.leaseWithheld {
		return
	}
	a.leaseWithheld = withheld
	a.signalEvents()
	t, _ := a.guard.Target()
	if withheld {
		a.log.Warn().Int("runs", a.guard.Running()).Int64("born", t.Born).Msg("lease withheld: a run goes on after its stop")
		return
	}
	a.log.Info().Int("runs", a.guard.Running()).Int64("born", t.Born).Uint64("token", a.guard.Token()).Msg("lease renewed again")
}

// reportStopped logs how long the runs that were stopped went on. The caller holds mu.
func (a *Agent) reportStopped() {
	for _, s := range a.guard.TakeStopped() {
		a.metrics.stopTime.RecordDuration(s.Took)
		a.runLog.Info().Str("run", s.Run.String()).Str("end", string(s.End)).Int64("stopMs", s.Took.Milliseconds()).Msg("stopped run ended")
	}
}

func (a *Agent) startRun(o worker.Order) {
	ctx, span := telemetry.StartSpan(telemetry.Extract(context.Background(), o.Start.Trace), "agent → worker")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := a.now()
	ans, err := a.worker.Start(ctx, o.Worker, o.Start, o.Until, o.Token)
	a.metrics.startTime.RecordDuration(a.now().Sub(sent))
	a.mu.Lock()
	defer a.mu.Unlock()
	if errors.Is(err, platform.ErrNotSent) {
		a.metrics.refused.Inc(1)
		a.runLog.Warn().Err(err).Str("run", o.Start.Run.String()).Msg("start not sent")
		a.guard.Started(a.now(), o.Start.Run, worker.NotSent, false)
		a.signalEvents()
		go a.poll(0) // which shows whether the worker is there
		return
	}
	if err != nil {
		a.metrics.unanswered.Inc(1)
		a.runLog.Warn().Err(err).Str("run", o.Start.Run.String()).Str("home", o.Home).Int64("born", o.Born).Uint64("token", o.Token).
			Int64("leaseUntilMs", o.Until.Milliseconds()).Msg("start not answered")
		a.guard.Unanswered(a.now(), o.Start.Run)
		go a.poll(0) // with the higher fencing token
		return
	}
	if t, _ := a.guard.Target(); ans.Born > t.Born || ans.Reason == platform.ReasonInstance {
		go a.poll(0) // which shows what has ended with the earlier incarnation
	}
	reason := ""
	if ans.Accepted {
		a.metrics.started.Inc(1)
	} else {
		reason = ans.Reason
		a.metrics.refused.Inc(1)
		a.runLog.Info().Str("run", o.Start.Run.String()).Str("home", o.Home).Str("reason", reason).Uint64("token", o.Token).
			Int64("born", o.Born).Int64("answeredBy", ans.Born).Msg("start refused by the worker")
	}
	a.guard.Started(a.now(), o.Start.Run, reason, reason == platform.ReasonFence)
	a.executeOrders()
	if reason != "" {
		a.signalEvents()
	}
}

func (a *Agent) stopRun(o worker.Order) {
	a.runLog.Info().Str("run", o.Start.Run.String()).Str("reason", o.Reason).Uint64("token", o.Token).Msg("stop ordered")
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	ans, err := a.worker.Stop(ctx, o.Start.Run, o.Token)
	switch {
	case err != nil:
		// The next poll repeats the order if the run is still there.
		a.runLog.Warn().Err(err).Str("run", o.Start.Run.String()).Msg("stop not answered")
	case !ans.Accepted:
		a.runLog.Info().Str("run", o.Start.Run.String()).Str("reason", ans.Reason).Uint64("token", o.Token).Int64("answeredBy", ans.Born).Msg("stop refused by the worker")
	}
}
