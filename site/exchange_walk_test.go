package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"masticbay/clock"
	"masticbay/ledger"
	"masticbay/roster"
	"masticbay/store"
	"masticbay/wire"
	"masticbay/work"
)

// exchangeWalk plays homes that take the ledger over from one another, agents and their workers in
// virtual time. Messages arrive late and in any order. What may start is computed from the records
// of the workers, without the code under test.
type exchangeWalk struct {
	rng       *rand.Rand
	clock     clock.Manual
	store     *store.Memory
	agents    []*exchangeAgent
	homes     []*exchangeHome // the last one takes the ledger
	nextHome  time.Time       // when another home takes the ledger
	messages  []message
	accepted  map[string]bool // stored jobs; false until the store has them
	noted     map[work.TaskRef]time.Time
	startedAt map[work.TaskRef]time.Time // last start
	calm      bool                       // no faults, and messages take no time
	late      *lateOrders                // nil if workers answer all orders
	log       []string
	err       error
}

// message is something that takes effect later.
type message struct {
	due time.Time
	run func()
}

// exchangeHome is a home and its links.
type exchangeHome struct {
	h        *home
	isDead   bool
	tickedAt time.Time
	links    []*link
	asksAt   []time.Time // by agent: when the next long poll begins
	sent     []uint64    // by agent: last order that was sent
	pending  bool        // a call of the store is under way
}

const (
	exchangeFaultTime = 3500 * time.Millisecond
	exchangeCalmTime  = 20 * time.Second // the longest wait for leases of a previous holder included
	// lateCalmTime includes two waits for starts in transit.
	lateCalmTime   = exchangeCalmTime + 2*orderDelay
	exchangeAgents = 2
	// exchangePollInterval is the time between polls of a worker.
	exchangePollInterval = 5 * time.Millisecond
)

var exchangeMetrics = newEntryMetrics() // metrics of an entry last as long as the process

func newExchangeWalk(seed uint64, late *lateOrders) *exchangeWalk {
	w := &exchangeWalk{rng: rand.New(rand.NewPCG(seed, 58)), accepted: make(map[string]bool), noted: make(map[work.TaskRef]time.Time), startedAt: make(map[work.TaskRef]time.Time), late: late}
	for start := time.Unix(100000, 0); w.now().Before(start); { // a Duration holds 292 years at most
		w.clock.Advance(start.Sub(w.now()))
	}
	w.store = store.NewMemory(&w.clock)
	for i := range exchangeAgents {
		x := &exchangeAgent{name: fmt.Sprint("a", i)}
		w.startWorker(x, x.name, firstClock)
		w.agents = append(w.agents, x)
		w.startAgent(x)
	}
	w.addHome()
	return w
}

func (w *exchangeWalk) now() time.Time { return w.clock.Now() }

