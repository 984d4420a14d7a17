package wire

import (
	"context"
	"net"
)

// Network connects the processes of the system. Its implementations are safe for
// concurrent use.
type Network interface {
	// Listen accepts connections at an address, such as "10.0.0.7:7402". Port
	// 0 selects a free port.
	Listen(address string) (net.Listener, error)
	// Dial connects to an address; it gives up when ctx ends.
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// TCP is the Network of the operating system.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// OrTCP returns n, or TCP if n is nil.
func OrTCP(n Network) Network {
	if n == nil {
		return TCP{}
	}
	return n
}
