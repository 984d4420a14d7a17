package job

import "encoding/json"

// Status is the state of a whole job.
type Status string

// The statuses of a job.
const (
	StatusRunning  Status = "running"
	StatusComplete Status = "complete"
	StatusFailed   Status = "failed"
)

// Answer is the response to a caller about a job. Results is set only if Status
// is StatusComplete, and then has one entry for each task, in order. States is
// set only if the job failed.
type Answer struct {
	Key        Key               `json:"key"`
	Submission string            `json:"submission"`
	Status     Status            `json:"status"`
	Reason     string            `json:"reason,omitempty"`
	Counts     Counts            `json:"counts"`
	Results    []json.RawMessage `json:"results,omitempty"`
	States     []State           `json:"states,omitempty"`
}

// ForSubmission returns a copy of the answer for the caller of a submission.
func (a Answer) ForSubmission(submission string) Answer {
	a.Submission = submission
	return a
}