func (w *exchangeWalk) note(format string, args ...any) {
	w.log = append(w.log, w.now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *exchangeWalk) fail(format string, args ...any) {
	w.note(format, args...)
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// delay returns how long a message is under way.
func (w *exchangeWalk) delay() time.Duration {
	switch n := w.rng.IntN(100); {
	case w.calm || n < 50:
		return 0
	case n < 85:
		return time.Duration(w.rng.IntN(3000)) * time.Microsecond
	case n < 98:
		return time.Duration(w.rng.IntN(40)) * time.Millisecond
	}
	return time.Duration(w.rng.IntN(250)) * time.Millisecond
}

func (w *exchangeWalk) after(d time.Duration, run func()) {
	w.messages = append(w.messages, message{w.now().Add(d), run})
}

// deliver delivers the messages that are due, in any order.
func (w *exchangeWalk) deliver() {
	for {
		var due []int
		for i := range w.messages {
			if !w.messages[i].due.After(w.now()) {
				due = append(due, i)
			}
		}
		if len(due) == 0 {
			return
		}
		i := due[w.rng.IntN(len(due))]
		run := w.messages[i].run
		w.messages = slices.Delete(w.messages, i, i+1)
		run()
	}
}

// play plays faults, then waits until all accepted jobs have ended.
func (w *exchangeWalk) play() error {
	for end := w.now().Add(exchangeFaultTime); w.now().Before(end) && w.err == nil; {
		w.disturb()
		w.submit()
		w.step(time.Duration(w.rng.IntN(4)*w.rng.IntN(4000)) * time.Microsecond)
	}
	w.calm = true
	calmTime := exchangeCalmTime
	if w.late != nil {
		calmTime = lateCalmTime
	}
	for end := w.now().Add(calmTime); w.now().Before(end) && w.err == nil && !w.allEnded(); {
		w.step(10 * time.Millisecond)
	}
	if open := w.openJobs(); w.err == nil && len(open) > 0 {
		w.fail("accepted jobs have not ended: %v", open)
	}
	for _, x := range w.homes {
		if !x.isDead {
			x.h.close()
		}
	}
	return w.err
}

func (w *exchangeWalk) step(d time.Duration) {
	w.clock.Advance(d)
	for _, x := range w.agents {
		if w.now().Sub(x.polledAt) >= exchangePollInterval {
			x.polledAt = w.now()
			w.poll(x)
		}
	}
	w.deliver()
	for _, x := range w.homes {
		w.runHome(x)
	}
	w.deliver()
}

// disturb replaces homes and restarts agents.
func (w *exchangeWalk) disturb() {
	if !w.now().Before(w.nextHome) {
		w.nextHome = w.now().Add(time.Duration(100+w.rng.IntN(700)) * time.Millisecond)
		w.replaceHome()
	}
	if w.rng.IntN(600) == 0 {
		x := w.agents[w.rng.IntN(len(w.agents))]
		w.note("%s restarts", x.name)
		w.startAgent(x)
	}
}

// submit has the holder of the ledger store a job.
func (w *exchangeWalk) submit() {
	h := w.homes[len(w.homes)-1].h
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.rng.IntN(25) != 0 || !h.ledger.Held() {
		return
	}
	id := strconv.Itoa(len(w.accepted))
	j := work.Job{
		ID: id, Left: time.Minute, Stored: true, Queue: work.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Target: time.Second},
		Steps: []work.Step{{Count: 1 + w.rng.IntN(3), Room: work.Room{CPU: 10}, Estimate: 100 * time.Millisecond}},
	}
	w.accepted[id] = false
	h.ledger.Accept(h.e.wall(), &j)
}

// openJobs returns the accepted jobs that have not ended, as far as the holder of the ledger knows.
func (w *exchangeWalk) openJobs() (open []string) {
	h := w.homes[len(w.homes)-1].h
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, stored := range w.accepted {
		if j, ok := h.ledger.Job(id); stored && (!h.ledger.Held() || ok && j.State == "") {
			open = append(open, id)
		}
	}
	slices.Sort(open)
	return open
}

func (w *exchangeWalk) allEnded() bool {
	return len(w.messages) == 0 && len(w.openJobs()) == 0
}

func (w *exchangeWalk) addHome() {
	e := testEntryWith(exchangeMetrics)
	e.clock, e.life = &w.clock, fmt.Sprint("home-", len(w.homes))
	e.roster = roster.New(w.now(), roster.Member{Address: e.life}, rosterConfig())
	x := &exchangeHome{h: newHome(e), asksAt: make([]time.Time, len(w.agents)), sent: make([]uint64, len(w.agents))}
	for _, a := range w.agents {
		l := &link{h: x.h, agent: a.name, client: wire.NewClient(a.name, rpcOptions(e.network)), stop: make(chan struct{})}
		x.h.links[a.name] = l
		x.links = append(x.links, l)
	}
	w.homes = append(w.homes, x)
	w.takeLedger(x)
}

// takeLedger has a home take the ledger.
func (w *exchangeWalk) takeLedger(x *exchangeHome) {
	it, err := w.store.Get(context.Background(), ledger.TenureKey)
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	if err != nil {
		it = store.Item{}
	}
	x.h.holderRead(1, it, nil)
	x.h.storeRequested = true
}

// replaceHome has another home take the ledger, which may have held it before. The present one may end
// or stay.
func (w *exchangeWalk) replaceHome() {
	last := w.homes[len(w.homes)-1]
	last.h.mu.Lock()
	epoch := last.h.ledger.Epoch()
	last.h.mu.Unlock()
	if epoch == 0 {
		return // it has not taken the ledger yet
	}
	if w.rng.IntN(2) == 0 {
		w.note("%s ends", last.h.e.life)
		last.isDead = true
		last.h.close()
	}
	for i, x := range w.homes[:len(w.homes)-1] {
		if !x.isDead && w.now().Sub(x.h.deposedAt) >= reacquireDelay && w.rng.IntN(2) == 0 {
			w.note("%s takes the ledger again", x.h.e.life)
			w.homes = append(slices.Delete(w.homes, i, i+1), x)
			w.takeLedger(x)
			return
		}
	}
	w.addHome()
	w.note("%s takes the ledger", w.homes[len(w.homes)-1].h.e.life)
}

// runHome has a home do what is due.
func (w *exchangeWalk) runHome(x *exchangeHome) {
	if x.isDead {
		return
	}
	x.h.mu.Lock()
	defer x.h.mu.Unlock()
	w.callStore(x)
	if w.now().After(x.tickedAt) {
		x.tickedAt = w.now()
		x.h.core.Tick(w.now())
		x.h.deliverDecisions()
	}
	var names []string
	for _, a := range w.agents {
		names = append(names, a.name)
	}
	x.h.updateEnrollment(w.now(), names)
	for i, l := range x.links {
		hasOrders := len(l.orders) > 0 && l.orders[len(l.orders)-1].Seq > x.sent[i]
		if !w.now().Before(x.asksAt[i]) {
			w.exchange(x, i, time.Duration(w.rng.IntN(60))*time.Millisecond, true)
		}
		if hasOrders {
			w.exchange(x, i, 0, false)
		}
	}
}

// callStore makes the next call of the store. The caller holds home.mu.
func (w *exchangeWalk) callStore(x *exchangeHome) {
	h := x.h
	if x.pending {
		return
	}
	if h.ledger.Loading() {
		items, _, err := w.store.List(context.Background(), ledger.OpenPrefix)
		h.openLoaded(items, err)
		w.note("%s holds the ledger under epoch %d", h.e.life, h.ledger.Epoch())
		w.checkNoted(h)
		for i := range x.links {
			w.exchange(x, i, 0, false)
		}
		return
	}
	if x == w.homes[len(w.homes)-1] {
		h.acquireLedger()
	}
	p, err := h.ledger.Next(w.now(), h.e.wall())
	if err != nil {
		w.fail("next commit: %v", err)
	}
	if p == nil {
		return
	}
	x.pending = true
	w.after(w.delay(), func() {
		rev, err := w.store.Commit(p.Commit())
		w.after(w.delay(), func() {
			if x.isDead {
				return
			}
			x.pending = false
			h.mu.Lock()
			defer h.mu.Unlock()
			h.commitAnswered(p, rev, err)
			for id := range w.accepted {
				w.accepted[id] = w.accepted[id] || h.ledger.Stored(id)
			}
		})
	})
}

// checkNoted checks that a home that has read the ledger knows all ends that were taken note of.
func (w *exchangeWalk) checkNoted(h *home) {
	for task := range w.noted {
		j, ok := h.ledger.Job(task.Job)
		if ok && j.State == "" && !slices.Contains(j.Done[j.Slot(task)], task.Index) {
			w.fail("%s does not know of the end of %v, which was acknowledged", h.e.life, task)
		}
	}
}

// exchange makes an exchange with an agent, which answers after a while. The caller holds home.mu.
func (w *exchangeWalk) exchange(x *exchangeHome, i int, wait time.Duration, isLongPoll bool) {
	l, agent := x.links[i], w.agents[i]
	if isLongPoll {
		x.asksAt[i] = w.now().Add(wait + syncSlack)
	}
	args, sentAt := l.nextArgs(0), w.now()
	args.Orders = slices.Clone(args.Orders)
	for k := range args.Orders {
		args.Orders[k].Starts = slices.Clone(args.Orders[k].Starts)
		x.sent[i] = args.Orders[k].Seq
	}
	w.after(w.delay(), func() {
		a := agent.a
		a.takeSync(&args)
		w.carryOut(agent)
		w.after(wait, func() {
			if agent.a != a {
				return
			}
			var rep SyncReply
			a.answerSync(&args, &rep)
			w.after(w.delay(), func() {
				if x.isDead {
					return
				}
				x.h.mu.Lock()
				l.takeReply(sentAt, &rep)
				x.h.mu.Unlock()
				if isLongPoll {
					x.asksAt[i] = w.now()
				}
			})
		})
	})
}
