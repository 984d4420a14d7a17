package wire_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"masticbay/wire"
)

type echo struct{}

// EchoArgs and EchoReply are exported, as net/rpc asks.
type EchoArgs struct{ Text string }

// EchoReply answers an EchoArgs.
type EchoReply struct{ Text string }

func (echo) Echo(args *EchoArgs, reply *EchoReply) error {
	reply.Text = args.Text
	return nil
}

// FuzzServer sends any bytes to a server, which must end no more than the connection
// that brought them.
func FuzzServer(f *testing.F) {
	s, err := wire.NewServer("Echo", echo{}, nil)
	if err != nil {
		f.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	go s.Serve(ln)
	f.Cleanup(s.Close)
	c := wire.NewClient(ln.Addr().String(), wire.Options{})
	f.Cleanup(c.Close)
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff, 1, 2, 3}) // announces a message of 1 GB
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(raw); err != nil {
			t.Logf("the server closed the connection: %v", err)
		}
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Logf("closing: %v", err)
		}
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Logf("reading: %v", err)
		}
		_ = conn.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		rep, err := wire.Call[EchoArgs, EchoReply](ctx, c, "Echo.Echo", &EchoArgs{Text: "x"})
		if err != nil || rep.Text != "x" {
			t.Fatalf("call after malformed input: %+v, %v", rep, err)
		}
	})
}
