// Package diagnosis finds out from the logs of a site why jobs were not served in time.
//
// # Model
//
// Entries and agents write one JSON object a line for each decision about a job. Read
// collects these lines by job, whichever process wrote them. A job is served in time if
// it was answered as completed within its objective. Each other job gets the first cause
// of a fixed list that its lines show: what was lost comes before what was slow, since a
// loss makes everything after it late.
//
// Logs may be incomplete: processes leave out lines above a number a second. So a count
// is a lower limit, and a job without a line that tells more has the cause Unexplained.
// A line that cannot be decoded is counted and named, and the others are used.
//
// # Usage
//
//	var l diagnosis.Logs
//	err := l.Read("entry-1.log", file)
//	l.WriteTable(os.Stdout)
//	l.WriteJob(os.Stdout, "5c0e7a21d94b36f8")
package diagnosis

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/juju/errors"
)

// maxLineBytes bounds a line; processes write far shorter ones.
const maxLineBytes = 1 << 20

// Logs are the lines about the jobs of a site. The zero value is ready to use.
type Logs struct {
	jobs      map[string]*jobLines
	lines     int
	malformed []string // "file:line" of lines that cannot be decoded
}

// jobLines are the lines about one job, in the order in which they were read.
type jobLines struct {
	id    string
	lines []line
}

// line is one line of a log. Fields that a line does not have are zero.
type line struct {
	source  string // process that wrote it, or the file
	raw     string
	Time    string  `json:"time"`
	Message string  `json:"message"`
	Job     string  `json:"job"`
	Run     string  `json:"run"`
	Reason  string  `json:"why"`
	Error   string  `json:"error"`
	State   string  `json:"state"`
	Took    float64 `json:"tookMs"`
	// Of a job's end at its home.
	Objective    float64 `json:"objectiveMs"`
	FirstStart   float64 `json:"firstStartMs"`
	LastWait     float64 `json:"lastWaitMs"`
	LastRun      float64 `json:"lastRunMs"`
	LastExpected float64 `json:"lastExpectedMs"`
}

// Read adds the lines of a log. Anything before the first brace of a line names the
// process that wrote it; without it, file does.
func (l *Logs) Read(file string, r io.Reader) (err error) {
	defer func() { err = errors.Annotatef(err, "reading %s", file) }()
	if l.jobs == nil {
		l.jobs = make(map[string]*jobLines)
	}
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue // not written by a process of the site
		}
		l.lines++
		ln := line{source: file, raw: string(s.Bytes()[start:])}
		if prefix := strings.TrimSpace(string(s.Bytes()[:start])); prefix != "" {
			ln.source = prefix
		}
		if err := json.Unmarshal(s.Bytes()[start:], &ln); err != nil {
			l.malformed = append(l.malformed, fmt.Sprintf("%s:%d", file, n))
			continue
		}
		l.add(ln)
	}
	return s.Err()
}

// add adds a line to its job, if it is about one. Lines of agents name only the run.
func (l *Logs) add(ln line) {
	id := ln.Job
	if id == "" {
		id, _, _ = strings.Cut(ln.Run, ".")
	}
	if id == "" {
		return
	}
	j, ok := l.jobs[id]
	if !ok {
		j = &jobLines{id: id}
		l.jobs[id] = j
	}
	j.lines = append(j.lines, ln)
}
