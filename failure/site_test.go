package failure

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"masticbay/agent"
	"masticbay/clock"
	"masticbay/demo"
	"masticbay/entry"
	"masticbay/job"
	"masticbay/member"
	"masticbay/setting"
	"masticbay/store"
	"masticbay/target"
)

// The size of a site, and the names and the window that it uses.
const (
	agents  = 4
	slots   = 4
	service = "pickup"
	team    = "laval"
	window  = 40 * time.Second
)

// site is an installation in one bubble.
type site struct {
	t          *testing.T
	network    *network
	store      *store.Memory
	faults     storeFaults
	gauge      gauge
	policy     setting.Policy
	stop       chan struct{}
	goroutines sync.WaitGroup
	targets    [agents]*fakeTarget
	ranking    []int // indexes of the entries by their rank as home; killed ones come last

	mu      sync.Mutex // guards what follows
	entries []*entry.Entry
	agents  [agents]*agent.Agent
	ops     []op
}

// runWithSite runs f in a bubble on a site that no longer needs claims, and then
// checks the answers that callers got.
func runWithSite(t *testing.T, entries int, f func(t *testing.T, s *site), changes ...func(*policy)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, entries, changes...)
		defer s.close()
		time.Sleep(settleTime)
		s.readRanking()
		f(t, s)
		s.checkAnswers()
	})
}

// policy holds the settings of a site that a test may change.
type policy = setting.Policy

func newSite(t *testing.T, entries int, changes ...func(*policy)) *site {
	policy := setting.Default[setting.Entry]().Policy
	policy.Window = setting.Duration(window)
	policy.HeartbeatInterval = setting.Duration(time.Second)
	policy.PeerInterval = setting.Duration(500 * time.Millisecond)
	for _, change := range changes {
		change(&policy)
	}
	s := &site{t: t, network: newNetwork(), store: store.NewMemory(clock.System{}), policy: policy, stop: make(chan struct{}), entries: make([]*entry.Entry, entries)}
	for i := range s.entries {
		s.startEntry(i)
	}
	for i := range s.agents {
		s.targets[i] = newFakeTarget(host{s.network, agentName(i)}, uint64(i), &s.gauge)
		s.startAgent(i)
		s.goroutines.Go(func() { s.announceLoop(i) })
	}
	return s
}

func entryName(i int) string { return "entry" + strconv.Itoa(i) }
func agentName(i int) string { return "agent" + strconv.Itoa(i) }

func (s *site) entryNames() (names []string) {
	for i := range s.entries {
		names = append(names, entryName(i))
	}
	return names
}

func (s *site) startEntry(i int) {
	h := host{s.network, entryName(i)}
	cfg := setting.Default[setting.Entry]()
	cfg.HTTP, cfg.RPC, cfg.Peers, cfg.Policy = "", h.name, s.entryNames(), s.policy
	cfg.Limits.Deadline = s.policy.Window
	st := hostStore{Store: s.store, host: h, faults: &s.faults}
	e, err := entry.Start(cfg, entry.Options{Log: zerolog.Nop(), Clock: hostClock{h}, Store: st, Network: h})
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i] = e
}

func (s *site) startAgent(i int) {
	h := host{s.network, agentName(i)}
	cfg := setting.Default[setting.Agent]()
	cfg.HTTP, cfg.RPC, cfg.Entries, cfg.Policy = "", h.name, s.entryNames(), s.policy
	a, err := agent.Start(cfg, agent.Options{Log: zerolog.Nop(), Network: h, Target: s.targets[i]})
	if err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[i] = a
}

func (s *site) entry(i int) *entry.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i]
}

func (s *site) agent(i int) *agent.Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[i]
}

// announceLoop sends the announcements of a target to its agent every second.
func (s *site) announceLoop(i int) {
	f := s.targets[i]
	for s.sleep(time.Second) {
		announcement, ok := f.nextAnnouncement()
		if !ok {
			continue
		}
		s.network.awaitResume(f.host.name)
		if err := s.agent(i).TakeAnnouncement(announcement); err != nil {
			s.t.Error(err)
		}
	}
}

// sleep waits for d. It reports false if the site was closed meanwhile.
func (s *site) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.stop:
		return false
	}
}

// readRanking reads the rank of the entries: the home first, then its successors
// in order.
func (s *site) readRanking() {
	var registry member.Registry
	status, err := s.entry(0).Status(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	registry.Entries = status.Entries
	for _, e := range registry.Rank(service) {
		s.ranking = append(s.ranking, slices.Index(s.entryNames(), e.Address))
	}
}

// killHome kills the entry that is home, and returns its index.
func (s *site) killHome() (killed int) {
	killed = s.ranking[0]
	s.entry(killed).Kill()
	s.ranking = append(s.ranking[1:], killed)
	return killed
}

// close kills all members and waits for the goroutines.
func (s *site) close() {
	for i := range s.entries {
		s.entry(i).Kill()
	}
	for i := range s.agents {
		s.agent(i).Kill()
	}
	close(s.stop)
	s.goroutines.Wait()
	time.Sleep(maxCallTime)
}

// maxCallTime is longer than any call of a killed member can last.
const maxCallTime = time.Minute

// checkAnswers compares the answers with the journals and with each other.
func (s *site) checkAnswers() {
	s.t.Helper()
	var journals []map[target.Started]int
	for _, f := range s.targets {
		journals = append(journals, f.journal.Counts())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var answers []job.Answer
	for _, o := range s.ops {
		answers = append(answers, o.answer)
	}
	if verdict := demo.Verify(answers, journals); verdict.HasViolations() {
		s.t.Errorf("guarantees were broken: %+v", verdict)
	}
	for key, ops := range groupByKey(s.ops) {
		if !isLinearizable(ops) {
			s.t.Errorf("the answers of %s are not linearizable: %+v", key, ops)
		}
	}
}
