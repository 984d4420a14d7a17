package dispatch_test

import (
	"bytes"
	"flag"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticbay/claim"
	"masticbay/dispatch"
	"masticbay/gate"
	"masticbay/job"
	"masticbay/wire"
)

var (
	schedules = flag.Int("walks", 10_000, "random schedules to run")
	show      = flag.Bool("show", false, "print the events of the schedules")
	seedFlag  = flag.Uint64("seed", 1, "seed of the first schedule")
)

const stepsPerSchedule = 500

// scheduleTimeout is far longer than a schedule takes. It reports the seed of a
// schedule that hangs, before the timeout of the whole test ends the process.
const scheduleTimeout = 5 * time.Minute

// runSchedule runs one random schedule and checks the guarantees. It returns the
// world with the violations.
func runSchedule(seed uint64, omitted omittedRule) *world {
	watchdog := time.AfterFunc(scheduleTimeout, func() { panic("the schedule of seed " + strconv.FormatUint(seed, 10) + " does not end") })
	defer watchdog.Stop()
	w := newWorld(seed, omitted)
	for range stepsPerSchedule {
		w.step()
	}
	w.endFaults()
	w.checkGuarantees()
	return w
}

// endFaults ends all faults and lets all messages, tasks and jobs come to their
// end.
func (w *world) endFaults() {
	w.storeUp, w.lossRate = true, 0
	w.partition = partition{}
	for range 60 {
		w.now = w.now.Add(500 * time.Millisecond)
		for _, e := range w.entries {
			e.pausedUntil = time.Time{}
		}
		for _, a := range w.agents {
			a.pausedUntil = time.Time{}
			for len(a.running) > 0 && !a.dead {
				w.finishTask(a, 0)
			}
		}
		w.tick()
		w.gossip()
		w.loseMessagesToDead()
	}
}

func (w *world) loseMessagesToDead() {
	inTransit := w.messages
	w.messages = nil
	for _, m := range inTransit {
		if m.canDeliver() {
			w.messages = append(w.messages, m)
		} else {
			m.lost()
		}
	}
	w.performActions()
}

// checkGuarantees checks the guarantees against the starts of tasks and the
// answers to callers.
func (w *world) checkGuarantees() {
	for s, n := range w.starts {
		if n > 1 {
			w.violationf("task %d of %s (instance %s/%d rerun %q) started %d times", s.index, s.key, s.entry, s.n, s.rerun, n)
		}
	}
	for t, seqs := range w.startSeqs {
		if len(seqs) > 1 && !w.keys[t.key].idempotent {
			w.violationf("task %d of %s started %d times", t.index, t.key, len(seqs))
		}
	}
	for i := range w.answers {
		w.checkAnswer(&w.answers[i])
	}
	for _, a := range w.agents {
		if n := a.lender.Running() + a.lender.Lent(); a.lender.Running() < 0 || (n > a.lender.Slots() && a.lender.Lent() > 3) {
			w.violationf("agent %s has %d running and %d lent of %d slots", a.id, a.lender.Running(), a.lender.Lent(), a.lender.Slots())
		}
	}
	for _, e := range w.entries {
		if n := e.core.Open(); !e.dead && n > 0 {
			w.violationf("entry %s has %d jobs without an answer", e.id, n)
		}
	}
}

func (w *world) checkAnswer(given *givenAnswer) {
	ans := &given.answer
	if ans.Key != given.key {
		w.violationf("%s was given the answer of %s", given.key, ans.Key)
	}
	if ans.Status == job.StatusComplete {
		w.checkComplete(given)
		return
	}
	if len(ans.Results) > 0 || ans.Status != job.StatusFailed {
		w.violationf("%s has status %s with %d results", given.key, ans.Status, len(ans.Results))
	}
	for i, s := range ans.States {
		if s == job.NotRun && w.hadRun(given, i) {
			w.violationf("task %d of %s had run, but %s answered notRun", i, given.key, given.entry)
		}
		if !s.Final() {
			w.violationf("task %d of %s is %s in an answer", i, given.key, s)
		}
	}
}

func (w *world) checkComplete(given *givenAnswer) {
	if len(given.answer.Results) != w.keys[given.key].tasks {
		w.violationf("%s is complete with %d of %d results", given.key, len(given.answer.Results), w.keys[given.key].tasks)
	}
	for i, r := range given.answer.Results {
		if !bytes.Equal(r, taskResult(given.key, i)) {
			w.violationf("task %d of %s has the result %s", i, given.key, r)
		}
		if len(w.startSeqs[taskKey{given.key, i}]) == 0 {
			w.violationf("task %d of %s is done but never started", i, given.key)
		}
	}
}

// hadRun reports whether a task that is notRun in an answer had run: at any time
// for the same instance of the job or, if the job is not idempotent, before the
// answer for any instance.
func (w *world) hadRun(given *givenAnswer, index int) bool {
	for s := range w.starts {
		if s.instance == given.instance && s.index == index {
			return true
		}
	}
	if w.keys[given.key].idempotent {
		return false
	}
	for _, seq := range w.startSeqs[taskKey{given.key, index}] {
		if seq < given.seq {
			return true
		}
	}
	return false
}

// tally counts the starts and the answers of schedules.
type tally struct {
	mu                        sync.Mutex // guards the fields below
	started, complete, failed int
	notRun, unknown           int
}

func (s *tally) add(w *world) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started += len(w.starts)
	for i := range w.answers {
		s.notRun += w.answers[i].answer.Counts.NotRun
		s.unknown += w.answers[i].answer.Counts.Unknown
		if w.answers[i].answer.Status == job.StatusComplete {
			s.complete++
		} else {
			s.failed++
		}
	}
}

