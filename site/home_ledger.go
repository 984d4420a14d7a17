package site

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"masticbay/ledger"
	"masticbay/schedule"
	"masticbay/store"
	"masticbay/work"
)

// wakeLedger lets the duty of the ledger look at once.
func (h *home) wakeLedger() {
	select {
	case h.ledgerDue <- struct{}{}:
	default:
	}
}

// ledgerDuty holds the ledger while this entry is home, and commits changes.
func (h *home) ledgerDuty() {
	for {
		pause := h.ledgerStep()
		timer := time.NewTimer(pause)
		select {
		case <-h.e.stop:
			timer.Stop()
			return
		case <-h.ledgerDue:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ledgerStep does the next thing with the store, and returns when to look again.
func (h *home) ledgerStep() time.Duration {
	m, ok := h.e.currentHome()
	acts := ok && m.Life == h.e.life
	h.mu.Lock()
	if wait := h.retry.Sub(h.e.now()); wait > 0 {
		h.mu.Unlock()
		return wait
	}
	h.tried = h.e.now()
	known, loading := h.ledger.Epoch() > 0 || h.ledger.Known() && h.found == m.Term, h.ledger.Loading()
	if !acts {
		h.ledger.Doubt()
	}
	if acts && known {
		h.claim()
	}
	var commit *store.Commit
	yields := h.ledger.Held() // the new home has to find a pause to take the ledger
	var err error
	if acts || !ok || h.e.now().Sub(h.ledger.Sent()) >= ledgerYield {
		yields = false
	}
	if known && !loading && !yields {
		commit, err = h.ledger.Next(h.e.now(), h.e.wall())
	}
	incomplete := h.ledger.Held() && !h.ledger.Whole() && commit == nil
	h.mu.Unlock()
	switch {
	case err != nil:
		h.e.log.Error().Err(err).Msg("ledger: commit not made")
		return ledgerRefresh
	case loading:
		return h.load()
	case incomplete:
		return h.loadEnded()
	case acts && !known:
		return h.find(m.Term)
	case commit != nil:
		return h.commit(commit)
	}
	return h.ledgerPause()
}

// ledgerPause returns how long there is nothing to commit.
func (h *home) ledgerPause() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ledger.Changed() {
		return ledgerGap
	}
	return homeIdle
}

// find reads who holds the ledger, once in each term as home.
func (h *home) find(term uint64) time.Duration {
	it, err := h.way.get(ledger.TenureKey)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return h.stall(h.e.now(), err)
	}
	h.found = term
	if err := h.ledger.Find(it); err != nil {
		h.e.log.Error().Err(err).Msg("ledger: holder not understood")
		return ledgerRefresh
	}
	return 0
}

// claim makes the next commit take the ledger, if something is stored or is to
// be. A home from which it was taken waits a while, lest two homes that do not
// hear each other take it in turns. The caller holds mu.
func (h *home) claim() {
	if h.ledger.Vacant() && !h.wanted || h.e.now().Sub(h.deposed) < claimPause {
		return
	}
	h.ledger.Claim()
}

// load reads the ledger after it was claimed.
func (h *home) load() time.Duration {
	items, err := h.way.list(ledger.OpenPrefix)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		return h.stall(h.e.now(), err)
	}
	if err := h.ledger.Load(items); err != nil {
		h.e.log.Error().Err(err).Msg("ledger: jobs not understood")
		return ledgerRefresh
	}
	now := h.e.now()
	h.former, h.clear = h.ledger.Enrolled(), h.ledger.Owned().Add(tenureClear)
	h.tenure(now)
	open := h.ledger.Open()
	for _, j := range open {
		h.restore(now, j)
	}
	for _, l := range h.links {
		go l.sync(0)
	}
	h.e.log.Info().Uint64("epoch", h.ledger.Epoch()).Int("open", len(open)).Int("items", len(items)).Int("agents", len(h.former)).Msg("ledger held")
	h.flush()
	return 0
}

// loadEnded reads the jobs that have ended, so that new ones can be accepted.
func (h *home) loadEnded() time.Duration {
	items, err := h.way.list(ledger.EndedPrefix)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		return h.stall(h.e.now(), err)
	}
	if err := h.ledger.LoadEnded(items); err != nil {
		h.e.log.Error().Err(err).Msg("ledger: ended jobs not understood")
		return ledgerRefresh
	}
	h.e.log.Info().Uint64("epoch", h.ledger.Epoch()).Int("items", len(items)).Msg("ledger read whole")
	return 0
}

// restore gives the core a job that is stored. The caller holds mu.
func (h *home) restore(now time.Time, j *ledger.Job) {
	w := j.Job
	wall := h.e.wall()
	w.Age = max(wall.Sub(j.Submitted), 0)
	if w.Times > 0 {
		w.First = now.Add(w.First.Sub(wall)) // by the clock that the core is given
	}
	h.core.Restore(now, w, int(h.ledger.Epoch())*runStride, j.Done, j.Failures)
}

