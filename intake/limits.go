package intake

import "time"

// Limits bound a request. The operator's configuration sets them; they apply to requests that
// begin after a change.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a header to its end, and for a write of an answer
	IdleTimeout   time.Duration // for the largest body, and for reading an answer
	KeepAlive     time.Duration // until the next request on a connection
}

// The limits that hold until the configuration is known, and where it sets none.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultKeepAlive     = 60 * time.Second
	// keepAliveMargin is added to the configured idle timeout, so that a client that reuses a
	// connection until then does not meet its end.
	keepAliveMargin = time.Second
)

// WithDefaults returns the limits with defaults in the place of missing ones.
func (l Limits) WithDefaults() Limits {
	if l.KeepAlive <= 0 {
		l.KeepAlive = defaultKeepAlive
		if l.IdleTimeout > 0 {
			l.KeepAlive = l.IdleTimeout + keepAliveMargin
		}
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = max(defaultIdleTimeout, l.HeaderTimeout)
	}
	return l
}

// bodyTime returns how long a body may have taken when so many bytes have arrived: the header
// timeout, and more at a rate that gives the largest body the idle timeout.
func (l Limits) bodyTime(received int64) time.Duration {
	extra := max(l.IdleTimeout-l.HeaderTimeout, 0)
	share := min(float64(received)/float64(max(l.BodyBytes, 1)), 1)
	return l.HeaderTimeout + time.Duration(share*float64(extra))
}

// Machine is what a process may use; a zero field means the default.
type Machine struct {
	MemoryMB       int
	MaxDescriptors int
}

// The smallest machines in use, which are assumed where the settings don't tell.
const (
	defaultMemoryMB    = 144
	defaultDescriptors = 3075
)

// The division of a machine.
const (
	// ownMemory is what a process uses without load; entries and agents have a peak of 21 to 23
	// MB then, and the rest is for jobs and runs.
	ownMemory = 48 << 20
	// collectorShare is the part of the remaining memory that is not budgeted, since garbage
	// stays until it is collected.
	collectorShare  = 0.2
	minLinkMemory   = 16 << 20 // for one message of 4 MB
	fileDescriptors = 200      // of the platform's, for files
	minConnections  = 32
)

// shares is the division of a machine among the parts.
type shares struct {
	callers, operations, links             int64 // bytes
	callerConns, operationConns, linkConns int
}

// The buffers of sockets, of which the kernel allows twice as much, and their queue.
const (
	receiveBuffer = 16 << 10 // carries 11 MB/s between data centres 1.4 ms apart
	sendBuffer    = 8 << 10  // of HTTP listeners, for answers to clients that don't read
	// backlog bounds the connections that have not been accepted, which hold what they have
	// received.
	backlog = 1024
)

// divide returns the shares of a machine. What remains of the descriptors is for connections
// that the process opens itself.
func (m Machine) divide() (s shares) {
	memory, descriptors := m.MemoryMB, m.MaxDescriptors
	if memory <= 0 {
		memory = defaultMemoryMB
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	total := int64(float64(max(int64(memory)<<20-ownMemory, 24<<20)) * (1 - collectorShare))
	s.operations = total / 10
	s.links = max(total/4, minLinkMemory)
	s.callers = max(total-s.operations-s.links, 4<<20)
	conns := max(descriptors-fileDescriptors, 4*minConnections)
	s.callerConns, s.linkConns = conns*45/100, conns*38/100
	s.operationConns = max(conns*5/100, minConnections)
	return s
}

// CollectorLimit returns the memory limit of the garbage collector on the machine, and false
// if the machine's memory is not known. The limit bounds garbage, not what clients hold.
func (m Machine) CollectorLimit() (bytes int64, ok bool) {
	if m.MemoryMB <= 0 {
		return 0, false
	}
	return int64(m.MemoryMB) << 20 / 100 * 80, true
}
