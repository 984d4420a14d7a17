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
	found, err := e.Cancel(r.Context(), k)
	if err != nil {
		fail(w, err)
		return
	}
	if !found {
		failWith(w, job.NotFound, "no such job is known here")
		return
	}
	ans, _, err := e.Lookup(r.Context(), k, false)
	if err != nil {
		e.log.Debug().Err(err).Str("key", string(k)).Msg("cancelled job not found again")
	}
	web.Reply(w, http.StatusAccepted, ans)
}