// tenure tells the core how far the tenure goes. The caller holds mu.
func (h *home) tenure(now time.Time) {
	t := schedule.Tenure{}
	if h.ledger.Held() {
		t = schedule.Tenure{
			Epoch: h.ledger.Epoch(), Until: h.ledger.Owned().Add(tenureLife - tenureMargin),
			Agents: make(map[string]bool), Former: h.former, Clear: h.clear,
		}
		for _, a := range h.ledger.Enrolled() {
			t.Agents[a] = true
		}
	}
	h.core.Hold(now, t)
}

// commit sends a commit and takes its result.
func (h *home) commit(c *store.Commit) time.Duration {
	rev, err := h.way.commit(c)
	conflict, conflicts := errors.AsType[*store.ConflictError](err)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.e.now()
	var facts []ledger.Fact
	switch {
	case err == nil:
		facts = h.ledger.Took(rev)
	case conflicts:
		var deposed bool
		if facts, deposed, err = h.ledger.Conflict(conflict.Have); err != nil {
			h.e.log.Error().Err(err).Msg("ledger: holder not understood")
			return ledgerRefresh
		}
		h.e.log.Info().Bool("deposed", deposed).Str("holder", h.ledger.Holder()).Uint64("revision", conflict.Have.Revision).Msg("ledger: the condition of a commit does not hold")
		if deposed {
			h.deposed = now
			h.dropAccepts()
		}
	default:
		return h.stall(now, err)
	}
	if h.stalled {
		h.stalled = false
		h.e.log.Info().Str("via", h.way.now()).Msg("ledger: the store answers")
	}
	h.tenure(now)
	for i := range facts {
		h.last(now, &facts[i])
	}
	h.flush()
	return 0
}

// stall notes that the store did not answer. The caller holds mu.
func (h *home) stall(now time.Time, err error) time.Duration {
	if !h.stalled {
		h.stalled = true
		h.e.log.Warn().Err(err).Str("via", h.way.now()).Msg("ledger: the store does not answer")
	}
	// A call that was not answered has taken longer than the pause.
	h.retry = h.tried.Add(ledgerRetry)
	return max(h.retry.Sub(now), 0)
}

// last does what has waited for a fact to be stored. The caller holds mu.
func (h *home) last(now time.Time, f *ledger.Fact) {
	switch f.Kind {
	case ledger.Accepted:
		if j, ok := h.ledger.Job(f.Job); ok && j.State == "" {
			h.restore(now, j)
		}
		h.answerAccepts(f.Job, AcceptReply{Outcome: work.Outcome{State: work.Queued}})
	case ledger.RunEnded:
		h.core.Saved(f.Mark.Agent, f.Mark.Life, f.Mark.Seq)
	case ledger.JobEnded:
		if f.State == work.Cancelled {
			h.core.Cancel(now, f.Job)
		}
		h.log.Info().Str("job", f.Job).Str("state", string(f.State)).Msg("end of job stored")
		for _, done := range h.ends[f.Job] {
			close(done)
		}
		delete(h.ends, f.Job)
	}
}

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

// errNotHeld is why a home can not serve a stored job.
const errNotHeld = errors.ConstError("the ledger is not held here")

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
	rep = StateReply{Moved: true}
	select {
	case <-done:
	case <-ctx.Done():
	case <-h.e.stop:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgetWait(id, done)
	if h.ledger.Pending(id) {
		return rep
	}
	return h.stateNow(id)
}

// save notes in the ledger what the core has decided about stored jobs. The caller
// holds mu.
func (h *home) save(d *schedule.Decisions) {
	for _, m := range d.Marks {
		h.ledger.End(m.Run.Task, m.End, ledger.Mark{Agent: m.Agent, Life: m.Life, Seq: m.Seq})
	}
	for _, end := range d.Outcomes {
		h.ledger.Close(h.e.wall(), end.Job, end.Outcome.State)
	}
	if h.ledger.Changed() {
		h.wakeLedger()
	}
}

// enroll keeps the list of agents that may get tasks of stored jobs. The caller
// holds mu.
func (h *home) enroll(now time.Time, agents []string) {
	if !h.ledger.Held() {
		return
	}
	for _, a := range agents {
		if h.core.Heard(now, a) {
			h.ledger.Enroll(a)
		}
	}
	for _, a := range h.ledger.Enrolled() {
		if !h.core.Heard(now, a) && now.After(h.clear) {
			h.ledger.Dismiss(a)
			h.tenure(now)
		}
	}
}

// unclear returns the agents that may run tasks of a former holder. The caller
// holds mu.
func (h *home) unclear(now time.Time) []string {
	if now.After(h.clear) {
		return nil
	}
	return h.former
}
