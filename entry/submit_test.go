package entry

import (
	"testing"

	"github.com/juju/errors"

	"masticbay/job"
	"masticbay/member"
	"masticbay/wire"
)

// TestRefusalAfterALostForwardIsUntrue guards against a refusal, which says that nothing ran,
// of a submission that an entry without an answer may have run.
func TestRefusalAfterALostForwardIsUntrue(t *testing.T) {
	refused := &wire.SubmitReply{Refused: &job.RefusedError{Code: job.Overloaded}}
	for name, tc := range map[string]struct {
		err  error
		want forwardResult
	}{
		"not sent":  {errors.WithType(errors.New("no connection"), wire.ErrNotSent), forwardRefused},
		"no answer": {errors.WithType(errors.New("broken"), wire.ErrBroken), forwardUnresolved},
	} {
		var s submission
		if got := s.recordForward(member.Entry{ID: "e1"}, nil, tc.err); got != forwardFailed {
			t.Errorf("%s: result %d of the first forward", name, got)
		}
		if got := s.recordForward(member.Entry{ID: "e2"}, refused, nil); got != tc.want {
			t.Errorf("%s: result %d of the refusal, want %d", name, got, tc.want)
		}
	}
}
