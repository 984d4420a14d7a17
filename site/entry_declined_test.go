package site

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticbay/roster"
	"masticbay/work"
)

// newHomeOfCell returns a home of one of two cells; the other home is "e2" of incarnation "entry-2".
func newHomeOfCell(t *testing.T) *home {
	e := testEntry()
	e.roster = roster.New(time.Now().Add(-time.Minute), roster.Member{Name: "e1", Address: "e1", Life: e.life, Cores: 1}, rosterConfig())
	e.roster.SetAgents(1)
	e.homeReports, e.peers, e.ending = make(map[string]homeReport), make(map[string]*peer), t.Context()
	e.home = newHome(e)
	t.Cleanup(func() {
		e.home.close()
		e.metrics.all.Close()
	})
	hearOtherHome(e)
	return e.home
}

func hearOtherHome(e *Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roster.RecordContact(e.now(), roster.Member{Name: "e2", Address: "e2", Life: "entry-2", Cores: 2, Term: 5, Agents: 1, Cells: 2, Places: true})
}

// jobWithFirst returns the ID of a job whose first candidate has the given address.
func jobWithFirst(t *testing.T, h *home, address string) string {
	homes := h.e.homes()
	if len(homes) != 2 {
		t.Fatalf("%d homes, want 2", len(homes))
	}
	for k := 0; ; k++ {
		if id := fmt.Sprint("j", k); roster.Candidates(homes, id)[0].Address == address {
			return id
		}
	}
}

// handOver hands over a job, whose caller waits for 20 ms.
func (h *home) handOver(t *testing.T, j work.Job, firstRun int, declined ...string) (out work.Outcome, moved bool) {
	hearOtherHome(h.e)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	j.Left, j.Steps = time.Minute, []work.Step{{Count: 1}}
	return h.run(ctx, &RunArgs{Entry: "entry-3", Job: j, FirstRun: firstRun, Declined: declined})
}

// TestSecondCandidateTakesOnlyDeclinedJobs guards against a double run: an entry whose view of the homes
// differs hands a job to its second candidate, while the first one may have it.
func TestSecondCandidateTakesOnlyDeclinedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		first, second := jobWithFirst(t, h, "e1"), jobWithFirst(t, h, "e2")
		for _, tc := range []struct {
			name     string
			job      string
			firstRun int
			declined []string
			moved    bool
		}{
			{name: "first candidate", job: first},
			{name: "second candidate", job: second, moved: true},
			{name: "second candidate, home lost", job: second, firstRun: runNumberStride, moved: true},
			{name: "earlier incarnation declined", job: second, declined: []string{"entry-0"}, moved: true},
			{name: "first candidate declined", job: second, declined: []string{"entry-2"}},
		} {
			if _, moved := h.handOver(t, work.Job{ID: tc.job}, tc.firstRun, tc.declined...); moved != tc.moved {
				t.Errorf("%s: moved %t, want %t", tc.name, moved, tc.moved)
			}
		}
	})
}

// TestSecondCandidateKeepsItsJobs checks that a home goes on with a job whose other candidate is ranked
// before it by now.
func TestSecondCandidateKeepsItsJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		id := jobWithFirst(t, h, "e2")
		h.mu.Lock()
		h.core.Submit(h.e.now(), work.Job{ID: id, Left: time.Minute, Steps: []work.Step{{Count: 1}}}, 0)
		h.mu.Unlock()
		if _, moved := h.handOver(t, work.Job{ID: id}, 0); moved {
			t.Error("the home did not go on with its job")
		}
	})
}

// TestDeclinedJobIsDeclinedAgain guards against a double run: the first candidate has rejected a job,
// which the second one took, and takes it when its caller submits it again.
func TestDeclinedJobIsDeclinedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		job := work.Job{ID: jobWithFirst(t, h, "e1"), Alternative: true}
		if out, _ := h.handOver(t, job, 0); out.State != work.Rejected {
			t.Fatalf("outcome %+v of a home without workers, want a rejection", out)
		}
		h.mu.Lock()
		until := h.declinedUntil[job.ID]
		h.mu.Unlock()
		if want := h.e.now().Add(time.Minute + formerRunsEndAfter); !until.Equal(want) {
			t.Errorf("remembered until %v, want %v", until, want)
		}
		taken := func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.forgetDeclined(h.e.now())
			out, declines := h.decline(&RunArgs{Job: job})
			return !declines || out.State != work.Rejected || out.RetryAfter <= 0
		}
		job.Left = time.Second
		time.Sleep(time.Minute + formerRunsEndAfter - time.Millisecond)
		if taken() {
			t.Error("the job was not rejected again")
		}
		time.Sleep(job.Left + formerRunsEndAfter - time.Millisecond)
		if taken() {
			t.Error("the job was not rejected again, after the second submission")
		}
		time.Sleep(job.Left + formerRunsEndAfter)
		if !taken() {
			t.Error("the job was rejected when no run of it can be left")
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if len(h.declinedUntil) > 0 {
			t.Errorf("%d jobs are remembered", len(h.declinedUntil))
		}
	})
}

