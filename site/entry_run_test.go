package site

import (
	"testing"

	"masticbay/work"
)

// TestRejectionIsTrue: a job that one home may have run is not said to have been
// rejected because the next one rejects it.
func TestRejectionIsTrue(t *testing.T) {
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
			t.Errorf("sent %t, %s: told as %s, want %s", tc.sent, tc.out, got.State, tc.want)
		}
	}
}
