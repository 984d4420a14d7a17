package failure

import (
	"sync"
	"time"
)

// maxSegment is the most data of one connection that a narrow link transfers before those of
// another one.
const maxSegment = 16 << 10 // bytes

// narrowLink transfers what is sent to a host at a limited rate, by turns for its connections.
type narrowLink struct {
	rate int // bytes a second

	mu      sync.Mutex // guards what follows
	waiting map[*stream][]byte
	turns   []*stream // those with waiting data; the first is next
}

// limitRate limits the rate at which a host receives data, in bytes a second.
func (n *network) limitRate(host string, rate int) {
	n.update(func() {
		if n.narrow == nil {
			n.narrow = make(map[string]*narrowLink)
		}
		n.narrow[host] = &narrowLink{rate: rate, waiting: make(map[*stream][]byte)}
	})
}

// narrowLinkTo returns the narrow link of a host, or nil.
func (n *network) narrowLinkTo(host string) *narrowLink {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.narrow[host]
}

// send queues data of a connection. It does not block, since callers hold locks.
func (l *narrowLink) send(s *stream, p []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting[s]) == 0 {
		l.turns = append(l.turns, s)
		if len(l.turns) == 1 {
			go l.transfer()
		}
	}
	l.waiting[s] = append(l.waiting[s], p...)
}

// transfer transfers segments until none is waiting.
func (l *narrowLink) transfer() {
	for {
		l.mu.Lock()
		if len(l.turns) == 0 {
			l.mu.Unlock()
			return
		}
		s := l.turns[0]
		data := l.waiting[s]
		segment := data[:min(len(data), maxSegment)]
		l.mu.Unlock()
		time.Sleep(time.Duration(len(segment)) * time.Second / time.Duration(l.rate))
		isClosed := s.deliver(segment)
		l.mu.Lock()
		l.waiting[s] = l.waiting[s][len(segment):]
		l.turns = l.turns[1:]
		if len(l.waiting[s]) > 0 && !isClosed {
			l.turns = append(l.turns, s)
		} else {
			delete(l.waiting, s)
		}
		l.mu.Unlock()
	}
}

// deliver makes data of a narrow link arrive, and reports whether the reader has closed the stream.
func (s *stream) deliver(p []byte) (isClosed bool) {
	s.update(func() {
		s.chunks = append(s.chunks, chunk{time.Now().Add(latency), append([]byte(nil), p...)})
		isClosed = s.readerClosed
	})
	return isClosed
}
