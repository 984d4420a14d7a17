package entry

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"masticbay/job"
	"masticbay/store"
	"masticbay/table"
	"masticbay/web"
)

// handleTableList lists the rows that are in force here.
func (e *Entry) handleTableList(w http.ResponseWriter, _ *http.Request) {
	rows := []table.Row{}
	for _, r := range e.rows.Current().Rows(0) {
		if !r.Removed {
			rows = append(rows, r)
		}
	}
	web.Reply(w, http.StatusOK, rows)
}

// handleTableGet reads one row from the key-value service. While that does not
// answer, it returns the row in force here.
func (e *Entry) handleTableGet(w http.ResponseWriter, r *http.Request) {
	kind, name := pathRow(r)
	row, err := e.editor.Get(r.Context(), kind, name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		row, _ = e.rows.Current().Row(kind, name)
	}
	if row.Revision == 0 {
		failWith(w, job.NotFound, "no row "+row.ID())
		return
	}
	web.Reply(w, http.StatusOK, row)
}

func pathRow(r *http.Request) (table.Kind, string) {
	vars := pathvar.Vars(r)
	return table.Kind(vars["kind"]), vars["name"]
}

// RowEdit is the body of PUT /v1/table/:kind/:name. Base is the revision of the
// row that the edit is based on, 0 for a row that does not exist.
type RowEdit struct {
	Base    uint64  `json:"base"`
	Weight  float64 `json:"weight"`
	Limit   int     `json:"limit"`
	Drain   bool    `json:"drain"`
	Removed bool    `json:"removed"`
	Author  string  `json:"author"`
}

// handleTableSet edits one row.
func (e *Entry) handleTableSet(w http.ResponseWriter, r *http.Request) {
	var edit RowEdit
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&edit); err != nil {
		failWith(w, job.Invalid, "malformed body: "+err.Error())
		return
	}
	kind, name := pathRow(r)
	row := table.Row{
		Kind: kind, Name: name, Weight: edit.Weight, Limit: edit.Limit,
		Drain: edit.Drain, Removed: edit.Removed, Author: edit.Author,
	}
	row, err := e.editor.Set(r.Context(), table.Edit{Row: row, Base: edit.Base})
	if err != nil {
		failEdit(w, err)
		return
	}
	web.Reply(w, http.StatusOK, row)
}

func failEdit(w http.ResponseWriter, err error) {
	if conflict, ok := errors.AsType[*table.ConflictError](err); ok {
		web.Reply(w, http.StatusConflict, Problem{
			Code: "conflict", Message: conflict.Error(), Started: startedNothing, Current: &conflict.Current,
		})
		return
	}
	if bad, ok := errors.AsType[*job.ValueError](err); ok {
		failWith(w, job.Invalid, bad.Error())
		return
	}
	if _, ok := errors.AsType[*table.UncertainError](err); ok {
		web.Reply(w, http.StatusBadGateway, Problem{Code: "uncertain", Message: err.Error(), Started: startedUnknown})
		return
	}
	web.Reply(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Message: err.Error(), Started: startedNothing})
}

// handleTableHistory lists the earlier states of a row.
func (e *Entry) handleTableHistory(w http.ResponseWriter, r *http.Request) {
	kind, name := pathRow(r)
	rows, err := e.editor.History(r.Context(), kind, name)
	if err != nil {
		failEdit(w, err)
		return
	}
	web.Reply(w, http.StatusOK, rows)
}
