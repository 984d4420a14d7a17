package site

import (
	"time"

	"github.com/juju/errors"

	"masticbay/ledger"
	"masticbay/schedule"
	"masticbay/store"
	"masticbay/work"
)

// notifyLedger makes ledgerDuty run at once.
func (h *home) notifyLedger() {
	select {
	case h.ledgerWakeup <- struct{}{}:
	default:
	}
}

// ledgerDuty is the loop that holds the ledger while this entry is home, and commits
// changes.
func (h *home) ledgerDuty() {
	for {
		pause := h.runLedgerOnce()
		timer := time.NewTimer(pause)
		select {
		case <-h.e.stop:
			timer.Stop()
			return
		case <-h.ledgerWakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// runLedgerOnce makes the next call of the store, if one is due, and returns the time
// until the next round.
func (h *home) runLedgerOnce() time.Duration {
	m, ok := h.e.currentHome()
	isHome := ok && m.Life == h.e.life
	h.mu.Lock()
	now := h.e.now()
	if wait := h.storeRetryAt.Sub(now); wait > 0 {
		h.mu.Unlock()
		return wait
	}
	h.lastStoreCall = now
	if !isHome {
		h.ledger.InvalidateVacant()
	}
	holderKnown := h.ledger.Epoch() > 0 || h.ledger.HolderKnown() && h.holderTerm == m.Term
	switch {
	case isHome && !holderKnown:
		h.mu.Unlock()
		return h.readHolder(m.Term)
	case h.ledger.Loading():
		h.mu.Unlock()
		return h.loadOpen()
	case isHome:
		h.acquireLedger()
	case h.ledger.Held() && ok && now.Sub(h.ledger.SentAt()) < yieldCommitInterval:
		// The new home needs a gap between commits in which it can take the ledger.
		h.mu.Unlock()
		return minCommitInterval
	}
	next, err := h.ledger.Next(now, h.e.wall())
	incomplete := h.ledger.Held() && !h.ledger.EndedLoaded()
	h.mu.Unlock()
	if err != nil {
		h.e.log.Error().Err(err).Msg("ledger: changes dropped that cannot be encoded")
	}
	switch {
	case next != nil:
		go h.sendCommit(next)
		return 0
	case incomplete:
		return h.loadEnded()
	}
	return h.untilLedgerWork()
}

// untilLedgerWork returns how long to wait before the next commit.
func (h *home) untilLedgerWork() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ledger.HasChanges() {
		return minCommitInterval
	}
	return idleTickInterval
}

// readHolder reads from the store who holds the ledger, once in each term as home.
func (h *home) readHolder(term uint64) time.Duration {
	it, err := h.route.get(ledger.TenureKey)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holderRead(term, it, err)
}

// holderRead processes the store's answer to readHolder. The caller holds mu.
func (h *home) holderRead(term uint64, it store.Item, err error) time.Duration {
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return h.storeUnanswered(h.e.now(), err)
	}
	h.holderTerm = term
	if err := h.ledger.SetHolder(it); err != nil {
		h.e.log.Error().Err(err).Msg("ledger: cannot decode the holder")
	}
	if h.ledger.Vacant() {
		// Restarted agents wait for this before they take tasks.
		h.publishStatus(h.e.now())
		h.syncLinks()
		h.e.greetAll()
	}
	return 0
}

// syncLinks starts an exchange with each agent. The caller holds mu.
func (h *home) syncLinks() {
	for _, l := range h.links {
		go l.sync(0)
	}
}

// acquireLedger makes the next commit take the ledger if any job is stored or is to
// be stored. A home that has lost the ledger waits first, so that two homes that are
// not in contact do not take it from each other in turn. The caller holds mu.
func (h *home) acquireLedger() {
	if h.ledger.Vacant() && !h.storeRequested || h.e.now().Sub(h.deposedAt) < reacquireDelay {
		return
	}
	h.ledger.Acquire()
}

// loadOpen reads the open jobs after this entry has acquired the ledger.
func (h *home) loadOpen() time.Duration {
	items, err := h.route.list(ledger.OpenPrefix)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.openLoaded(items, err)
}

// openLoaded processes the store's answer to loadOpen. The caller holds mu.
func (h *home) openLoaded(items []store.Item, err error) time.Duration {
	if err != nil {
		return h.storeUnanswered(h.e.now(), err)
	}
	h.logIgnored(h.ledger.Load(items))
	now := h.e.now()
	h.previousAgents, h.clear = h.ledger.Enrolled(), now.Add(previousRunsEndAfter)
	h.updateTenure(now)
	open := h.ledger.Open()
	for _, j := range open {
		h.restoreJob(now, j)
	}
	h.syncLinks()
	h.e.log.Info().Uint64("epoch", h.ledger.Epoch()).Int("open", len(open)).Int("items", len(items)).Int("agents", len(h.previousAgents)).Msg("ledger held")
	h.deliverDecisions()
	return 0
}

// loadEnded reads the jobs that have ended. New jobs can be accepted only after that.
func (h *home) loadEnded() time.Duration {
	items, err := h.route.list(ledger.EndedPrefix)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		return h.storeUnanswered(h.e.now(), err)
	}
	h.logIgnored(h.ledger.LoadEnded(h.e.wall(), items))
	h.e.log.Info().Uint64("epoch", h.ledger.Epoch()).Int("items", len(items)).Msg("ledger read whole")
	return 0
}

