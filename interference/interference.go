// Package interference detects which kinds of task slow each other down on one worker.
//
// # Model
//
// A kind of task is its queue. A Run tells how long a task took against its expectation, and
// which kinds ran beside it. The tasks of a step share the error of their estimate, so only
// contrasts within a step count: the mean residual of its tasks beside a kind minus that of
// its tasks apart from it. A Detector keeps decaying sums of these contrasts for each ordered
// pair of kinds, and says which pairs are found: their factor and confidence are high, and
// workers in several buckets show it, so that one slow worker doesn't look like interference.
//
// Its state is bounded by maxKinds and maxPairs. It has no I/O, goroutines, clocks or random
// numbers, and doesn't depend on map order.
//
// # Usage
//
//	d := interference.NewDetector()
//	changes := d.Observe(now, "render", runs)
//	factor := d.Factor("render", d.Kind("encode"))
package interference

import (
	"math"
	"math/bits"
	"time"
)

// Pair is a kind that runs longer by a factor beside another kind.
type Pair struct {
	Kind, Beside string
	Factor       float64
	Confidence   float64 // z-score of the log of the factor
}

// Change is a pair that was found or dropped.
type Change struct {
	Pair
	Found bool
	Jobs  int // whose steps gave evidence
}

// Set is a set of kinds of a Detector.
type Set uint64

// Run is a task that is done.
type Run struct {
	Worker   string
	Class    string  // of workers; only runs on workers of one class are compared
	Residual float64 // log of run time over expected time
	// Beside is the kinds that ran on the worker when the task started. Those at its end say
	// nothing more: a long run meets more kinds, so a choice by them depends on its run time.
	Beside Set
}

const (
	maxKinds   = 64 // bits of a Set
	maxPairs   = 1024
	numBuckets = 64 // with 16, 2 of the same 300 replays had a false pair

	// A tail of 3% of tasks takes 7 times as long. Residuals are clipped to this distance
	// from the median of their step. Clipping contrasts instead would bias them where a
	// step has more tasks beside than apart.
	maxResidual = 0.7

	decay       = 1 - 1.0/400 // of the sums with each step that gives evidence
	minSteps    = 16          // below, the variance is not known
	minVariance = 0.01        // of a residual; a tenth is less than tasks vary

	foundZ         = 6 // high, as the test is repeated after each step
	droppedZ       = 3
	minBuckets     = 4
	maxBucketShare = 0.4
	// minBucketZ is the z-score over buckets, each with its own runs apart. The slowness of a
	// worker is known up to about 10%, and a kind may run on a few workers only: without this
	// limit, 4 of 300 replays with a kind on 8 of 24 workers had a false pair.
	minBucketZ     = 6
	importedExpiry = time.Minute      // of imported pairs without evidence
	foundExpiry    = 10 * time.Minute // of found pairs without evidence: placement keeps the kinds apart, so that an end of interference isn't seen
	contradictsByZ = 2                // standard errors by which evidence must be under minDropped to contradict an imported pair
	maxFactor      = 10               // of an imported pair
	maxConfidence  = 1e6
	maxNameBytes   = 256
)

var (
	minFound   = math.Log(1.1)
	minDropped = math.Log(1.05)
)

// evidence is what is known of an ordered pair of kinds.
type evidence struct {
	kind, beside         int
	steps                float64 // decaying, as are the sums
	weight, sum, squares float64
	buckets              [numBuckets]share // by worker
	jobs                 int
	found, imported      bool
	logFactor, z         float64 // as last computed, or imported
	lastEvidence         time.Time
}

// Detector detects pairs. NewDetector makes one.
type Detector struct {
	kinds    []string
	ids      map[string]int
	index    [maxKinds][maxKinds]*evidence
	pairs    []*evidence // in the order of their first evidence
	slowedBy [maxKinds]Set
	slows    [maxKinds]Set
	found    int
}

// NewDetector returns a Detector that knows no pairs.
func NewDetector() *Detector { return &Detector{ids: make(map[string]int)} }

// Kind returns the set of one kind; an empty set beyond maxKinds.
func (d *Detector) Kind(name string) Set {
	if id, ok := d.id(name); ok {
		return 1 << id
	}
	return 0
}

func (d *Detector) id(name string) (int, bool) {
	if id, ok := d.ids[name]; ok {
		return id, true
	}
	if len(d.kinds) == maxKinds {
		return 0, false
	}
	d.ids[name] = len(d.kinds)
	d.kinds = append(d.kinds, name)
	return len(d.kinds) - 1, true
}

// NumFound returns the number of found pairs.
func (d *Detector) NumFound() int { return d.found }

// Concerns reports whether a kind is part of a found pair.
func (d *Detector) Concerns(kind string) bool {
	if d.found == 0 {
		return false
	}
	id, ok := d.ids[kind]
	return ok && d.slowedBy[id]|d.slows[id] != 0
}

// Factor returns by how much a kind runs longer beside others.
func (d *Detector) Factor(kind string, beside Set) float64 {
	if d.found == 0 {
		return 1
	}
	id, ok := d.ids[kind]
	if !ok {
		return 1
	}
	return math.Exp(d.logFactor(id, beside))
}

func (d *Detector) logFactor(kind int, beside Set) (sum float64) {
	for s := beside & d.slowedBy[kind]; s != 0; s &= s - 1 {
		sum += d.index[kind][bits.TrailingZeros64(uint64(s))].logFactor
	}
	return sum
}

// Observe takes the runs of a step whose tasks are all done, and returns what changed.
func (d *Detector) Observe(now time.Time, kind string, runs []Run) (changes []Change) {
	a, ok := d.id(kind)
	if !ok {
		return nil
	}
	for len(runs) > 0 {
		class := runs[0].Class
		var same, others []Run
		for _, r := range runs {
			if r.Class == class {
				same = append(same, r)
			} else {
				others = append(others, r)
			}
		}
		d.observeClass(now, a, same, &changes)
		runs = others
	}
	return changes
}

// observeClass takes the runs of a step on workers of one class.
func (d *Detector) observeClass(now time.Time, a int, runs []Run, changes *[]Change) {
	var beside, apart Set
	for _, r := range runs {
		beside |= r.Beside
		apart |= ^r.Beside
	}
	for s := beside & apart; s != 0; s &= s - 1 {
		b := bits.TrailingZeros64(uint64(s))
		c := d.contrast(a, b, runs)
		p := d.pair(a, b, changes)
		p.add(now, &c)
		d.judge(p, changes)
	}
}

// Expire drops pairs without recent evidence.
func (d *Detector) Expire(now time.Time) (changes []Change) {
	for _, p := range d.pairs {
		expiry := foundExpiry
		if p.imported {
			expiry = importedExpiry
		}
		if p.found && now.Sub(p.lastEvidence) > expiry {
			*p = evidence{kind: p.kind, beside: p.beside, found: true, jobs: p.jobs, logFactor: p.logFactor, z: p.z}
			d.set(p, false, &changes)
		}
	}
	return changes
}
