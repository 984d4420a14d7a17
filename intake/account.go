package intake

import (
	"bytes"
	"time"
)

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	Idle    Phase = iota // no byte of the next request has arrived
	Header               // receives the header of a request, or a message
	Body                 // receives the body
	Running              // the request is being carried out
)

func (p Phase) evictable() bool { return p != Running }

// Cause tells why a client was refused or its connection closed.
type Cause string

// The causes.
const (
	CauseConnections Cause = "connections" // too many connections
	CauseMemory      Cause = "memory"      // the budget is exhausted
	CauseEvicted     Cause = "evicted"     // closed in favour of others
	CauseHeaderSize  Cause = "headerSize"
	CauseHeaderTime  Cause = "headerTime"
	CauseBodySize    Cause = "bodySize"
	CauseBodyTime    Cause = "bodyTime"
	CauseIdle        Cause = "idle"
	CauseAnswerTime  Cause = "answerTime" // the answer is not read
	CauseMessageSize Cause = "messageSize"
)

// What is charged.
const (
	// httpConnCost covers the goroutine and buffers of net/http (11 KB were measured) and twice
	// the sizes of the socket's buffers, which is what the kernel allows.
	httpConnCost = 16<<10 + 2*receiveBuffer + 2*sendBuffer
	// linkConnCost covers the goroutine and buffers of net/rpc. The sockets' buffers are not
	// covered, since messages are read as they arrive.
	linkConnCost = 16 << 10
	// lineCost covers the map entry, the slice and the strings of a header field; a header of
	// different names takes up to 190 bytes a line.
	lineCost = 256
	// readAhead is how much net/http may read beyond the header of a request.
	readAhead = 4 << 10
)

// Account is what one connection holds.
type Account struct {
	index   int // in the budget's list
	phase   Phase
	since   time.Time // when the phase began
	held    int64
	base    int64 // of held, for the connection itself
	evicted bool  // is being closed
	served  bool  // a request on this connection has been served

	headerBytes int
	bodyBytes   int64
	lastLines   int // lines in the last read, which may belong to the next request

	writingSince time.Time     // zero while no write is in progress
	written      time.Duration // time spent in writes of the present answer
}

// Phase returns what the connection is doing.
func (a *Account) Phase() Phase { return a.phase }

// weight orders accounts for closing: bytes times the time they have been held without
// progress to the next phase. A connection that was served and waits for its next request
// counts an eighth, since the client has shown that it completes requests.
func (a *Account) weight(now time.Time) float64 {
	w := float64(a.held) * (now.Sub(a.since) + time.Millisecond).Seconds()
	if a.served && a.phase == Idle {
		w /= 8
	}
	return w
}

func (a *Account) enter(now time.Time, p Phase) { a.phase, a.since = p, now }

// Received takes bytes that have arrived. It returns what they cost, to be charged before they
// are passed on, and a cause if the connection must be closed.
func (a *Account) Received(now time.Time, p []byte, l Limits) (cost int64, cause Cause) {
	lines := bytes.Count(p, newline)
	if a.phase == Body || a.phase == Running {
		a.bodyBytes += int64(len(p))
		a.lastLines = lines
		return 0, ""
	}
	if a.phase == Idle {
		a.enter(now, Header)
		lines += a.lastLines
		a.written = 0
	}
	a.headerBytes += len(p)
	a.lastLines = 0
	if a.headerBytes > l.HeaderBytes+readAhead {
		return 0, CauseHeaderSize
	}
	return int64(len(p) + lines*lineCost), ""
}

var newline = []byte{'\n'}

// Begin is called when a handler gets the request.
func (a *Account) Begin(now time.Time, hasBody bool) {
	a.bodyBytes = 0
	if hasBody {
		a.enter(now, Body)
		return
	}
	a.enter(now, Running)
}

// BodyRead is called when the body of the request has been received.
func (a *Account) BodyRead(now time.Time) { a.enter(now, Running) }

// Done is called when the handler has returned. It returns what to give back to the budget.
func (a *Account) Done(now time.Time) int64 {
	a.enter(now, Idle)
	a.served = true
	a.headerBytes = 0
	return max(a.held-a.base, 0)
}

// WriteBegins and WriteEnds are called around each write.
func (a *Account) WriteBegins(now time.Time) { a.writingSince = now }

// WriteEnds is called after each write.
func (a *Account) WriteEnds(now time.Time) {
	a.written += now.Sub(a.writingSince)
	a.writingSince = time.Time{}
}

// overdue returns the cause if the connection has taken longer than the limits allow.
func (a *Account) overdue(now time.Time, l Limits) Cause {
	if !a.writingSince.IsZero() {
		writing := now.Sub(a.writingSince)
		if writing > l.HeaderTimeout || a.written+writing > l.IdleTimeout {
			return CauseAnswerTime
		}
	}
	age := now.Sub(a.since)
	switch {
	case a.phase == Idle && a.served && age > l.KeepAlive:
		return CauseIdle
	case a.phase == Idle && !a.served && age > l.HeaderTimeout, a.phase == Header && age > l.HeaderTimeout:
		return CauseHeaderTime
	case a.phase == Body && age > l.bodyTime(a.bodyBytes):
		return CauseBodyTime
	}
	return ""
}
