package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"masticbay/ledger"
	"masticbay/schedule"
	"masticbay/work"
)

// home is the part of an entry that places tasks while the entry is home, and
// afterwards until its last run has ended.
type home struct {
	e   *Entry
	log zerolog.Logger // lines of single jobs and runs; bounded
	due chan struct{}

	mu      sync.Mutex // guards what follows
	closed  bool
	linked  time.Time // when keepLinks ran last
	acted   bool      // this entry was home then
	core    *schedule.Core
	waiters map[string][]*waiter // by job
	links   map[string]*link     // by agent
	entries map[string]contact   // by incarnation
	// lastOrder is the number of the last order to any agent. It rises over the
	// life of the process, longer than links live: agents take no number twice.
	lastOrder uint64
	storedJobs
}

// storedJobs is the part of a home for stored jobs. It is guarded by home.mu but
// for ledgerDue and way.
type storedJobs struct {
	ledgerDue chan struct{}
	way       *storeWay
	ledger    *ledger.Ledger
	found     uint64                        // term as home in which the holder was read
	wanted    bool                          // a job is to be stored
	deposed   time.Time                     // when another entry took the ledger
	stalled   bool                          // the store was logged as silent
	tried     time.Time                     // when the store was called last
	retry     time.Time                     // no call of the store before
	former    []string                      // agents that may run tasks of a former holder
	clear     time.Time                     // when none of these can run any more
	accepts   map[string][]chan AcceptReply // by job: who waits for it to be stored
	ends      map[string][]chan struct{}    // by job: who waits for its end to be stored
}

// contact is what a home knows of an entry that gives it jobs.
type contact struct {
	session uint64
	heard   time.Time
}

// caller is an entry's session.
type caller struct {
	life    string
	session uint64
}

// waiter is an entry that waits for a job.
type waiter struct {
	entry caller
	done  chan work.Outcome // with room for one
}

func newHome(e *Entry) *home {
	return &home{
		e: e, log: e.requests, due: make(chan struct{}, 1), core: schedule.NewCore(HomeConfig(e.node)),
		waiters: make(map[string][]*waiter), links: make(map[string]*link), entries: make(map[string]contact),
		storedJobs: storedJobs{
			ledgerDue: make(chan struct{}, 1), way: newStoreWay(e), ledger: ledger.New(ledgerConfig(e.node), e.life),
			accepts: make(map[string][]chan AcceptReply), ends: make(map[string][]chan struct{}),
		},
	}
}

// wake lets the duty look at once.
func (h *home) wake() {
	select {
	case h.due <- struct{}{}:
	default:
	}
}

// heard notes a sign of life of another entry. A new session ends the earlier
// ones.
func (h *home) heard(life string, session uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hear(caller{life, session})
	h.flush()
}

// hear is heard with mu held and without flush. It reports whether the session
// is the newest of the entry.
func (h *home) hear(c caller) bool {
	have := h.entries[c.life]
	if c.session < have.session {
		return false
	}
	h.entries[c.life] = contact{c.session, h.e.now()}
	if c.session > have.session {
		h.dropCallers("its entry gave it up", func(o caller) bool { return o.life == c.life && o.session < c.session })
	}
	return true
}

// busy reports whether jobs of callers are under way here.
func (h *home) busy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, running := h.core.Load()
	return running > 0 || len(h.waiters) > 0 || h.ledger.Held() && h.ledger.Changed()
}

func (h *home) waiting(queue string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Waiting()[queue]
}

// waitingByQueue returns how many jobs have not begun.
func (h *home) waitingByQueue() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Waiting()
}

// run runs a job and waits for its outcome. It returns moved and does nothing
// if this entry is not home.
func (h *home) run(ctx context.Context, args *RunArgs) (out work.Outcome, moved bool) {
	if m, ok := h.e.currentHome(); !ok || m.Life != h.e.life {
		return out, true
	}
	w := &waiter{entry: caller{args.Entry, args.Session}, done: make(chan work.Outcome, 1)}
	h.mu.Lock()
	if !h.hear(w.entry) {
		h.mu.Unlock()
		return out, true
	}
	h.waiters[args.Job.ID] = append(h.waiters[args.Job.ID], w)
	h.core.Submit(h.e.now(), args.Job, args.FirstRun)
	h.flush()
	h.mu.Unlock()
	select {
	case out = <-w.done:
		return out, false
	case <-ctx.Done():
		h.leave(args.Job.ID, func(o *waiter) bool { return o == w })
		return work.Outcome{State: work.Unknown, Reason: givenUp(ctx)}, false
	}
}

// withdraw takes a job back for an entry.
func (h *home) withdraw(entry caller, id string) {
	h.leave(id, func(o *waiter) bool { return o.entry == entry })
}

// leave drops waiters of a job, and withdraws the job after the last one.
func (h *home) leave(id string, which func(*waiter) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(id, which)
	h.flush()
}

