package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"masticbay/credit"
	"masticbay/dispatch"
	"masticbay/gate"
	"masticbay/job"
	"masticbay/member"
	"masticbay/wire"
)

// As in production, all other times of a world are short compared with the
// window and the retention.
const (
	worldWindow         = 10 * time.Second
	retention           = 3 * worldWindow
	worldContactTimeout = 1500 * time.Millisecond
	service             = "pickup"
)

var worldConfig = dispatch.Config{
	Window: worldWindow, Retention: retention, UnclearLimit: 4 * time.Second, ClaimLimit: time.Second,
	ShortClaim: 200 * time.Millisecond, SealRetry: 50 * time.Millisecond,
	StampMaxAge: 4 * time.Second, AskThreshold: 1, AskInterval: 20 * time.Millisecond, MaxWaiting: 1000,
}

// world simulates several entries and agents with their decision code, without
// I/O, in steps that a seed chooses: messages are delivered late, twice, in any
// order or not at all, and members pause, die, join and leave.
type world struct {
	r              *rand.Rand
	now            time.Time
	storedRegistry member.Registry
	storeUp        bool
	entries        []*simEntry
	agents         []*simAgent
	messages       []message
	lossRate       float64
	actor          string // member that sends the next messages
	partition      partition
	lastsLong      bool // the schedule spans several retentions
	omitted        omittedRule
	nextID         int
	keys           map[job.Key]*keyState
	starts         map[startID]int
	startSeqs      map[taskKey][]int // sequence numbers
	seq            int               // last sequence number of starts and answers
	answers        []givenAnswer
	refusals       map[gate.Reason]int
	violations     []string
}

// message is a message in transit.
type message struct {
	canDeliver func() bool // reports whether the receiver can take it now
	deliver    func()
	lost       func() // called when the sender gives up
}

type keyState struct {
	idempotent    bool
	submissions   int
	resubmitUntil time.Time
	tasks         int
}

// instance is the n-th job of a key in the Core of one entry.
type instance struct {
	entry string
	key   job.Key
	n     int
}

// startID identifies the starts of a task by one instance of a job.
type startID struct {
	instance
	rerun string
	index int
}

// taskKey identifies a task of a key, over all instances of the job.
type taskKey struct {
	key   job.Key
	index int
}

// givenAnswer is an answer with the sequence number at which the Core gave it: a
// later submission of the same key may be made before it reaches the caller.
type givenAnswer struct {
	instance
	answer job.Answer
	seq    int
}

type simEntry struct {
	id             string
	core           *dispatch.Core
	view           *member.View
	watchdog       *member.Watchdog
	dead           bool
	pausedUntil    time.Time
	plannedChanges []member.Change
	heirs          map[string]string // successors of stopped agents, by agent
	waiters        map[job.Key][]func(*job.Answer, string)
	instances      map[job.Key]int
}

type simAgent struct {
	id          string
	gate        *gate.Gate
	lender      *credit.Lender
	dead        bool
	stopping    bool
	pausedUntil time.Time
	running     []runningTask
}

type runningTask struct {
	dispatch gate.Dispatch
	reply    func(wire.RunReply)
	lost     func()
}

func newWorld(seed uint64, omitted omittedRule) *world {
	w := &world{
		r:         rand.New(rand.NewPCG(seed, 7)),
		now:       time.Unix(1_000_000, 0),
		storeUp:   true,
		lossRate:  0.08,
		lastsLong: seed%4 == 2,
		omitted:   omitted,
		keys:      make(map[job.Key]*keyState),
		starts:    make(map[startID]int),
		startSeqs: make(map[taskKey][]int),
		refusals:  make(map[gate.Reason]int),
	}
	for range 2 {
		w.addEntry()
		w.addAgent()
	}
	// Half of the schedules begin long after a quiet start.
	if w.r.IntN(2) == 0 {
		w.runQuietStart()
	}
	return w
}

func (w *world) newID(kind string) string {
	w.nextID++
	return fmt.Sprintf("%s%d", kind, w.nextID)
}

func (w *world) addEntry() *simEntry {
	id := w.newID("e")
	e := &simEntry{
		id:        id,
		core:      dispatch.New(id, worldConfig),
		view:      member.NewView(id, retention, worldContactTimeout, w.now),
		watchdog:  member.NewWatchdog(id, retention),
		heirs:     make(map[string]string),
		waiters:   make(map[job.Key][]func(*job.Answer, string)),
		instances: make(map[job.Key]int),
	}
	e.plannedChanges = append(e.plannedChanges, member.AddEntry{Entry: member.Entry{ID: id}})
	w.entries = append(w.entries, e)
	return e
}

func (w *world) addAgent() *simAgent {
	id := w.newID("a")
	a := &simAgent{
		id:     id,
		gate:   gate.New(id, gate.Config{Window: retention, StampMaxAge: 5 * time.Second}, w.now),
		lender: credit.NewLender(1 + w.r.IntN(3)),
	}
	a.lender.SetSlots(1 + w.r.IntN(3))
	w.agents = append(w.agents, a)
	return a
}

