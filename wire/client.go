package wire

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrTimeout is the cause of the error of a call that was not answered in time.
// The peer may have acted on the call.
const ErrTimeout = errors.ConstError("call timed out")

// ErrNotSent is the cause of the error of a call that never left this process.
const ErrNotSent = errors.ConstError("call not sent")

// ErrBroken is the cause of the error of a call whose connection broke. The peer
// may have acted on the call.
const ErrBroken = errors.ConstError("connection broke during the call")

// Options configures a Client. The zero value is usable.
type Options struct {
	DialTimeout  time.Duration   // 1 s if zero
	WriteTimeout time.Duration   // 2 s if zero
	Messages     *MessageCounter // counts messages if set
	Network      Network         // TCP if nil
}

// Client calls one peer. It dials when a call needs a connection, and closes
// the connection when a write does not end in time. It is safe for concurrent
// use.
type Client struct {
	address string
	opts    Options
	dialing chan struct{} // holds a token while a call dials; other calls wait for it until their contexts end

	mu     sync.Mutex // guards the fields below
	rpc    *rpc.Client
	closed bool
}

const (
	defaultDialTimeout  = time.Second
	defaultWriteTimeout = 2 * time.Second
)

// NewClient returns a Client for the peer at address, such as "10.0.0.7:7402".
func NewClient(address string, opts Options) *Client {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	opts.Network = OrTCP(opts.Network)
	return &Client{address: address, opts: opts, dialing: make(chan struct{}, 1)}
}

// Address returns the address of the peer.
func (c *Client) Address() string { return c.address }

// Close closes the connection for good. Calls in progress fail with ErrBroken.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.dropLocked(c.rpc)
}

// Reset closes the connection; the next call dials again.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(c.rpc)
}

// dropLocked closes conn if it is still the current connection.
func (c *Client) dropLocked(conn *rpc.Client) {
	if conn == nil || conn != c.rpc {
		return
	}
	_ = conn.Close()
	c.rpc = nil
}

// dropConn is dropLocked for callers that do not hold mu.
func (c *Client) dropConn(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLocked(conn)
}

// connection returns the current connection, dialing if there is none.
func (c *Client) connection(ctx context.Context) (*rpc.Client, error) {
	if conn, err := c.current(); conn != nil || err != nil {
		return conn, err
	}
	select {
	case c.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.dialing }()
	if conn, err := c.current(); conn != nil || err != nil {
		return conn, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	conn, err := c.opts.Network.Dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	return c.setCurrent(conn)
}

// current returns the current connection, or nil if there is none.
func (c *Client) current() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("client is closed")
	}
	return c.rpc, nil
}

// setCurrent makes conn the current connection.
func (c *Client) setCurrent(conn net.Conn) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, errors.New("client is closed")
	}
	c.rpc = rpc.NewClient(&deadlineConn{Conn: conn, timeout: c.opts.WriteTimeout, messages: c.opts.Messages})
	return c.rpc, nil
}

// deadlineConn bounds the time of each write, so that writing to a peer that does
// not read fails.
type deadlineConn struct {
	net.Conn
	timeout  time.Duration
	messages *MessageCounter
}

func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.messages.countBytes(n)
	return n, err
}

// Call sends args to a method of the peer and waits for the reply until ctx
// ends. An error with the cause ErrNotSent proves that the peer did not receive
// the call.
func Call[A, R any](ctx context.Context, c *Client, method string, args *A) (rep *R, err error) {
	defer func() { err = errors.Annotatef(err, "calling %s at %s", method, c.address) }()
	conn, err := c.connection(ctx)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	if c.opts.Messages != nil {
		c.opts.Messages.countRequest(method)
	}
	rep = new(R)
	call := conn.Go(method, args, rep, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return rep, c.callError(conn, call.Error)
	case <-ctx.Done():
		return nil, errors.WithType(ctx.Err(), ErrTimeout)
	}
}

// callError returns an error of the peer's method as it is, and any other error
// with the cause ErrBroken, after dropping the connection. rpc.ErrShutdown does
// not prove that the call was not sent: net/rpc also returns it for calls that
// were sent before the connection was closed.
func (c *Client) callError(conn *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	if server, ok := err.(rpc.ServerError); ok {
		return server
	}
	c.dropConn(conn)
	return errors.WithType(err, ErrBroken)
}
