package site

import (
	"context"
	"slices"
	"time"

	"masticbay/work"
)

// answerAcceptWaiters answers the callers that wait for a job to be stored. The
// caller holds mu.
func (h *home) answerAcceptWaiters(id string, rep AcceptReply) {
	for _, w := range h.acceptWaiters[id] {
		w <- rep
	}
	delete(h.acceptWaiters, id)
}

// sentJobs returns the jobs that callers wait for and that the store may have. The caller
// holds mu.
func (h *home) sentJobs() map[string]bool {
	sent := make(map[string]bool)
	for id := range h.acceptWaiters {
		sent[id] = h.ledger.MaybeStored(id)
	}
	return sent
}

// redirectWaiters answers all callers that wait for a stored job, so that they ask
// the new holder. Of those in sent, the store may carry out a commit. The caller holds mu.
func (h *home) redirectWaiters(sent map[string]bool) {
	for id := range h.acceptWaiters {
		h.answerAcceptWaiters(id, AcceptReply{Moved: true, Sent: sent[id]})
	}
	for id, waiters := range h.endWaiters {
		for _, done := range waiters {
			close(done)
		}
		delete(h.endWaiters, id)
	}
}

// accept stores a job and waits until it is committed. While this entry does not hold
// the ledger, accept only requests that it be acquired.
func (h *home) accept(ctx context.Context, args *AcceptArgs) (rep AcceptReply) {
	id := args.Job.ID
	h.mu.Lock()
	now := h.e.now()
	if !h.isHome() || !h.ledger.EndedLoaded() {
		h.storeRequested = true
		h.mu.Unlock()
		h.notify()
		h.notifyLedger()
		return AcceptReply{Moved: true}
	}
	if h.ledger.Stored(id) {
		h.mu.Unlock()
		return AcceptReply{Outcome: work.Outcome{State: work.Queued}}
	}
	if _, ok := h.ledger.Job(id); !ok {
		if out, rejected := h.checkAdmission(now, &args.Job); rejected {
			h.mu.Unlock()
			return AcceptReply{Outcome: out}
		}
		h.ledger.Accept(h.e.wall().Add(-args.Job.Age), &args.Job)
	}
	wait := make(chan AcceptReply, 1)
	h.acceptWaiters[id] = append(h.acceptWaiters[id], wait)
	h.mu.Unlock()
	h.notifyLedger()
	select {
	case rep = <-wait:
		return rep
	case <-ctx.Done():
		return AcceptReply{Outcome: work.Outcome{State: work.Unknown, Reason: "not known to be stored: " + waitEndReason(ctx)}}
	case <-h.e.stop:
		return AcceptReply{Outcome: work.Outcome{State: work.Unknown, Reason: "the home ends"}}
	}
}

// reportVacant tells the agents of this home that no job is stored on the site.
func (h *home) reportVacant() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.syncLinks()
}

// isHome reports whether this entry is home. The caller holds mu.
func (h *home) isHome() bool {
	m, ok := h.e.currentHome()
	return ok && m.Life == h.e.life
}

// checkAdmission reports whether a job to be stored is rejected, and its outcome if
// so. The caller holds mu.
func (h *home) checkAdmission(now time.Time, w *work.Job) (out work.Outcome, rejected bool) {
	reason, retry := h.core.Admit(now, w)
	if outage := h.ledger.StoreOutage(now); outage > maxStoreOutage {
		reason, retry = "the store does not answer", outage
	}
	if reason == "" {
		return out, false
	}
	h.log.Info().Str("job", w.ID).Str("why", reason).Dur("retryMs", retry).Msg("rejected")
	return work.Outcome{State: work.Rejected, Reason: reason, RetryAfter: retry}, true
}

// state returns the state of a stored job. While the job runs, the answer waits up to
// stateLongPoll for its end: callers tend to ask when the last task has ended, and
// would otherwise learn of the end only when they ask again.
func (h *home) state(ctx context.Context, id string) (rep StateReply) {
	h.mu.Lock()
	rep = h.currentState(id)
	if rep.State != work.Running {
		h.mu.Unlock()
		return rep
	}
	done := h.addEndWaiter(id)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stateLongPoll)
	defer cancel()
	return h.awaitState(ctx, id, done)
}

// awaitState waits until done is closed or ctx ends, and returns the state of a job.
func (h *home) awaitState(ctx context.Context, id string, done chan struct{}) StateReply {
	select {
	case <-done:
	case <-ctx.Done():
	case <-h.e.stop:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeEndWaiter(id, done)
	return h.currentState(id)
}

// addEndWaiter returns a channel that is closed once the end of a job is stored or
// this home has lost the ledger. The caller holds mu.
func (h *home) addEndWaiter(id string) chan struct{} {
	done := make(chan struct{})
	h.endWaiters[id] = append(h.endWaiters[id], done)
	return done
}

// removeEndWaiter undoes addEndWaiter. The caller holds mu.
func (h *home) removeEndWaiter(id string, done chan struct{}) {
	rest := slices.DeleteFunc(h.endWaiters[id], func(c chan struct{}) bool { return c == done })
	if h.endWaiters[id] = rest; len(rest) == 0 {
		delete(h.endWaiters, id)
	}
}

// currentState returns the state of a stored job. The caller holds mu.
func (h *home) currentState(id string) StateReply {
	if !h.ledger.Held() {
		return StateReply{Moved: !h.ledger.Vacant()}
	}
	j, ok := h.ledger.Job(id)
	switch {
	case !ok || !h.ledger.Stored(id):
		return StateReply{}
	case j.State != "" && !h.ledger.EndPending(id):
		return StateReply{State: j.State}
	case h.core.SentAny(id):
		return StateReply{State: work.Running}
	}
	return StateReply{State: work.Queued}
}

// cancel cancels a stored job and waits until the cancellation is stored.
func (h *home) cancel(ctx context.Context, id string) (rep StateReply) {
	h.mu.Lock()
	if !h.ledger.Held() {
		rep.Moved = !h.ledger.Vacant()
		h.mu.Unlock()
		return rep
	}
	j, ok := h.ledger.Job(id)
	if !ok {
		h.mu.Unlock()
		return StateReply{}
	}
	h.ledger.EndJob(h.e.wall(), id, work.Cancelled)
	if !h.ledger.EndPending(id) {
		rep.State = j.State
		h.mu.Unlock()
		return rep
	}
	done := h.addEndWaiter(id)
	h.mu.Unlock()
	h.notifyLedger()
	rep = h.awaitState(ctx, id, done)
	switch rep.State {
	case work.Completed, work.JobFailed, work.Cancelled:
		return rep
	}
	return StateReply{Moved: true} // the end of the job is not stored
}