// runQuietStart runs the world without faults for longer than two retentions, so
// that nothing depends on its start any more.
func (w *world) runQuietStart() {
	loss := w.lossRate
	w.lossRate = 0
	for range 3 {
		w.gossip()
	}
	for end := w.now.Add(2*retention + time.Second); w.now.Before(end); {
		w.now = w.now.Add(time.Second)
		w.gossip()
	}
	w.lossRate = loss
}

// gossip lets all entries write and read the registry and exchange state with one
// another, and lets all agents announce themselves to all entries.
func (w *world) gossip() {
	for _, e := range w.entries {
		w.writeRegistry(e)
	}
	for _, e := range w.entries {
		w.readRegistry(e)
		for _, p := range w.entries {
			w.exchangeState(e, p)
		}
		for _, a := range w.agents {
			w.announce(a, e)
		}
	}
	w.deliverAll()
}

func (w *world) deliverAll() {
	for range 10_000 {
		if !w.deliverNext() {
			return
		}
	}
}

func (w *world) deliverNext() bool {
	for i := range w.messages {
		if w.messages[i].canDeliver() {
			m := w.removeMessage(i)
			m.deliver()
			w.performActions()
			return true
		}
	}
	return false
}

func (w *world) removeMessage(i int) message {
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	return m
}

func (w *world) entryUp(e *simEntry) bool { return !e.dead && !e.pausedUntil.After(w.now) }
func (w *world) agentUp(a *simAgent) bool { return !a.dead && !a.pausedUntil.After(w.now) }

// send sends a message from the current actor. A dead receiver never takes it.
func (w *world) send(to string, isUp func() bool, deliver, lost func()) {
	from := w.actor
	w.messages = append(w.messages, message{
		canDeliver: func() bool { return isUp() && !w.partition.blocks(w.now, from, to) },
		deliver:    func() { w.actor = to; deliver() },
		lost:       func() { w.actor = from; lost() },
	})
}

func (w *world) toEntry(e *simEntry, deliver, lost func()) {
	w.send(e.id, func() bool { return w.entryUp(e) }, deliver, lost)
}

func (w *world) toAgent(a *simAgent, deliver, lost func()) {
	w.send(a.id, func() bool { return w.agentUp(a) }, deliver, lost)
}

func noop() {}

// deliverRandom handles one random message. Most messages arrive; some are lost,
// arrive twice, or arrive after their sender has given up.
func (w *world) deliverRandom() {
	if len(w.messages) == 0 {
		return
	}
	i := w.r.IntN(len(w.messages))
	m := w.messages[i]
	k := w.r.Float64()
	switch {
	case k < w.lossRate:
		w.removeMessage(i)
		m.lost()
	case k < 1.3*w.lossRate && m.canDeliver():
		m.deliver() // it stays in transit and arrives once more
	case k < 2*w.lossRate:
		m.lost() // the sender gives up, but the message stays in transit
		w.messages[i].lost = noop
	case m.canDeliver():
		w.removeMessage(i)
		m.deliver()
	case w.r.IntN(4) == 0:
		w.removeMessage(i)
		m.lost()
	}
	w.performActions()
}

func (w *world) entryByID(id string) *simEntry {
	for _, e := range w.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) agentByID(id string) *simAgent {
	for _, a := range w.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// performActions carries out the actions of all Cores until none is left.
func (w *world) performActions() {
	for _, e := range w.entries {
		for !e.dead {
			acts := e.core.Take()
			if !w.perform(e, &acts) {
				break
			}
		}
	}
}

func (w *world) perform(e *simEntry, acts *dispatch.Actions) bool {
	w.actor = e.id
	for i := range acts.Runs {
		w.run(e, acts.Runs[i])
	}
	for i := range acts.Seals {
		w.seal(e, acts.Seals[i])
	}
	for i := range acts.Claims {
		w.claim(e, acts.Claims[i])
	}
	for i := range acts.Inquiries {
		w.inquire(e, acts.Inquiries[i])
	}
	for _, ask := range acts.Asks {
		w.ask(e, ask)
	}
	for i := range acts.Answers {
		w.answerWaiters(e, acts.Answers[i].Key, &acts.Answers[i], "")
	}
	for _, r := range acts.Redirects {
		w.answerWaiters(e, r.Key, nil, r.Holder)
	}
	return len(acts.Runs)+len(acts.Seals)+len(acts.Claims)+len(acts.Inquiries)+len(acts.Asks)+len(acts.Answers)+len(acts.Redirects) > 0
}

// answerWaiters gives the waiting submissions of a job its answer, or the entry
// that holds its claim.
func (w *world) answerWaiters(e *simEntry, k job.Key, ans *job.Answer, holder string) {
	waiters := e.waiters[k]
	delete(e.waiters, k)
	for _, answer := range waiters {
		answer(ans, holder)
	}
}

func (w *world) status(a *simAgent, e *simEntry) wire.Status {
	return w.omitted.status(wire.Status{
		Agent: a.id, Stamp: a.gate.Stamp(w.now), Offer: a.lender.Offer(e.id), Listed: a.gate.Joined(),
		Young: a.gate.Young(w.now), Draining: a.gate.Draining(), Slots: a.lender.Slots(),
		Running: a.gate.Running(), Idle: a.lender.Idle(e.id), Registry: a.gate.Registry(),
	})
}
