package intake_test

import (
	"net"
	"testing"
	"time"

	"masticbay/intake"
)

// TestPeerIsRefusedWhileOthersAreClosed guards against a peer that is refused after a flood of connections,
// when those that are closed in favour of new ones have not been released yet.
func TestPeerIsRefusedWhileOthersAreClosed(t *testing.T) {
	g := intake.NewGate(intake.Options{Machine: intake.Machine{MemoryMB: 96, MaxDescriptors: 400}})
	defer g.Close()
	admit := func() *intake.Link {
		c, peer := net.Pipe()
		t.Cleanup(func() { _ = peer.Close() })
		return g.Links.Admit(c)
	}
	var flood []*intake.Link
	for range 140 { // 76 links, and 64 that are being closed
		l := admit()
		if l == nil {
			t.Fatalf("link %d was refused", len(flood))
		}
		flood = append(flood, l)
	}
	time.AfterFunc(20*time.Millisecond, func() { _ = flood[0].Close() })
	if admit() == nil {
		t.Error("the peer was refused")
	}
}
