package ledger

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"masticbay/store"
	"masticbay/work"
)

// The keys in the store.
const (
	// TenureKey names the holder.
	TenureKey = "masticbay/tenure"
	// OpenPrefix is the prefix of the keys of open jobs, their progress, and the agents.
	OpenPrefix = "masticbay/ledger/"
	// EndedPrefix is the prefix of the keys of ended jobs.
	EndedPrefix = "masticbay/ended/"

	agentsKey      = OpenPrefix + "agents"
	jobPrefix      = OpenPrefix + "job/"
	progressPrefix = OpenPrefix + "progress/"
)

// JobKeys returns the two possible keys of a job: the first while it is open, the
// second once it has ended.
func JobKeys(id string) []string { return []string{jobPrefix + id, EndedPrefix + id} }

// tenure is the value of TenureKey.
type tenure struct {
	Life  string `json:"life"` // incarnation of the holder
	Epoch uint64 `json:"epoch"`
	Seq   uint64 `json:"seq"` // number of the holder's last commit of the tenure
}

// jobValue is the value of a job's item. Job is nil once the job has ended.
type jobValue struct {
	Job       *work.Job  `json:"job,omitempty"`
	Submitted int64      `json:"submitted,omitempty"` // Unix milliseconds
	State     work.State `json:"state,omitempty"`
	Ended     int64      `json:"ended,omitempty"` // Unix milliseconds
}

// progressValue is the value of the item with a job's progress.
type progressValue struct {
	Done     [][]int        `json:"done"`
	Failures map[string]int `json:"failures,omitempty"` // by task
	// FailedRuns holds the numbers of the failed runs by task; earlier builds write none.
	FailedRuns map[string][]int `json:"failedRuns,omitempty"`
}

func (j *Job) encode() ([]byte, error) {
	if j.State != "" {
		return json.Marshal(jobValue{State: j.State, Ended: j.Ended.UnixMilli()})
	}
	w := j.Job
	w.Left, w.Age, w.Trace = 0, 0, ""
	return json.Marshal(jobValue{Job: &w, Submitted: j.Submitted.UnixMilli()})
}

func (j *Job) encodeProgress() ([]byte, error) {
	v := progressValue{Done: j.Done}
	for t, n := range j.Failures {
		if v.Failures == nil {
			v.Failures = make(map[string]int)
		}
		v.Failures[t.String()] = n
	}
	for t, runs := range j.FailedRuns {
		if v.FailedRuns == nil {
			v.FailedRuns = make(map[string][]int)
		}
		v.FailedRuns[t.String()] = runs
	}
	return json.Marshal(v)
}

// StateOf returns the state in the item of a job: queued for any job that has not
// ended.
func StateOf(it store.Item) (s work.State, err error) {
	defer func() { err = errors.Annotatef(err, "decoding %q", it.Key) }()
	if id, ok := strings.CutPrefix(it.Key, jobPrefix); ok {
		_, err := decodeJob(id, it.Value)
		return work.Queued, err
	}
	j, err := decodeEnded(strings.TrimPrefix(it.Key, EndedPrefix), it.Value)
	if err != nil {
		return "", err
	}
	return j.State, nil
}

// decode adds the jobs, their progress and the agents from the items under OpenPrefix. Items
// that can't be read are ignored, as a foreign program may have written them; ignored says why.
// A job whose progress can't be read is known, but must not run: tasks of it may be done.
func (l *Ledger) decode(items []store.Item) (ignored []error) {
	progress := make(map[string][]byte)
	for _, it := range items {
		var err error
		if id, ok := strings.CutPrefix(it.Key, jobPrefix); ok {
			err = l.addOpen(id, it.Value)
		} else if id, ok := strings.CutPrefix(it.Key, progressPrefix); ok {
			progress[id] = it.Value
		} else if it.Key == agentsKey {
			err = l.decodeAgents(it.Value)
		}
		if err != nil {
			ignored = append(ignored, errors.Annotatef(err, "decoding %q", it.Key))
		}
	}
	for id, raw := range progress {
		j, ok := l.jobs[id]
		if !ok {
			continue // foreign; a job and its progress are deleted together
		}
		j.hasProgressItem = true
		if err := j.decodeProgress(raw); err != nil {
			j.unreadable = true
			ignored = append(ignored, errors.Annotatef(err, "decoding the progress of job %s", id))
		}
	}
	return ignored
}

