package site

import (
	"context"
	"slices"
	"time"

	"masticbay/work"
)

// answerAccepts answers those who wait for a job to be stored. The caller holds
// mu.
func (h *home) answerAccepts(id string, rep AcceptReply) {
	for _, w := range h.accepts[id] {
		w <- rep
	}
	delete(h.accepts, id)
}

// dropAccepts tells all who wait to ask the new holder. The caller holds mu.
func (h *home) dropAccepts() {
	for id := range h.accepts {
		h.answerAccepts(id, AcceptReply{Moved: true})
	}
	for id, waiters := range h.ends {
		for _, done := range waiters {
			close(done)
		}
		delete(h.ends, id)
	}
}

// accept has a job stored. While the ledger is not held here it does nothing but
// claim it.
func (h *home) accept(ctx context.Context, args *AcceptArgs) (rep AcceptReply) {
	id := args.Job.ID
	h.mu.Lock()
	now := h.e.now()
	if !h.acts() || !h.ledger.Whole() {
		h.wanted = true
		h.mu.Unlock()
		h.wakeLedger()
		return AcceptReply{Moved: true}
	}
	if h.ledger.Stored(id) {
		h.mu.Unlock()
		return AcceptReply{Outcome: work.Outcome{State: work.Queued}}
	}
	if _, ok := h.ledger.Job(id); !ok {
		if out, rejected := h.refuse(now, &args.Job); rejected {
			h.mu.Unlock()
			return AcceptReply{Outcome: out}
		}
		h.ledger.Accept(h.e.wall().Add(-args.Job.Age), &args.Job)
	}
	wait := make(chan AcceptReply, 1)
	h.accepts[id] = append(h.accepts[id], wait)
	h.mu.Unlock()
	h.wakeLedger()
	select {
	case rep = <-wait:
		return rep
	case <-ctx.Done():
		return AcceptReply{Outcome: work.Outcome{State: work.Unknown, Reason: "not known to be stored: " + givenUp(ctx)}}
	case <-h.e.stop:
		return AcceptReply{Outcome: work.Outcome{State: work.Unknown, Reason: "the home ends"}}
	}
}

// acts reports whether this entry is home. The caller holds mu.
func (h *home) acts() bool {
	m, ok := h.e.currentHome()
	return ok && m.Life == h.e.life
}

// refuse tells why a job is not stored. The caller holds mu.
func (h *home) refuse(now time.Time, w *work.Job) (out work.Outcome, rejected bool) {
	why, retry := h.core.Admit(now, w)
	if stalled := h.ledger.Stalled(now); stalled > ledgerStalled {
		why, retry = "the store does not answer", stalled
	}
	if why == "" {
		return out, false
	}
	h.log.Info().Str("job", w.ID).Str("why", why).Dur("retryMs", retry).Msg("rejected")
	return work.Outcome{State: work.Rejected, Reason: why, RetryAfter: retry}, true
}

// state tells the state of a stored job. While it runs, the answer waits a moment
// for its end: callers like to ask when the last task has ended, and else would
// learn of it only when they ask again.
func (h *home) state(ctx context.Context, id string) (rep StateReply) {
	h.mu.Lock()
	rep = h.stateNow(id)
	if rep.State != work.Running {
		h.mu.Unlock()
		return rep
	}
	done := h.awaitEnd(id)
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stateWait)
	defer cancel()
	return h.stateAfter(ctx, id, done)
}

// stateAfter waits for the end of a job and tells its state.
func (h *home) stateAfter(ctx context.Context, id string, done chan struct{}) StateReply {
	select {
	case <-done:
	case <-ctx.Done():
	case <-h.e.stop:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgetWait(id, done)
	return h.stateNow(id)
}

// awaitEnd returns a channel that is closed once the end of a job is stored, or
// this home has lost the ledger. The caller holds mu.
func (h *home) awaitEnd(id string) chan struct{} {
	done := make(chan struct{})
	h.ends[id] = append(h.ends[id], done)
	return done
}

// forgetWait undoes awaitEnd. The caller holds mu.
func (h *home) forgetWait(id string, done chan struct{}) {
	rest := slices.DeleteFunc(h.ends[id], func(c chan struct{}) bool { return c == done })
	if h.ends[id] = rest; len(rest) == 0 {
		delete(h.ends, id)
	}
}

// stateNow tells the state of a stored job. The caller holds mu.
func (h *home) stateNow(id string) StateReply {
	if !h.ledger.Held() {
		return StateReply{Moved: !h.ledger.Vacant()}
	}
	j, ok := h.ledger.Job(id)
	switch {
	case !ok || !h.ledger.Stored(id):
		return StateReply{}
	case j.State != "" && !h.ledger.Pending(id):
		return StateReply{State: j.State}
	case h.core.Begun(id):
		return StateReply{State: work.Running}
	}
	return StateReply{State: work.Queued}
}

// cancel cancels a stored job and waits until that is stored.
func (h *home) cancel(ctx context.Context, id string) (rep StateReply) {
	h.mu.Lock()
	if !h.ledger.Held() {
		h.mu.Unlock()
		return StateReply{Moved: !h.ledger.Vacant()}
	}
	j, ok := h.ledger.Job(id)
	if !ok {
		h.mu.Unlock()
		return StateReply{}
	}
	h.ledger.Close(h.e.wall(), id, work.Cancelled)
	if !h.ledger.Pending(id) {
		h.mu.Unlock()
		return StateReply{State: j.State}
	}
	done := h.awaitEnd(id)
	h.mu.Unlock()
	h.wakeLedger()
	rep = h.stateAfter(ctx, id, done)
	switch rep.State {
	case work.Completed, work.JobFailed, work.Cancelled:
		return rep
	}
	return StateReply{Moved: true} // its end is not stored
}