// logIgnored logs why items of the ledger were ignored.
func (h *home) logIgnored(ignored []error) {
	for _, err := range ignored[:min(len(ignored), maxIgnoredLines)] {
		h.e.log.Error().Err(err).Int("items", len(ignored)).Msg("ledger: item ignored")
	}
}

// maxIgnoredLines is the most log lines about the ignored items of one list.
const maxIgnoredLines = 20

// restoreJob adds a stored job to the core. The caller holds mu.
func (h *home) restoreJob(now time.Time, j *ledger.Job) {
	w := j.Job
	wall := h.e.wall()
	w.Age = max(wall.Sub(j.Submitted), 0)
	if w.Times > 0 {
		w.First = now.Add(w.First.Sub(wall)) // converts to the clock that the core uses
	}
	h.core.Restore(now, w, int(h.ledger.Epoch())*runNumberStride, j.Done, schedule.Failures{Count: j.Failures, Runs: j.FailedRuns})
}

// updateTenure passes the current tenure to the core: the ledger holder's term, a
// lease with an epoch. The caller holds mu.
func (h *home) updateTenure(now time.Time) {
	t := schedule.Tenure{}
	if h.ledger.Held() {
		t = schedule.Tenure{
			Epoch: h.ledger.Epoch(), Until: h.ledger.RenewedAt().Add(tenureDuration - tenureMargin),
			Agents: make(map[string]bool), PreviousAgents: h.previousAgents, PreviousUnknown: !h.ledger.EnrollmentKnown(), LeasesEndAt: h.clear,
		}
		for _, a := range h.ledger.Enrolled() {
			t.Agents[a] = true
		}
	}
	h.core.SetTenure(now, t)
}

// sendCommit sends a commit and processes its result.
func (h *home) sendCommit(pending *ledger.PendingCommit) {
	defer h.notifyLedger()
	rev, err := h.route.commit(pending.Commit())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commitAnswered(pending, rev, err)
}

