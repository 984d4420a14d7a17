package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Listener returns a listener whose connections are charged to the part. It makes the sockets'
// buffers small, since bytes that were received and not read count as memory of the process.
func (p *Part) Listener(ln net.Listener) net.Listener {
	setBuffers(ln, receiveBuffer, sendBuffer)
	return &listener{Listener: ln, part: p}
}

// LinkListener returns ln with a bound on the bytes that a socket receives ahead.
func LinkListener(ln net.Listener) net.Listener {
	setBuffers(ln, receiveBuffer, 0)
	return ln
}

// setBuffers sets the buffers that accepted connections inherit, 0 leaving the default, and the
// length of the queue. After a failure the larger defaults hold, which cost memory only.
func setBuffers(ln net.Listener, receive, send int) {
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive)
		if send > 0 {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, send)
		}
		_ = syscall.Listen(int(fd), backlog)
	})
}

type listener struct {
	net.Listener
	part *Part
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, part: l.part}
		if c.account = l.part.open(nc, func(*Account) aborter { return c }); c.account != nil {
			return c, nil
		}
	}
}

// conn is a connection of an HTTP client.
type conn struct {
	net.Conn
	part    *Part
	account *Account
	once    sync.Once
}

// Read implements net.Conn. The bytes are charged before net/http sees them.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	limits := c.part.limits()
	c.part.mu.Lock()
	cost, cause := c.account.Received(c.part.now(), p[:n], limits)
	c.part.mu.Unlock()
	if cause == "" && cost > 0 && !c.part.charge(c.account, cost) {
		cause = CauseMemory
	}
	if cause != "" {
		c.part.count(cause)
		c.refuse(cause)
		return 0, io.EOF // net/http closes the connection without an answer
	}
	return n, err
}

// refuseTimeout bounds the write of a refusal, which fits into the socket's buffer unless the
// client doesn't read.
const refuseTimeout = 50 * time.Millisecond

// refuse answers a request whose header is refused. No handler has seen it, and the answers to
// earlier ones have been written.
func (c *conn) refuse(cause Cause) {
	status := "503 Service Unavailable\r\nRetry-After: 1"
	if cause == CauseHeaderSize {
		status = "431 Request Header Fields Too Large"
	}
	if c.SetWriteDeadline(time.Now().Add(refuseTimeout)) == nil {
		_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.part.mu.Lock()
	c.account.WriteBegins(c.part.now())
	c.part.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.part.mu.Lock()
	c.account.WriteEnds(c.part.now())
	c.part.mu.Unlock()
	return n, err
}

// CloseWrite lets net/http end an answer to a request whose body it has not read.
func (c *conn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { c.part.release(c.account) })
	return err
}

// abort closes the connection under its user, who then calls Close. Unless the client was only
// idle, nothing that waits in the socket's buffers is kept.
func (c *conn) abort(cause Cause) {
	if cause != CauseIdle {
		dropBuffers(c.Conn)
	}
	_ = c.Conn.Close()
}

func dropBuffers(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

type connKey struct{}

// NewServer returns a server for the connections of Listeners.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: account(h),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		// Requests that net/http answers itself would not be accounted for.
		DisableGeneralOptionsHandler: true,
	}
}

// account returns a handler that tells the account of a connection when a request begins and
// has been answered.
func account(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		hasBody := r.ContentLength != 0
		c.part.update(c.account, func(now time.Time) int64 {
			c.account.Begin(now, hasBody)
			return 0
		})
		defer c.part.update(c.account, c.account.Done)
		h.ServeHTTP(w, r)
	})
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
