package agent

import (
	"testing"

	"github.com/rs/zerolog"

	"masticbay/clock"
	"masticbay/setting"
	"masticbay/target"
)

// TestLateAnnouncementDoesNotBringALeavingTargetBack: one that was sent before
// the target said that it leaves, and arrives after it, counts for nothing.
func TestLateAnnouncementDoesNotBringALeavingTargetBack(t *testing.T) {
	cfg := setting.Default[setting.Agent]()
	cfg.RPC, cfg.HTTP, cfg.Entries = "127.0.0.1:0", "", []string{"127.0.0.1:1"}
	a, err := Start(cfg, Options{Log: zerolog.Nop(), Clock: clock.System{}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Kill()
	hear := func(ann target.Announcement) {
		ann.Name, ann.Service, ann.Address, ann.Slots = "desk1", "pickup", "127.0.0.1:2", 4
		if err := a.Hear(ann); err != nil {
			t.Fatal(err)
		}
	}
	draining := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.gate.Draining()
	}
	hear(target.Announcement{Life: "first", Seq: 1})
	if draining() {
		t.Fatal("a target that announces itself drains")
	}
	hear(target.Announcement{Life: "first", Seq: 3, Leaving: true})
	hear(target.Announcement{Life: "first", Seq: 2})
	if !draining() {
		t.Error("a late announcement brought a leaving target back")
	}
	hear(target.Announcement{Life: "second", Seq: 1})
	if draining() {
		t.Error("a target that started anew is not taken")
	}
}