// commitAnswered processes the store's answer to sendCommit. The caller holds mu.
func (h *home) commitAnswered(pending *ledger.PendingCommit, rev uint64, err error) {
	conflict, conflicts := errors.AsType[*store.ConflictError](err)
	now := h.e.now()
	var changes []ledger.Change
	switch {
	case err == nil:
		changes = h.ledger.Committed(pending, rev)
	case conflicts:
		var deposed bool
		sent := h.sentJobs() // the ledger forgets them when it is deposed
		if changes, deposed, err = h.ledger.Conflict(pending, conflict.Current); err != nil {
			h.e.log.Error().Err(err).Msg("ledger: cannot decode the holder")
		}
		h.e.log.Info().Bool("deposed", deposed).Str("holder", h.ledger.Holder()).Uint64("revision", conflict.Current.Revision).Msg("ledger: the condition of a commit does not hold")
		if deposed {
			h.deposedAt = now
			h.redirectWaiters(sent)
		}
	case errors.Is(err, store.ErrRefused):
		h.ledger.Refused(now, pending)
		h.storeUnanswered(now, err)
		return
	default:
		h.ledger.Unanswered(now, pending)
		h.storeUnanswered(now, err)
		return
	}
	if h.outageLogged {
		h.outageLogged = false
		h.e.log.Info().Str("via", h.route.currentRoute()).Msg("ledger: the store answers")
	}
	h.updateTenure(now)
	for i := range changes {
		h.onCommitted(now, &changes[i])
	}
	h.deliverDecisions()
}

// storeUnanswered records that the store did not answer, and returns how long to wait
// before the next call. The caller holds mu.
func (h *home) storeUnanswered(now time.Time, err error) time.Duration {
	if !h.outageLogged {
		h.outageLogged = true
		h.e.log.Warn().Err(err).Str("via", h.route.currentRoute()).Msg("ledger: the store does not answer")
	}
	// The interval counts from the start of the call; a call that timed out has
	// already taken longer.
	h.storeRetryAt = h.lastStoreCall.Add(storeRetryInterval)
	return max(h.storeRetryAt.Sub(now), 0)
}

// onCommitted does what has waited for a change to be committed. The caller holds mu.
func (h *home) onCommitted(now time.Time, change *ledger.Change) {
	switch change.Kind {
	case ledger.Accepted:
		if j, ok := h.ledger.Job(change.Job); ok && j.State == "" {
			h.restoreJob(now, j)
		}
		h.answerAcceptWaiters(change.Job, AcceptReply{Outcome: work.Outcome{State: work.Queued}})
	case ledger.RunEnded:
		h.core.EventCommitted(change.Event.Agent, change.Event.Life, change.Event.Seq)
	case ledger.JobEnded:
		if change.State == work.Cancelled {
			h.core.Cancel(now, change.Job)
		}
		h.log.Info().Str("job", change.Job).Str("state", string(change.State)).Msg("end of job stored")
		for _, done := range h.endWaiters[change.Job] {
			close(done)
		}
		delete(h.endWaiters, change.Job)
	}
}

// recordDecisions adds the core's decisions about stored jobs to the ledger. The
// caller holds mu.
func (h *home) recordDecisions(d *schedule.Decisions) {
	for _, runEnd := range d.RunEnds {
		h.ledger.EndRun(runEnd.Run, runEnd.End, ledger.EventRef{Agent: runEnd.Agent, Life: runEnd.Life, Seq: runEnd.Seq})
	}
	for _, answer := range d.Outcomes {
		h.ledger.EndJob(h.e.wall(), answer.Job, answer.Outcome.State)
	}
	if h.ledger.HasChanges() {
		h.notifyLedger()
	}
}

// updateEnrollment enrolls agents in contact, so that they may get tasks of stored
// jobs, and removes agents at which no such task can run. The caller holds mu.
func (h *home) updateEnrollment(now time.Time, agents []string) {
	if !h.ledger.Held() {
		return
	}
	for _, a := range agents {
		if h.core.MayHaveStoredRuns(now, a) {
			h.ledger.Enroll(a)
		}
	}
	for _, a := range h.ledger.Enrolled() {
		if !h.core.MayHaveStoredRuns(now, a) && now.After(h.clear) {
			h.ledger.Unenroll(a)
			h.updateTenure(now)
		}
	}
}

// unconfirmedAgents returns the agents that may still run tasks of the previous
// holder. The caller holds mu.
func (h *home) unconfirmedAgents(now time.Time) []string {
	if now.After(h.clear) {
		return nil
	}
	return h.previousAgents
}
