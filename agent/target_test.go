package agent

import (
	"testing"

	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/setting"
	"masticbay/target"
)

// An announcement that was sent before the target said that it leaves, and arrives
// after that, must be ignored.
func TestLateAnnouncementDoesNotRevertLeaving(t *testing.T) {
	cfg := setting.Default[setting.Agent]()
	cfg.RPC, cfg.HTTP, cfg.Entries = "127.0.0.1:0", "", []string{"127.0.0.1:1"}
	a, err := Start(cfg, Options{Log: zerolog.Nop(), Clock: clock.System{}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Kill()
	announce := func(ann target.Announcement) {
		ann.Name, ann.Service, ann.Address, ann.Slots = "desk1", "pickup", "127.0.0.1:2", 4
		if err := a.TakeAnnouncement(ann); err != nil {
			t.Fatal(err)
		}
	}
	draining := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.gate.Draining()
	}
	announce(target.Announcement{Life: "first", Seq: 1})
	if draining() {
		t.Fatal("agent drains although the target has announced itself")
	}
	announce(target.Announcement{Life: "first", Seq: 3, Leaving: true})
	announce(target.Announcement{Life: "first", Seq: 2})
	if !draining() {
		t.Error("a late announcement reverted the target's leaving")
	}
	announce(target.Announcement{Life: "second", Seq: 1})
	if draining() {
		t.Error("announcement of a restarted target was not accepted")
	}
}
