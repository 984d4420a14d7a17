package wire_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"masticbay/intake"
	"masticbay/wire"
)

// TestLinksAreBounded guards against peers that are refused because other connections send
// messages short of their end, and against memory that answered calls keep.
func TestLinksAreBounded(t *testing.T) {
	s, err := wire.NewServer("Echo", echo{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	usage := make(chan intake.Usage, 100)
	g := intake.NewGate(intake.Options{Machine: intake.Machine{MemoryMB: 96, MaxDescriptors: 400}, Report: func(u intake.Usage) {
		if u.Part == "links" {
			usage <- u
		}
	}})
	defer g.Close()
	s.Limit(g.Links)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(intake.LinkListener(ln))
	defer s.Close()
	for range 200 { // more than the 76 links of the machine
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("\xfd\x10\x00\x00" + strings.Repeat("\x01", 1000))) // of a message of 1 MB; may be closed already
	}
	client := wire.NewClient(ln.Addr().String(), wire.Options{})
	defer client.Close()
	text := strings.Repeat("x", 1<<20)
	for n := range 50 { // 200 MB in total
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		rep, err := wire.Call[EchoArgs, EchoReply](ctx, client, "Echo.Echo", &EchoArgs{Text: text})
		cancel()
		if err != nil || rep.Text != text {
			t.Fatalf("call %d: %v", n, err)
		}
	}
	tooLong := strings.Repeat("x", 8<<20)
	if _, err := wire.Call[EchoArgs, EchoReply](context.Background(), client, "Echo.Echo", &EchoArgs{Text: tooLong}); err == nil {
		t.Error("a message above the limit was taken")
	}
	for timeout := time.After(10 * time.Second); ; {
		select {
		case u := <-usage:
			if u.Refused[intake.CauseMessageSize] == 1 {
				return
			}
		case <-timeout:
			t.Fatal("the refusal was not reported")
		}
	}
}
