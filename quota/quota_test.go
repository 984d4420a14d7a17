package quota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"masticbay/quota"
)

// TestUseNeverExceedsTheLimit lets entries request, receive and miss grants at
// random and checks that the sum of what they may use stays within the limit.
func TestUseNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		names := []string{"e1", "e2", "e3", "e4"}
		now := time.Unix(1_000_000, 0)
		var l quota.Lender
		holders := make(map[string]*quota.Holder)
		for _, n := range names {
			holders[n] = &quota.Holder{}
		}
		t.Repeat(map[string]func(*rapid.T){
			"exchange": func(t *rapid.T) {
				e := rapid.SampledFrom(names).Draw(t, "entry")
				need := quota.Need{Want: rapid.IntRange(0, 50).Draw(t, "want"), Limit: limit, Entries: len(names)}
				amount := l.Lend(now, "laval", e, need)
				if rapid.Bool().Draw(t, "arrives") {
					holders[e].Apply(now, "laval", amount)
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, h := range holders {
					sum += h.Limit(now, "laval", limit, len(names))
				}
				if sum > limit {
					t.Fatalf("the entries may run %d tasks; the limit is %d", sum, limit)
				}
			},
		})
	})
}

func TestOneEntryGetsWhatTheOthersDoNotWant(t *testing.T) {
	var l quota.Lender
	now := time.Unix(1_000_000, 0)
	need := quota.Need{Want: 100, Limit: 40, Entries: 4}
	if got := l.Lend(now, "laval", "e1", need); got != 36 {
		t.Errorf("lent %d, want all but the bases, 36", got)
	}
	if got := l.Lend(now, "laval", "e2", need); got != 0 {
		t.Errorf("lent %d of what another entry may still use, want 0", got)
	}
	now = now.Add(quota.ReservationTerm / 2)
	if got := l.Lend(now, "laval", "e1", need); got != 18 {
		t.Errorf("lent %d, want half, 18", got)
	}
	now = now.Add(quota.ReservationTerm/2 + time.Second) // the first, larger grant has ended
	if got := l.Lend(now, "laval", "e2", need); got != 18 {
		t.Errorf("lent %d, want the other half, 18", got)
	}
}

func TestLoweredLimitHoldsOnceTermsHaveEnded(t *testing.T) {
	var l quota.Lender
	var h quota.Holder
	now := time.Unix(1_000_000, 0)
	h.Apply(now, "laval", l.Lend(now, "laval", "e1", quota.Need{Want: 50, Limit: 40, Entries: 1}))
	now = now.Add(quota.GrantTerm)
	if got := h.Limit(now, "laval", 10, 1); got > 10 {
		t.Errorf("the entry may run %d tasks after the limit was lowered to 10", got)
	}
}

// TestShareOfAnIdleEntryIsFreed checks that an entry that still reports but wants
// nothing keeps its share for one term only.
func TestShareOfAnIdleEntryIsFreed(t *testing.T) {
	var l quota.Lender
	now := time.Unix(1_000_000, 0)
	busy := quota.Need{Want: 100, Limit: 40, Entries: 4}
	idle := quota.Need{Limit: 40, Entries: 4}
	l.Lend(now, "laval", "e1", busy)
	for end := now.Add(quota.ReservationTerm); now.Before(end); now = now.Add(quota.ReservationTerm / 10) {
		l.Lend(now, "laval", "e1", idle)
		l.Lend(now, "laval", "e2", busy)
	}
	if got := l.Lend(now, "laval", "e2", busy); got != 36 {
		t.Errorf("lent %d, want what the idle entry had, 36", got)
	}
}
