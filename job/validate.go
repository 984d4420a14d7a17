package job

import (
	"encoding/json"
	"strconv"
	"time"
)

// Limits bounds one submission.
type Limits struct {
	Tasks    int           // maximum number of tasks in a job
	Payload  int           // maximum bytes in a task's payload
	Deadline time.Duration // maximum deadline
}

const maxNameLen = 200 // bytes

// AllowedName describes the names that ValidName accepts.
const AllowedName = "1 to 200 letters, digits or ._:-"

// Validate checks that the job is well-formed and within l. Its errors are of
// type *RefusedError.
func (s *Spec) Validate(l Limits) error {
	switch {
	case !ValidName(s.Team):
		return invalid("team", s.Team, AllowedName)
	case !ValidName(s.Key.Name()):
		return invalid("key", s.Key.Name(), AllowedName)
	case !ValidName(s.Service):
		return invalid("service", s.Service, AllowedName)
	case s.Deadline <= 0 || s.Deadline > l.Deadline:
		return invalid("deadline", s.Deadline.String(), "more than 0s and at most "+l.Deadline.String())
	case len(s.Tasks) == 0:
		return invalid("tasks", "0", "at least one task")
	case len(s.Tasks) > l.Tasks:
		return &RefusedError{Code: TooLarge, Message: "tasks: " + strconv.Itoa(len(s.Tasks)) + " in one job; at most " + strconv.Itoa(l.Tasks)}
	}
	return s.validateTasks(l)
}

func (s *Spec) validateTasks(l Limits) error {
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if len(t.Payload) > l.Payload {
			return &RefusedError{Code: TooLarge, Message: "tasks[" + strconv.Itoa(i) + "].payload: over " + strconv.Itoa(l.Payload) + " bytes"}
		}
		if len(t.Payload) > 0 && !json.Valid(t.Payload) {
			return invalid("tasks["+strconv.Itoa(i)+"].payload", "", "JSON")
		}
		if t.Size < 0 {
			return invalid("tasks["+strconv.Itoa(i)+"].size", t.Size.String(), "0s or more")
		}
	}
	return nil
}

func invalid(field, value, allowed string) error {
	e := &ValueError{Field: field, Value: value, Allowed: allowed}
	return &RefusedError{Code: Invalid, Message: e.Error()}
}

// ValidName reports whether s can name a key, a team, a service or a target.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLen {
		return false
	}
	for _, r := range s {
		if !isNameRune(r) {
			return false
		}
	}
	return true
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '_' || r == ':' || r == '-'
}