func TestPromisesHoldOverRandomSchedules(t *testing.T) {
	const workers = 8
	var sum tally
	var next atomic.Uint64 // index of the next schedule; shared, so that long schedules are spread over the workers
	t.Run("walks", func(t *testing.T) {
		for first := range uint64(workers) {
			t.Run(strconv.FormatUint(first, 10), func(t *testing.T) {
				t.Parallel()
				for i := next.Add(1) - 1; i < uint64(*schedules); i = next.Add(1) - 1 {
					w := runSchedule(*seedFlag+i, omittedRule{})
					sum.add(w)
					for _, violation := range w.violations {
						t.Errorf("seed %d: %s", *seedFlag+i, violation)
					}
					if t.Failed() {
						t.Fatalf("repeat with: go test ./dispatch -run RandomSchedules -walks 1 -seed %d -show", *seedFlag+i)
					}
				}
			})
		}
	})
	t.Logf("%d schedules from seed %d: %d tasks started; answers: %d complete, %d failed, with %d tasks notRun and %d unknown",
		*schedules, *seedFlag, sum.started, sum.complete, sum.failed, sum.notRun, sum.unknown)
	if *schedules >= 1000 && min(sum.complete, sum.failed, sum.notRun, sum.unknown) == 0 {
		t.Error("the schedules do not reach every kind of answer")
	}
}

// omittedRule names a rule of the protocol that a schedule leaves out. The zero
// value leaves out none.
type omittedRule struct {
	name string
}

func (r omittedRule) mustClaim(required bool) bool { return required && r.name != "claim" }

// status changes the status that an agent sends.
func (r omittedRule) status(st wire.Status) wire.Status {
	if r.name == "listed" {
		st.Listed = 1
	}
	return st
}

// dispatch changes the dispatch that the gate gets.
func (r omittedRule) dispatch(a *simAgent, d gate.Dispatch) gate.Dispatch {
	if r.name == "listed" && (a.gate.Joined() == 0 || d.Registry < a.gate.Joined()) {
		d.Idempotent = true // the gate then skips the rules of membership
	}
	return d
}

// decision changes the decision of the gate.
func (r omittedRule) decision(a *simAgent, d *gate.Dispatch, dec gate.Decision) gate.Decision {
	ignoresRecord := r.name == "record" && dec.Verdict == gate.Recorded && d.Agent == a.id
	ignoresMarker := r.name == "marker" && dec.Verdict == gate.Held
	if ignoresRecord || ignoresMarker {
		return gate.Decision{Verdict: gate.Start}
	}
	return dec
}

// seal answers a seal, without the gate if the rule is left out.
func (r omittedRule) seal(w *world, a *simAgent, s *gate.Seal) []gate.Decision {
	if r.name != "seal" {
		return a.gate.Seal(w.now, s)
	}
	decs := make([]gate.Decision, len(s.Items))
	for i := range decs {
		decs[i].Verdict = gate.Sealed
		decs[i].Reason = gate.Repeated
	}
	return decs
}

func (r omittedRule) mayRun(allowed bool) bool { return allowed || r.name == "introduced" }

// skipInquiry answers an inquiry to the first entry without asking it, if the rule
// is left out. It reports whether it answered.
func (r omittedRule) skipInquiry(w *world, e, p *simEntry, q *dispatch.SentInquiry) bool {
	if r.name != "everyEntry" || p != w.entries[0] {
		return false
	}
	var ts []claim.Testimony
	for _, it := range q.Inquiry.Jobs {
		ts = append(ts, claim.Testimony{Job: it.Job, Ballot: it.Ballot, OK: true})
	}
	w.toEntry(e, func() { e.core.InquiryAnswered(w.now, q.To, ts) }, noop)
	return true
}

// skipClaim grants a claim in place of the first agent without asking it, if the
// rule is left out. It reports whether it granted the claim.
func (r omittedRule) skipClaim(w *world, e *simEntry, a *simAgent, cl *gate.Claim) bool {
	if r.name != "everyAgent" || a != w.agents[0] {
		return false
	}
	var grants []gate.Grant
	for _, it := range cl.Jobs {
		grants = append(grants, gate.Grant{Job: it.Job, Ballot: it.Ballot, OK: true})
	}
	w.toEntry(e, func() { e.core.ClaimAnswered(w.now, cl.Agent, grants) }, noop)
	return true
}

// TestCheckerCatchesBrokenRules leaves out one rule after the other and expects
// that some schedule then violates a guarantee.
func TestCheckerCatchesBrokenRules(t *testing.T) {
	const maxSchedules = 20_000
	for _, name := range []string{"claim", "record", "seal", "everyAgent", "everyEntry", "introduced", "listed", "marker"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSchedules) {
				if w := runSchedule(seed, omittedRule{name}); len(w.violations) > 0 {
					t.Logf("detected by seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Errorf("without the rule %q no guarantee was violated in %d schedules", name, maxSchedules)
		})
	}
}

// TestSchedulesThatOnceFailed repeats random schedules that once started a task
// twice. Each seed guards against the fault at its side.
func TestSchedulesThatOnceFailed(t *testing.T) {
	for _, seed := range []uint64{
		1207235, // an isolated entry died and was removed, and claims did not ask for its dispatches
		1833904, // a claim asked the agents of an older registry than that of another claim
		1657778, // an entry without peers did not notice that the others had removed it
	} {
		if w := runSchedule(seed, omittedRule{}); len(w.violations) > 0 {
			t.Errorf("seed %d: %s", seed, w.violations[0])
		}
	}
}
