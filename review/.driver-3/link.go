package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy for the connections to one address. While it is partitioned it passes
// nothing on; what was sent then arrives when TCP sends it again, with timers that double.
type link struct {
	rec *recorder
	to  string
	ln  net.Listener

	mu          sync.Mutex
	from, until time.Time // the partition
}

// The times after which TCP sends data and the opening packet of a connection again.
var (
	dataAgain = []time.Duration{200, 600, 1400, 3000, 6200, 12600}
	openAgain = []time.Duration{1000, 3000, 7000}
)

func newLink(rec *recorder, listen, to string) (*link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &link{rec: rec, to: to, ln: ln}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

// partition cuts the link from now on for d.
func (l *link) partition(d time.Duration) (until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = time.Now()
	l.until = l.from.Add(d)
	return l.until
}

// arrival returns when what is sent now arrives.
func (l *link) arrival(again []time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.from) || !now.Before(l.until) {
		return now
	}
	for _, after := range again {
		if at := now.Add(after * time.Millisecond); !at.Before(l.until) {
			return at
		}
	}
	return l.until.Add(time.Minute)
}

func (l *link) serve() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.open(c)
	}
}

func (l *link) open(c net.Conn) {
	time.Sleep(time.Until(l.arrival(openAgain)))
	up, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go l.pass(c, up)
	l.pass(up, c)
}

// pass copies one direction of a connection.
func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if wait := time.Until(l.arrival(dataAgain)); wait > 0 {
			l.rec.add("link", "%d bytes to %s arrive in %v", n, to.RemoteAddr(), wait.Round(time.Millisecond))
			time.Sleep(wait)
			if n > 0 {
				l.rec.add("link", "%d bytes arrive at %s", n, to.RemoteAddr())
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			_ = to.Close()
			return
		}
	}
}
