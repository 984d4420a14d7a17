package site

import (
	"context"
	"maps"
	"slices"
	"time"

	"masticbay/roster"
	"masticbay/wire"
	"masticbay/work"
)

// A home that gives its role away, as it leaves or is overloaded, goes on with its jobs. The
// caller of such a job may have left without its entry seeing it, and submit the job again at
// the next home, which has to know of it: it asks the former home which jobs are open there,
// and takes such a job over like one of a lost home.

// OpenJobsArgs asks a former home, or a present one of another cell, for the jobs that are open there.
type OpenJobsArgs struct {
	Homes []string // of the site, as the sender sees them
}

// OpenJobsReply lists jobs that are not stored and not answered.
type OpenJobsReply struct {
	Jobs map[string]int // by ID: above which number the runs are numbered
	// Places is set if the receiver is home and its view of the homes differs, or it awaits lists
	// itself. It lists nothing then.
	Places bool
	// Term is the last one in which the receiver was home. AllRuns is set if it was the only one, and all
	// runs of the homes before it are of Jobs.
	Term    uint64
	AllRuns bool
}

// ReleaseArgs withdraws a job for all that wait for it, as its caller has submitted it again
// at another home.
type ReleaseArgs struct {
	Job   string
	Homes []string // of the site, as the sender sees them
}

// ReleaseReply is empty.
type ReleaseReply struct{}

// OpenJobs lists the jobs that are open at this entry's home.
func (m *entryMethods) OpenJobs(args *OpenJobsArgs, reply *OpenJobsReply) error {
	h := m.e.home
	h.mu.Lock()
	defer h.mu.Unlock()
	isHome := h.updateRole()
	if reply.Places = isHome && (!m.e.homesAre(args.Homes) || h.core.AwaitsLostHomes()); reply.Places {
		return nil
	}
	h.hasListed = !isHome // from now on, it takes no job that is not listed
	reply.Jobs, reply.Term, reply.AllRuns = h.core.OpenJobs(), max(h.term, h.claimedTerm), h.term > 0 && h.core.ListsAllRuns()
	return nil
}

// Release withdraws a job for all that wait for it. A message that was held up must not withdraw a
// job that has come back to this home.
func (m *entryMethods) Release(args *ReleaseArgs, _ *ReleaseReply) error {
	if m.e.placesTasks() && !m.e.homesAre(args.Homes) {
		return nil
	}
	m.e.requestLog.Info().Str("job", args.Job).Msg("job released to another home")
	m.e.home.removeWaiters(args.Job, func(*waiter) bool { return true })
	return nil
}

// formerJob is a job that is open at former homes.
type formerJob struct {
	homes []roster.Member
	base  int       // above which its runs are numbered there
	until time.Time // when it is forgotten
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

// fetchOpenJobs asks a former home for its open jobs. It reports whether it has listed them, and the term
// up to which the list stands for all homes; 0 if it does not.
func (e *Entry) fetchOpenJobs(m roster.Member) (listed bool, term uint64) {
	ctx, cancel := context.WithTimeout(e.ending, greetAnswerTimeout)
	defer cancel()
	rep, err := wire.Call[OpenJobsArgs, OpenJobsReply](ctx, e.peer(m.Address), entryOpenJobs, &OpenJobsArgs{Homes: lives(e.homes())})
	if err != nil {
		e.log.Info().Err(err).Str("entry", m.Name).Msg("open jobs of a former home not known")
		return false, 0
	}
	if rep.Places {
		return false, 0
	}
	e.log.Info().Str("entry", m.Name).Int("jobs", len(rep.Jobs)).Msg("open jobs of a former home")
	for _, id := range e.home.setFormerJobs(m, rep.Jobs) {
		if err := e.releaseOnce(m.Address, id); err != nil {
			e.requestLog.Info().Err(err).Str("job", id).Str("from", m.Address).Msg("job not released")
			return false, 0
		}
	}
	e.home.allowFormerHome(m.Life, rep.Term)
	if !rep.AllRuns {
		return true, 0
	}
	return true, rep.Term
}

// setFormerJobs records the jobs of a former home, and seals those that are open here as well. It
// returns those that this home has.
func (h *home) setFormerJobs(m roster.Member, jobs map[string]int) (both []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.formerJobs == nil {
		h.formerJobs = make(map[string]formerJob)
	}
	until := h.e.now().Add(peerRetention)
	for id, base := range jobs {
		f := h.formerJobs[id]
		f.homes = append(slices.DeleteFunc(f.homes, func(o roster.Member) bool { return o.Life == m.Life }), m)
		f.base, f.until = max(f.base, base), until
		h.formerJobs[id] = f
		known, isOpen := h.core.HasJob(id)
		// A present home that lists a job which has been withdrawn here has taken it over, with the runs.
		if isOpen || known && !containsLife(h.homeSet.members, m.Life) {
			both = append(both, id)
		}
		if isOpen {
			h.takeOver(&RunArgs{Job: work.Job{ID: id}, FirstRun: h.claimFormer(id)})
		}
	}
	h.deliverDecisions()
	return both
}

// allowFormerHome lets a former home go on with its jobs.
func (h *home) allowFormerHome(life string, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listedHomes == nil {
		h.listedHomes = make(map[string]uint64)
	}
	h.listedHomes[life] = term
}

// claimFormer returns the number up to which a former home may have numbered the runs of a job
// that is open there, and has that home withdraw it; 0 if there is none. The caller holds mu.
func (h *home) claimFormer(id string) (firstRun int) {
	former, ok := h.formerJobs[id]
	if !ok {
		return 0
	}
	delete(h.formerJobs, id)
	for _, m := range former.homes {
		h.log.Info().Str("job", id).Str("from", m.Address).Msg("job claimed from a former home")
		term, isListed := h.listedHomes[m.Life]
		delete(h.listedHomes, m.Life) // until it has released the job
		go func() {
			if h.e.releaseAt(m.Address, id) && isListed {
				h.allowFormerHome(m.Life, term)
			}
		}()
	}
	return former.base + maxFormerRuns
}

// releaseAt has a former home withdraw a job, which ends its runs sooner than the seals do, and reports
// whether it has.
func (e *Entry) releaseAt(address, id string) bool {
	for n := 0; n < maxWithdrawals && e.ending.Err() == nil; n++ {
		err := e.releaseOnce(address, id)
		if err == nil {
			return true
		}
		e.requestLog.Info().Err(err).Str("job", id).Str("from", address).Int("attempt", n+1).Msg("job not released")
		sleep(e.ending, withdrawalInterval)
	}
	return false
}

func (e *Entry) releaseOnce(address, id string) error {
	ctx, cancel := context.WithTimeout(e.ending, greetAnswerTimeout)
	defer cancel()
	_, err := wire.Call[ReleaseArgs, ReleaseReply](ctx, e.peer(address), entryRelease, &ReleaseArgs{Job: id, Homes: lives(e.homes())})
	return err
}

// forgetFormer forgets the jobs of former homes that must have ended. The caller holds mu.
func (h *home) forgetFormer(now time.Time) {
	maps.DeleteFunc(h.formerJobs, func(_ string, f formerJob) bool { return now.After(f.until) })
	maps.DeleteFunc(h.formerAskedAt, func(_ string, at time.Time) bool { return now.Sub(at) > peerRetention })
}
