package site

import (
	"github.com/uber-go/tally/v4"

	"masticbay/work"
	"masticbay/worker"
)

// reportUnknown counts the runs that the worker lists and that are not known here, and logs
// those that a later list does not explain. The caller holds mu.
func (a *Agent) reportUnknown() {
	now := a.now()
	for _, u := range a.guard.TakeUnknown() {
		a.metrics.countUnknown(&u)
		if u.Cause == worker.Overtaken {
			continue
		}
		ev := a.runLog.Warn()
		if u.Cause == worker.EarlierAgent {
			ev = a.runLog.Info()
		}
		ev = ev.Str("life", a.life).Str("run", u.Run.String()).Str("cause", string(u.Cause)).Uint64("token", u.Token).Int64("born", u.Born).Int64("workerClockMs", u.Clock.Milliseconds())
		if u.Current > 0 {
			ev = ev.Int("current", u.Current)
		}
		if p := u.Past; p != nil {
			ev = ev.Str("home", p.Home).Str("pastEnd", string(p.End)).Str("pastReason", p.Reason).Int64("pastBorn", p.Born).Uint64("pastToken", p.Token).
				Dur("sinceOrderMs", now.Sub(p.OrderedAt)).Dur("sinceSentMs", now.Sub(p.SentAt)).Dur("sincePastEndMs", now.Sub(p.EndedAt))
		}
		if u.End != "" {
			ev.Str("end", string(u.End)).Dur("listedMs", u.Listed).Msg("unknown run ended")
			continue
		}
		ev.Int("percent", u.Percent).Msg("unknown run listed")
	}
}

// countUnknown counts an unknown run by its cause when it is listed as running, and when it has ended.
func (m *agentMetrics) countUnknown(u *worker.UnknownRun) {
	counters := m.unknownListed
	if u.End != "" {
		counters = m.unknownEnded
	}
	if c, ok := counters[u.Cause]; ok {
		c.Inc(1)
	}
}

// newUnknownCounters returns a counter for each cause.
func newUnknownCounters(s tally.Scope, name string) map[worker.UnknownCause]tally.Counter {
	counters := make(map[worker.UnknownCause]tally.Counter)
	for _, c := range []worker.UnknownCause{worker.Overtaken, worker.EndDeclared, worker.EarlierWorker, worker.EarlierAgent, worker.NotOrdered} {
		counters[c] = s.Tagged(map[string]string{"cause": string(c)}).Counter(name)
	}
	return counters
}

// openStarts are the runs and starts at a worker before another incarnation of it was seen.
type openStarts struct {
	runs       int
	unanswered int
	inTransit  int // see worker.Guard.UnansweredStarts
	token      uint64
}

// openStarts returns what is open at a worker, or nothing if born is its own. The caller holds mu.
func (a *Agent) openStarts(t work.Target, born int64) (o openStarts) {
	if born == t.Born {
		return o
	}
	o.runs, o.token = a.guard.Running(), a.guard.Token()
	o.unanswered, o.inTransit = a.guard.UnansweredStarts()
	return o
}
