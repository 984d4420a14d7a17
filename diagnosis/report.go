package diagnosis

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// counts are the jobs of one cause, by outcome.
type counts struct {
	late, rejected, failed int
	example                string // ID of a job
}

// WriteTable writes how many jobs were not served in time, by cause, and which lines
// could not be decoded.
func (l *Logs) WriteTable(w io.Writer) (err error) {
	defer func() { err = errors.Annotate(err, "writing the table") }()
	byCause := make(map[Cause]*counts)
	served := 0
	for _, id := range l.ids() {
		j := l.jobs[id]
		o := j.outcome()
		if o == inTime {
			served++
			continue
		}
		c := j.cause()
		if byCause[c] == nil {
			byCause[c] = &counts{example: id}
		}
		byCause[c].add(o)
	}
	fmt.Fprintf(w, "%d lines, %d jobs, %d served in time\n\n", l.lines, len(l.jobs), served)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "cause\tlate\trejected\tfailed\tfor example")
	for _, c := range causes {
		if n := byCause[c]; n != nil {
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\n", c, n.late, n.rejected, n.failed, n.example)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return l.writeMalformed(w)
}

func (c *counts) add(o outcome) {
	switch o {
	case late:
		c.late++
	case rejected:
		c.rejected++
	case failed:
		c.failed++
	}
}

// namedLines is the number of malformed lines that are named.
const namedLines = 5

func (l *Logs) writeMalformed(w io.Writer) error {
	if len(l.malformed) == 0 {
		return nil
	}
	named := l.malformed[:min(namedLines, len(l.malformed))]
	_, err := fmt.Fprintf(w, "\n%d lines could not be decoded: %s\n", len(l.malformed), strings.Join(named, ", "))
	return err
}

// WriteJob writes the lines about one job in the order of their times, its outcome and
// the cause. It returns an error of the kind errors.NotFound if no line is about it.
func (l *Logs) WriteJob(w io.Writer, id string) (err error) {
	defer func() { err = errors.Annotatef(err, "writing job %s", id) }()
	j, ok := l.jobs[id]
	if !ok {
		return errors.NotFoundf("line about the job")
	}
	sorted := slices.Clone(j.lines)
	slices.SortStableFunc(sorted, func(a, b line) int { return strings.Compare(a.Time, b.Time) })
	for i := range sorted {
		if _, err := fmt.Fprintf(w, "%s %s\n", sorted[i].source, sorted[i].raw); err != nil {
			return err
		}
	}
	switch o := j.outcome(); o {
	case inTime:
		_, err = fmt.Fprintln(w, "served in time")
	default:
		_, err = fmt.Fprintf(w, "not served in time: %s\n", j.cause())
	}
	return err
}

// ids returns the IDs of all jobs, sorted.
func (l *Logs) ids() []string {
	ids := make([]string, 0, len(l.jobs))
	for id := range l.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
