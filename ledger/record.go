package ledger

import (
	"encoding/json"
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
	return json.Marshal(v)
}

// StateOf returns the state in the item of a job: queued for any job that has not
// ended.
func StateOf(it store.Item) (s work.State, err error) {
	var v jobValue
	if err := json.Unmarshal(it.Value, &v); err != nil {
		return "", errors.Annotatef(err, "decoding %q", it.Key)
	}
	if v.State == "" {
		return work.Queued, nil
	}
	return v.State, nil
}

// decode adds the jobs, their progress and the agents from the items under OpenPrefix.
func (l *Ledger) decode(items []store.Item) (err error) {
	progress := make(map[string]progressValue)
	for _, it := range items {
		switch {
		case it.Key == agentsKey:
			err = l.decodeAgents(it.Value)
		case strings.HasPrefix(it.Key, jobPrefix):
			err = l.decodeJob(strings.TrimPrefix(it.Key, jobPrefix), it.Value)
		case strings.HasPrefix(it.Key, progressPrefix):
			var v progressValue
			err = json.Unmarshal(it.Value, &v)
			progress[strings.TrimPrefix(it.Key, progressPrefix)] = v
		}
		if err != nil {
			return errors.Annotatef(err, "decoding %q", it.Key)
		}
	}
	for id, v := range progress {
		j, ok := l.jobs[id]
		if !ok || j.State != "" {
			continue
		}
		j.hasProgressItem = true
		copy(j.Done, v.Done)
		for name, n := range v.Failures {
			t, err := work.ParseTaskRef(name)
			if err != nil {
				return err
			}
			j.Failures[t] = n
		}
	}
	return nil
}

func (l *Ledger) decodeAgents(raw []byte) error {
	var agents []string
	if err := json.Unmarshal(raw, &agents); err != nil {
		return err
	}
	for _, a := range agents {
		l.agents[a] = true
	}
	return nil
}

func (l *Ledger) decodeJob(id string, raw []byte) error {
	var v jobValue
	if err := json.Unmarshal(raw, &v); err != nil {
		return err
	}
	if v.Job == nil || len(v.Job.Steps) == 0 {
		return errors.NotValidf("item without a job")
	}
	j := &Job{Job: *v.Job, stored: true, maybeStored: true, Submitted: time.UnixMilli(v.Submitted)}
	j.Done, j.Failures = make([][]int, j.Slots()), make(map[work.TaskRef]int)
	l.jobs[id] = j
	return nil
}

// decodeEnded adds the ended jobs, except those that ended since Load and are known.
func (l *Ledger) decodeEnded(items []store.Item) error {
	for _, it := range items {
		id := strings.TrimPrefix(it.Key, EndedPrefix)
		if _, ok := l.jobs[id]; ok {
			continue
		}
		var v jobValue
		if err := json.Unmarshal(it.Value, &v); err != nil {
			return errors.Annotatef(err, "decoding %q", it.Key)
		}
		j := &Job{stored: true, endStored: true, State: v.State, Ended: time.UnixMilli(v.Ended)}
		j.ID = id
		l.jobs[id] = j
		l.ended = append(l.ended, j)
	}
	return nil
}
