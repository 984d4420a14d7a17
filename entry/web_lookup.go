package entry

import (
	"net/http"

	"masticbay/job"
	"masticbay/web"
)

// handleLookup returns a job; with ?wait=true it waits for the answer.
func (e *Entry) handleLookup(w http.ResponseWriter, r *http.Request) {
	ans, found, err := e.Lookup(r.Context(), pathKey(r), r.URL.Query().Get("wait") == "true")
	if err != nil {
		fail(w, err)
		return
	}
	if !found {
		failWith(w, job.NotFound, "no such job is known here; it may have ended longer ago than answers are kept")
		return
	}
	web.Reply(w, http.StatusOK, ans)
}