// decodeAgents adds the enrolled agents. A list that can't be read is written anew.
func (l *Ledger) decodeAgents(raw []byte) error {
	var agents []string
	err := json.Unmarshal(raw, &agents)
	if err == nil && agents == nil {
		err = errors.NotValidf("no list")
	}
	if err != nil {
		l.enrollmentUnknown, l.enrollmentChanged = true, true
		return err
	}
	for _, a := range agents {
		l.agents[a] = true
	}
	return nil
}

func (l *Ledger) addOpen(id string, raw []byte) error {
	j, err := decodeJob(id, raw)
	if err == nil {
		l.jobs[id] = j
	}
	return err
}

// decodeJob decodes the item of an open job.
func decodeJob(id string, raw []byte) (j *Job, err error) {
	var v jobValue
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, err
	}
	if v.Job == nil || v.Job.ID != id || id == "" {
		return nil, errors.NotValidf("item without its job")
	}
	if err := v.Job.Validate(); err != nil {
		return nil, err
	}
	j = &Job{Job: *v.Job, stored: true, maybeStored: true, Submitted: time.UnixMilli(v.Submitted)}
	j.Stored, j.Left, j.Age, j.Trace = true, 0, 0, ""
	j.Done, j.Failures, j.FailedRuns = make([][]int, j.Slots()), make(map[work.TaskRef]int), make(map[work.TaskRef][]int)
	return j, nil
}

// decodeProgress decodes the item with a job's progress.
func (j *Job) decodeProgress(raw []byte) error {
	var v progressValue
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	if len(v.Done) != j.Slots() {
		return errors.NotValidf("%d of %d slots", len(v.Done), j.Slots())
	}
	for slot, indices := range v.Done {
		slices.Sort(indices)
		indices = slices.Compact(indices)
		if n := len(indices); n > 0 && (indices[0] < 0 || indices[n-1] >= j.Step(slot).Count) {
			return errors.NotValidf("tasks %d to %d of slot %d", indices[0], indices[n-1], slot)
		}
		v.Done[slot] = indices
	}
	failures, failedRuns := make(map[work.TaskRef]int, len(v.Failures)), make(map[work.TaskRef][]int, len(v.FailedRuns))
	for name, n := range v.Failures {
		t, err := j.parseTask(name)
		if err != nil {
			return err
		}
		if n < 0 {
			return errors.NotValidf("%d failures of %q", n, name)
		}
		failures[t] = n
	}
	for name, runs := range v.FailedRuns {
		t, err := j.parseTask(name)
		if err != nil {
			return err
		}
		failedRuns[t] = runs
	}
	j.Done, j.Failures, j.FailedRuns = v.Done, failures, failedRuns
	return nil
}

// parseTask parses the name of a task of the job.
func (j *Job) parseTask(name string) (t work.TaskRef, err error) {
	if t, err = work.ParseTaskRef(name); err == nil && (t.Job != j.ID || !j.HasTask(t)) {
		err = errors.NotValidf("task %q of job %s", name, j.ID)
	}
	return t, err
}

// decodeEnded decodes the item of an ended job.
func decodeEnded(id string, raw []byte) (j *Job, err error) {
	var v jobValue
	if err := json.Unmarshal(raw, &v); err != nil {
		return nil, err
	}
	switch v.State {
	case work.Completed, work.JobFailed, work.Cancelled:
	default:
		return nil, errors.NotValidf("state %q of an ended job", v.State)
	}
	if id == "" {
		return nil, errors.NotValidf("item without a job")
	}
	j = &Job{stored: true, endStored: true, State: v.State, Ended: time.UnixMilli(v.Ended)}
	j.ID = id
	return j, nil
}

// addEnded adds the ended jobs, except those that ended since Load and are known. Items that
// can't be read are ignored, as in decode.
func (l *Ledger) addEnded(wall time.Time, items []store.Item) (ignored []error) {
	for _, it := range items {
		id := strings.TrimPrefix(it.Key, EndedPrefix)
		if _, ok := l.jobs[id]; ok {
			continue
		}
		j, err := decodeEnded(id, it.Value)
		if err != nil {
			ignored = append(ignored, errors.Annotatef(err, "decoding %q", it.Key))
			continue
		}
		if j.Ended.After(wall) {
			j.Ended = wall // jobs that end later are deleted after it
		}
		l.jobs[id] = j
		l.ended = append(l.ended, j)
	}
	return ignored
}
