package work_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"masticbay/work"
)

func TestInvalidJobsAreRefused(t *testing.T) {
	valid := work.Step{Count: 2, Room: work.Room{CPU: 10}, Estimate: time.Second}
	if err := (&work.Job{Steps: []work.Step{valid, {Count: 1, After: []int{0}}}}).Validate(); err != nil {
		t.Errorf("valid job refused: %v", err)
	}
	for name, j := range map[string]work.Job{
		"no steps":              {},
		"no tasks":              {Steps: []work.Step{{}}},
		"far too many tasks":    {Steps: []work.Step{{Count: 2_000_000_000}}},
		"far too many together": {Times: 40_000, Steps: []work.Step{valid}},
		"overflow":              {Times: 1 << 62, Steps: []work.Step{valid}},
		"negative CPU":          {Steps: []work.Step{{Count: 1, Room: work.Room{CPU: -1}}}},
		"negative estimate":     {Steps: []work.Step{{Count: 1, Estimate: -time.Second}}},
		"negative interval":     {Times: 2, Every: -time.Second, Steps: []work.Step{valid}},
		"overflowing interval":  {Times: 3, Every: math.MaxInt64, Steps: []work.Step{valid}},
		"year that JSON lacks":  {Times: 1, First: time.UnixMilli(1e15), Steps: []work.Step{valid}},
		"overflowing chain":     {Steps: slices.Repeat([]work.Step{{Count: 1, Estimate: 29 * 24 * time.Hour}}, 5000)},
		"after itself":          {Steps: []work.Step{{Count: 1, After: []int{0}}}},
		"after a later step":    {Steps: []work.Step{{Count: 1, After: []int{1}}, {Count: 1}}},
	} {
		if err := j.Validate(); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
