// Package job defines the types that callers and all processes of masticbay
// share: a job, its tasks, their states, and the answer.
//
// # Model
//
// A job is a list of short tasks for one service, submitted by one team under
// a key that the caller chose. A task moves through
//
//	queued → dispatched → done | failed
//
// or ends as notRun, if it is proven that it never started, or as unknown, if
// neither can be proven. A job's answer is complete, with one result for
// each task, or failed, with states and counts and no result at all.
//
// # Usage
//
//	spec := job.Spec{Key: "laval/pickup-17", Team: "laval", Service: "pickup"}
//	if err := spec.Validate(limits); err != nil { ... }
package job

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a job: the team, a slash, and the name that the caller chose.
type Key string

// MakeKey returns the key of a team's job.
func MakeKey(team, name string) Key {
	return Key(team + "/" + name)
}

// Name returns the part of the key that the caller chose.
func (k Key) Name() string {
	_, name, _ := strings.Cut(string(k), "/")
	return name
}

// Task is one unit of work: an opaque JSON payload for a target, and its size,
// which is the run time that the caller expects. The size may be wrong or zero.
type Task struct {
	Payload json.RawMessage `json:"payload"`
	Size    time.Duration   `json:"-"`
}

// Spec is a job as it was submitted.
type Spec struct {
	Key          Key
	Team         string
	Service      string
	Idempotent   bool          // a task may start again under a later submission
	Resubmission bool          // the caller may have submitted this key before
	Deadline     time.Duration // measured from the submission
	Tasks        []Task
}

// Hash identifies the content of a job. It distinguishes a second submission of
// the job from another job under the same key.
func (s *Spec) Hash() uint64 {
	d := xxhash.New()
	for _, part := range []string{s.Team, s.Service} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	if s.Idempotent {
		_, _ = d.Write([]byte{1})
	}
	for i := range s.Tasks {
		_, _ = d.Write(s.Tasks[i].Payload)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// State is the state of one task.
type State uint8

// The states of a task. The last four are final.
const (
	Queued State = iota
	Dispatched
	Done
	Failed
	NotRun
	Unknown
)

var stateNames = [...]string{"queued", "dispatched", "done", "failed", "notRun", "unknown"}

// Final reports whether a task in state s can no longer change.
func (s State) Final() bool {
	return s >= Done
}

// String returns the name of the state that callers receive.
func (s State) String() string {
	return stateNames[s]
}

// MarshalText writes the name of the state.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads a name written by MarshalText.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return &ValueError{Field: "state", Value: string(text), Allowed: "a task state"}
}

// Counts is the number of tasks in each state.
type Counts struct {
	Queued     int `json:"queued"`
	Dispatched int `json:"dispatched"`
	Done       int `json:"done"`
	Failed     int `json:"failed"`
	NotRun     int `json:"notRun"`
	Unknown    int `json:"unknown"`
}

// Add counts one task in state s.
func (c *Counts) Add(s State) {
	switch s {
	case Queued:
		c.Queued++
	case Dispatched:
		c.Dispatched++
	case Done:
		c.Done++
	case Failed:
		c.Failed++
	case NotRun:
		c.NotRun++
	case Unknown:
		c.Unknown++
	}
}
