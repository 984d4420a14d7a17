package schedule

import (
	"time"

	"masticbay/work"
	"masticbay/worker"
)

// This file adds the log notes on runs that have ended, and on what runs again: tasks and
// jobs. No decision depends on them.

// isConcluded reports whether a run was taken for ended without an end that its worker listed
// and without a refusal.
func isConcluded(e *Event) bool {
	return e.End == work.Lapsed && e.Reason != "" || e.End == work.Refused && e.Reason == worker.NoAnswer
}

// noteRunEnded adds a log note on a run that did not end as done.
func (c *Core) noteRunEnded(t *target, j *job, tk *task, e *Event) {
	why := string(e.End) + " " + e.Reason
	if isConcluded(e) {
		tk.concluded = why
	}
	c.addNote(Note{Job: j.ID, Agent: t.agent, Run: e.Run, Kind: "runEnded", Reason: why,
		Values: map[string]float64{"tookMs": ms(e.Took), "expectedMs": ms(tk.expected)}})
}

// StartedAgain is the kind of the note on a task that starts again since its last run was
// concluded to have ended.
const StartedAgain = "startedAgain"

// noteStartedAgain adds the note StartedAgain.
func (c *Core) noteStartedAgain(now time.Time, t *target, j *job, r work.Run) {
	tk := j.task(r)
	if tk.concluded == "" {
		return
	}
	c.addNote(Note{Job: j.ID, Agent: t.agent, Run: r, Former: tk.agent, Kind: StartedAgain, Reason: tk.concluded, Values: map[string]float64{
		"formerRun": float64(tk.runNumber), "sinceFormerStartMs": ms(now.Sub(tk.startedAt)), "born": float64(t.Born),
	}})
	tk.concluded = ""
}

// noteSubmittedAgain adds a log note on a job that is submitted and was before, or that is taken
// over from another home.
func (c *Core) noteSubmittedAgain(id string, runNumberBase int) {
	reason, running := "", 0
	j, open := c.jobs[id]
	if open {
		running = j.running
	}
	_, isKnown := c.outcomes[id]
	switch {
	case isKnown:
		reason = "its outcome is known"
	case open && j.withdrawn:
		reason = "it was withdrawn, and its runs have not ended"
	case open:
		reason = "it is in progress"
	case c.wasSent(id):
		reason = "it was answered without a result"
	case runNumberBase > 0:
		reason = "its former home is lost"
	default:
		return
	}
	c.addNote(Note{Job: id, Kind: "submittedAgain", Reason: reason, Values: map[string]float64{"running": float64(running), "runNumberBase": float64(runNumberBase)}})
}
