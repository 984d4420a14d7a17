package failure

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one end of an in-memory connection. Writes never block.
type conn struct {
	in, out *stream
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *conn) Close() error {
	c.in.closeRead()
	c.out.closeWrite()
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return address(c.out.link.from) }
func (c *conn) RemoteAddr() net.Addr             { return address(c.out.link.to) }
func (c *conn) SetDeadline(time.Time) error      { return nil }
func (c *conn) SetReadDeadline(time.Time) error  { return nil }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection.
type stream struct {
	network  *network
	link     link
	openedAt time.Time

	mu           sync.Mutex // guards what follows
	chunks       []chunk
	writerClosed bool          // the writer has closed the stream
	readerClosed bool          // the reader has closed the stream
	updated      chan struct{} // closed and replaced at every change of the stream
}

type chunk struct {
	arrivesAt time.Time
	data      []byte
}

func newStream(n *network, l link) *stream {
	return &stream{network: n, link: l, openedAt: time.Now(), updated: make(chan struct{})}
}

func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *stream) closeWrite() {
	if !s.network.hasVanished(s.link, s.openedAt) {
		s.update(func() { s.writerClosed = true })
	}
}

func (s *stream) closeRead() { s.update(func() { s.readerClosed = true }) }

func (s *stream) write(p []byte) (n int, err error) {
	s.update(func() {
		if s.network.isReset(s.link, s.openedAt) {
			err = syscall.ECONNRESET
			return
		}
		if s.network.hasVanished(s.link, s.openedAt) {
			return
		}
		if s.writerClosed || s.readerClosed {
			err = net.ErrClosed
			return
		}
		if s.network.isSilent(s.link, s.openedAt) {
			return
		}
		if l := s.network.narrowLinkTo(s.link.to); l != nil {
			l.send(s, p)
			return
		}
		s.chunks = append(s.chunks, chunk{time.Now().Add(latency), append([]byte(nil), p...)})
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (s *stream) read(p []byte) (int, error) {
	for {
		blocked, changed := s.network.blocked(s.link)
		n, wait, updated, err := s.readArrived(p, blocked)
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-updated:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// forever is the wait when only an update of the stream or the network can make
// data available.
const forever = 1000 * time.Hour

// readArrived reads data that has arrived. If there is none, it returns how long
// to wait for the next chunk, and a channel that is closed on an update.
func (s *stream) readArrived(p []byte, blocked bool) (n int, wait time.Duration, updated <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.network.isReset(s.link, s.openedAt):
		return 0, 0, nil, syscall.ECONNRESET
	case s.readerClosed:
		return 0, 0, nil, net.ErrClosed
	case blocked:
		return 0, forever, s.updated, nil
	case len(s.chunks) == 0 && s.writerClosed:
		return 0, 0, nil, io.EOF
	case len(s.chunks) == 0:
		return 0, forever, s.updated, nil
	}
	first := &s.chunks[0]
	if wait := time.Until(first.arrivesAt); wait > 0 {
		return 0, wait, s.updated, nil
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, 0, nil, nil
}
