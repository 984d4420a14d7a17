package schedule

import (
	"math"
	"time"

	"masticbay/work"
)

// A worker is cold for some time after its start. New runs beyond a rate that the operator's
// configuration gives slow it down, so a token bucket bounds the starts there: at most rate times
// span plus capacity of them in any span. A data centre that is returned to service is cold as a
// whole, and without the bound its free workers would be filled at once.

// coldFigures are the figures of a service's cold workers. The zero value switches slow start off.
type coldFigures struct {
	start     time.Duration // how long a worker is cold after its start
	rate      float64       // most new runs per second that do not slow a worker down
	learnedAt time.Time     // from the last job that had them
}

// coldWorker is the state of a worker that may be cold.
type coldWorker struct {
	until     time.Time // when the worker is warm, by its last report
	active    bool      // the worker is cold and slow start is on; see refreshCold
	tokens    float64   // number of runs that may start now
	updatedAt time.Time // when tokens was computed
	rate      float64   // tokens per second
	logRatio  movingMean
	ratio     float64 // run time while cold over that when warm, of runs that ended; at least 1
}

// maxColdRate bounds the rate in a malformed message.
const maxColdRate = 1e6

// coldFiguresRetention is how long figures hold after the last job that had them. Entries take up a
// changed configuration within seconds of each other, and some may be of an earlier build.
const coldFiguresRetention = 5 * time.Second

// learnCold takes the figures of a service's cold workers from a job's queue.
func (c *Core) learnCold(now time.Time, q *work.Queue) {
	if !(c.cfg.ColdOverage > 0 && c.cfg.ColdSlack > 0) {
		return
	}
	if q.ColdRate > 0 && q.ColdRate <= maxColdRate && q.ColdStart > 0 {
		c.cold[q.Service] = coldFigures{q.ColdStart, q.ColdRate, now}
	} else if f, ok := c.cold[q.Service]; ok && now.Sub(f.learnedAt) > coldFiguresRetention {
		c.cold[q.Service] = coldFigures{}
	}
}

// reportCold takes how much longer a worker is cold from a report.
func (c *Core) reportCold(now time.Time, t *target, left time.Duration) {
	w := &t.cold
	wasCold := now.Before(w.until)
	if w.until = now.Add(max(left, 0)); !wasCold {
		w.tokens, w.updatedAt = c.coldBurst(), now
	}
	c.refreshCold(now, t)
}

// refreshCold updates whether a worker is cold, and how many runs may start there. The rate rises
// from what does not slow the worker down to ColdOverage times that as the worker warms up.
func (c *Core) refreshCold(now time.Time, t *target) {
	if len(c.cold) == 0 {
		return
	}
	f, w := c.cold[t.Service], &t.cold
	if f.rate == 0 || !now.Before(w.until) {
		w.active = false
		return
	}
	w.active = true
	w.tokens = min(max(w.tokens, 0)+w.rate*max(now.Sub(w.updatedAt), 0).Seconds(), c.coldBurst())
	warmth := 1 - min(float64(w.until.Sub(now))/float64(f.start), 1)
	least := min(c.cfg.ColdOverage, 1)
	w.updatedAt, w.rate = now, f.rate*(least+(c.cfg.ColdOverage-least)*warmth)
}

// coldBurst returns how many runs may start at once on a cold worker. It is half of the slack: a
// home that follows another one does not know what that has just started, and starts as many.
func (c *Core) coldBurst() float64 { return max(c.cfg.ColdSlack/2, 1) }

// mayStart reports whether slow start lets a run start on the worker.
func (t *target) mayStart() bool { return !t.cold.active || t.cold.tokens >= 1 }

// slowness returns the expected ratio of run times while cold to those when warm.
func (w *coldWorker) slowness() float64 {
	if !w.active || w.ratio < 1 {
		return 1
	}
	return w.ratio
}

// recordCold updates the slowness of a cold worker by the run time of a task: logRatio is the log
// of run time over expected time on a worker of slowness 1. The run says nothing about the worker
// when it is warm.
func (t *target) recordCold(logRatio float64) {
	w := &t.cold
	w.logRatio.add(logRatio-math.Log(t.baseSlowness), slownessWindow)
	weight := float64(w.logRatio.n) / float64(w.logRatio.n+kindWeight)
	w.ratio = max(math.Exp(w.logRatio.value*weight), 1)
}

// coldSpeed returns the speed at which a worker takes work up, in thousandths of a core, when a
// run is runWork, in the unit of workAhead.
func (t *target) coldSpeed(runWork float64) float64 {
	speed := float64(t.Capacity.CPU) / t.slowness()
	if t.cold.active {
		speed = min(speed, t.cold.rate/1000*runWork)
	}
	return speed
}
