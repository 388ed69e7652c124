package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
)

const (
	// firstBodyBytes bounds the first allocation for a body. Memory beyond it
	// is taken as the bytes arrive, so that declaring a long body costs nothing.
	firstBodyBytes = 64 << 10
	// unknownBodyBytes is the first allocation for a body of unknown length.
	unknownBodyBytes = 4 << 10
)

// body is a request body in memory.
type body struct {
	budget   *byteBudget
	bytes    []byte
	reserved int64
}

// grow makes room for at least one more byte, up to a capacity of limit. It
// reports false when the byte budget is used up.
func (b *body) grow(first, limit int64) bool {
	size := min(max(2*int64(cap(b.bytes)), first), limit)
	added := size - b.reserved
	if !b.budget.tryAdd(added) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

func (b *body) release() {
	b.budget.remove(b.reserved)
	b.reserved, b.bytes = 0, nil
}

// readBody buffers the request body within the limits of the service.
func (c *call) readBody() *refusal {
	r := c.r
	if r.ContentLength == 0 || r.Body == http.NoBody {
		c.bodyRead = true
		return nil
	}
	if r.ContentLength > c.route.MaxBodyBytes {
		return notRun(http.StatusRequestEntityTooLarge, "the request body is too long")
	}
	until := c.arrived.Add(c.g.options.SlowSenderLimit)
	if c.deadline.Before(until) {
		until = c.deadline
	}
	// net/http clears the read deadline when the body has been read to its end.
	_ = http.NewResponseController(c.w).SetReadDeadline(until) // Unsupported only by test recorders.
	ref := c.fillBody()
	c.bodyRead = ref == nil
	return ref
}

func (c *call) fillBody() *refusal {
	// One byte above the limit tells a longer body from one that just fits.
	first, limit := int64(unknownBodyBytes), c.route.MaxBodyBytes+1
	if c.r.ContentLength > 0 {
		limit = c.r.ContentLength
		first = min(limit, firstBodyBytes)
	}
	b := &c.body
	for int64(len(b.bytes)) < limit {
		if len(b.bytes) == cap(b.bytes) && !b.grow(first, limit) {
			return shed("too many request bytes are buffered", 0)
		}
		n, err := c.r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return bodyError(err)
		}
	}
	if int64(len(b.bytes)) > c.route.MaxBodyBytes {
		return notRun(http.StatusRequestEntityTooLarge, "the request body is too long")
	}
	return nil
}

func bodyError(err error) *refusal {
	ref := badRequest("the request body could not be read")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		ref = notRun(http.StatusRequestTimeout, "the request body did not arrive in time")
	}
	ref.err = err
	return ref
}
