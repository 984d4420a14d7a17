package site

import (
	"context"
	"maps"
	"time"

	"masticbay/roster"
	"masticbay/wire"
)

// A home that gives its role away, as it leaves or is overloaded, goes on with its jobs. The
// caller of such a job may have left without its entry seeing it, and submit the job again at
// the next home, which has to know of it: it asks the former home which jobs are open there,
// and takes such a job over like one of a lost home.

// OpenJobsArgs asks a former home for the jobs that are open there.
type OpenJobsArgs struct{}

// OpenJobsReply lists jobs that are not stored and not answered.
type OpenJobsReply struct {
	Jobs map[string]int // by ID: above which number the runs are numbered
}

// ReleaseArgs withdraws a job for all that wait for it, as its caller has submitted it again
// at another home.
type ReleaseArgs struct {
	Job string
}

// ReleaseReply is empty.
type ReleaseReply struct{}

// OpenJobs lists the jobs that are open at this entry's home.
func (m *entryMethods) OpenJobs(_ *OpenJobsArgs, reply *OpenJobsReply) error {
	h := m.e.home
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Jobs = h.core.OpenJobs()
	return nil
}

// Release withdraws a job for all that wait for it. A message that was held up must not withdraw a
// job that has come back to this home.
func (m *entryMethods) Release(args *ReleaseArgs, _ *ReleaseReply) error {
	if m.e.placesTasks() {
		return nil
	}
	m.e.requestLog.Info().Str("job", args.Job).Msg("job released to another home")
	m.e.home.removeWaiters(args.Job, func(*waiter) bool { return true })
	return nil
}

// formerJob is a job that is open at a former home.
type formerJob struct {
	address string
	base    int       // above which its runs are numbered there
	until   time.Time // when it is forgotten
}

// maxFormerRuns bounds the runs of a task at a former home. It is lower than runNumberStride, as the
// entry of the job does not know of the takeover, and numbers the runs at the next home by its
// own losses.
const maxFormerRuns = runNumberStride / 2

// askFormerHome fetches the open jobs of an entry that has given its role away, if this entry is
// home of a cell.
func (e *Entry) askFormerHome(m roster.Member) {
	if e.placesTasks() && e.home.mayAskFormer(m.Address) {
		go e.fetchOpenJobs(m)
	}
}

// openJobsInterval is the time between two questions to a former home. Its open jobs only
// become fewer, unless it takes a job before it knows that it is no longer home.
const openJobsInterval = 500 * time.Millisecond

func (h *home) mayAskFormer(address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.e.now()
	if now.Sub(h.formerAskedAt[address]) < openJobsInterval {
		return false
	}
	if h.formerAskedAt == nil {
		h.formerAskedAt = make(map[string]time.Time)
	}
	h.formerAskedAt[address] = now
	return true
}

func (e *Entry) fetchOpenJobs(m roster.Member) {
	ctx, cancel := context.WithTimeout(e.ending, greetAnswerTimeout)
	defer cancel()
	rep, err := wire.Call[OpenJobsArgs, OpenJobsReply](ctx, e.peer(m.Address), entryOpenJobs, &OpenJobsArgs{})
	if err != nil {
		e.log.Info().Err(err).Str("entry", m.Name).Msg("open jobs of a former home not known")
		return
	}
	e.log.Info().Str("entry", m.Name).Int("jobs", len(rep.Jobs)).Msg("open jobs of a former home")
	e.home.setFormerJobs(m.Address, rep.Jobs)
}

func (h *home) setFormerJobs(address string, jobs map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.formerJobs == nil {
		h.formerJobs = make(map[string]formerJob)
	}
	until := h.e.now().Add(peerRetention)
	for id, base := range jobs {
		h.formerJobs[id] = formerJob{address, base, until}
	}
}

// claimFormer returns the number up to which a former home may have numbered the runs of a job
// that is open there, and has that home withdraw it; 0 if there is none. The caller holds mu.
func (h *home) claimFormer(id string) (firstRun int) {
	former, ok := h.formerJobs[id]
	if !ok {
		return 0
	}
	delete(h.formerJobs, id)
	h.log.Info().Str("job", id).Str("from", former.address).Msg("job claimed from a former home")
	go h.e.releaseAt(former.address, id)
	return former.base + maxFormerRuns
}

// releaseAt has a former home withdraw a job, which ends its runs sooner than the seals do.
func (e *Entry) releaseAt(address, id string) {
	ctx, cancel := context.WithTimeout(e.ending, greetAnswerTimeout)
	defer cancel()
	if _, err := wire.Call[ReleaseArgs, ReleaseReply](ctx, e.peer(address), entryRelease, &ReleaseArgs{Job: id}); err != nil {
		e.requestLog.Info().Err(err).Str("job", id).Str("from", address).Msg("job not released")
	}
}

// forgetFormer forgets the jobs of former homes that must have ended. The caller holds mu.
func (h *home) forgetFormer(now time.Time) {
	maps.DeleteFunc(h.formerJobs, func(_ string, f formerJob) bool { return now.After(f.until) })
	maps.DeleteFunc(h.formerAskedAt, func(_ string, at time.Time) bool { return now.Sub(at) > peerRetention })
}
