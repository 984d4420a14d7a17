package bench

import (
	"slices"
	"time"

	"masticbay/dispatch"
	"masticbay/gate"
	"masticbay/job"
	"masticbay/wire"
)

// processEntries performs the actions that the entries' cores have decided, and
// schedules their timers.
func (s *simulation) processEntries() {
	for _, e := range s.entries {
		for busy := true; busy && !e.dead; {
			busy = e.performActions()
		}
		e.scheduleTimer()
	}
}

// scheduleTimer schedules the next tick of the core unless an earlier one is
// scheduled.
func (e *entry) scheduleTimer() {
	due, ok := e.core.Next()
	if !ok || e.dead {
		return
	}
	at := max(e.sim.elapsed, due.Sub(startTime)-initialAge)
	if e.timerAt >= e.sim.elapsed && e.timerAt <= at {
		return
	}
	e.timerAt = at
	e.sim.after(at-e.sim.elapsed, func() {
		if !e.dead {
			e.core.Tick(e.sim.time())
		}
		e.timerAt = -1
	})
}

// performActions performs the actions that the core has decided. It reports
// whether there were any.
func (e *entry) performActions() bool {
	actions := e.core.Take()
	for i := range actions.Runs {
		e.sendRun(actions.Runs[i])
	}
	for i := range actions.Seals {
		e.sendSeal(actions.Seals[i])
	}
	for i := range actions.Claims {
		e.sendClaim(actions.Claims[i])
	}
	for i := range actions.Inquiries {
		e.sendInquiry(actions.Inquiries[i])
	}
	for _, ask := range actions.Asks {
		e.sendAsk(ask)
	}
	for i := range actions.Answers {
		e.recordAnswer(&actions.Answers[i])
	}
	return len(actions.Runs)+len(actions.Seals)+len(actions.Claims)+len(actions.Inquiries)+len(actions.Asks)+len(actions.Answers) > 0
}

// send counts a message and delivers it after the latency, unless its receiver is
// dead by then.
func (s *simulation) send(count *int, dead *bool, deliver func()) {
	*count++
	s.after(s.scenario.Workload.Latency, func() {
		if !*dead {
			deliver()
		}
	})
}

// sendRun sends a dispatch to its agent, which replies when the task ends.
func (e *entry) sendRun(r dispatch.Run) {
	s, a, args := e.sim, e.sim.agentByID(r.Agent), r.Args
	e.lastContact[a.index] = s.elapsed
	attempt := args.Dispatch.Attempt
	failCall := func() {
		s.after(s.scenario.Workload.Latency, func() {
			if !e.dead {
				e.core.AgentDown(a.id)
				e.core.RunCallFailed(s.time(), attempt, true)
			}
		})
	}
	if a.dead {
		failCall()
		return
	}
	a.onDeath = append(a.onDeath, failCall)
	s.send(&s.result.MessageCounts.Runs, &a.dead, func() {
		a.admit(e, &args, func(decision gate.Decision) {
			st := a.status(e)
			s.send(&s.result.MessageCounts.Runs, &e.dead, func() { e.core.RunAnswered(s.time(), attempt, &decision, &st) })
		})
	})
}

// admit lets the gate decide about a dispatch, and runs the task if it starts.
func (a *agent) admit(e *entry, args *wire.RunArgs, reply func(gate.Decision)) {
	s, d := a.sim, &args.Dispatch
	decision := a.gate.Dispatch(s.time(), d, a.lender.HasFreeSlot(e.id, args.Epoch))
	a.lender.DispatchDecided(e.id, args.Epoch, args.Demand, decision.Verdict == gate.Start)
	if decision.Verdict != gate.Start {
		reply(decision)
		return
	}
	s.startsByTask[d.Task]++
	failing := s.scenario.has(FailAll) && a.index == faultTarget && s.elapsed >= faultAt
	s.recordStart(failing)
	took := s.scenario.runTime(a.index, s.elapsed, s.taskTimes[d.Task.Job][d.Task.Index], a.speed)
	report := gate.Report{Task: d.Task, Phase: gate.Succeeded, Result: []byte("0")}
	if failing {
		took, report.Phase = failedRunTime, gate.Errored
	}
	report.Took = took
	s.recordSlotTime(d.Task.Job, took)
	s.after(took, func() {
		if a.dead {
			return
		}
		for _, id := range a.lender.Finish(e.id) {
			a.sendOffer(s.entryByID(id))
		}
		a.gate.Finish(s.time(), report)
		reply(gate.Decision{Verdict: gate.Recorded, Report: report})
	})
}

