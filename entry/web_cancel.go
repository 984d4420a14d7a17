package entry

import (
	"net/http"

	"masticbay/job"
	"masticbay/web"
)

// handleCancel cancels a job. Tasks that have started run to their end; the
// answer of the job lists those that did not run.
func (e *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	k := pathKey(r)
	if !e.Cancel(r.Context(), k) {
		failWith(w, job.NotFound, "no such job is known here")
		return
	}
	ans, _ := e.Lookup(r.Context(), k, false)
	web.Reply(w, http.StatusAccepted, ans)
}
