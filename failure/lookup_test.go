package failure

import (
	"context"
	"testing"
	"time"

	"masticbay/job"
)

// TestJobIsUnknownWhileAnEntryIsSilent guards against a caller who is told that there is no such
// job, although an entry that may have it did not answer.
func TestJobIsUnknownWhileAnEntryIsSilent(t *testing.T) {
	runWithSite(t, 2, func(t *testing.T, s *site) {
		key := job.MakeKey(team, "x")
		ask := func(want string) {
			t.Helper()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			if found, err := s.entry(0).Cancel(ctx, key); found || (err != nil) != (want == "error") {
				t.Errorf("cancellation: found %t, error %v, want %s", found, err, want)
			}
			if _, found, err := s.entry(0).Lookup(ctx, key, false); found || (err != nil) != (want == "error") {
				t.Errorf("lookup: found %t, error %v, want %s", found, err, want)
			}
		}
		ask("no such job")
		s.network.cut(entryName(0), entryName(1), true)
		s.network.cut(entryName(1), entryName(0), true)
		ask("error")
	})
}