// recordStart counts the starts in the 10 s after a failing target's first
// failures, and those of them at that target.
func (s *simulation) recordStart(failing bool) {
	const firstFailures = 20
	if failing {
		s.failureCount++
		if s.failureCount == firstFailures {
			s.countStartsFrom = s.elapsed
		}
	}
	if s.failureCount < firstFailures || s.elapsed-s.countStartsFrom > 10*time.Second {
		return
	}
	s.startsAfterFailures[1]++
	if failing {
		s.startsAfterFailures[0]++
	}
}

// sendOffer sends an entry the credits that the agent has lent it unasked.
func (a *agent) sendOffer(e *entry) {
	s := a.sim
	st := a.status(e)
	s.send(&s.result.MessageCounts.Offers, &e.dead, func() {
		e.core.ApplyStatus(s.time(), &st)
		e.lastContact[a.index] = s.elapsed
		s.result.MessageCounts.Offers++ // the acknowledgement
	})
}

// sendAsk asks an agent for credits. If the agent can lend none, it recalls unspent
// credits of other entries before it answers.
func (e *entry) sendAsk(ask dispatch.Ask) {
	s, a := e.sim, e.sim.agentByID(ask.Agent)
	if a.dead {
		e.core.AskAnswered(s.time(), a.id, nil)
		e.core.AgentDown(a.id)
		return
	}
	answer := func() {
		a.lender.Ask(e.id, ask.Demand)
		st := a.status(e)
		s.send(&s.result.MessageCounts.Asks, &e.dead, func() { e.core.AskAnswered(s.time(), a.id, &st) })
	}
	s.send(&s.result.MessageCounts.Asks, &a.dead, func() {
		holders := a.lender.Ask(e.id, ask.Demand)
		if len(holders) == 0 {
			answer()
			return
		}
		left := len(holders)
		for _, id := range holders {
			a.recallCredits(s.entryByID(id), func() {
				if left--; left == 0 {
					answer()
				}
			})
		}
	})
}

// recallCredits makes an entry return unspent credits, and calls onReturned when
// the reply has arrived.
func (a *agent) recallCredits(e *entry, onReturned func()) {
	s := a.sim
	if e.dead {
		a.lender.Revoke(e.id)
		onReturned()
		return
	}
	st := a.status(e)
	s.send(&s.result.MessageCounts.Recalls, &e.dead, func() {
		e.core.ApplyStatus(s.time(), &st)
		epoch, returned, demand := e.core.Recall(a.id)
		s.send(&s.result.MessageCounts.Recalls, &a.dead, func() {
			a.lender.Return(e.id, epoch, returned, demand)
			onReturned()
		})
	})
}

func (e *entry) sendSeal(sent dispatch.SentSeal) {
	s, a := e.sim, e.sim.agentByID(sent.Seal.Agent)
	s.send(&s.result.MessageCounts.Seals, &a.dead, func() {
		decisions := a.gate.Seal(s.time(), &sent.Seal)
		for i, decision := range decisions {
			if decision.Verdict == gate.Sealed && decision.Reason != gate.Repeated {
				a.lender.DispatchLost(sent.Seal.Entry, sent.Seal.Items[i].Epoch)
			}
		}
		st := a.status(e)
		s.send(&s.result.MessageCounts.Seals, &e.dead, func() { e.core.SealAnswered(s.time(), &sent, decisions, &st) })
	})
}

func (e *entry) sendClaim(cl gate.Claim) {
	s, a := e.sim, e.sim.agentByID(cl.Agent)
	s.send(&s.result.MessageCounts.Claims, &a.dead, func() {
		grants := a.gate.Claim(s.time(), &cl)
		s.send(&s.result.MessageCounts.Claims, &e.dead, func() { e.core.ClaimAnswered(s.time(), cl.Agent, grants) })
	})
}

