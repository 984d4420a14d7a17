package table

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"masticbay/job"
)

// csvHeader is the first line of the table as CSV.
var csvHeader = []string{"kind", "name", "weight", "limit", "drain", "revision"}

// WriteCSV writes rows as CSV, which ReadCSV reads and spreadsheets can edit.
func WriteCSV(w io.Writer, rows []Row) error {
	cw := csv.NewWriter(w)
	_ = cw.Write(csvHeader)
	for _, r := range rows {
		_ = cw.Write([]string{
			string(r.Kind), r.Name, strconv.FormatFloat(r.Weight, 'g', -1, 64),
			strconv.Itoa(r.Limit), strconv.FormatBool(r.Drain), strconv.FormatUint(r.Revision, 10),
		})
	}
	cw.Flush()
	return errors.Annotate(cw.Error(), "writing the table")
}

// ReadCSV reads rows from CSV. The revision column is the revision that the line
// is based on; it may be empty for a new row.
func ReadCSV(r io.Reader) (rows []Row, err error) {
	defer func() { err = errors.Annotate(err, "reading the table") }()
	cr := csv.NewReader(r)
	cr.FieldsPerRecord = len(csvHeader)
	lines, err := cr.ReadAll()
	if err != nil {
		return nil, err
	}
	if len(lines) == 0 || !slices.Equal(lines[0], csvHeader) {
		return nil, errors.Errorf("the first line must be %v", csvHeader)
	}
	for i, line := range lines[1:] {
		row, err := parseLine(line)
		if err == nil {
			err = row.Check()
		}
		if err != nil {
			return nil, errors.Annotatef(err, "line %d", i+2)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func parseLine(line []string) (r Row, err error) {
	r = Row{Kind: Kind(line[0]), Name: line[1]}
	if r.Weight, err = strconv.ParseFloat(line[2], 64); err != nil {
		return r, &job.ValueError{Field: "weight", Value: line[2], Allowed: "a number"}
	}
	if r.Limit, err = strconv.Atoi(line[3]); err != nil {
		return r, &job.ValueError{Field: "limit", Value: line[3], Allowed: "a whole number"}
	}
	if r.Drain, err = strconv.ParseBool(line[4]); err != nil {
		return r, &job.ValueError{Field: "drain", Value: line[4], Allowed: "true or false"}
	}
	if line[5] == "" {
		return r, nil
	}
	if r.Revision, err = strconv.ParseUint(line[5], 10, 64); err != nil {
		return r, &job.ValueError{Field: "revision", Value: line[5], Allowed: "a revision, or nothing for a new row"}
	}
	return r, nil
}

// SameSettings reports whether a and b have the same weight, limit, drain and
// removed values.
func SameSettings(a, b Row) bool {
	return a.Weight == b.Weight && a.Limit == b.Limit && a.Drain == b.Drain && a.Removed == b.Removed
}

// Diff returns the edits that turn the rows in before into those in after. A
// row that is missing in after gets no edit.
func Diff(before, after []Row) (edits []Edit) {
	beforeByID := make(map[string]Row)
	for _, r := range before {
		beforeByID[r.ID()] = r
	}
	for _, r := range after {
		if previous, ok := beforeByID[r.ID()]; ok && SameSettings(previous, r) {
			continue
		}
		edits = append(edits, Edit{Row: r, Base: r.Revision})
	}
	return edits
}
