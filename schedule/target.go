package schedule

import (
	"maps"
	"slices"
	"time"

	"masticbay/work"
)

// target is a worker behind its agent.
type target struct {
	work.Target
	agent               string
	life                string // incarnation of the agent
	lastContact         time.Time
	ready               bool      // the agent takes starts
	used                work.Room // by runs that were placed here
	usedByOthers        work.Room // by runs of other entries, as told
	runs                map[work.TaskRef]work.Run
	lastSeq             uint64     // last event that was taken
	baseSlowness        float64    // slowness, computed from slow and prior
	kindSlowness        float64    // mean of slow over the workers of its kind
	logSlowness         movingMean // log of run time over expected time on a worker of speed 1
	slowdown            float64    // how many times as slow as usual it is; 1 if it is not
	lastSlow            time.Time  // when that was seen last
	normalRuns          normalEnds // what speaks against that
	consecutiveFailures int        // failures in a row
	backoffUntil        time.Time  // no placement before
	confirmedEpoch      uint64     // that the agent has confirmed
	uncommitted         []uint64   // events that the agent has to keep for now
}

func (t *target) free() work.Room { return t.Capacity.Sub(t.used).Sub(t.usedByOthers) }

// sortedRuns returns the runs in a fixed order, so that decisions do not depend on
// the order of a map.
func (t *target) sortedRuns() []work.Run {
	return slices.SortedFunc(maps.Values(t.runs), func(a, b work.Run) int { return a.Task.Compare(b.Task) })
}