// TestFirstCandidateDeclinesForTheLoad checks that the first candidate hands a job to the second if the
// wait there is clearly shorter, and never one that a home may have run.
func TestFirstCandidateDeclinesForTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		id := jobWithFirst(t, h, "e1")
		for _, tc := range []struct {
			own, other  time.Duration
			alternative bool
			firstRun    int
			home        string
			want        bool
		}{
			{own: 200 * time.Millisecond, alternative: true, want: true},
			{own: 200 * time.Millisecond, other: 180 * time.Millisecond, alternative: true},
			{own: handOnDelay, alternative: true},
			{own: 200 * time.Millisecond},
			{own: 200 * time.Millisecond, alternative: true, firstRun: runNumberStride},
			{own: 200 * time.Millisecond, alternative: true, home: h.e.life},
		} {
			h.status.Store(&homeStatus{delay: tc.own})
			h.e.mu.Lock()
			h.e.homeReports["e2"] = homeReport{delay: tc.other}
			h.e.mu.Unlock()
			hearOtherHome(h.e)
			h.mu.Lock()
			clear(h.declinedUntil)
			if _, got := h.decline(&RunArgs{Job: work.Job{ID: id, Alternative: tc.alternative}, FirstRun: tc.firstRun, Home: tc.home}); got != tc.want {
				t.Errorf("%+v: declines %t", tc, got)
			}
			h.mu.Unlock()
		}
	})
}

// TestJobThatRanIsNotDeclinedForTheLoad guards against a false rejection: a home that knows that a job ran
// hands it to the second candidate, which does not.
func TestJobThatRanIsNotDeclinedForTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		h.mu.Lock()
		h.links["a1"] = newLink(h, "a1")
		f := &formerHome{home: h}
		h.mu.Unlock()
		f.report()
		id := jobWithFirst(t, h, "e1")
		h.mu.Lock()
		defer h.mu.Unlock()
		h.core.Submit(h.e.now(), work.Job{ID: id, Left: time.Minute, Steps: []work.Step{{Count: 1, Room: work.Room{CPU: 10}, Estimate: time.Second}}, Queue: work.Queue{Service: "s", MaxAttempts: 2, Stretch: 2}}, 0)
		h.core.Withdraw(h.e.now(), id)
		h.deliverDecisions()
		if !h.core.HasRuns("a1") {
			t.Fatal("the task was not placed")
		}
		h.status.Store(&homeStatus{delay: 200 * time.Millisecond})
		if _, declines := h.decline(&RunArgs{Job: work.Job{ID: id, Alternative: true}}); declines {
			t.Error("the job was rejected")
		}
	})
}

// TestWaitForAMovedJobIsBounded checks how long an entry looks for the home that takes a job.
func TestWaitForAMovedJobIsBounded(t *testing.T) {
	now := time.Now()
	var d declined
	if d.waitIsOver(now, false) {
		t.Error("the wait is over before it has begun")
	}
	d.addMoved(now)
	d.addMoved(now.Add(homeWait))
	for _, tc := range []struct {
		after    time.Duration
		homeLost bool
		want     bool
	}{
		{after: homeWait},
		{after: homeWait + 1, want: true},
		{after: homeWait + 1, homeLost: true},
		{after: lostHomeWait + 1, homeLost: true, want: true},
	} {
		if got := d.waitIsOver(now.Add(tc.after), tc.homeLost); got != tc.want {
			t.Errorf("%+v: over %t", tc, got)
		}
	}
	if d.add(roster.Member{Life: "entry-2"}, work.Outcome{}); d.waitIsOver(now.Add(time.Hour), false) {
		t.Error("the wait is over although a home has answered")
	}
}

// TestDeclinedJobOfAnEntryThatKnowsOneHomeIsNotTaken guards against a double run: an entry that has lost the second
// candidate hands a job to the first one, which has rejected it before.
func TestDeclinedJobOfAnEntryThatKnowsOneHomeIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		job := work.Job{ID: jobWithFirst(t, h, "e1"), Alternative: true}
		if out, _ := h.handOver(t, job, 0); out.State != work.Rejected {
			t.Fatalf("outcome %+v of a home without workers, want a rejection", out)
		}
		job.Alternative = false
		hearOtherHome(h.e)
		h.mu.Lock()
		defer h.mu.Unlock()
		if out, declines := h.decline(&RunArgs{Job: job}); !declines || out.State != work.Unknown {
			t.Errorf("outcome %+v, declines %t, want an unknown one", out, declines)
		}
	})
}
