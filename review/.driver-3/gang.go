package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// stepOf returns the name of a task's step, ID.K.STEP.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// gangs are the runs of tasks that work only together.
var gangs = gangSet{runs: make(map[string]*gang)}

type gangSet struct {
	mu   sync.Mutex
	runs map[string]*gang // by step and run
}

type gang struct {
	members map[string]*taskRun
	size    int
	full    bool
	end     string // of the first member that ended
}

func gangKey(task string, run int) string { return fmt.Sprintf("%s#%d", stepOf(task), run) }

func (g *gangSet) join(task string, run int, r *taskRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := gangKey(task, run)
	if g.runs[k] == nil {
		g.runs[k] = &gang{members: make(map[string]*taskRun), size: r.work.Gang}
	}
	q := g.runs[k]
	q.members[task] = r
	if len(q.members) == q.size && q.end == "" {
		q.full = true
		for _, m := range q.members {
			m.startedAt, m.savedAt, m.how = time.Now(), time.Now(), "full"
		}
	}
}

func (g *gangSet) complete(r *taskRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.how == "full"
}

func (g *gangSet) leave(task string, run int, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if q := g.runs[gangKey(task, run)]; q != nil && q.end == "" {
		if q.end = "broken"; how == "done" {
			q.end = "done"
		}
	}
}

// state returns how a member has to end; empty if it goes on.
func (g *gangSet) state(task string, r *taskRun) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	q := g.runs[gangKey(task, r.run)]
	switch {
	case q.end != "":
		return q.end
	case !q.full && time.Since(r.begunAt) > 3*time.Second:
		return "alone"
	}
	return ""
}

// checkpoints are the values that tasks have issued.
var checkpoints = checkpointSet{issued: make(map[string]map[string]bool)}

type checkpointSet struct {
	mu     sync.Mutex
	issued map[string]map[string]bool
	n      int
}

func ownerOf(task string, isGang bool) string {
	if isGang {
		return stepOf(task)
	}
	return task
}

func (c *checkpointSet) issue(task string, isGang bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	v, o := fmt.Sprintf("%016x", c.n), ownerOf(task, isGang)
	if c.issued[o] == nil {
		c.issued[o] = make(map[string]bool)
	}
	c.issued[o][v] = true
	return v
}

func (c *checkpointSet) check(task string, isGang bool, v string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v == "" || c.issued[ownerOf(task, isGang)][v] {
		return ""
	}
	return "UNASKED: " + task + " starts with a checkpoint of another task"
}
