package bench

import (
	"embed"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"masticbay/work"
)

// Pattern is a load on the workers of a service, with events that change it. It
// is replayed against the decisions of the homes and agents of a site.
type Pattern struct {
	Name        string  `toml:"name"`
	Expectation string  `toml:"answers"` // how the home is expected to react
	Seconds     float64 `toml:"seconds"` // how long jobs arrive
	Seed        uint64  `toml:"seed"`
	Homes       int     `toml:"homes"` // number of cells; 1 if zero
	// RemoteFactor is the run time of a task away from its rack as a multiple of that on
	// it; defaultRemoteFactor if zero.
	RemoteFactor float64         `toml:"remoteFactor"`
	PerRack      int             `toml:"perRack"` // workers in a rack, whose label they have; 0 for no racks
	Workers      []PatternWorker `toml:"workers"`
	Queues       []PatternQueue  `toml:"queues"`
	Events       []PatternEvent  `toml:"events"`
	Zones        []PatternZone   `toml:"zones"`    // of the callers; one if empty
	ShedLoad     bool            `toml:"shedLoad"` // as in schedule.Config
	MinWorth     float64         `toml:"minWorth"` // the least worth that tests accept; 0.70 if zero
	Score        *PatternScore   `toml:"score"`    // how the result is weighed; as at Retour-Plateau if nil
}

// PatternZone is a data centre of callers.
type PatternZone struct {
	Name    string  `toml:"name"`
	Share   float64 `toml:"share"`   // of the jobs
	DelayMs float64 `toml:"delayMs"` // until its entry has handed a job to a home
}

// PatternWorker describes a number of equal workers.
type PatternWorker struct {
	Count    int      `toml:"count"`
	CPU      int      `toml:"cpu"`      // thousandths of cores
	Slowness float64  `toml:"slowness"` // run time relative to that on a worker of speed 1
	Labels   []string `toml:"labels"`
}

// PatternQueue describes a queue and the jobs that arrive in it.
type PatternQueue struct {
	Name        string  `toml:"name"`
	Priority    int     `toml:"priority"`
	MaxAttempts int     `toml:"maxAttempts"`
	Stretch     float64 `toml:"stretch"`  // as in work.Queue
	TargetMs    float64 `toml:"targetMs"` // as Target in work.Queue
	PerSecond   float64 `toml:"perSecond"`
	Tasks       float64 `toml:"tasks"`  // mean number in a job
	CPU         float64 `toml:"cpu"`    // mean of a task, in thousandths of cores
	WorkMs      float64 `toml:"workMs"` // mean run time of a task at slowness 1
	Worth       float64 `toml:"worth"`  // of an answer in time
	DeadlineMs  float64 `toml:"deadlineMs"`
	TailShare   float64 `toml:"tailShare"` // share of the tasks that take TailFactor times as long
	TailFactor  float64 `toml:"tailFactor"`
	NearShare   float64 `toml:"nearShare"` // share of the jobs that have an affinity to a rack
	HotShare    float64 `toml:"hotShare"`  // share of those jobs that want rack 0; the others draw a rack
}

// The spreads of a pattern's jobs: standard deviations of the logarithms, as on the
// users' sites.
const (
	workSpread     = 0.4
	tasksSpread    = 0.4
	cpuSpread      = 0.2
	estimateSpread = 0.4
	taskSpread     = 0.15 // among the tasks of one job
)

// The kinds of a PatternEvent.
const (
	EventBurst = "burst" // more jobs arrive by a factor, in one queue or in all
	EventSlow  = "slow"  // runs on workers take longer by a factor
	EventFail  = "fail"  // workers fail every run that they start
	EventStall = "stall" // runs on workers make no progress
	EventCrash = "crash" // workers crash, and restart when the event ends
	EventDrain = "drain" // workers are draining
	// EventHomeLoss is the loss of a home, which another entry replaces.
	EventHomeLoss = "homeLoss"
)

