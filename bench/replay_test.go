package bench

import (
	"math/rand/v2"
	"os"
	"testing"
)

func replayed(t *testing.T, file string, change func(*replay)) *ReplayResult {
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
	if *table {
		if err := res.Write(os.Stdout); err != nil {
			t.Error(err)
		}
	}
	return res
}

// TestPatterns replays the load of each pattern. The bounds are the targets of
// Retour-Plateau for calm days and for days of high load.
func TestPatterns(t *testing.T) {
	files, err := Patterns()
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			least := 0.70
			if file == "calm.toml" {
				least = 0.95
			}
			if res := replayed(t, file, nil); res.Worth() < least {
				t.Errorf("worth %.3f, want %.2f", res.Worth(), least)
			}
		})
	}
}

// TestProgressTellsSlowWorkers: a home that hears of slow progress earns more
// than one that learns of slow workers by ends. Chance decides a lot at the
// highest load, so seeds are averaged.
func TestProgressTellsSlowWorkers(t *testing.T) {
	const seeds = 4
	for _, file := range []string{"slow.toml", "worst.toml"} {
		var seeing, blind float64
		for seed := range uint64(seeds) {
			seeing += replayed(t, file, func(r *replay) { r.reseed(seed) }).Worth() / seeds
			blind += replayed(t, file, func(r *replay) { r.reseed(seed); r.blind = true }).Worth() / seeds
		}
		t.Logf("%s: worth %.3f, and %.3f without progress", file, seeing, blind)
		if seeing <= blind {
			t.Errorf("%s: worth %.3f, and %.3f without progress", file, seeing, blind)
		}
	}
}

// TestReplayRepeats: two replays of a pattern are the same.
func TestReplayRepeats(t *testing.T) {
	a, b := replayed(t, "worst.toml", nil), replayed(t, "worst.toml", nil)
	if a.Worth() != b.Worth() || a.Starts != b.Starts {
		t.Errorf("worth %g and %g, %d and %d starts", a.Worth(), b.Worth(), a.Starts, b.Starts)
	}
}

func TestWrongPatternsAreRefused(t *testing.T) {
	for _, raw := range []string{"", "seconds = 3", "seconds = \"x\"",
		"seconds = 3\n[[workers]]\ncount = 1\ncpu = 10\nslowness = 1\n[[queues]]\nname = \"q\"\nperSecond = 1\ntasks = 1\ncpu = 1\nworkMs = 1\n[[events]]\nkind = \"flood\""} {
		if _, err := DecodePattern([]byte(raw)); err == nil {
			t.Errorf("taken: %q", raw)
		}
	}
}

func (r *replay) reseed(seed uint64) { r.rng = rand.New(rand.NewPCG(seed, 1)) }
