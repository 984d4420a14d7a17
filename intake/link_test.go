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
	flood := fillLinks(t, g)
	time.AfterFunc(20*time.Millisecond, func() { _ = flood[0].Close() })
	if admit(t, g) == nil {
		t.Error("the peer was refused")
	}
}

// TestFloodHoldsUpTheListener guards against connections that wait behind each other while those that are being
// closed do not end.
func TestFloodHoldsUpTheListener(t *testing.T) {
	g := intake.NewGate(intake.Options{Machine: intake.Machine{MemoryMB: 96, MaxDescriptors: 400}})
	defer g.Close()
	fillLinks(t, g)
	startedAt := time.Now()
	for range 20 {
		if admit(t, g) != nil {
			t.Error("a link beyond the limit was admitted")
		}
	}
	if took := time.Since(startedAt); took > time.Second {
		t.Errorf("20 links were refused within %v, want it within a second", took)
	}
}

// fillLinks admits 76 links, and 64 for which others are being closed.
func fillLinks(t *testing.T, g *intake.Gate) (links []*intake.Link) {
	for range 140 {
		l := admit(t, g)
		if l == nil {
			t.Fatalf("link %d was refused", len(links))
		}
		links = append(links, l)
	}
	return links
}

func admit(t *testing.T, g *intake.Gate) *intake.Link {
	c, peer := net.Pipe()
	t.Cleanup(func() { _ = peer.Close() })
	return g.Links.Admit(c)
}