func (e *entry) sendInquiry(q dispatch.SentInquiry) {
	s, p := e.sim, e.sim.entryByID(q.To)
	s.send(&s.result.MessageCounts.Inquiries, &p.dead, func() {
		testimonies := p.core.AnswerInquiry(s.time(), &q.Inquiry)
		s.send(&s.result.MessageCounts.Inquiries, &e.dead, func() { e.core.InquiryAnswered(s.time(), q.To, testimonies) })
	})
}

// sendHeartbeats sends the heartbeats that are due: those of agents to entries
// with which they have had no contact for an interval.
func (s *simulation) sendHeartbeats() {
	for _, a := range s.agents {
		for _, e := range s.entries {
			interval := s.scenario.Workload.HeartbeatInterval
			if !a.lender.HoldsSlots(e.id) {
				interval *= idleHeartbeatFactor
			}
			if a.dead || e.dead || s.elapsed-e.lastContact[a.index] < interval {
				continue
			}
			e.lastContact[a.index] = s.elapsed
			a.lender.LendEvenShare(e.id)
			st := a.status(e)
			s.send(&s.result.MessageCounts.Heartbeats, &e.dead, func() {
				e.core.ApplyStatus(s.time(), &st)
				s.result.MessageCounts.Heartbeats++
			})
		}
	}
	if s.elapsed < s.scenario.length() {
		s.after(s.scenario.Workload.HeartbeatInterval/5, s.sendHeartbeats)
	}
}

// idleHeartbeatFactor multiplies the heartbeat interval to entries that use no
// slot of the agent.
const idleHeartbeatFactor = 4

// countPeerMessages counts the periodic messages between entries.
func (s *simulation) countPeerMessages() {
	for i, e := range s.entries {
		for _, p := range s.entries[i+1:] {
			if !e.dead && !p.dead {
				s.result.MessageCounts.Peers += 2
			}
		}
	}
	if s.elapsed < s.scenario.length() {
		s.after(s.scenario.Workload.PeerInterval, s.countPeerMessages)
	}
}

// injectFaults starts the faults of the scenario.
func (s *simulation) injectFaults() {
	if s.scenario.has(DeadTarget) {
		a := s.agents[faultTarget]
		a.dead = true
		for _, failCall := range a.onDeath {
			failCall()
		}
	}
	if s.scenario.has(DeadEntry) {
		home, _ := s.registry.Home(service)
		s.killEntry(s.entryByID(home.ID))
	}
	if s.scenario.has(CancelWave) {
		s.cancelHalfOfJobs()
	}
	if s.scenario.has(HalfLimit) {
		s.setSlots(numSlots / 2)
		s.after(halfLimitDuration, func() { s.setSlots(numSlots) })
	}
}

// killEntry ends an entry. The agents revoke its loans and lend the credits to the
// other entries.
func (s *simulation) killEntry(e *entry) {
	e.dead = true
	for _, p := range s.entries {
		p.core.SetIsolated(true)
	}
	for _, a := range s.agents {
		a.lender.Revoke(e.id)
		for _, p := range s.entries {
			if !p.dead {
				a.lender.LendEvenShare(p.id)
				a.sendOffer(p)
			}
		}
	}
}

// cancelHalfOfJobs cancels every second running job, in the order of keys.
func (s *simulation) cancelHalfOfJobs() {
	var keys []string
	for k := range s.homeByJob {
		keys = append(keys, string(k))
	}
	slices.Sort(keys)
	for i, k := range keys {
		for _, e := range s.entries {
			if i%2 == 0 && !e.dead {
				e.core.Cancel(s.time(), job.Key(k))
			}
		}
	}
}

// setSlots changes the number of slots of every target.
func (s *simulation) setSlots(n int) {
	for _, a := range s.agents {
		a.lender.SetSlots(n)
		for _, e := range s.entries {
			a.lender.LendEvenShare(e.id)
			a.sendOffer(e)
		}
	}
}
