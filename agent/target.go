package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"masticbay/table"
	"masticbay/target"
	"masticbay/web"
	"masticbay/wire"
)

// maxAnnouncement bounds an announcement, in bytes.
const maxAnnouncement = 64 << 10

func (a *Agent) newWeb() (*web.Server, error) {
	if a.cfg.HTTP == "" {
		return nil, nil
	}
	cfg := web.Config{Name: "agent", Address: a.cfg.HTTP, MaxBytes: maxAnnouncement}
	return web.NewServer(cfg, []rest.Route{
		{Method: http.MethodPost, Path: target.AnnouncePath, Handler: a.handleAnnouncement},
		{Method: http.MethodGet, Path: "/metrics", Handler: a.metrics.Handler()},
		{Method: http.MethodGet, Path: "/v1/status", Handler: a.handleStatus},
	})
}

// handleAnnouncement takes an announcement that the target posts.
func (a *Agent) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var ann target.Announcement
	if err := json.NewDecoder(r.Body).Decode(&ann); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.TakeAnnouncement(ann); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	web.Reply(w, http.StatusOK, a.status(""))
}

func (a *Agent) handleStatus(w http.ResponseWriter, _ *http.Request) {
	web.Reply(w, http.StatusOK, a.status(""))
}

// TakeAnnouncement applies an announcement of the target unless it is out of date. It returns an
// error if the announcement is invalid.
func (a *Agent) TakeAnnouncement(ann target.Announcement) error {
	if err := ann.Check(); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ann.SentAfter(&a.announced) {
		a.log.Info().Str("target", ann.Name).Uint64("seq", ann.Seq).Uint64("taken", a.announced.Seq).Msg("late announcement ignored")
		return nil
	}
	a.announced = ann
	a.lastTargetContact = a.clock.Now()
	if ann.Leaving {
		a.lastTargetContact = time.Time{}
	}
	a.updateSlotsAndDrainLocked()
	return nil
}

// update applies newer rows of the table and the registry revision.
func (a *Agent) update(u *wire.UpdateArgs) {
	changed := a.rows.Apply(u.Rows, u.Table)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.ObserveRegistry(u.Registry)
	if u.Listed > 0 {
		a.gate.SetListed(u.Listed)
	}
	if changed {
		a.updateSlotsAndDrainLocked()
	}
}

// updateSlotsAndDrainLocked updates slots and draining from the target's announcement,
// its row in the table, and the agent's own stop. When draining begins or ends, it
// notifies all entries at once, so that the change takes effect before the next heartbeat.
func (a *Agent) updateSlotsAndDrainLocked() {
	row := a.rowLocked()
	slots := a.announced.Slots
	if row.Limit > 0 {
		slots = min(slots, row.Limit)
	}
	if row.Limit < 0 {
		slots = 0
	}
	a.lender.SetSlots(slots)
	outOfContact := a.clock.Now().Sub(a.lastTargetContact) > a.cfg.TargetLostAfter.D()
	mustDrain := a.stopping || outOfContact || row.Drain || row.Removed
	if mustDrain == a.gate.Draining() {
		return
	}
	a.gate.Drain(mustDrain)
	a.log.Info().Bool("draining", mustDrain).Str("target", a.announced.Name).Bool("silent", outOfContact).Msg("target changed")
	for _, l := range a.links {
		l.lastContact = time.Time{}
	}
	select {
	case a.announceNow <- struct{}{}:
	default: // announceDuty is already notified
	}
}

// rowLocked returns the row of the target, including a removed row.
func (a *Agent) rowLocked() table.Row {
	r, ok := a.rows.Current().Row(table.Target, a.announced.Name)
	if !ok && r.Revision > 0 {
		r.Removed = true
	}
	return r
}

// targetDuty detects that the target is out of contact.
func (a *Agent) targetDuty() {
	tick := time.NewTicker(a.cfg.TargetLostAfter.D() / 3)
	defer tick.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-tick.C:
			a.mu.Lock()
			a.updateSlotsAndDrainLocked()
			a.mu.Unlock()
		}
	}
}
