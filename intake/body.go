package intake

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// ErrRefused is the cause when memory for a request was not granted. Nothing of the request
// has been carried out.
const ErrRefused = errors.ConstError("no memory for the request")

// ErrTooLarge is the cause when a body exceeds its limit.
const ErrTooLarge = errors.ConstError("body too large")

// firstBody is the size of the first buffer for a body of unknown or large size.
const firstBody = 8 << 10

// ReadBody reads the body of a request of at most limit bytes. Its buffers are charged before
// they are filled. After an error the connection ends with the answer, so that what is left of
// the body is not read.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, err error) {
	c := connOf(r)
	defer func() {
		if err != nil {
			w.Header().Set("Connection", "close")
			c.countBody(err)
			err = errors.Annotate(err, "reading the body")
		}
	}()
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	size := int64(firstBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength+1) // one more byte, so that the end is met without another buffer
	}
	if !c.reserve(size) {
		return nil, ErrRefused
	}
	body = make([]byte, 0, size)
	for {
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			c.bodyRead()
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) == cap(body) {
			larger := min(2*int64(cap(body)), limit+1)
			if !c.reserve(larger - int64(cap(body))) {
				return nil, ErrRefused
			}
			body = append(make([]byte, 0, larger), body...)
		}
	}
}

// Reserve charges n bytes to the connection of a request until the request is answered. A
// charge that exceeds the whole budget counts as the largest that is ever granted.
func Reserve(w http.ResponseWriter, r *http.Request, n int64) error {
	c := connOf(r)
	if c != nil {
		n = c.part.budget.Cap(n)
	}
	if !c.reserve(n) {
		w.Header().Set("Connection", "close")
		c.countBody(ErrRefused)
		return ErrRefused
	}
	return nil
}

// reserve charges n bytes; a nil conn is not accounted for.
func (c *conn) reserve(n int64) bool { return c == nil || c.part.charge(c.account, n) }

func (c *conn) bodyRead() {
	if c != nil {
		c.part.update(c.account, func(now time.Time) int64 {
			c.account.BodyRead(now)
			return 0
		})
	}
}

// countBody counts a refusal; a client that has gone is not counted.
func (c *conn) countBody(err error) {
	if c == nil {
		return
	}
	switch {
	case errors.Is(err, ErrRefused):
		c.part.count(CauseMemory)
	case errors.Is(err, ErrTooLarge):
		c.part.count(CauseBodySize)
	}
}

// What a JSON text costs beyond its bytes when it is decoded and carried out. An object is a
// step, which a home and an agent keep with its state; a comma separates numbers or strings of
// a list, whose slice grows by copying.
const (
	objectCost  = 1 << 10
	elementCost = 64
	// TaskCost is for each task of a job.
	TaskCost = 1 << 10
)

// JSONCost returns what decoding a JSON text costs at most.
func JSONCost(raw []byte) int64 {
	objects, elements := bytes.Count(raw, []byte{'{'}), bytes.Count(raw, []byte{','})
	return 2*int64(len(raw)) + int64(objects)*objectCost + int64(elements)*elementCost
}
