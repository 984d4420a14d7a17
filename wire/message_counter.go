package wire

import (
	"sync"
	"sync/atomic"
)

// MessageCounter counts the messages that a process sends to other processes of the
// system. The zero value is ready to use. It is safe for concurrent use.
type MessageCounter struct {
	requests atomic.Uint64
	replies  atomic.Uint64
	bytes    atomic.Uint64
	methods  sync.Map // number of requests as *atomic.Uint64, by method
}

// countRequest counts a request that calls method.
func (m *MessageCounter) countRequest(method string) {
	m.requests.Add(1)
	n, ok := m.methods.Load(method)
	if !ok {
		n, _ = m.methods.LoadOrStore(method, new(atomic.Uint64))
	}
	n.(*atomic.Uint64).Add(1)
}

// Requests returns the number of requests sent.
func (m *MessageCounter) Requests() uint64 { return m.requests.Load() }

// Replies returns the number of replies sent.
func (m *MessageCounter) Replies() uint64 { return m.replies.Load() }

// Total returns the number of messages sent.
func (m *MessageCounter) Total() uint64 { return m.Requests() + m.Replies() }

// Bytes returns the number of bytes sent.
func (m *MessageCounter) Bytes() uint64 { return m.bytes.Load() }

// countBytes adds n to the bytes sent; m may be nil.
func (m *MessageCounter) countBytes(n int) {
	if m != nil {
		m.bytes.Add(uint64(n))
	}
}

// ByMethod returns the number of requests sent, by method.
func (m *MessageCounter) ByMethod() map[string]uint64 {
	counts := make(map[string]uint64)
	m.methods.Range(func(method, n any) bool {
		counts[method.(string)] = n.(*atomic.Uint64).Load()
		return true
	})
	return counts
}
