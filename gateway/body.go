package gateway

import (
	"errors"
	"net/http"
	"os"

	"peridotcrank.dev/limits/inbound"
)

// bufferedBody is a request body in memory. Its capacity counts towards the byte
// budget of the gateway.
type bufferedBody struct {
	budget   *byteBudget
	bytes    []byte
	reserved int64
}

// Reserve implements [inbound.Account].
func (b *bufferedBody) Reserve(n int64) bool {
	if !b.budget.tryReserve(n) {
		return false
	}
	b.reserved += n
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
	body, err := inbound.ReadAll(c.r.Body, c.r.ContentLength, c.route.MaxBodyBytes, &c.body)
	c.body.bytes = body
	switch {
	case err == nil:
		if conn := inbound.FromContext(c.r.Context()); conn != nil {
			conn.BeginServing()
		}
		return nil
	case errors.Is(err, inbound.ErrNoRoom):
		return shedRefusal("too many request bytes are buffered", 0)
	case errors.Is(err, inbound.ErrBodyTooLong):
		return notRunRefusal(http.StatusRequestEntityTooLarge, err.Error())
	}
	return bodyReadRefusal(err)
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
