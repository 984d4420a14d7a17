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

// TestKilledPausedAndDisconnected kills, pauses and cuts off processes while callers
// submit and resubmit.
func TestKilledPausedAndDisconnected(t *testing.T) {
	s := newSite(t, 2, 4, "3s")
	s.awaitAll("4 agents", readyWithoutClaims(4))
	c := &workload{s: s, prefix: "faults", callers: 8, jobs: 40, tasks: 5}
	var wg sync.WaitGroup
	wg.Go(c.run)
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
	if v, _ := s.checkAnswers(c); v.Started == 0 {
		t.Error("nothing was started")
	}
}

// inject applies a toxic to the connections of an agent, both ways, for a
// while.
func (s *site) inject(agent int, kind, attributes string, d time.Duration) {
	s.t.Helper()
	ts := s.agentProxies[agent].Toxics
	for _, stream := range []string{"upstream", "downstream"} {
		text := fmt.Sprintf(`{"type":%q,"stream":%q,"attributes":%s}`, kind, stream, attributes)
		if _, err := ts.AddToxicJson(strings.NewReader(text)); err != nil {
			s.t.Fatal(err)
		}
	}
	time.Sleep(d)
	ts.ResetToxics(s.t.Context())
}

// TestRollingReplacement stops and starts every process in turn under load. No
// job may fail and no task may be interrupted.
func TestRollingReplacement(t *testing.T) {
	s := newSite(t, 2, 3, "3s")
	s.awaitAll("3 agents", readyWithoutClaims(3))
	c := &workload{s: s, prefix: "rolling", callers: 6, jobs: 100, tasks: 4}
	var wg sync.WaitGroup
	wg.Go(c.run)
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
	if _, failed := s.checkAnswers(c); failed > 0 {
		t.Errorf("%d jobs failed", failed)
	}
}

// listed reports whether n agents can take work, also if only claimed work.
func listed(n int) func(entry.StatusReply) bool {
	return func(st entry.StatusReply) bool {
		up := 0
		for _, a := range st.Agents {
			if a.State == "ready" || a.State == "young" {
				up++
			}
		}
		return up >= n
	}
}

// TestStopWaitsForLongTasks stops an entry and an agent while a task of 10 s
// runs: longer than the HTTP library would let a stop take by itself.
func TestStopWaitsForLongTasks(t *testing.T) {
	s := newSite(t, 1, 1, "30s")
	s.await(0, "the agent", listed(1))
	c := &workload{s: s, prefix: "long", callers: 1}
	var wg sync.WaitGroup
	wg.Go(func() { c.submitLong(10_000) })
	s.awaitStart(0)
	var stops sync.WaitGroup
	stops.Go(func() { s.stop("agent0") })
	stops.Go(func() { s.stop("entry0") })
	wg.Wait()
	stops.Wait()
	if _, failed := s.checkAnswers(c); failed > 0 || len(c.answers) != 1 {
		t.Errorf("the long task was interrupted: %d answers, %d failed", len(c.answers), failed)
	}
}

// awaitStart waits until a target has recorded a start. An entry's counts don't
// show this: a task that is dispatched may not have reached its agent.
func (s *site) awaitStart(i int) {
	s.t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.startCount(i) > 0 {
			return
		}
	}
	s.t.Fatalf("target %d started nothing in %v", i, awaitTimeout)
}

// TestKeyValueOutage lets the key-value service fail and lose answers while
// jobs run and an agent and an entry are replaced.
func TestKeyValueOutage(t *testing.T) {
	s := newSite(t, 2, 3, "3s")
	s.awaitAll("3 agents", readyWithoutClaims(3))
	s.setFaults(`{"outage":true}`)
	c := &workload{s: s, prefix: "outage", callers: 6, jobs: 40, tasks: 4}
	c.run()
	if _, failed := s.checkAnswers(c); failed > 0 {
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
	d := &workload{s: s, prefix: "lost", callers: 6, jobs: 20, tasks: 4}
	d.run()
	s.setFaults(`{}`)
	s.await(0, "all agents", listed(3))
	s.checkAnswers(c, d)
}
