package intake

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is a connection of another process that carries gob messages. Its messages are charged
// before they are decoded, and until the calls that they make have been answered.
type Link struct {
	net.Conn
	part    *Part
	account *Account
	once    sync.Once

	// These are guarded by part.mu.
	meter   MessageMeter
	call    int64            // charged for the call that is being received
	pending map[uint64]int64 // by number: charged for calls that are not answered
}

// Admit returns a Link for an accepted connection; it is nil if the connection was closed
// instead.
func (p *Part) Admit(c net.Conn) *Link {
	l := &Link{Conn: c, part: p, pending: make(map[uint64]int64)}
	if l.account = p.open(c, func(*Account) aborter { return l }); l.account == nil {
		return nil
	}
	return l
}

// Read implements net.Conn.
func (l *Link) Read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	l.part.mu.Lock()
	if l.account.phase == Idle {
		l.account.enter(l.part.now(), Header)
	}
	cost, ok := l.meter.Received(p[:n], l.part.budget.limit/messageByteCost)
	l.part.mu.Unlock()
	if !ok {
		l.part.count(CauseMessageSize)
		return 0, io.EOF
	}
	if !l.part.charge(l.account, cost.Call+cost.Kept) {
		l.part.count(CauseMemory)
		return 0, io.EOF
	}
	l.part.mu.Lock()
	l.call += cost.Call
	l.part.mu.Unlock()
	return n, err
}

// Called tells that the call with a number has been received.
func (l *Link) Called(number uint64) {
	l.part.mu.Lock()
	defer l.part.mu.Unlock()
	l.pending[number] += l.call
	l.call = 0
	l.account.enter(l.part.now(), Idle)
	l.account.served = true
}

// Answered tells that the call with a number has been answered.
func (l *Link) Answered(number uint64) {
	l.part.update(l.account, func(time.Time) int64 {
		n := l.pending[number]
		delete(l.pending, number)
		return n
	})
}

// Close implements net.Conn.
func (l *Link) Close() error {
	err := l.Conn.Close()
	l.once.Do(func() { l.part.release(l.account) })
	return err
}

func (l *Link) abort(Cause) {
	dropBuffers(l.Conn)
	_ = l.Conn.Close()
}
