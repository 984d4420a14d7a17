package entry

import (
	"time"

	"masticbay/job"
)

// maxSleep bounds the sleep of the core loop when no timer is due.
const maxSleep = time.Second

// maxEventBatch bounds the events that are applied in a row before the actions
// that follow from them are carried out.
const maxEventBatch = 256

// coreDuty is the core loop, which owns the coreState: it applies events, fires
// timers that are due, and carries out the actions that follow.
func (e *Entry) coreDuty() {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	lastSweep := e.clock.Now()
	lastTick := lastSweep
	for {
		select {
		case <-e.stop:
			e.closeCore()
			return
		case ev := <-e.events:
			now := e.clock.Now()
			if e.endIfPaused(now, lastTick) {
				return
			}
			ev(now)
			e.applyQueuedEvents(now)
		case <-timer.C:
		}
		now := e.clock.Now()
		if e.endIfPaused(now, lastTick) {
			return
		}
		lastTick = now
		e.core.dispatch.Tick(now)
		if now.Sub(lastSweep) >= e.sweepInterval() {
			lastSweep = now
			e.sweep(now)
		}
		e.performActions()
		timer.Reset(e.untilNextTimer(now))
	}
}

// endIfPaused ends the entry if the process was paused for longer than a window:
// requests received before the pause could no longer be told from new ones. It
// reports whether the entry has ended.
func (e *Entry) endIfPaused(now, lastTick time.Time) bool {
	if now.Sub(lastTick) <= e.cfg.Policy.Window.D() {
		return false
	}
	e.log.Error().Dur("pause", now.Sub(lastTick)).Msg("process was paused for longer than a window; ending the entry")
	e.Kill()
	e.closeCore()
	return true
}

func (e *Entry) applyQueuedEvents(now time.Time) {
	for range maxEventBatch {
		select {
		case ev := <-e.events:
			ev(now)
		default:
			return
		}
	}
}

func (e *Entry) untilNextTimer(now time.Time) time.Duration {
	wait := min(maxSleep, e.sweepInterval())
	if due, ok := e.core.dispatch.Next(); ok {
		wait = min(wait, due.Sub(now))
	}
	return max(wait, 0)
}

// closeCore closes the connections to agents and releases all waiters.
func (e *Entry) closeCore() {
	for _, l := range e.core.agents {
		l.client.Close()
	}
	for _, chans := range e.core.waiters {
		for _, ch := range chans {
			close(ch)
		}
	}
}

// outcome is what a waiting submission gets: the answer of the job, or the
// entry that holds its claim.
type outcome struct {
	answer *job.Answer
	holder string
}

// answerWaiters passes an outcome to all submissions that wait for a job.
func (e *Entry) answerWaiters(k job.Key, out outcome) {
	for _, ch := range e.core.waiters[k] {
		ch <- out // buffered, so it does not block
	}
	delete(e.core.waiters, k)
}
