package site

import (
	"net/http"
	"time"

	"masticbay/platform"
	"masticbay/roster"
)

// waitingCount is how many jobs had not started at any home.
type waitingCount struct {
	byQueue   map[string]int
	countedAt time.Time
}

// maxWaitingAge is how old a count may be that callers get while a home is replaced. With the age of the
// reports that it rests on, it is below the 2 s that the platform grants.
const maxWaitingAge = 1500 * time.Millisecond

// serveWaiting answers how many jobs of a queue have not started.
func (e *Entry) serveWaiting(w http.ResponseWriter, queue string) {
	n, ok := e.waitingJobs(queue)
	if !ok {
		e.requestLog.Warn().Str("queue", queue).Msg("refused: no home has reported the jobs that wait")
		e.logWriteError(platform.WriteRefusal(w, http.StatusServiceUnavailable, time.Second))
		return
	}
	e.logWriteError(platform.WriteWaiting(w, n))
}

// waitingJobs returns how many jobs of a queue have not started at any home, by the last whole count. It
// reports false if there is none that is recent.
func (e *Entry) waitingJobs(queue string) (n int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.recordWaiting(now)
	if e.waiting.countedAt.IsZero() || now.Sub(e.waiting.countedAt) > maxWaitingAge {
		return 0, false
	}
	return e.waiting.byQueue[queue], true
}

// recordWaiting adds up what the homes have reported, if that is whole: a home is known, each home has
// reported, and that of the site has read the ledger. The caller holds mu.
func (e *Entry) recordWaiting(now time.Time) {
	homes := e.roster.Homes(now)
	if len(homes) == 0 {
		return
	}
	sum := make(map[string]int)
	for i := range homes {
		waiting, isPartial, ok := e.waitingAt(&homes[i])
		if !ok || isPartial && i == 0 {
			return
		}
		for queue, n := range waiting {
			sum[queue] += n
		}
	}
	e.waiting = waitingCount{byQueue: sum, countedAt: now}
}

// waitingAt returns the jobs that a home has reported as waiting, and whether stored jobs are missing. The
// caller holds mu.
func (e *Entry) waitingAt(m *roster.Member) (byQueue map[string]int, isPartial, ok bool) {
	if m.Life == e.life {
		st := e.home.status.Load()
		return st.waiting, st.isPartial, true
	}
	r, ok := e.homeReports[m.Address]
	return r.waiting, r.isPartial, ok
}
