package schedule

import (
	"maps"
	"slices"
	"time"

	"masticbay/work"
)

// target is a worker and the agent beside it.
type target struct {
	work.Target
	agent          string
	life           string // incarnation of the agent
	lastContact    time.Time
	ready          bool           // the agent takes starts
	excluded       bool           // it belongs to another home
	saysEvacuated  bool           // the agent refuses starts because its data centre is evacuated
	followsSince   time.Time      // since when the agent refuses starts because it follows another home; zero if it does not
	runsOfOthers   map[string]int // by job: highest number of a run that another home has ordered
	used           work.Room      // by runs that this home placed
	usedByOthers   work.Room      // by runs of other entries, as reported
	nearCPU        int            // part of used.CPU: runs with an affinity to the worker's rack
	freed          float64        // CPU that ends of runs are expected to free per ms
	rack           *rack          // nil if no task has an affinity to one of the labels
	runs           map[work.TaskRef]work.Run
	planned        int        // tasks of the gang that is being placed
	lastSeq        uint64     // of the last event received
	baseSlowness   float64    // computed from logSlowness and kindSlowness
	kindSlowness   float64    // mean of logSlowness over the workers of its kind
	logSlowness    movingMean // mean log of run time over expected time on a worker of slowness 1
	slownessAt     time.Time  // when logSlowness was last updated
	slowdown       float64    // temporary factor on baseSlowness; 1 if the worker is not slow
	lastSlow       time.Time  // when slowdown was last observed
	suspectUntil   time.Time  // until then slow runs of several jobs were reported
	normalEnds     normalEnds // recent ends of runs that were not slow
	backoffUntil   time.Time  // no task is placed before
	confirmedEpoch uint64     // of the tenure that the agent has confirmed; 0 for none
	cold           coldWorker
	uncommitted    []uint64  // sequence numbers of events that the agent must not discard yet
	leavesAt       time.Time // least time when a draining worker is removed; zero if it is not known
	transitVersion uint64    // of the last report on starts in transit
	knownSince     time.Time // first contact with this incarnation of the agent
}

// followsOther reports whether the agent follows another home.
func (t *target) followsOther() bool { return !t.followsSince.IsZero() }

func (t *target) free() work.Room { return t.Capacity.Sub(t.used).Sub(t.usedByOthers) }

// sortedRuns returns the runs in a fixed order, so that decisions do not depend on
// map order.
func (t *target) sortedRuns() []work.Run {
	return slices.SortedFunc(maps.Values(t.runs), func(a, b work.Run) int { return a.Task.Compare(b.Task) })
}
