package site

import (
	"testing"

	"masticbay/work"
)

// TestRejectionAfterLostHomeIsUnknown guards against a false rejection: a job that a
// lost home may have run is not reported as rejected when the next home rejects it.
func TestRejectionAfterLostHomeIsUnknown(t *testing.T) {
	for _, tc := range []struct {
		sent bool
		out  work.State
		want work.State
	}{
		{sent: false, out: work.Rejected, want: work.Rejected},
		{sent: true, out: work.Rejected, want: work.Unknown},
		{sent: true, out: work.Completed, want: work.Completed},
	} {
		if got := truthful(work.Outcome{State: tc.out}, tc.sent); got.State != tc.want {
			t.Errorf("sent %t, %s: reported as %s, want %s", tc.sent, tc.out, got.State, tc.want)
		}
	}
}
