package gate

import "time"

// Expire deletes the records that are older than the retention window. A job
// with a running task or with a change in the last window is kept for another
// window.
func (g *Gate) Expire(now time.Time) {
	for len(g.expiries) > 0 && !g.expiries[0].due.After(now) {
		e := g.expiries[0]
		g.expiries = g.expiries[1:]
		if e.job == "" {
			delete(g.closed, e.attempt)
			continue
		}
		g.expireJob(now, e)
	}
	for id, until := range g.adoptedUntil {
		if !until.After(now) {
			delete(g.adoptedUntil, id)
		}
	}
}

func (g *Gate) expireJob(now time.Time, e expiry) {
	j := g.jobs[e.job]
	if j == nil {
		return
	}
	if j.running == 0 && now.Sub(j.touchedAt) >= g.cfg.Window {
		delete(g.jobs, e.job)
		return
	}
	e.due = now.Add(g.cfg.Window)
	g.expiries = append(g.expiries, e)
}
