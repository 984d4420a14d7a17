// Package work defines the types of jobs that run on workers under leases.
//
// # Model
//
// A queue of the operator's configuration names the service whose workers run
// its jobs. A job consists of steps, a step of equal tasks. A task needs
// resources on a worker (Room) and runs there under a run number that rises with
// each start of the task. A run ends as one of the values of End.
//
// The steps of a timed job run several times; each time is an occurrence. A slot
// is a step of one occurrence.
//
// The types here are plain data: package platform decodes requests into them,
// package schedule places their tasks, and package site sends them between
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
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Room is the resources that a task needs, or the capacity of a worker.
type Room struct {
	CPU    int `json:"cpu"`              // thousandths of a core
	Memory int `json:"memory,omitempty"` // MB
	GPUs   int `json:"gpus,omitempty"`
}

// Add returns the sum of two rooms.
func (r Room) Add(o Room) Room {
	return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.GPUs + o.GPUs}
}

// Sub returns what is left of r after o is taken from it.
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
	After       []int         `json:"after,omitempty"`      // indices of steps that must be done first
	Label       string        `json:"label,omitempty"`      // label that a worker must have; empty for any
	Affinity    string        `json:"affinity,omitempty"`   // label of the rack near the data; empty for any
	MaxPerOne   int           `json:"maxPerOne,omitempty"`  // most tasks of the step on one worker; 0 for any number
	Gang        bool          `json:"gang,omitempty"`       // all tasks start together or none
	SameRack    bool          `json:"oneRack,omitempty"`    // the tasks run slower on more than one rack
	Checkpoint  bool          `json:"checkpoint,omitempty"` // the tasks write checkpoints
	Speculative bool          `json:"copies,omitempty"`     // copies of a task may run at the same time
}

// Queue is the operator's configuration for jobs of one kind.
type Queue struct {
	Name        string        `json:"name"`
	Service     string        `json:"service"`
	Priority    int           `json:"priority,omitempty"` // 0 goes first
	MaxAttempts int           `json:"maxAttempts"`        // failed runs of a task after which its job fails
	Stretch     float64       `json:"stretch,omitempty"`  // factor of the chain in Objective; 1 if less
	Target      time.Duration `json:"target,omitempty"`   // constant part of Objective
	// ColdStart is how long a worker of the service is slow after its start, and ColdRate the most
	// new runs per second that it takes then without being slowed; 0 if there is no slow start.
	ColdStart time.Duration `json:"coldStart,omitempty"`
	ColdRate  float64       `json:"coldRate,omitempty"`
}

// Objective returns the soft deadline of a job, counted from its submission, when its
// longest chain of tasks takes chain on a worker that is not slow.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	objective := float64(chain)*max(q.Stretch, 1) + float64(q.Target)
	return time.Duration(min(max(objective, 0), float64(maxObjective)))
}

// maxObjective bounds an objective, so that times after it can be computed.
const maxObjective = 10 * 365 * 24 * time.Hour

// Job is a job as its caller submitted it.
type Job struct {
	ID          string        `json:"id"`
	Queue       Queue         `json:"queue"`
	Spec        string        `json:"spec,omitempty"`
	Steps       []Step        `json:"steps"`
	Stored      bool          `json:"stored,omitempty"` // it survives restarts; its caller does not wait for its end
	Lasts       bool          `json:"lasts,omitempty"`  // its tasks run until it is cancelled, and restart when they end
	Times       int           `json:"times,omitempty"`  // number of occurrences; 0 for one, which starts at once
	First       time.Time     `json:"first,omitzero"`   // wall-clock time of the first occurrence
	Every       time.Duration `json:"every,omitempty"`  // interval between occurrences
	Left        time.Duration `json:"left,omitempty"`   // how long the caller still waits, counted from the handover of the job
	Trace       string        `json:"trace,omitempty"`  // W3C traceparent of the previous hop; empty if it is not traced
	Age         time.Duration `json:"age,omitempty"`    // time between the receipt of the job by the system and its handover
	Alternative bool          `json:"-"`                // another home takes the job if this one rejects it
}

