package site

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"masticbay/roster"
)

// TestPresentHomeListsItsJobsToTheSameSetOnly guards against a double run: a home lists its jobs to one of another
// cell, and takes a job afterwards since it knows other homes.
func TestPresentHomeListsItsJobsToTheSameSetOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		for _, tc := range []struct {
			homes []string
			lists bool
		}{
			{[]string{"entry-2", h.e.life}, true},
			{[]string{"entry-3", "entry-2"}, false},
			{[]string{"entry-2"}, false},
			{nil, false},
		} {
			hearOtherHome(h.e)
			reply := &OpenJobsReply{}
			if err := (&entryMethods{h.e}).OpenJobs(&OpenJobsArgs{Homes: tc.homes}, reply); err != nil || reply.Places == tc.lists {
				t.Errorf("asked by a home of %v: lists %t, want %t (%v)", tc.homes, !reply.Places, tc.lists, err)
			}
		}
	})
}

func TestHomeAwaitsOnlyThoseThatMayHaveAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHomeOfCell(t)
		own, foreign := jobWithFirst(t, h, "e1"), jobWithFirst(t, h, "e2")
		other, unknown := roster.Member{Address: "e2", Life: "entry-2"}, roster.Member{Address: "e3", Life: "entry-3"}
		last := slices.Clone(h.e.homes())
		for _, tc := range []struct {
			name     string
			last     []roster.Member
			m        roster.Member
			job      string
			declined bool
			want     bool
		}{
			{name: "this home was first", last: last, m: other, job: own},
			{name: "this home was first and declined", last: last, m: other, job: own, declined: true, want: true},
			{name: "the other home was first", last: last, m: other, job: foreign, want: true},
			{name: "a home out of contact before", last: last, m: unknown, job: own, want: true},
			{name: "this home was none", last: []roster.Member{other}, m: other, job: own, want: true},
		} {
			h.declinedUntil = make(map[string]time.Time)
			if tc.declined {
				h.declinedUntil[tc.job] = time.Now()
			}
			if got := h.mayHaveSince(tc.last)(tc.m, tc.job); got != tc.want {
				t.Errorf("%s: may have the job %t, want %t", tc.name, got, tc.want)
			}
		}
	})
}

// TestHomeThatWasReplacedTwiceIsForgotten guards against a double run: an entry becomes home just after a home that
// it does not remember was lost.
func TestHomeThatWasReplacedTwiceIsForgotten(t *testing.T) {
	var s homeSet
	now := time.Now()
	s.replace(now, []roster.Member{{Life: "entry-1"}, {Life: "entry-2"}})
	s.replace(now, []roster.Member{{Life: "entry-1"}})
	s.replace(now.Add(time.Second), []roster.Member{{Life: "entry-1"}, {Life: "entry-3"}})
	if !slices.ContainsFunc(s.earlier, func(m earlierMember) bool { return m.Life == "entry-2" }) {
		t.Error("the home of an earlier set is not remembered")
	}
	s.replace(now.Add(time.Second+formerRunsEndAfter), []roster.Member{{Life: "entry-1"}})
	if slices.ContainsFunc(s.earlier, func(m earlierMember) bool { return m.Life == "entry-2" }) {
		t.Error("a home is remembered after its runs have ended")
	}
}
