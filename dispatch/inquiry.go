package dispatch

import (
	"maps"
	"slices"
	"time"

	"masticbay/claim"
	"masticbay/gate"
	"masticbay/job"
)

// AnswerInquiry answers an inquiry of another entry and promises to obey no ballot
// lower than those that it grants.
func (c *Core) AnswerInquiry(now time.Time, q *claim.Inquiry) []claim.Testimony {
	ts := make([]claim.Testimony, len(q.Jobs))
	for i, it := range q.Jobs {
		ts[i] = c.answerInquiryItem(now, q, it)
	}
	return ts
}

func (c *Core) answerInquiryItem(now time.Time, q *claim.Inquiry, it gate.ClaimItem) claim.Testimony {
	t := claim.Testimony{Job: it.Job, Ballot: it.Ballot}
	if q.Registry < c.registry.Revision {
		t.Registry = c.registry.Revision
		return t
	}
	c.highestRegistry = max(c.highestRegistry, q.Registry)
	c.lastBallot = max(c.lastBallot, it.Ballot.N)
	if own := c.highestBallot(it.Job); it.Ballot.Less(own) {
		t.Holder = own
		return t
	}
	if j := c.jobs[it.Job]; j != nil && j.answer == nil && it.Ballot.Entry != c.id {
		c.yieldJob(now, j, it.Ballot)
	}
	m := c.memoryOf(now, it.Job)
	m.bound = it.Ballot
	t.OK = true
	t.Traces = encodeTraces(now, m.traces)
	return t
}

// highestBallot returns the highest ballot that this entry has promised to obey
// or uses itself for a job.
func (c *Core) highestBallot(k job.Key) (b gate.Ballot) {
	if m := c.memories[k]; m != nil {
		b = m.bound
	}
	j := c.jobs[k]
	if j == nil || j.answer != nil {
		return b
	}
	own := j.ballot
	if j.claim != nil {
		own = j.claim.ballot
	}
	if b.Less(own) {
		return own
	}
	return b
}

// InquiryAnswered applies the answers of another entry to an inquiry.
func (c *Core) InquiryAnswered(now time.Time, entry string, ts []claim.Testimony) {
	for i := range ts {
		c.applyTestimony(now, entry, &ts[i])
	}
}

func (c *Core) applyTestimony(now time.Time, entry string, t *claim.Testimony) {
	j := c.jobs[t.Job]
	if j == nil || j.claim == nil || j.claim.ballot != t.Ballot {
		return
	}
	switch {
	case t.OK:
		delete(j.claim.awaitedEntries, entry)
		m := c.memoryOf(now, t.Job)
		for _, tr := range decodeTraces(j.claim.startedAt, t.Traces) {
			m.add(tr)
		}
		c.checkClaim(now, j)
	case !t.Holder.Zero():
		c.lastBallot = max(c.lastBallot, t.Holder.N)
		c.yieldJob(now, j, t.Holder)
	case t.Registry > j.claim.registry:
		c.actions.WantRegistry = max(c.actions.WantRegistry, t.Registry)
	}
}

// sendInquiry adds a job to the inquiry that is about to be sent to an entry.
func (c *Core) sendInquiry(entry string, cl *pendingClaim, k job.Key) {
	i, ok := c.inquiryIndex[entry]
	if !ok {
		i = len(c.actions.Inquiries)
		c.inquiryIndex[entry] = i
		c.actions.Inquiries = append(c.actions.Inquiries, SentInquiry{To: entry, Inquiry: claim.Inquiry{Entry: c.id, Registry: cl.registry}})
	}
	out := &c.actions.Inquiries[i].Inquiry
	out.Registry = min(out.Registry, cl.registry)
	out.Jobs = append(out.Jobs, gate.ClaimItem{Job: k, Ballot: cl.ballot})
}

// mergeTraces applies the traces that the entries sent to the waiting tasks of j.
func (c *Core) mergeTraces(now time.Time, j *activeJob) {
	m := c.memoryOf(now, j.spec.Key)
	for i := 0; i < len(j.tasks); i++ {
		if j.tasks[i].state == job.Queued {
			c.mergeTaskTraces(now, j, i, m.tracesOf(i))
		}
	}
}

// mergeTaskTraces adopts the first of the attempts that may have started a task.
// If its outcome is not known, its agent is asked. The task may be dispatched
// again only when all the attempts are proven not to have started.
func (c *Core) mergeTaskTraces(now time.Time, j *activeJob, i int, trs []trace) {
	if len(trs) == 0 {
		return
	}
	tr := trs[0]
	t := c.adoptTask(j, i, tr.Agent)
	t.originEntry, t.originAttempt, t.otherAttempts = tr.Entry, tr.Attempt, trs[1:]
	t.sentAt = tr.sentAt
	switch tr.State {
	case job.Done:
		t.result = tr.Result
		c.finishTask(now, j, i, job.Done)
	case job.Failed:
		t.err = tr.Error
		c.finishTask(now, j, i, job.Failed)
	default:
		c.markUnclear(now, j, i)
	}
}

// Export returns the records of all jobs, for a handover.
func (c *Core) Export(now time.Time) (rs []claim.Remembered) {
	keys := make(map[job.Key]struct{})
	for k := range c.jobs {
		keys[k] = struct{}{}
	}
	for k := range c.memories {
		keys[k] = struct{}{}
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		r := claim.Remembered{Key: k}
		if j := c.jobs[k]; j != nil {
			r.Service, r.Hash, r.Answer = j.spec.Service, j.hash, j.answer
		}
		if m := c.memories[k]; m != nil {
			r.Bound, r.Traces = m.bound, encodeTraces(now, m.traces)
		}
		rs = append(rs, r)
	}
	return rs
}

// Import takes over the record of a job from an entry that leaves.
func (c *Core) Import(now time.Time, r *claim.Remembered) {
	m := c.memoryOf(now, r.Key)
	if m.bound.Less(r.Bound) {
		m.bound = r.Bound
	}
	for _, tr := range decodeTraces(now.Add(-c.cfg.Window), r.Traces) { // no message takes longer than the window
		m.add(tr)
	}
	if r.Answer == nil || c.jobs[r.Key] != nil {
		return
	}
	j := &activeJob{hash: r.Hash, answer: r.Answer, submission: r.Answer.Submission, expiresAt: now.Add(c.cfg.Window)}
	j.spec.Key, j.spec.Service = r.Key, r.Service
	c.jobs[r.Key] = j
	c.timers.add(j.expiresAt, timer{kind: expiryTimer, key: r.Key})
}
