package site

import (
	"errors"
	"net"
	"testing"
	"time"

	"masticbay/clock"
	"masticbay/roster"
	"masticbay/wire"
	"masticbay/work"
)

// FixedHome answers each job with the same outcome. It is exported, as net/rpc asks.
type FixedHome struct{ out work.Outcome }

// Run answers a job.
func (h *FixedHome) Run(_ *RunArgs, reply *RunReply) error {
	reply.Outcome = h.out
	return nil
}

// serveAfterBreak serves a home at an address. The first connection breaks once it has
// carried data.
func serveAfterBreak(t *testing.T, h *FixedHome) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := wire.NewServer("Entry", h, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			t.Errorf("reading the first call: %v", err)
		}
		_ = conn.Close() // with unread data, so the client sees a reset
		s.Serve(ln)
	}()
	return ln.Addr().String()
}

// TestRejectionAfterABrokenCallProvesNothing guards against a wrong rejection: the home
// may receive the call whose connection broke after it has rejected the job that was
// handed over again, and run it then.
func TestRejectionAfterABrokenCallProvesNothing(t *testing.T) {
	for _, tc := range []struct {
		state  work.State
		broken bool // the job counts as lost with its home
	}{{work.Completed, false}, {work.JobFailed, false}, {work.Rejected, true}, {work.Unknown, true}} {
		t.Run(string(tc.state), func(t *testing.T) {
			address := serveAfterBreak(t, &FixedHome{work.Outcome{State: tc.state}})
			home := roster.Member{Name: "h", Address: address, Life: "home-1", Cells: 1, Term: 1}
			e := testEntry()
			e.clock = &clock.Manual{} // the home stays in contact however slow the machine is
			e.network = wire.OrTCP(nil)
			e.peers, e.sessions, e.jobsAt = make(map[string]*peer), make(map[string]uint64), make(map[string]int)
			e.stamps = map[string]peerStamp{address: {latest: messageOrder{life: home.Life}, stamp: time.Second}}
			e.roster.RecordContact(e.now(), home)
			out, _, err := e.runAt(t.Context(), home, &RunArgs{Job: work.Job{ID: "j"}})
			if broken := errors.Is(err, wire.ErrBroken); broken != tc.broken {
				t.Errorf("outcome %q, error %v; want a broken call: %t", out.State, err, tc.broken)
			}
			if !tc.broken && out.State != tc.state {
				t.Errorf("outcome %q, want %q", out.State, tc.state)
			}
		})
	}
}
