package dispatch

import (
	"time"

	"masticbay/claim"
	"masticbay/gate"
	"masticbay/job"
)

// jobMemory is the record of a job, besides its answer, that is kept as long as
// claims may ask for it.
type jobMemory struct {
	bound     gate.Ballot // of the highest claim that was granted
	traces    []trace
	expiresAt time.Time
}

// trace is a claim.Trace with the time of the attempt by the clock of this entry.
type trace struct {
	claim.Trace
	sentAt time.Time // time of the attempt, or earlier
}

// decodeTraces converts the traces of a message whose ages are as of at.
func decodeTraces(at time.Time, trs []claim.Trace) (own []trace) {
	for _, tr := range trs {
		own = append(own, trace{tr, at.Add(-tr.Age)})
	}
	return own
}

// encodeTraces converts traces for a message made now.
func encodeTraces(now time.Time, own []trace) (trs []claim.Trace) {
	for _, tr := range own {
		tr.Age = now.Sub(tr.sentAt)
		trs = append(trs, tr.Trace)
	}
	return trs
}

// memoryOf returns the memory of a job, new or kept for another retention.
func (c *Core) memoryOf(now time.Time, k job.Key) *jobMemory {
	m := c.memories[k]
	if m == nil {
		m = &jobMemory{}
		c.memories[k] = m
		c.timers.add(now.Add(c.cfg.Retention), timer{kind: memoryTimer, key: k})
	}
	m.expiresAt = now.Add(c.cfg.Retention)
	return m
}

// onMemory deletes a memory that has not been used for the retention.
func (c *Core) onMemory(now time.Time, k job.Key) {
	m := c.memories[k]
	switch {
	case m == nil:
	case now.Before(m.expiresAt):
		c.timers.add(m.expiresAt, timer{kind: memoryTimer, key: k})
	default:
		delete(c.memories, k)
	}
}

// recordTraces adds the attempts of the tasks of j to its memory.
func (c *Core) recordTraces(now time.Time, j *activeJob) {
	m := c.memoryOf(now, j.spec.Key)
	for i := range j.tasks {
		if tr, ok := j.trace(c.id, i); ok {
			m.add(tr)
		}
		for _, tr := range j.tasks[i].otherAttempts {
			m.add(tr)
		}
	}
}

// trace describes the attempt of a task, and reports whether it may have started.
func (j *activeJob) trace(entry string, i int) (tr trace, ok bool) {
	t := &j.tasks[i]
	tr.Trace = claim.Trace{Index: i, State: t.state, Agent: t.agent, Entry: entry, Attempt: t.attempt, Result: t.result, Error: t.err}
	tr.sentAt = t.sentAt
	if t.originEntry != "" {
		tr.Entry, tr.Attempt = t.originEntry, t.originAttempt
	}
	if t.state == job.Unknown {
		tr.State = job.Dispatched
	}
	started := tr.State == job.Done || tr.State == job.Failed || tr.State == job.Dispatched
	return tr, started && !t.rerun && t.agent != ""
}

// add stores a trace, or the outcome of an attempt that is already stored.
func (m *jobMemory) add(tr trace) {
	for i := range m.traces {
		old := &m.traces[i]
		if old.Index != tr.Index || old.Entry != tr.Entry || old.Attempt != tr.Attempt {
			continue
		}
		if old.State == job.Dispatched {
			tr.sentAt = earlier(tr.sentAt, old.sentAt)
			*old = tr
		}
		return
	}
	m.traces = append(m.traces, tr)
}

// recordNotStarted records that the attempt of a task is proven not to have
// started, so that no claim asks for it again.
func (c *Core) recordNotStarted(now time.Time, j *activeJob, i int) {
	tr, ok := j.trace(c.id, i)
	if !ok || !j.tasks[i].adopted {
		return // no other entry has a trace of the attempt
	}
	m := c.memoryOf(now, j.spec.Key)
	tr.State = job.NotRun
	m.add(tr)
}

// tracesOf returns the traces of one task that may have started it. If one of
// them has the outcome of the task, it returns only that one.
func (m *jobMemory) tracesOf(index int) (trs []trace) {
	for _, tr := range m.traces {
		switch {
		case tr.Index != index || tr.State == job.NotRun:
		case tr.State != job.Dispatched:
			return []trace{tr}
		default:
			trs = append(trs, tr)
		}
	}
	return trs
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
