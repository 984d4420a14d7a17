// Package table holds the operators' table of weights and limits.
//
// # Model
//
// The table has one row for each service, target or team that operators have
// edited. A row carries the revision that the platform's key-value service
// assigned to its last change; revisions grow over the whole table. An edit
// names the revision of the row that it is based on, and fails with a
// *ConflictError if the row has changed since. Every process applies only
// newer revisions, so that a late message never reverts a change.
//
// # Usage
//
//	ed := table.Editor{Store: store, Clock: clock.System{}, NewID: newID}
//	row := table.Row{Kind: table.Team, Name: "laval", Weight: 1, Limit: 8}
//	row, err := ed.Set(ctx, table.Edit{Row: row, Base: 12})
package table

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"masticbay/job"
)

// Kind is the kind of thing that a row is about.
type Kind string

// The kinds of rows.
const (
	Service Kind = "service"
	Target  Kind = "target"
	Team    Kind = "team"
)

// Row is one row of the table.
type Row struct {
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Weight   float64   `json:"weight"` // share relative to rows of the same kind; usually 1
	Limit    int       `json:"limit"`  // concurrent tasks; 0 means no limit, -1 that nothing may run
	Drain    bool      `json:"drain"`  // only for targets: start no new tasks
	Removed  bool      `json:"removed,omitempty"`
	Revision uint64    `json:"revision"`          // 0 in an edit of a row that does not exist
	EditID   string    `json:"editID"`            // identifies the edit that wrote the row
	Earlier  []string  `json:"earlier,omitempty"` // identifiers of earlier edits of the row, the latest first
	Edited   time.Time `json:"edited"`
	Author   string    `json:"author,omitempty"`
}

// ID returns the row's identifier, unique in the table.
func (r *Row) ID() string {
	return string(r.Kind) + "/" + r.Name
}

// maxEarlierEdits bounds the identifiers of earlier edits that a row keeps. After
// a lost answer, the outcome of an edit can be determined as long as fewer than
// this many edits came after it.
const maxEarlierEdits = 32

// editIDs returns the identifiers of the edits that led to this row's state, the
// latest first, as far as they are kept.
func (r *Row) editIDs() []string {
	if r.EditID == "" {
		return nil
	}
	ids := append([]string{r.EditID}, r.Earlier...)
	return ids[:min(len(ids), maxEarlierEdits)]
}

// includesEdit reports whether the edit led to this row's state, as far as edits
// are kept.
func (r *Row) includesEdit(editID string) bool {
	return slices.Contains(r.editIDs(), editID)
}

const (
	maxWeight = 1000.0
	maxLimit  = 1_000_000 // tasks
)

// Check returns a *job.ValueError about the first value that is not allowed, or
// nil.
func (r *Row) Check() error {
	switch {
	case r.Kind != Service && r.Kind != Target && r.Kind != Team:
		return &job.ValueError{Field: "kind", Value: string(r.Kind), Allowed: "service, target or team"}
	case !job.ValidName(r.Name):
		return &job.ValueError{Field: "name", Value: r.Name, Allowed: job.AllowedName}
	case !(r.Weight >= 0 && r.Weight <= maxWeight):
		return &job.ValueError{Field: "weight", Value: strconv.FormatFloat(r.Weight, 'g', -1, 64), Allowed: "0 to 1000"}
	case r.Limit < -1 || r.Limit > maxLimit:
		return &job.ValueError{Field: "limit", Value: strconv.Itoa(r.Limit), Allowed: "-1 (nothing may run), 0 (no limit) or up to 1000000 tasks"}
	case r.Drain && r.Kind != Target:
		return &job.ValueError{Field: "drain", Value: "true", Allowed: "false except for targets"}
	}
	return nil
}

// ConflictError reports that a row has changed since the revision that an edit
// is based on. Nothing was written.
type ConflictError struct {
	Base    uint64
	Current Row
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has changed: the edit is based on revision %d, the row is at %d", e.Current.ID(), e.Base, e.Current.Revision)
}
