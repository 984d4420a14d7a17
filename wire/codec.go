package wire

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// callTracker is told of the calls on a connection.
type callTracker interface {
	Called(number uint64)
	Answered(number uint64)
}

// codec is the gob encoding of net/rpc, which also tells a tracker which calls are open.
type codec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	calls   callTracker
	number  uint64 // of the call that is being read
}

func newCodec(conn io.ReadWriteCloser, calls callTracker) *codec {
	buffer := bufio.NewWriter(conn)
	return &codec{conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer, calls: calls}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	err := c.decoder.Decode(r)
	c.number = r.Seq
	return err
}

// ReadRequestBody implements rpc.ServerCodec. The body is nil if the call is not carried out.
func (c *codec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.calls.Called(c.number)
	return err
}

// WriteResponse implements rpc.ServerCodec. net/rpc does not call it concurrently.
func (c *codec) WriteResponse(r *rpc.Response, body any) (err error) {
	defer c.calls.Answered(r.Seq)
	defer func() {
		if err != nil {
			_ = c.conn.Close()
		}
	}()
	if err := c.encoder.Encode(r); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error { return c.conn.Close() }
