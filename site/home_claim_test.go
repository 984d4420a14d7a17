package site

import (
	"context"
	"testing"
	"time"

	"masticbay/roster"
	"masticbay/work"
)

func newHomeWithFormerJob(t *testing.T) *home {
	h := newHome(testEntry())
	t.Cleanup(func() {
		h.close()
		h.e.metrics.all.Close()
	})
	h.e.peers, h.e.ending = make(map[string]*peer), t.Context()
	h.setFormerJobs(roster.Member{Address: "e9"}, map[string]int{"j": runNumberStride})
	return h
}

// submit hands over job j, and returns the number from which its runs were numbered.
func (h *home) submit(t *testing.T, call uint64, echo time.Duration) (firstRun int, moved bool) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	args := RunArgs{Entry: "entry-2", Call: call, Home: h.e.life, Echo: echo, Job: work.Job{ID: "j", Left: time.Minute, Steps: []work.Step{{Count: 1}}}}
	_, moved = h.run(ctx, &args)
	return args.FirstRun, moved
}

// TestRefusedCallUsesUpTheClaim guards against a double run: a call of a former home's job is too
// old, and the next one is taken for a new job.
func TestRefusedCallUsesUpTheClaim(t *testing.T) {
	h := newHomeWithFormerJob(t)
	if _, moved := h.submit(t, 1, toStamp(h.e.now().Add(-2*withdrawJobsAfter))); !moved {
		t.Fatal("a call that is too old was taken")
	}
	if firstRun, _ := h.submit(t, 2, toStamp(h.e.now())); firstRun != runNumberStride+maxFormerRuns {
		t.Errorf("runs numbered from %d, want above those of the former home", firstRun)
	}
}

// TestLateReleaseWithdrawsALiveCall guards against an unknown outcome for a caller whose job has come
// back to a home, by the release of the time before.
func TestLateReleaseWithdrawsALiveCall(t *testing.T) {
	h := newHome(testEntry())
	defer h.close()
	h.e.home = h
	h.e.roster = roster.New(time.Now().Add(-time.Minute), roster.Member{Address: "e1", Life: h.e.life}, rosterConfig())
	if !h.e.placesTasks() {
		t.Fatal("the entry is not home")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	go func() {
		for h.waits("j") == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		if err := (&entryMethods{h.e}).Release(&ReleaseArgs{Job: "j"}, &ReleaseReply{}); err != nil {
			t.Error(err)
		}
	}()
	args := RunArgs{Entry: "entry-3", Call: 7, Home: h.e.life, Job: work.Job{ID: "j", Left: time.Minute, Steps: []work.Step{{Count: 1}}}}
	if out, _ := h.run(ctx, &args); ctx.Err() == nil {
		t.Errorf("the call was answered: %+v", out)
	}
}
