// Package work holds the vocabulary of jobs that run on workers under leases.
//
// # Model
//
// A queue of the operator's configuration names the service whose workers run
// its jobs. A job consists of steps, a step of equal tasks. A task asks for
// room on a worker and runs there under a run number that rises with each
// start of the task. A run ends as done, or in one of the other ways of End.
//
// The types here are plain data: package platform decodes requests into them,
// package schedule decides about them, and package site carries them between
// processes.
//
// # Usage
//
//	j := work.Job{ID: "5c0e7a21d94b36f8", Steps: []work.Step{{Count: 4, Room: work.Room{CPU: 500}}}}
//	ref := work.TaskRef{Job: j.ID, Index: 3}
package work

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Room is what a task needs of a worker, or what a worker offers.
type Room struct {
	CPU    int `json:"cpu"`              // thousandths of a core
	Memory int `json:"memory,omitempty"` // MB
	GPUs   int `json:"gpus,omitempty"`
}

// Add returns the sum of two rooms.
func (r Room) Add(o Room) Room {
	return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.GPUs + o.GPUs}
}

// Sub returns what is left of r without o.
func (r Room) Sub(o Room) Room {
	return Room{r.CPU - o.CPU, r.Memory - o.Memory, r.GPUs - o.GPUs}
}

// Holds reports whether o fits into r.
func (r Room) Holds(o Room) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPUs <= r.GPUs
}

// Step is a number of equal tasks.
type Step struct {
	Count       int           `json:"count"`
	Room        Room          `json:"room"`
	Estimate    time.Duration `json:"estimate,omitempty"`   // rough run time of a task; 0 if unknown
	After       []int         `json:"after,omitempty"`      // earlier steps that must be done first
	Label       string        `json:"label,omitempty"`      // label that a worker must have; empty for any
	Affinity    string        `json:"affinity,omitempty"`   // rack that is near the data; empty for any
	MaxPerOne   int           `json:"maxPerOne,omitempty"`  // most tasks of the step on one worker; 0 for any number
	Gang        bool          `json:"gang,omitempty"`       // all tasks start together or none
	SameRack    bool          `json:"oneRack,omitempty"`    // slower if the tasks run on more than one rack
	Checkpoint  bool          `json:"checkpoint,omitempty"` // the tasks save their progress
	Speculative bool          `json:"copies,omitempty"`     // copies may run side by side
}

// Queue is what the operator configured for the jobs of one kind.
type Queue struct {
	Name        string        `json:"name"`
	Service     string        `json:"service"`
	Priority    int           `json:"priority,omitempty"` // 0 goes first
	MaxAttempts int           `json:"maxAttempts"`        // failed runs of a task after which its job has failed
	Stretch     float64       `json:"stretch,omitempty"`
	Target      time.Duration `json:"target,omitempty"`
}

// Objective returns how long after its submission a job should have ended when
// its longest chain of tasks takes chain on a sound worker.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(float64(chain)*max(q.Stretch, 1)) + q.Target
}

// Job is what a caller submitted.
type Job struct {
	ID     string        `json:"id"`
	Queue  Queue         `json:"queue"`
	Spec   string        `json:"spec,omitempty"`
	Steps  []Step        `json:"steps"`
	Stored bool          `json:"stored,omitempty"` // it outlives processes; its caller does not wait for its end
	Lasts  bool          `json:"lasts,omitempty"`  // its tasks run until it is cancelled, however often they end
	Times  int           `json:"times,omitempty"`  // how often its steps run; 0 for once, at once
	First  time.Time     `json:"first,omitzero"`   // when they run first, by the time of day
	Every  time.Duration `json:"every,omitempty"`  // between these times
	Left   time.Duration `json:"left,omitempty"`   // how long the caller waits, from when the job was handed over
	Trace  string        `json:"trace,omitempty"`  // W3C traceparent of the hop before; empty if it is not traced
	Age    time.Duration `json:"age,omitempty"`    // how long the system has had the job when it was handed over
}

// Slots returns the number of steps of all occurrences.
func (j *Job) Slots() int { return max(j.Times, 1) * len(j.Steps) }

// Slot returns the number of a task's step, counted over all occurrences.
func (j *Job) Slot(t TaskRef) int { return t.Occurrence*len(j.Steps) + t.Step }

// Step returns the step of a slot.
func (j *Job) Step(slot int) *Step { return &j.Steps[slot%len(j.Steps)] }

// Ref returns the name of a task.
func (j *Job) Ref(slot, index int) TaskRef {
	return TaskRef{Job: j.ID, Occurrence: slot / len(j.Steps), Step: slot % len(j.Steps), Index: index}
}

// Due returns when the occurrence of a slot may begin, by the time of day; zero for
// at once.
func (j *Job) Due(slot int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(slot/len(j.Steps)) * j.Every)
}

// Tasks returns the number of tasks of all steps of one occurrence.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Chain returns the sum of estimates on the longest chain of steps.
func (j *Job) Chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, k := range j.Steps[i].After {
			begin = max(begin, ends[k])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskRef names one task of a job.
type TaskRef struct {
	Job        string
	Occurrence int // 0 for a job that runs once
	Step       int
	Index      int
}

// String returns the form ID.OCCURRENCE.STEP.INDEX.
func (t TaskRef) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// Compare orders tasks by job, step and index.
func (t TaskRef) Compare(o TaskRef) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), t.Occurrence-o.Occurrence, t.Step-o.Step, t.Index-o.Index)
}

// ParseTaskRef reads what String wrote.
func ParseTaskRef(s string) (t TaskRef, err error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return t, errors.NotValidf("name of a task %q", s)
	}
	t.Job = parts[0]
	for i, to := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		if *to, err = strconv.Atoi(parts[i+1]); err != nil {
			return t, errors.NotValidf("name of a task %q", s)
		}
	}
	return t, nil
}

// Run is one start of a task.
type Run struct {
	Task   TaskRef
	Number int // from 1, rises with each start of the task
}

// String returns the task and the number.
func (r Run) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Number) }

// End tells how a run ended.
type End string

// The ends of a run.
const (
	Done    End = "done"
	Failed  End = "failed"  // by its own fault or the worker's
	Stopped End = "stopped" // on an order
	Lapsed  End = "lapsed"  // its lease ran out, or the worker ended
	Broken  End = "broken"  // another member of its gang ended
	Alone   End = "alone"   // the other members of its gang did not start
	Refused End = "refused" // proven not to have started
)

// State is how a job ended, or that it has not.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	JobFailed State = "failed"
	Cancelled State = "cancelled"
	Rejected  State = "rejected" // nothing of it was ever sent to a worker
	Unknown   State = "unknown"  // given up; some of it may have run
)

// Outcome is the answer to a job.
type Outcome struct {
	State      State
	Reason     string
	RetryAfter time.Duration // for a rejected job: when it is likely to be served
}

// Start is an order to run a task.
type Start struct {
	Run        Run
	Spec       string
	Room       Room
	Estimate   time.Duration // on a worker of slowness 1 at this distance from the data
	Expected   time.Duration // on the worker that it goes to; 0 if unknown
	Trace      string        // of the job's hop to its home
	Checkpoint string        // where to resume; empty for the beginning
	Stored     bool          // its job is stored
}

// Target describes a worker as it reports itself.
type Target struct {
	ID       string
	Born     int64 // tells the lives of a worker apart
	Service  string
	Zone     string
	Labels   []string
	Capacity Room
	Draining bool
}
