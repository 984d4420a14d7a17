package failure

import (
	"io"
	"net"
	"sync"
	"time"
)

// conn is one end of a connection in memory. Writes never wait.
type conn struct {
	in, out *stream
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *conn) Close() error {
	c.in.drop()
	c.out.end()
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return address(c.out.link.from) }
func (c *conn) RemoteAddr() net.Addr             { return address(c.out.link.to) }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection.
type stream struct {
	n    *network
	link link
	made time.Time

	mu      sync.Mutex // guards what follows
	parts   []part
	ended   bool          // the writer has closed it
	dropped bool          // the reader has closed it
	wake    chan struct{} // closed and replaced when something of it changes
}

type part struct {
	due   time.Time
	bytes []byte
}

func newStream(n *network, l link) *stream {
	return &stream{n: n, link: l, made: time.Now(), wake: make(chan struct{})}
}

func (s *stream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *stream) end()  { s.change(func() { s.ended = true }) }
func (s *stream) drop() { s.change(func() { s.dropped = true }) }

func (s *stream) write(p []byte) (n int, err error) {
	s.change(func() {
		if s.ended || s.dropped {
			err = net.ErrClosed
			return
		}
		if s.n.silenced(s.made) {
			return
		}
		s.parts = append(s.parts, part{time.Now().Add(latency), append([]byte(nil), p...)})
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (s *stream) read(p []byte) (int, error) {
	for {
		blocked, changed := s.n.blocked(s.link)
		n, wait, wake, err := s.take(p, blocked)
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-wake:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// never is the wait when only a change can bring something.
const never = 1000 * time.Hour

// take returns what has arrived, or how long to wait for it.
func (s *stream) take(p []byte, blocked bool) (n int, wait time.Duration, wake <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.dropped:
		return 0, 0, nil, net.ErrClosed
	case blocked:
		return 0, never, s.wake, nil
	case len(s.parts) == 0 && s.ended:
		return 0, 0, nil, io.EOF
	case len(s.parts) == 0:
		return 0, never, s.wake, nil
	}
	first := &s.parts[0]
	if wait := time.Until(first.due); wait > 0 {
		return 0, wait, s.wake, nil
	}
	n = copy(p, first.bytes)
	first.bytes = first.bytes[n:]
	if len(first.bytes) == 0 {
		s.parts = s.parts[1:]
	}
	return n, 0, nil, nil
}
