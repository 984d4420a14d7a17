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
	agent    string
	life     string // incarnation of the agent
	heard    time.Time
	ready    bool      // the agent takes starts
	used     work.Room // by runs that were placed here
	others   work.Room // by runs of other entries, as told
	runs     map[work.TaskRef]work.Run
	seq      uint64    // last event that was taken
	factor   float64   // slowness, computed from slow and prior
	prior    float64   // mean of slow over the workers of its kind
	slow     mean      // log of run time over expected time on a worker of speed 1
	slowdown float64   // how many times as slow as usual it is; 1 if it is not
	slowSeen time.Time // when that was seen last
	sound    soundEnds // what speaks against that
	streak   int       // failures in a row
	resume   time.Time // no placement before
	tenure   uint64    // that the agent has confirmed
	unsaved  []uint64  // events that the agent has to keep for now
}

func (t *target) free() work.Room { return t.Capacity.Sub(t.used).Sub(t.others) }

// sorted returns the runs in a fixed order, so that decisions do not depend on
// the order of a map.
func (t *target) sorted() []work.Run {
	return slices.SortedFunc(maps.Values(t.runs), func(a, b work.Run) int { return a.Task.Compare(b.Task) })
}
