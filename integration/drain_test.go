package integration

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"masticbay/entry"
	"masticbay/target"
)

// TestDrainedTargetGetsNoStarts drains a target under load. Once the entries show
// it as draining and its running tasks have ended, its journal must not grow.
func TestDrainedTargetGetsNoStarts(t *testing.T) {
	s := newSite(t, 2, 2, "3s")
	s.awaitAll("2 agents", listed(2))
	before := &workload{site: s, prefix: "before", callers: 4, jobs: 10, tasks: 4}
	var wg sync.WaitGroup
	wg.Go(before.run)
	s.editTable("target", "desk0", `{"base":0,"weight":1,"drain":true}`)
	s.awaitAll("the draining target", func(st entry.StatusReply) bool {
		for _, a := range st.Agents {
			if a.Target == "desk0" && a.State == "draining" && a.Running == 0 {
				return true
			}
		}
		return false
	})
	count := s.startCount(0)
	after := &workload{site: s, prefix: "after", callers: 4, jobs: 10, tasks: 4}
	after.run()
	wg.Wait()
	if got := s.startCount(0); got != count {
		t.Errorf("the drained target started %d more tasks", got-count)
	}
	if _, failed := s.checkAnswers(before, after); failed > 0 {
		t.Errorf("%d jobs failed", failed)
	}
}

// startCount returns the number of task starts in the journal of a target.
func (s *site) startCount(i int) (n int) {
	s.t.Helper()
	f, err := os.Open(s.journalPath(i))
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	counts, err := target.ReadJournal(f)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, c := range counts {
		n += c
	}
	return n
}

// editTable writes a row of the table through the first entry.
func (s *site) editTable(kind, name, body string) {
	s.t.Helper()
	url := fmt.Sprintf("%s/v1/table/%s/%s", s.url(0), kind, name)
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		s.t.Fatalf("editing %s: status %d", name, resp.StatusCode)
	}
}
