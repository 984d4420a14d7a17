package failure

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"masticbay/platform/standin"
	"masticbay/work"
)

var (
	randomSeeds   = flag.Int("seeds", 10, "number of seeds of TestFleetUnderRandomFaults")
	randomSeed    = flag.Uint64("seed", 1, "first random seed of TestFleetUnderRandomFaults")
	randomWithout = flag.String("without", "^$", "regular expression of the faults to leave out")
	randomOnly    = flag.String("only", "", "regular expression of the faults to draw from")
	randomFaultsN = flag.Int("faults", 0, "number of faults of a seed; two to four if 0")
	randomCells   = flag.Bool("cells", false, "divide the fleet into two cells")
	failedLogs    = flag.String("failedLogs", "", "directory for the logs of the seeds that fail")
	sameLife      = flag.Bool("sameLife", false, "drop late orders that reach a later incarnation of their worker")
)

// Variants that the names of faults to leave out may name as well.
const (
	unseenCallers       = "callers leave unseen"
	earlyReturns        = "callers back early"
	restartsUnderSameID = "workers return under the same ID"
)

// randomDigit is the first digit of the IDs of jobs whose next two digits are their run
// time in tenths of a second.
const randomDigit = 'f'

func randomRunTime(task string) time.Duration {
	tenths, _ := strconv.Atoi(task[1:3])
	return time.Duration(tenths) * 100 * time.Millisecond
}

// faultInterval is the mean time between faults if their number is given.
const faultInterval = 300 * time.Millisecond

// randomAttempts is how often a caller submits a job.
const randomAttempts = 4

// TestFleetUnderRandomFaults injects two to four faults at random times, while callers leave and submit
// their jobs again at other entries. No task may run twice at the same time, and no job may
// run of which all submissions were rejected.
func TestFleetUnderRandomFaults(t *testing.T) {
	without, only := regexp.MustCompile(*randomWithout), regexp.MustCompile(*randomOnly)
	kinds := slices.DeleteFunc(slices.Clone(randomKinds), func(k randomFault) bool { return without.MatchString(k.name) || !only.MatchString(k.name) })
	for seed := *randomSeed; seed < *randomSeed+uint64(*randomSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cellSize := 0
			if *randomCells {
				cellSize = fleetAgents / 2
			}
			keepLogs(t)
			runWithCells(t, cellSize, func(t *testing.T, s *fleet) {
				rng := rand.New(rand.NewPCG(seed, 0))
				f := &randomFaults{s: s, sameIDs: !without.MatchString(restartsUnderSameID)}
				f.orders = lateOrders{workers: s.workers[:], sameLife: *sameLife, rng: rand.New(rand.NewPCG(seed, 1))}
				s.setClocks()
				var parts sync.WaitGroup
				faults, loadTime := 2+rng.IntN(3), 5*time.Second
				if *randomFaultsN > 0 {
					faults, loadTime = *randomFaultsN, 5*time.Second+time.Duration(*randomFaultsN)*faultInterval
				}
				for range faults {
					kind := kinds[rng.IntN(len(kinds))]
					delay, duration := time.Second+time.Duration(rng.Int64N(int64(loadTime-5*time.Second+1500*time.Millisecond))), time.Duration(200+rng.IntN(3800))*time.Millisecond
					own := rand.New(rand.NewPCG(rng.Uint64(), 0))
					parts.Go(func() {
						time.Sleep(delay)
						t.Logf("%s: %s for %v", time.Now().Format("05.000"), kind.name, duration)
						kind.inject(f, own, duration)
					})
				}
				c := &randomCallers{s: s, rejectedOnly: make(map[string]bool), leave: !without.MatchString(unseenCallers), early: !without.MatchString(earlyReturns)}
				c.load(loadTime, rng)
				parts.Wait()
				c.check()
				described := ""
				for _, v := range standin.Overlaps(s.workers[:]...) {
					if task, _, _ := strings.Cut(v, ":"); task != described {
						described = task
						s.describeRuns(task)
					}
				}
			})
		})
	}
}

// logBuffer is a buffer of log lines.
type logBuffer struct {
	mu    sync.Mutex // guards lines
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// keepLogs writes the logs of the test to a file if it fails.
func keepLogs(t *testing.T) {
	if *failedLogs == "" {
		return
	}
	keptLog = &logBuffer{}
	t.Cleanup(func() {
		if t.Failed() {
			if err := os.WriteFile(filepath.Join(*failedLogs, filepath.Base(t.Name())+".log"), keptLog.lines.Bytes(), 0o600); err != nil {
				t.Error(err)
			}
		}
		keptLog = nil
	})
}

// describeRuns logs the runs of a task.
func (s *fleet) describeRuns(task string) {
	for i, w := range s.workers {
		for _, r := range w.Journal() {
			if r.Task == task {
				s.t.Logf("%s run %d at worker %d from %s to %s: %s", task, r.Run, i, r.StartedAt.Format("05.000"), r.EndedAt.Format("05.000"), r.EndKind)
			}
		}
	}
}

// randomCallers submit jobs, leave at random and submit them again elsewhere.
type randomCallers struct {
	s     *fleet
	leave bool // some callers leave without their entry seeing it
	early bool // callers submit again after random delays

	mu           sync.Mutex // guards what follows
	rejectedOnly map[string]bool
	completed    int
}

func (c *randomCallers) load(duration time.Duration, rng *rand.Rand) {
	var callers sync.WaitGroup
	for k := 0; k < int(duration/(70*time.Millisecond)); k++ {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		callers.Go(func() { c.submit(k, own) })
		time.Sleep(70 * time.Millisecond)
	}
	callers.Wait()
}

// submit submits one job until it is answered.
func (c *randomCallers) submit(k int, rng *rand.Rand) {
	queue, estimate, id := longQueue, lateJobEstimate, fmt.Sprintf("%c%02d%013x", randomDigit, 15+rng.IntN(35), k)
	switch rng.IntN(3) {
	case 0:
		queue, estimate, id = pingQueue, 100*time.Millisecond, fmt.Sprintf("1%015x", k)
	case 1:
		estimate = randomRunTime(id) / 2
	}
	step := work.Step{Count: 1 + rng.IntN(2), Room: work.Room{CPU: taskCPU}, Estimate: estimate}
	entry, onlyRejected := rng.IntN(fleetEntries), true
	for attempt := range randomAttempts {
		host, patience := fmt.Sprintf("caller%d-%d", k, attempt), 8*time.Second
		if rng.IntN(4) == 0 {
			patience = time.Duration(200+rng.IntN(2000)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(c.s.ctx, patience)
		if c.leave && rng.IntN(2) == 0 {
			time.AfterFunc(patience-time.Millisecond, func() { c.s.network.vanish(host) })
		}
		caller := standin.Caller{Client: &http.Client{Transport: &http.Transport{DialContext: c.s.dial(host), DisableKeepAlives: true}}, Timeout: 8 * time.Second}
		reply, err := caller.Submit(ctx, c.s.frontAddress(entry+attempt), queue.Name, id, step)
		cancel()
		switch {
		case err == nil && reply.Status == http.StatusOK:
			c.mu.Lock()
			defer c.mu.Unlock()
			c.completed++
			return
		case err != nil || reply.Status != http.StatusServiceUnavailable:
			onlyRejected = false
		}
		time.Sleep(c.delay(rng))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejectedOnly[id] = onlyRejected
}

// delay returns how long a caller waits before it submits its job again.
func (c *randomCallers) delay(rng *rand.Rand) time.Duration {
	if !c.early {
		return retransmitDelay
	}
	longest := []time.Duration{0, 500 * time.Millisecond, 3 * time.Second}[rng.IntN(3)]
	return time.Duration(rng.Float64() * float64(longest))
}

func (c *randomCallers) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, only := range c.rejectedOnly {
		if only && standin.Ran(id, c.s.workers[:]...) {
			c.s.t.Errorf("job %s was rejected and ran", id)
		}
	}
	c.s.t.Logf("%d jobs completed, %d did not", c.completed, len(c.rejectedOnly))
	if c.completed == 0 {
		c.s.t.Error("no job completed")
	}
}
