package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"peridotcrank.dev/exchange"
	"peridotcrank.dev/routing"
)

const (
	// streamChunkBytes is the size of each of the two buffers of a streamed
	// response.
	streamChunkBytes = 32 << 10
	// uncountedResponseBytes is the size up to which a response is expected to
	// fit into the send buffer of a connection. Only larger responses count as
	// buffered bytes.
	uncountedResponseBytes = 32 << 10
)

var errChunkedNotSupported = errors.New("a streamed answer of undeclared length cannot be sent over HTTP/1.0")

// forwardResponse writes the response of a backend server to the caller.
func (c *call) forwardResponse(resp *exchange.Response) *refusal {
	c.body.release() // No further attempt needs the body.
	if resp.RemainingBody != nil {
		return c.streamResponse(resp)
	}
	h := c.setResponseHeader(resp)
	if c.r.Method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	}
	if size := int64(len(resp.Body)); size > uncountedResponseBytes {
		c.g.bufferedBytes.reserve(size)
		defer c.g.bufferedBytes.unreserve(size)
	}
	// net/http sets a new write deadline for the next request on the connection.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.g.options.SlowReaderLimit)) // Unsupported only by test recorders.
	c.w.WriteHeader(resp.Status)
	_, c.err = c.w.Write(resp.Body)
	return nil
}

// setResponseHeader sets the header of the caller's response and records the
// outcome.
func (c *call) setResponseHeader(resp *exchange.Response) http.Header {
	h := c.w.Header()
	maps.Copy(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Prevents net/http from detecting a type.
	}
	h[HeaderOutcome] = []string{string(OutcomeAnswered)}
	c.status, c.outcome = resp.Status, OutcomeAnswered
	return h
}

// streamResponse forwards a response that exceeds the buffer of the exchange
// client. After a failure it panics with http.ErrAbortHandler, which aborts the
// connection, so that the caller never takes a truncated response for complete.
func (c *call) streamResponse(resp *exchange.Response) *refusal {
	defer resp.RemainingBody.Close()
	if !c.r.ProtoAtLeast(1, 1) && resp.Header.Get("Content-Length") == "" {
		return unknownRefusal(http.StatusBadGateway, errChunkedNotSupported.Error(), errChunkedNotSupported)
	}
	c.setResponseHeader(resp)
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline) // Unsupported only by test recorders.
	c.w.WriteHeader(resp.Status)
	if c.err = c.copyBody(resp); c.err == nil {
		return nil
	}
	result := resultForStatus(resp.Status) // The caller disconnected or reads too slowly.
	if _, ok := errors.AsType[*exchange.Error](c.err); ok {
		result = routing.ResultBroken
	}
	c.endAttempt(result)
	c.aborted = true
	panic(http.ErrAbortHandler)
}

var chunkPool = sync.Pool{New: func() any { return new([2][streamChunkBytes]byte) }}

// copyBody writes each chunk only after the next one has been read. The last
// chunk of a body with a declared length completes the response for the caller,
// so it is written only after the backend server's response ended correctly.
func (c *call) copyBody(resp *exchange.Response) error {
	chunks := chunkPool.Get().(*[2][streamChunkBytes]byte)
	defer chunkPool.Put(chunks)
	pending, next := resp.Body, 0
	for {
		n, err := resp.RemainingBody.Read(chunks[next][:])
		if err != nil && err != io.EOF {
			return err
		}
		if _, writeErr := c.w.Write(pending); writeErr != nil {
			return writeErr
		}
		pending, next = chunks[next][:n], 1-next
		if err == io.EOF {
			c.endAttempt(resultForStatus(resp.Status))
			_, writeErr := c.w.Write(pending)
			return writeErr
		}
	}
}
