package site

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"masticbay/platform"
)

// TestUnansweredStateIsNotUnknown guards against a false loss: an entry that must answer before a
// home or the store has told the state of a job reported the job as unknown.
func TestUnansweredStateIsNotUnknown(t *testing.T) {
	for _, tc := range []struct {
		name       string
		stops      bool
		callerGone bool
	}{
		{"the entry stops", true, false},
		{"the connection breaks", false, true},
	} {
		e := testEntry()
		e.store = platform.NewStore("127.0.0.1:1", dialOf(unreachableNetwork{}))
		e.ending, e.answerAll = context.WithCancelCause(t.Context())
		ctx, leave := context.WithCancel(t.Context())
		defer leave()
		if tc.stops {
			e.answerAll(errStopping)
		}
		if tc.callerGone {
			leave()
		}
		w := httptest.NewRecorder()
		e.serveState(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), "1")
		if w.Code == http.StatusGone {
			t.Errorf("%s: status %d", tc.name, w.Code)
		}
		if tc.stops && w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, want %d", tc.name, w.Code, http.StatusServiceUnavailable)
		}
	}
}