// Slots returns the number of slots: the steps of all occurrences.
func (j *Job) Slots() int { return max(j.Times, 1) * len(j.Steps) }

// Slot returns the slot of a task: the index of its step over all occurrences.
func (j *Job) Slot(t TaskRef) int { return t.Occurrence*len(j.Steps) + t.Step }

// Step returns the step of a slot.
func (j *Job) Step(slot int) *Step { return &j.Steps[slot%len(j.Steps)] }

// Ref returns the reference to a task of a slot.
func (j *Job) Ref(slot, index int) TaskRef {
	return TaskRef{Job: j.ID, Occurrence: slot / len(j.Steps), Step: slot % len(j.Steps), Index: index}
}

// Due returns the wall-clock time at which the occurrence of a slot may start; zero
// for at once.
func (j *Job) Due(slot int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(slot/len(j.Steps)) * j.Every)
}

// Tasks returns the number of tasks in one occurrence.
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
		var start time.Duration
		for _, k := range j.Steps[i].After {
			start = max(start, ends[k])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// TaskRef identifies one task of a job.
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

// Compare orders tasks by job, occurrence, step and index.
func (t TaskRef) Compare(o TaskRef) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), t.Occurrence-o.Occurrence, t.Step-o.Step, t.Index-o.Index)
}

// ParseTaskRef parses the form that String returns.
func ParseTaskRef(s string) (t TaskRef, err error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return t, errors.NotValidf("name of a task %q", s)
	}
	t.Job = parts[0]
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		if *field, err = strconv.Atoi(parts[i+1]); err != nil {
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

// String returns the form TASK#NUMBER.
func (r Run) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Number) }

// End is how a run ended.
type End string

// The ends of a run.
const (
	Done    End = "done"
	Failed  End = "failed"  // by its own fault or the worker's
	Stopped End = "stopped" // by an order
	Lapsed  End = "lapsed"  // its lease expired, or the worker ended
	Broken  End = "broken"  // another member of its gang ended
	Alone   End = "alone"   // the other members of its gang did not start
	Refused End = "refused" // proven not to have started
	Sealed  End = "sealed"  // no earlier run of the job is left at the agent
)

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	JobFailed State = "failed"
	Cancelled State = "cancelled"
	Rejected  State = "rejected" // none of its tasks was ever sent to a worker
	Unknown   State = "unknown"  // abandoned; some of its tasks may have run
)

// Outcome is the answer to a job.
type Outcome struct {
	State      State
	Reason     string
	RetryAfter time.Duration // for a rejected job: time after which a retry is likely to succeed
}

// Start is an order to run a task.
type Start struct {
	Run        Run
	Spec       string
	Room       Room
	Estimate   time.Duration // on a worker of slowness 1 at the same distance from the data
	Expected   time.Duration // on the worker that gets the task; 0 if unknown
	Trace      string        // W3C traceparent of the job's hop to its home, the coordinator that places it
	Checkpoint string        // where to resume; empty for the beginning
	Stored     bool          // its job is stored
	Repeatable bool          // although its job is stored, the task may run again after it was done
}

// MayRepeat reports whether the task may run again after it was done, though never twice at once.
func (s *Start) MayRepeat() bool { return !s.Stored || s.Repeatable }

// Target describes a worker as it reports itself.
type Target struct {
	ID       string
	Born     int64 // identifies the incarnation of the worker
	Service  string
	Zone     string
	Labels   []string
	Capacity Room
	Draining bool
	// LeavesIn is the least time until a draining worker is removed, if KnowsLeave is set. It
	// is as of the heartbeat; see schedule.Report for the present one.
	LeavesIn   time.Duration
	KnowsLeave bool
	// ColdLeft is how much longer the worker is slow after its start, counted from this description.
	ColdLeft time.Duration
}

// SameKind reports whether what tasks require of a worker, its room aside, is the same for both.
func (t *Target) SameKind(o *Target) bool {
	return t.Service == o.Service && t.Zone == o.Zone && slices.Equal(t.Labels, o.Labels)
}
