package worker

import (
	"time"

	"masticbay/work"
)

// A heartbeat may come from a foreign program, so only the worker's replies decide which
// incarnation runs and what its clock shows. A heartbeat describes the worker. Until the
// first reply, it stands in for one.

// heartbeat identifies a heartbeat among those of an incarnation of the worker.
type heartbeat struct {
	id    string
	born  int64
	seq   uint64        // rises with each heartbeat; 0 if it is not known
	clock time.Duration // the worker's clock as it was sent
}

// overtakes reports whether h was made after o, by the same incarnation of the worker. Both number and clock
// have to show it: the heartbeat of a foreign program may have any number.
func (h heartbeat) overtakes(o heartbeat) bool {
	return h.id == o.id && h.born == o.born && o.seq != 0 && o.seq < h.seq && o.clock < h.clock
}

// recordHeartbeat records a heartbeat that describes the worker, if its clock can be that of the worker.
func (g *Guard) recordHeartbeat(now time.Time, h heartbeat) {
	if h.clock > g.workerClock+time.Duration(float64(now.Sub(g.clockReadAt))*maxClockDrift)+heartbeatSlack {
		return
	}
	if !g.describedBy.overtakes(h) {
		g.describedBy = h
	}
}

// heartbeatSlack is how far the clock in a heartbeat may be ahead of the one that polls show.
const heartbeatSlack = 100 * time.Millisecond

// TakeHeartbeat takes a heartbeat of the worker, with its number (seq). It reports whether the heartbeat
// announces another incarnation, which is used once a poll shows it.
func (g *Guard) TakeHeartbeat(now time.Time, t work.Target, clock time.Duration, seq uint64) (announced bool) {
	g.initialise(now)
	if g.lastPoll.IsZero() {
		g.describe(now, t) // no poll has shown yet which clocks the worker may send
		g.setFirstToken(now, clock)
		return false
	}
	if t.Born == 0 {
		if !g.hasTarget && g.target.Born != 0 {
			return false // it does not tell which incarnation it describes
		}
		t.Born = g.target.Born
	}
	h := heartbeat{t.ID, t.Born, seq, clock}
	switch {
	case t.Born < g.target.Born:
		return false // delayed; from an earlier incarnation
	case t.Born > g.target.Born && g.target.Born != 0:
		g.announced, g.settled = t, false // until a poll shows what runs
		g.raiseToken()
		return true
	case g.describedBy.overtakes(h):
		return false // delayed; a later one has described the worker
	case t.Capacity == work.Room{}:
		return false // incomplete
	case g.hasTarget && t.ID != g.target.ID && now.Sub(g.describedAt) <= descriptionMaxAge:
		return false // of another worker
	}
	g.describe(now, t)
	g.recordHeartbeat(now, h)
	return false
}

// describe makes t the description of the worker.
func (g *Guard) describe(now time.Time, t work.Target) {
	g.target, g.hasTarget, g.leaving, g.describedAt, g.leavesAt = t, true, false, now, time.Time{}
	if t.KnowsLeave {
		g.leavesAt = now.Add(t.LeavesIn)
	}
}

// ColdLeft returns how much longer the worker is slow after its start.
func (g *Guard) ColdLeft(now time.Time) time.Duration {
	if g.target.ColdLeft == 0 {
		return 0
	}
	return max(g.target.ColdLeft-now.Sub(g.describedAt), 0)
}

// descriptionMaxAge is the time without a heartbeat under the worker's ID after which one
// under another ID describes the worker; several times the interval between heartbeats.
const descriptionMaxAge = 5 * time.Second

// setFirstToken derives a token from the clock in a heartbeat, until a reply shows the clock.
func (g *Guard) setFirstToken(now time.Time, clock time.Duration) {
	if g.token <= g.bornToken() {
		g.updateClock(now, min(clock, maxFirstClock))
		g.raiseToken()
	}
}

// maxFirstClock bounds the token that the first heartbeat leads to, as the tokens of all
// later incarnations of the agent have to be higher.
const maxFirstClock = 365 * 24 * time.Hour

// takeIncarnation processes the start time and the clock in the reply to a poll. It reports
// false if the reply is from an earlier incarnation than the last one.
func (g *Guard) takeIncarnation(now time.Time, born int64, clock time.Duration) bool {
	if g.lastPoll.IsZero() {
		g.takeFirstIncarnation(now, born, clock)
	} else {
		g.handleWorkerRestart(now, born, clock)
	}
	if born != 0 && born < g.target.Born {
		return false
	}
	if g.announced.Born != 0 && g.announced.Born == g.target.Born {
		g.describe(now, g.announced)
		g.announced = work.Target{}
	}
	return true
}

// takeFirstIncarnation replaces what heartbeats have told by what the first reply shows.
func (g *Guard) takeFirstIncarnation(now time.Time, born int64, clock time.Duration) {
	switch {
	case born == 0:
		return
	case g.target.Born == 0:
		g.target.Born = born
	case g.target.Born != born:
		g.target, g.hasTarget = work.Target{Born: born}, false
	}
	g.workerClock, g.clockReadAt, g.maxLeaseUntil = clock, now, 0
}
