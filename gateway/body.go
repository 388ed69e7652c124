package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
)

const (
	// maxInitialBodyBytes bounds the first allocation for a body. The buffer
	// grows beyond it only as bytes arrive, so that a caller cannot occupy
	// memory by declaring a long body.
	maxInitialBodyBytes = 64 << 10
	// unknownLengthBodyBytes is the first allocation for a body of unknown length.
	unknownLengthBodyBytes = 4 << 10
)

// bufferedBody is a request body in memory. Its capacity counts towards the byte
// budget of the gateway.
type bufferedBody struct {
	budget   *byteBudget
	bytes    []byte
	reserved int64
}

// grow doubles the capacity of the buffer, which starts at initial bytes and ends
// at limit. It reports false when the byte budget does not allow the growth.
func (b *bufferedBody) grow(initial, limit int64) bool {
	size := min(max(2*int64(cap(b.bytes)), initial), limit)
	added := size - b.reserved
	if !b.budget.tryReserve(added) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// release frees the buffer and its part of the byte budget.
func (b *bufferedBody) release() {
	b.budget.unreserve(b.reserved)
	b.reserved, b.bytes = 0, nil
}

// bufferBody reads the request body into memory. It refuses a body that exceeds
// the size limit of the service or arrives too late.
func (c *call) bufferBody() *refusal {
	r := c.r
	if r.ContentLength == 0 || r.Body == http.NoBody {
		c.bodyConsumed = true
		return nil
	}
	if r.ContentLength > c.route.MaxBodyBytes {
		return notRunRefusal(http.StatusRequestEntityTooLarge, "the request body is too long")
	}
	readDeadline := c.arrived.Add(c.g.options.SlowSenderLimit)
	if c.deadline.Before(readDeadline) {
		readDeadline = c.deadline
	}
	// net/http clears the read deadline when the body has been read to its end.
	_ = http.NewResponseController(c.w).SetReadDeadline(readDeadline) // Unsupported only by test recorders.
	ref := c.readIntoBuffer()
	c.bodyConsumed = ref == nil
	return ref
}

// readIntoBuffer reads the body up to its end or the size limit of the service.
func (c *call) readIntoBuffer() *refusal {
	// Reads one byte more than the limit to detect a body that exceeds it.
	initial, limit := int64(unknownLengthBodyBytes), c.route.MaxBodyBytes+1
	if c.r.ContentLength > 0 {
		limit = c.r.ContentLength
		initial = min(limit, maxInitialBodyBytes)
	}
	b := &c.body
	for int64(len(b.bytes)) < limit {
		if len(b.bytes) == cap(b.bytes) && !b.grow(initial, limit) {
			return shedRefusal("too many request bytes are buffered", 0)
		}
		n, err := c.r.Body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err == io.EOF {
			break
		}
		if err != nil {
			return bodyReadRefusal(err)
		}
	}
	if int64(len(b.bytes)) > c.route.MaxBodyBytes {
		return notRunRefusal(http.StatusRequestEntityTooLarge, "the request body is too long")
	}
	return nil
}

// bodyReadRefusal returns the refusal for a failed read of the request body.
func bodyReadRefusal(err error) *refusal {
	ref := badRequestRefusal("the request body could not be read")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		ref = notRunRefusal(http.StatusRequestTimeout, "the request body did not arrive in time")
	}
	ref.err = err
	return ref
}
