package integration

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"masticbay/entry"
)

// TestKilledPausedAndDisconnected kills, pauses and disconnects processes while
// callers submit and resubmit jobs.
func TestKilledPausedAndDisconnected(t *testing.T) {
	s := newSite(t, 2, 4, "3s")
	s.awaitAll("4 agents", readyWithoutClaims(4))
	w := &workload{site: s, prefix: "faults", callers: 8, jobs: 40, tasks: 5}
	var wg sync.WaitGroup
	wg.Go(w.run)
	time.Sleep(300 * time.Millisecond)
	s.kill("agent0")
	s.start("agent", "agent0")
	s.signal("agent1", syscall.SIGSTOP)
	time.Sleep(700 * time.Millisecond)
	s.signal("agent1", syscall.SIGCONT)
	s.inject(2, "reset_peer", `{"timeout":0}`, 500*time.Millisecond)
	s.inject(3, "timeout", `{"timeout":0}`, time.Second)
	s.inject(3, "latency", `{"latency":80,"jitter":40}`, 500*time.Millisecond)
	s.kill("entry0")
	s.start("entry", "entry0")
	s.signal("entry1", syscall.SIGSTOP)
	time.Sleep(700 * time.Millisecond)
	s.signal("entry1", syscall.SIGCONT)
	wg.Wait()
	if v, _ := s.checkAnswers(w); v.Started == 0 {
		t.Error("no task was started")
	}
}

// inject applies a toxic to the connections of an agent, in both directions, for
// the given time.
func (s *site) inject(agent int, kind, attributes string, duration time.Duration) {
	s.t.Helper()
	toxics := s.agentProxies[agent].Toxics
	for _, stream := range []string{"upstream", "downstream"} {
		text := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, stream, attributes)
		if _, err := toxics.AddToxicJson(strings.NewReader(text)); err != nil {
			s.t.Fatal(err)
		}
	}
	time.Sleep(duration)
	toxics.ResetToxics(s.t.Context())
}

// TestRollingReplacement stops and starts every entry and agent in turn under
// load. No job may fail and no task may be interrupted.
func TestRollingReplacement(t *testing.T) {
	s := newSite(t, 2, 3, "3s")
	s.awaitAll("3 agents", readyWithoutClaims(3))
	w := &workload{site: s, prefix: "rolling", callers: 6, jobs: 100, tasks: 4}
	var wg sync.WaitGroup
	wg.Go(w.run)
	time.Sleep(200 * time.Millisecond)
	for i := range 3 {
		s.stop(processName("agent", i))
		s.start("agent", processName("agent", i))
		s.awaitAll("the replaced agent", listed(3))
	}
	for i := range s.entries {
		s.stop(processName("entry", i))
		s.start("entry", processName("entry", i))
		s.await(i, "the agents", listed(3))
	}
	wg.Wait()
	if _, failed := s.checkAnswers(w); failed > 0 {
		t.Errorf("%d jobs failed", failed)
	}
}

// listed returns a condition: at least n agents are listed, so that they can take
// tasks, though perhaps only claimed ones.
func listed(n int) func(entry.StatusReply) bool {
	return func(st entry.StatusReply) bool {
		count := 0
		for _, a := range st.Agents {
			if a.State == "ready" || a.State == "young" {
				count++
			}
		}
		return count >= n
	}
}

// TestStopWaitsForLongTasks stops an entry and an agent while a task of 10 s runs,
// which is longer than the HTTP library alone lets a shutdown take.
func TestStopWaitsForLongTasks(t *testing.T) {
	s := newSite(t, 1, 1, "30s")
	s.await(0, "the agent, and to be ready", func(st entry.StatusReply) bool { return listed(1)(st) && st.Ready })
	w := &workload{site: s, prefix: "long", callers: 1}
	var wg sync.WaitGroup
	wg.Go(func() { w.submitLong(10_000) })
	s.awaitStart(0)
	var stops sync.WaitGroup
	stops.Go(func() { s.stop("agent0") })
	stops.Go(func() { s.stop("entry0") })
	wg.Wait()
	stops.Wait()
	if _, failed := s.checkAnswers(w); failed > 0 || len(w.answers) != 1 {
		t.Errorf("the long task was interrupted: %d answers, %d failed", len(w.answers), failed)
	}
}

// awaitStart waits until the journal of a target has a start. The counts of an
// entry don't show this: a dispatched task may not have reached its agent yet.
func (s *site) awaitStart(i int) {
	s.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s.startCount(i) > 0 {
			return
		}
	}
	s.t.Fatalf("target %d started no task in %v", i, awaitTimeout)
}

// TestKeyValueOutage makes the key-value service fail, and then lose answers,
// while jobs run and an agent is replaced.
func TestKeyValueOutage(t *testing.T) {
	s := newSite(t, 2, 3, "3s")
	s.awaitAll("3 agents", readyWithoutClaims(3))
	s.setFaults(`{"outage":true}`)
	w := &workload{site: s, prefix: "outage", callers: 6, jobs: 40, tasks: 4}
	w.run()
	if _, failed := s.checkAnswers(w); failed > 0 {
		t.Errorf("%d jobs failed while only the key-value service was down", failed)
	}
	s.stop("agent0")
	s.start("agent", "agent0")
	s.await(0, "the unlisted agent", func(st entry.StatusReply) bool {
		for _, a := range st.Agents {
			if a.State == "unlisted" {
				return true
			}
		}
		return false
	})
	s.setFaults(`{"loseAnswers":true}`)
	lossy := &workload{site: s, prefix: "lost", callers: 6, jobs: 20, tasks: 4}
	lossy.run()
	s.setFaults(`{}`)
	s.await(0, "all agents", listed(3))
	s.checkAnswers(w, lossy)
}
