package work

import (
	"time"

	"github.com/juju/errors"
)

// The limits of a job. A larger one would take the memory of the home that it is
// handed to.
const (
	maxTasks    = 50_000 // of all occurrences
	maxEstimate = 30 * 24 * time.Hour
	maxChain    = 365 * 24 * time.Hour       // of the estimates of all steps
	maxSchedule = 100 * 365 * 24 * time.Hour // from the first occurrence to the last one
	maxYear     = 9000                       // of the first occurrence; JSON holds years up to 9999
)

// Validate checks that a job can be processed, whoever sent it. The error is one of
// errors.NotValid.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.NotValidf("job without steps")
	}
	if j.Times < 0 || j.Times > maxTasks {
		return errors.NotValidf("job of %d occurrences", j.Times)
	}
	if j.Every < 0 || j.Times > 1 && j.Every > maxSchedule/time.Duration(j.Times) {
		return errors.NotValidf("job of %d occurrences, one every %v", j.Times, j.Every)
	}
	if y := j.First.Year(); y < 0 || y > maxYear {
		return errors.NotValidf("job whose first occurrence is in the year %d", y)
	}
	tasks, chain := 0, time.Duration(0)
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > maxTasks {
			return errors.NotValidf("step %d with %d tasks", i, s.Count)
		}
		if tasks += s.Count * max(j.Times, 1); tasks > maxTasks {
			return errors.NotValidf("job of more than %d tasks", maxTasks)
		}
		if s.Room.CPU < 0 || s.Room.Memory < 0 || s.Room.GPUs < 0 || s.MaxPerOne < 0 || s.Estimate < 0 || s.Estimate > maxEstimate {
			return errors.NotValidf("step %d that needs %+v for %v, %d on one worker", i, s.Room, s.Estimate, s.MaxPerOne)
		}
		if chain += s.Estimate; chain > maxChain {
			return errors.NotValidf("job whose steps take more than %v", time.Duration(maxChain))
		}
		for _, k := range s.After {
			if k < 0 || k >= i {
				return errors.NotValidf("step %d after step %d", i, k)
			}
		}
	}
	return nil
}

// HasTask reports whether the job has a task.
func (j *Job) HasTask(t TaskRef) bool {
	return t.Occurrence >= 0 && t.Occurrence < max(j.Times, 1) && t.Step >= 0 && t.Step < len(j.Steps) && t.Index >= 0 && t.Index < j.Steps[t.Step].Count
}
