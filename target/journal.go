package target

import (
	"encoding/json"
	"io"
	"sync"
)

// Started is one line of the journal: it names a task that the target started.
type Started struct {
	Key   string `json:"key"`
	Rerun string `json:"rerun,omitempty"`
	Index int    `json:"index"`
}

// Journal records every start of a task. The zero value keeps the records in
// memory only. It is safe for concurrent use.
type Journal struct {
	mu     sync.Mutex // guards the fields below
	starts map[Started]int
	total  int
	file   io.Writer
}

// NewJournal returns a Journal that also appends each start to w, as a line of
// JSON. If w is nil, the records stay in memory.
func NewJournal(w io.Writer) *Journal {
	return &Journal{file: w}
}

// Record adds a start. It must be called before the task runs.
func (j *Journal) Record(s Started) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.starts == nil {
		j.starts = make(map[Started]int)
	}
	j.starts[s]++
	j.total++
	if j.file != nil {
		line, _ := json.Marshal(s)
		_, _ = j.file.Write(append(line, '\n'))
	}
}

// Total returns the number of starts.
func (j *Journal) Total() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total
}

// Counts returns the number of starts of each task.
func (j *Journal) Counts() map[Started]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make(map[Started]int, len(j.starts))
	for s, n := range j.starts {
		counts[s] = n
	}
	return counts
}

// ReadJournal counts the starts in the lines that a Journal wrote.
func ReadJournal(r io.Reader) (counts map[Started]int, err error) {
	counts = make(map[Started]int)
	dec := json.NewDecoder(r)
	for {
		var s Started
		if err := dec.Decode(&s); err == io.EOF {
			return counts, nil
		} else if err != nil {
			return counts, err
		}
		counts[s]++
	}
}
