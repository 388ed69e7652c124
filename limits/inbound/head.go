package inbound

import (
	"bytes"
	"sync/atomic"
)

const (
	// headByteCost is the memory for a byte of a head: in the read buffer, in the line that is put
	// together, and in the parsed fields.
	headByteCost = 3
	// headLineCost is the memory for a line of a head: an entry in the map of fields, which
	// grows by doubling, and its strings.
	headLineCost = 512
	// maxBufferedBytes is the size of the read buffer of net/http. A longer read goes past it.
	maxBufferedBytes = 4 << 10
)

// headCounter counts the bytes and lines that arrive before the handler of a request starts. These
// may include the first bytes of the body. The zero value counts nothing.
type headCounter struct {
	counting atomic.Bool
	// bufferedCost is the memory for what was read last, if it may have gone into the read buffer. net/http reads
	// on one goroutine at a time, and does not read while a request ends.
	bufferedCost int64
}

func (h *headCounter) begin() { h.counting.Store(true) }
func (h *headCounter) end()   { h.counting.Store(false) }

// note returns the memory for the bytes of a read into a space of the given size, 0 while no head is counted.
func (h *headCounter) note(p []byte, space int) int64 {
	if len(p) == 0 {
		return 0 // For example, net/http has ended its read of a byte beside the handler.
	}
	cost := headCost(p)
	switch {
	case space == 1: // The read beside the handler. Its byte comes after those in the buffer.
		h.bufferedCost += cost
	case len(p) <= maxBufferedBytes:
		h.bufferedCost = cost
	default:
		h.bufferedCost = 0
	}
	if !h.counting.Load() {
		return 0
	}
	return cost
}

func headCost(p []byte) int64 {
	return headByteCost*int64(len(p)) + headLineCost*int64(bytes.Count(p, []byte{'\n'}))
}
