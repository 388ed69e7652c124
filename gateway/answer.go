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
	// streamChunkBytes is the size of the two buffers of a streamed answer.
	streamChunkBytes = 32 << 10
	// smallAnswerBytes is the size up to which an answer is expected to fit into
	// the send buffer of a connection. Only larger ones count as buffered bytes.
	smallAnswerBytes = 32 << 10
)

var errNoChunks = errors.New("a streamed answer of undeclared length cannot be sent over HTTP/1.0")

// answer passes the response of a backend server on to the caller.
func (c *call) answer(resp *exchange.Response) *refusal {
	c.body.release() // No further attempt needs it.
	if resp.RemainingBody != nil {
		return c.stream(resp)
	}
	h := c.answerHeader(resp)
	if c.r.Method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	}
	if size := int64(len(resp.Body)); size > smallAnswerBytes {
		c.g.buffered.add(size)
		defer c.g.buffered.remove(size)
	}
	// The next request on the connection gets a new write deadline from net/http.
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(c.g.options.SlowReaderLimit)) // Unsupported only by test recorders.
	c.w.WriteHeader(resp.Status)
	_, c.err = c.w.Write(resp.Body)
	return nil
}

func (c *call) answerHeader(resp *exchange.Response) http.Header {
	h := c.w.Header()
	maps.Copy(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	h[HeaderOutcome] = []string{string(OutcomeAnswered)}
	c.status, c.outcome = resp.Status, OutcomeAnswered
	return h
}

// stream passes on a response that exceeds the buffer. A failure aborts the
// connection to the caller, so that the answer never looks complete.
func (c *call) stream(resp *exchange.Response) *refusal {
	defer resp.RemainingBody.Close()
	if !c.r.ProtoAtLeast(1, 1) && resp.Header.Get("Content-Length") == "" {
		return unknown(http.StatusBadGateway, errNoChunks.Error(), errNoChunks)
	}
	c.answerHeader(resp)
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline) // Unsupported only by test recorders.
	c.w.WriteHeader(resp.Status)
	if c.err = c.copyBody(resp); c.err == nil {
		return nil
	}
	result := resultOf(resp.Status) // The caller went away or reads too slowly.
	if _, ok := errors.AsType[*exchange.Error](c.err); ok {
		result = routing.ResultBroken
	}
	c.endAttempt(result)
	c.aborted = true
	panic(http.ErrAbortHandler)
}

var chunkPool = sync.Pool{New: func() any { return new([2][streamChunkBytes]byte) }}

// copyBody writes the body with a delay of one chunk: the last chunk of a
// declared length would make the answer look complete, so it is written only
// after the end of the response was confirmed.
func (c *call) copyBody(resp *exchange.Response) error {
	chunks := chunkPool.Get().(*[2][streamChunkBytes]byte)
	defer chunkPool.Put(chunks)
	held, next := resp.Body, 0
	for {
		n, err := resp.RemainingBody.Read(chunks[next][:])
		if err != nil && err != io.EOF {
			return err
		}
		if _, werr := c.w.Write(held); werr != nil {
			return werr
		}
		held, next = chunks[next][:n], 1-next
		if err == io.EOF {
			c.endAttempt(resultOf(resp.Status))
			_, werr := c.w.Write(held)
			return werr
		}
	}
}
