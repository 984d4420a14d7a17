package entry

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"masticbay/job"
	"masticbay/web"
)

// EndReply is the reply of POST /v1/entries/ID/end.
type EndReply struct {
	Entry string `json:"entry"`
	IsNew bool   `json:"news"` // whether the entry was not known to have ended
}

// handleEnd declares, on behalf of an operator, that a listed entry has ended
// for good.
func (e *Entry) handleEnd(w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)["id"]
	if _, listed := e.registry.Load().Entry(id); !listed || id == e.id {
		failWith(w, job.NotFound, "no other entry "+id+" is listed")
		return
	}
	isNew, err := e.MarkEnded(r.Context(), id)
	if err != nil {
		fail(w, err)
		return
	}
	web.Reply(w, http.StatusOK, EndReply{Entry: id, IsNew: isNew})
}
