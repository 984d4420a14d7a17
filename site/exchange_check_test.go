package site

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

var (
	exchangeSeeds = flag.Int("exchangeSeeds", 60, "number of seeds of TestRandomExchanges")
	exchangeFrom  = flag.Uint64("exchangeFrom", 0, "first seed of TestRandomExchanges")
	exchangeLines = flag.Int("exchangeLines", 40, "lines of the log that a failed walk prints")
)

// TestRandomExchanges guards against a task that runs again after its end was acknowledged: homes
// take the ledger over while replies of agents are delayed and arrive in any order. For a longer walk:
// go test -run TestRandomExchanges ./site -exchangeSeeds 100000 -timeout 60m.
func TestRandomExchanges(t *testing.T) {
	parts := runtime.GOMAXPROCS(0)
	for part := range parts {
		t.Run(fmt.Sprint("part", part), func(t *testing.T) {
			t.Parallel()
			for i := part; i < *exchangeSeeds; i += parts {
				checkExchanges(t, *exchangeFrom+uint64(i))
			}
		})
	}
}

// exchangeRegressions are seeds of walks that failed before a change, with what they failed for.
var exchangeRegressions = []struct {
	failure string
	seeds   []uint64
}{
	{"replies of an agent cross", []uint64{245, 403, 513, 636, 1072, 1144, 1214, 1463, 1798, 1850}},
	{"an earlier incarnation's events are acknowledged", []uint64{1750}},
}

// TestExchangeRegressions plays the walks that failed before.
func TestExchangeRegressions(t *testing.T) {
	for _, tc := range exchangeRegressions {
		t.Run(tc.failure, func(t *testing.T) {
			t.Parallel()
			for _, seed := range tc.seeds {
				checkExchanges(t, seed)
			}
		})
	}
}

func checkExchanges(t *testing.T, seed uint64) {
	t.Helper()
	checkWalk(t, seed, newExchangeWalk(seed, nil))
}

func checkWalk(t *testing.T, seed uint64, w *exchangeWalk) {
	t.Helper()
	if err := w.play(); err != nil {
		t.Errorf("seed %d: %v\n%s", seed, err, strings.Join(w.log[max(0, len(w.log)-*exchangeLines):], "\n"))
	}
}
