package dispatch

import (
	"time"

	"masticbay/gate"
	"masticbay/job"
	"masticbay/wire"
)

// maxSealBackoff bounds the backoff between seals of one attempt.
const maxSealBackoff = 2 * time.Second

// markUnclear records that the outcome of a task's attempt is not known, and
// sets a timer to seal it. It never lets the task be dispatched again.
func (c *Core) markUnclear(now time.Time, j *activeJob, i int) {
	t := &j.tasks[i]
	if t.state != job.Dispatched {
		return
	}
	if t.unclearSince.IsZero() {
		c.counters.Unclear++
		t.unclearSince = now
		t.backoff = c.cfg.SealRetry
	}
	c.timers.add(now.Add(t.backoff), timer{kind: sealTimer, key: j.spec.Key, n: t.attempt})
	t.backoff = min(2*t.backoff, maxSealBackoff)
}

// onSeal seals an attempt whose outcome is still not known.
func (c *Core) onSeal(now time.Time, attempt uint64) {
	ref, open := c.attempts[attempt]
	if !open {
		return
	}
	j := c.jobs[ref.key]
	t := &j.tasks[ref.index]
	if t.unclearSince.IsZero() {
		return
	}
	if now.Sub(t.unclearSince) >= c.cfg.UnclearLimit {
		j.setReason("an agent could not be asked what it started")
		c.finishTask(now, j, ref.index, job.Unknown)
		return
	}
	c.seal(j, ref.index)
	c.markUnclear(now, j, ref.index)
}

// seal adds the attempt of a task to the seal that is about to be sent to its
// agent. Another entry may have made the attempt.
func (c *Core) seal(j *activeJob, i int) {
	t := &j.tasks[i]
	c.counters.Seals++
	entry, attempt := c.id, t.attempt
	if t.originEntry != "" {
		entry, attempt = t.originEntry, t.originAttempt
	}
	index, ok := c.sealIndex[t.agent+" "+entry]
	if !ok {
		index = len(c.actions.Seals)
		c.sealIndex[t.agent+" "+entry] = index
		c.actions.Seals = append(c.actions.Seals, SentSeal{Seal: gate.Seal{Entry: entry, Agent: t.agent}})
	}
	s := &c.actions.Seals[index]
	s.Seal.Items = append(s.Seal.Items, gate.SealItem{Task: j.taskID(i), Attempt: attempt, Epoch: t.epoch})
	s.Attempts = append(s.Attempts, t.attempt)
}

// SentSeal is a seal to send to an agent, or to the successor that has its
// records.
type SentSeal struct {
	Seal     gate.Seal
	Attempts []uint64 // for each item, the attempt's number at this entry
}

// SealAnswered applies an agent's answer to a seal.
func (c *Core) SealAnswered(now time.Time, s *SentSeal, decs []gate.Decision, st *wire.Status) {
	c.applyStatus(now, st)
	for i := range decs {
		if i < len(s.Attempts) {
			c.applySealDecision(now, s.Attempts[i], &decs[i])
		}
	}
}

func (c *Core) applySealDecision(now time.Time, attempt uint64, dec *gate.Decision) {
	ref, open := c.attempts[attempt]
	if !open {
		return
	}
	j := c.jobs[ref.key]
	t := &j.tasks[ref.index]
	if dec.Verdict == gate.Recorded && dec.Report.Phase == gate.Running {
		if !t.unclearSince.IsZero() {
			t.unclearSince = now
		}
		return
	}
	if dec.Verdict == gate.Lost {
		return
	}
	c.applyDecision(now, j, ref.index, dec)
	c.schedule(now, c.service(j.spec.Service))
}

// setReason sets the reason why a job fails, unless it has one.
func (j *activeJob) setReason(reason string) {
	if j.reason == "" {
		j.reason = reason
	}
}