// PatternEvent is an event that lasts for a time.
type PatternEvent struct {
	Kind     string  `toml:"kind"`
	At       float64 `toml:"at"`      // seconds
	Duration float64 `toml:"for"`     // seconds
	Factor   float64 `toml:"times"`   // of EventBurst and EventSlow
	Queue    string  `toml:"queue"`   // of EventBurst; all if empty
	Zone     string  `toml:"zone"`    // of EventBurst: data centre of the additional jobs; as usual if empty
	Workers  []int   `toml:"workers"` // indexes of the workers that it affects, from 0
	Home     int     `toml:"home"`    // of EventHomeLoss: index of the home, from 0
}

var eventKinds = []string{EventBurst, EventSlow, EventFail, EventStall, EventCrash, EventDrain, EventHomeLoss}

//go:embed patterns/*.toml
var patternFiles embed.FS

// Patterns returns the file names of the embedded patterns.
func Patterns() (names []string, err error) {
	files, err := patternFiles.ReadDir("patterns")
	for _, f := range files {
		names = append(names, f.Name())
	}
	return names, errors.Annotate(err, "listing the patterns")
}

// EmbeddedPattern returns one of the embedded patterns.
func EmbeddedPattern(file string) (*Pattern, error) {
	raw, err := patternFiles.ReadFile("patterns/" + file)
	if err != nil {
		return nil, errors.NotFoundf("pattern %q", file)
	}
	return DecodePattern(raw)
}

// DecodePattern decodes and checks a pattern.
func DecodePattern(raw []byte) (p *Pattern, err error) {
	defer func() { err = errors.Annotate(err, "reading a load pattern") }()
	p = new(Pattern)
	if err := toml.Unmarshal(raw, p); err != nil {
		return nil, err
	}
	return p, p.check()
}

func (p *Pattern) check() error {
	if p.Seconds <= 0 || p.workers() == 0 || len(p.Queues) == 0 {
		return errors.NotValidf("pattern without seconds, workers or queues")
	}
	for _, w := range p.Workers {
		if w.CPU <= 0 || w.Slowness <= 0 {
			return errors.NotValidf("workers of cpu %d, slowness %g", w.CPU, w.Slowness)
		}
	}
	for _, q := range p.Queues {
		if q.TailShare < 0 || q.TailShare > 1 || q.TailShare > 0 && q.TailFactor < 1 || q.NearShare > 0 && p.PerRack == 0 {
			return errors.NotValidf("queue %q with a tail of %g times %g, %g of it near racks of %d", q.Name, q.TailShare, q.TailFactor, q.NearShare, p.PerRack)
		}
		if q.Name == "" || q.PerSecond <= 0 || q.Tasks < 1 || q.WorkMs <= 0 || q.CPU <= 0 {
			return errors.NotValidf("queue %q of %g jobs a second, %g tasks, %g ms", q.Name, q.PerSecond, q.Tasks, q.WorkMs)
		}
	}
	for _, e := range p.Events {
		if !slices.Contains(eventKinds, e.Kind) {
			return errors.NotValidf("event of kind %q", e.Kind)
		}
		if e.Home < 0 || e.Home >= max(p.Homes, 1) {
			return errors.NotValidf("event %s of home %d", e.Kind, e.Home)
		}
		if e.Zone != "" && !slices.ContainsFunc(p.Zones, func(z PatternZone) bool { return z.Name == e.Zone }) {
			return errors.NotValidf("event %s of zone %q", e.Kind, e.Zone)
		}
		for _, w := range e.Workers {
			if w < 0 || w >= p.workers() {
				return errors.NotValidf("event %s of worker %d", e.Kind, w)
			}
		}
	}
	return nil
}

// workers returns the number of workers.
func (p *Pattern) workers() (n int) {
	for _, w := range p.Workers {
		n += w.Count
	}
	return n
}

// defaultRemoteFactor is the remote factor of a pattern that does not set it.
const defaultRemoteFactor = 1.5

// racks returns the number of racks.
func (p *Pattern) racks() int {
	if p.PerRack == 0 {
		return 0
	}
	return max(p.workers()/p.PerRack, 1)
}

// rackLabel returns the label of the workers of a rack.
func rackLabel(rack int) string { return fmt.Sprint("rack", rack) }

func (q *PatternQueue) queue() work.Queue {
	return work.Queue{
		Name: q.Name, Service: patternService, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch,
		Target: millis(q.TargetMs),
	}
}

const patternService = "service"

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
