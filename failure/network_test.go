package failure

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// latency is the one-way delay between two hosts.
const latency = 500 * time.Microsecond

// network connects hosts in memory. Data that a cut link or a paused host holds
// back arrives later, as TCP retransmission would deliver it.
type network struct {
	mu               sync.Mutex // guards what follows
	listeners        map[string]*listener
	cuts             map[link]bool
	refused          map[link]bool // links over which connections are refused
	paused           map[string]bool
	blackholedBefore time.Time              // connections opened before this time carry no data
	silentAt         map[string]time.Time   // by host: connections among entries and agents that were opened earlier carry no data
	resetAt          map[string]time.Time   // by host: connections that were opened earlier are reset
	vanishedAt       map[string]time.Time   // by host: connections that were opened earlier carry nothing, not even their end
	narrow           map[string]*narrowLink // by host
	changed          chan struct{}          // closed and replaced when a cut or a pause begins or ends
}

// link is one direction between two hosts.
type link struct{ from, to string }

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener),
		cuts:      make(map[link]bool),
		refused:   make(map[link]bool),
		paused:    make(map[string]bool),
		changed:   make(chan struct{}),
	}
}

func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// cut starts or ends holding back the data that one host sends to another.
func (n *network) cut(from, to string, on bool) {
	n.update(func() { n.cuts[link{from, to}] = on })
}

func (n *network) pause(host string, on bool) {
	n.update(func() { n.paused[host] = on })
}

// refuse starts or ends refusing connections that one host opens to another.
func (n *network) refuse(from, to string, on bool) {
	n.update(func() { n.refused[link{from, to}] = on })
}

// resetConns resets all open connections of a host; new ones work.
func (n *network) resetConns(host string) {
	n.update(func() {
		if n.resetAt == nil {
			n.resetAt = make(map[string]time.Time)
		}
		n.resetAt[host] = time.Now()
	})
}

// silence makes all open connections between a host and the entries and agents drop
// their data, without a reset.
func (n *network) silence(host string) {
	n.update(func() {
		if n.silentAt == nil {
			n.silentAt = make(map[string]time.Time)
		}
		n.silentAt[host] = time.Now()
	})
}

// vanish makes all open connections of a host carry nothing any more, not even their end.
func (n *network) vanish(host string) {
	n.update(func() {
		if n.vanishedAt == nil {
			n.vanishedAt = make(map[string]time.Time)
		}
		n.vanishedAt[host] = time.Now()
	})
}

// hasVanished reports whether the end of a connection over a link does not show at the other side.
func (n *network) hasVanished(l link, openedAt time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return openedAt.Before(n.vanishedAt[l.from]) || openedAt.Before(n.vanishedAt[l.to])
}

// isSilent reports whether a connection over a link drops its data.
func (n *network) isSilent(l link, openedAt time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isOurs := func(host string) bool { return host[0] == 'e' || host[0] == 'a' }
	return openedAt.Before(n.blackholedBefore) || isOurs(l.from) && isOurs(l.to) && (openedAt.Before(n.silentAt[l.from]) || openedAt.Before(n.silentAt[l.to]))
}

// isReset reports whether a connection over a link has been reset.
func (n *network) isReset(l link, openedAt time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return openedAt.Before(n.resetAt[l.from]) || openedAt.Before(n.resetAt[l.to])
}

// blackholeOpenConns makes all open connections drop their data, without a reset.
func (n *network) blackholeOpenConns() { n.update(func() { n.blackholedBefore = time.Now() }) }

// blocked reports whether a link holds its data back. It also returns a channel
// that is closed when this may have changed.
func (n *network) blocked(l link) (isBlocked bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l] || n.paused[l.from] || n.paused[l.to], n.changed
}

// awaitUnblocked waits until a link is not blocked, or until ctx ends.
func (n *network) awaitUnblocked(ctx context.Context, l link) error {
	for {
		blocked, changed := n.blocked(l)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitResume blocks while a host is paused.
func (n *network) awaitResume(host string) {
	_ = n.awaitUnblocked(context.Background(), link{host, host})
}

// host is the network as seen by one process.
type host struct {
	network *network
	name    string
}

// Listen implements wire.Network. The address is the name of the host.
func (h host) Listen(address string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &listener{network: h.network, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	h.network.listeners[address] = l
	return l, nil
}

// Dial implements wire.Network. A paused process still accepts connections.
func (h host) Dial(ctx context.Context, address string) (net.Conn, error) {
	for _, l := range []link{{h.name, address}, {address, h.name}} {
		if h.network.isCut(l) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	time.Sleep(2 * latency)
	h.network.mu.Lock()
	ln := h.network.listeners[address]
	if h.network.refused[link{h.name, address}] {
		ln = nil
	}
	h.network.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "memory", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	if ln == nil {
		return nil, refused
	}
	toServer, toClient := newStream(h.network, link{h.name, address}), newStream(h.network, link{address, h.name})
	select {
	case ln.conns <- &conn{in: toServer, out: toClient}:
		return &conn{in: toClient, out: toServer}, nil
	case <-ln.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) isCut(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l]
}

type listener struct {
	network *network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }
