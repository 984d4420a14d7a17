package job

import (
	"fmt"
	"time"
)

// Code classifies a refusal. Callers branch on it, so its values are stable.
type Code string

// The codes of a refusal. Each of them means that this submission started
// nothing.
const (
	Invalid        Code = "invalid"
	UnknownService Code = "unknownService"
	TooLarge       Code = "tooLarge"
	KeyConflict    Code = "keyConflict"
	Overloaded     Code = "overloaded"
	Stopping       Code = "stopping"
	NotFound       Code = "notFound"
	Unready        Code = "unready" // the entry can not accept this job yet
	Stale          Code = "stale"   // arrived too late to be admitted
)

// RefusedError reports a submission that was not accepted. None of its tasks
// ran.
type RefusedError struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // zero if a retry can not help
}

// Error returns the code and the message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused (%s): %s", e.Code, e.Message)
}

// ValueError reports a field whose value is not allowed.
type ValueError struct {
	Field   string
	Value   string
	Allowed string
}

// Error names the field, its value and the allowed values.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed; want %s", e.Field, e.Value, e.Allowed)
}
