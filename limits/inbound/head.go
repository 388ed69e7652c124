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
)

// headCounter counts the bytes and lines that arrive before the handler of a request starts. These
// may include the first bytes of the body. The zero value counts nothing.
type headCounter struct{ counting atomic.Bool }

func (h *headCounter) begin() { h.counting.Store(true) }
func (h *headCounter) end()   { h.counting.Store(false) }

// cost returns the memory for the bytes of a read.
func (h *headCounter) cost(p []byte) int64 {
	if !h.counting.Load() {
		return 0
	}
	return headByteCost*int64(len(p)) + headLineCost*int64(bytes.Count(p, []byte{'\n'}))
}