// drop is leave with mu held and without flush.
func (h *home) drop(id string, which func(*waiter) bool) {
	var rest []*waiter
	for _, w := range h.waiters[id] {
		if which(w) {
			w.done <- work.Outcome{State: work.Unknown, Reason: "withdrawn"}
		} else {
			rest = append(rest, w)
		}
	}
	if len(rest) > 0 {
		h.waiters[id] = rest
		return
	}
	if _, ok := h.waiters[id]; ok {
		delete(h.waiters, id)
		h.core.Withdraw(h.e.now(), id)
	}
}

// The pauses of the duty.
const (
	homeTick = 10 * time.Millisecond // while there is work
	homeIdle = 200 * time.Millisecond
)

// duty drives the core by time and keeps a link to each agent.
func (h *home) duty() {
	for {
		pause := homeIdle
		if h.step() {
			pause = homeTick
		}
		select {
		case <-h.e.stop:
			return
		case <-h.due:
		case <-time.After(pause):
		}
	}
}

// step does what is due and reports whether there is work.
func (h *home) step() bool {
	m, ok := h.e.currentHome()
	acts := ok && m.Life == h.e.life
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	now := h.e.now()
	h.dropSilent(now)
	h.core.Tick(now)
	h.flush()
	waiting, running := h.core.Load()
	h.e.metrics.waiting.Update(float64(waiting))
	h.e.metrics.running.Update(float64(running))
	if now.Sub(h.linked) >= linksEvery || acts != h.acted {
		h.linked, h.acted = now, acts
		h.keepLinks(now, acts, running)
	}
	return waiting > 0 || running > 0
}

// linksEvery is how often a home looks for agents that came or are gone.
const linksEvery = 50 * time.Millisecond

// keepLinks keeps a link to each agent that is known, while there is use for it. The
// caller holds mu.
func (h *home) keepLinks(now time.Time, acts bool, running int) {
	agents := h.e.knownAgents()
	if acts || running > 0 {
		h.enroll(now, agents)
		agents = append(agents, h.unclear(now)...)
		for _, a := range agents {
			if _, ok := h.links[a]; !ok {
				h.links[a] = newLink(h, a)
			}
		}
	}
	known := make(map[string]bool, len(agents))
	for _, a := range agents {
		known[a] = true
	}
	for a, l := range h.links {
		if !acts && running == 0 || !known[a] && !h.core.Uses(a) {
			l.close()
			delete(h.links, a)
		}
	}
}

// close ends all links.
func (h *home) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for id := range h.waiters {
		h.drop(id, func(*waiter) bool { return true })
	}
	for a, l := range h.links {
		l.close()
		delete(h.links, a)
	}
}

// dropSilent withdraws the jobs of entries that are out of contact: their
// callers may submit again elsewhere. The caller holds mu.
func (h *home) dropSilent(now time.Time) {
	for life, c := range h.entries {
		if life == h.e.life || now.Sub(c.heard) <= entryContact {
			continue
		}
		h.dropCallers("its entry is out of contact", func(o caller) bool { return o.life == life })
		if now.Sub(c.heard) > forgetPeer {
			delete(h.entries, life)
		}
	}
}

// dropCallers withdraws the jobs of some entries. The caller holds mu.
func (h *home) dropCallers(why string, which func(caller) bool) {
	gone := func(w *waiter) bool { return which(w.entry) }
	for id, ws := range h.waiters {
		if slices.ContainsFunc(ws, gone) {
			h.log.Warn().Str("job", id).Str("why", why).Msg("job withdrawn")
			h.drop(id, gone)
		}
	}
}

// flush hands out what the core has decided. The caller holds mu.
func (h *home) flush() {
	d := h.core.Take()
	h.save(&d)
	for _, end := range d.Outcomes {
		for _, w := range h.waiters[end.Job] {
			w.done <- end.Outcome
		}
		delete(h.waiters, end.Job)
	}
	for agent, starts := range d.Starts {
		h.order(agent, starts, d.Stops[agent])
	}
	for agent, stops := range d.Stops {
		if _, done := d.Starts[agent]; !done {
			h.order(agent, nil, stops)
		}
	}
	for i := range d.Notes {
		h.logNote(&d.Notes[i])
	}
}

func (h *home) order(agent string, starts []work.Start, stops []work.Run) {
	if h.closed {
		return
	}
	l, ok := h.links[agent]
	if !ok {
		// Its link was closed while it was silent, and it has been heard since.
		l = newLink(h, agent)
		h.links[agent] = l
	}
	l.send(starts, stops)
}

func (h *home) logNote(n *schedule.Note) {
	h.e.metrics.noted(n)
	ev := h.log.Info()
	if n.Job != "" {
		ev = ev.Str("job", n.Job)
	}
	if n.Agent != "" {
		ev = ev.Str("agent", n.Agent)
	}
	if n.Run.Number > 0 {
		ev = ev.Str("run", n.Run.String())
	}
	for k, v := range n.Values {
		ev = ev.Float64(k, v)
	}
	ev.Str("why", n.Why).Msg(n.What)
}
