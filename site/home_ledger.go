package site

import (
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
	now := h.e.now()
	if wait := h.retry.Sub(now); wait > 0 {
		h.mu.Unlock()
		return wait
	}
	h.tried = now
	if !acts {
		h.ledger.Doubt()
	}
	known := h.ledger.Epoch() > 0 || h.ledger.Known() && h.found == m.Term
	switch {
	case acts && !known:
		h.mu.Unlock()
		return h.find(m.Term)
	case h.ledger.Loading():
		h.mu.Unlock()
		return h.load()
	case acts:
		h.claim()
	case h.ledger.Held() && ok && now.Sub(h.ledger.Sent()) < ledgerYield:
		// The new home has to find a pause in which it can take the ledger.
		h.mu.Unlock()
		return ledgerGap
	}
	next, err := h.ledger.Next(now, h.e.wall())
	incomplete := h.ledger.Held() && !h.ledger.Whole()
	h.mu.Unlock()
	switch {
	case err != nil:
		h.e.log.Error().Err(err).Msg("ledger: commit not made")
		return ledgerRefresh
	case next != nil:
		go h.commit(next)
		return 0
	case incomplete:
		return h.loadEnded()
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
func (h *home) commit(f *ledger.Flight) {
	defer h.wakeLedger()
	rev, err := h.way.commit(f.Commit())
	conflict, conflicts := errors.AsType[*store.ConflictError](err)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.e.now()
	var facts []ledger.Fact
	switch {
	case err == nil:
		facts = h.ledger.Took(f, rev)
	case conflicts:
		var deposed bool
		if facts, deposed, err = h.ledger.Conflict(f, conflict.Have); err != nil {
			h.e.log.Error().Err(err).Msg("ledger: holder not understood")
			return
		}
		h.e.log.Info().Bool("deposed", deposed).Str("holder", h.ledger.Holder()).Uint64("revision", conflict.Have.Revision).Msg("ledger: the condition of a commit does not hold")
		if deposed {
			h.deposed = now
			h.dropAccepts()
		}
	case errors.Is(err, store.ErrRefused):
		h.ledger.Refused(now, f)
		h.stall(now, err)
		return
	default:
		h.ledger.Lost(now, f)
		h.stall(now, err)
		return
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
