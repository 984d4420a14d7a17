package bench

import (
	"math/rand/v2"
	"os"
	"testing"
)

// replayPattern replays an embedded pattern after change has been applied to the
// replay.
func replayPattern(t *testing.T, file string, change func(*replay)) *ReplayResult {
	t.Helper()
	p, err := EmbeddedPattern(file)
	if err != nil {
		t.Fatal(err)
	}
	r := newReplay(p)
	if change != nil {
		change(r)
	}
	res := r.run()
	if *printTable {
		if err := res.Write(os.Stdout); err != nil {
			t.Error(err)
		}
	}
	return res
}

// TestPatterns checks the worth that each pattern earns. The limits are the targets
// of Retour-Plateau for calm days and for days of high load, unless a pattern has its own:
// above its capacity no policy serves all jobs.
func TestPatterns(t *testing.T) {
	files, err := Patterns()
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			t.Parallel()
			minWorth := 0.70
			if file == "calm.toml" {
				minWorth = 0.95
			}
			if p, err := EmbeddedPattern(file); err == nil && p.MinWorth > 0 {
				minWorth = p.MinWorth
			}
			if res := replayPattern(t, file, nil); res.Worth() < minWorth {
				t.Errorf("worth %.3f; want at least %.2f", res.Worth(), minWorth)
			} else if check := overloadChecks[file]; check != nil {
				check(t, res)
			}
		})
	}
}

// TestProgressRevealsSlowWorkers checks that a home earns more if reports tell it of
// slow progress than if it learns of slow workers only when runs end. It averages
// over seeds, as random draws decide a lot at the highest load.
func TestProgressRevealsSlowWorkers(t *testing.T) {
	t.Parallel()
	const seeds = 4
	for _, file := range []string{"slow.toml", "worst.toml"} {
		var informed, uninformed float64
		for seed := range uint64(seeds) {
			informed += replayPattern(t, file, func(r *replay) { r.reseed(seed) }).Worth() / seeds
			uninformed += replayPattern(t, file, func(r *replay) { r.reseed(seed); r.withholdsSlowness = true }).Worth() / seeds
		}
		t.Logf("%s: worth %.3f with reports of slow progress, %.3f without", file, informed, uninformed)
		if informed <= uninformed {
			t.Errorf("%s: worth %.3f with reports of slow progress, %.3f without", file, informed, uninformed)
		}
	}
}

// TestReplayIsRepeatable checks that two replays of a pattern give the same result.
func TestReplayIsRepeatable(t *testing.T) {
	a, b := replayPattern(t, "worst.toml", nil), replayPattern(t, "worst.toml", nil)
	if a.Worth() != b.Worth() || a.Starts != b.Starts {
		t.Errorf("two replays differ: worth %g and %g, %d and %d starts", a.Worth(), b.Worth(), a.Starts, b.Starts)
	}
}

func TestInvalidPatternsAreRefused(t *testing.T) {
	for _, raw := range []string{"", "seconds = 3", "seconds = \"x\"",
		"seconds = 3\n[[workers]]\ncount = 1\ncpu = 10\nslowness = 1\n[[queues]]\nname = \"q\"\nperSecond = 1\ntasks = 1\ncpu = 1\nworkMs = 1\n[[events]]\nkind = \"flood\""} {
		if _, err := DecodePattern([]byte(raw)); err == nil {
			t.Errorf("no error for the pattern %q", raw)
		}
	}
}

// reseed replaces the seed of the pattern.
func (r *replay) reseed(seed uint64) { r.rng = rand.New(rand.NewPCG(seed, 1)) }

// TestLossOfAHomeDelaysItsCellOnly compares the loss of one home of six with that of
// the only home of a site of 240 workers.
func TestLossOfAHomeDelaysItsCellOnly(t *testing.T) {
	t.Parallel()
	notInTime := func(homes int, loss bool) (n int) {
		res := replayPattern(t, "large.toml", func(r *replay) {
			r.pattern.Homes, r.pattern.Seconds = homes, 7 // 2 s after the loss
			r.homes = newModelHomes(r.pattern, r.homes[0].node)
			for i := range r.pattern.Events {
				if e := &r.pattern.Events[i]; e.Kind == EventHomeLoss {
					e.Home = 0
					if !loss {
						e.At = r.pattern.Seconds + tailDuration.Seconds() + 1
					}
				}
			}
		})
		for _, q := range res.Queues {
			n += q.Late + q.Missed + q.Rejected
		}
		return n
	}
	divided, whole := notInTime(6, true)-notInTime(6, false), notInTime(1, true)-notInTime(1, false)
	t.Logf("%d more jobs not in time after the loss of one home of six, %d after that of the only one", divided, whole)
	if 4*divided > whole {
		t.Errorf("%d more jobs not in time after the loss of one home of six, want at most a quarter of %d", divided, whole)
	}
}
