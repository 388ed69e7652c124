package peer

import (
	"sync/atomic"
	"time"

	"peridotcrank.dev/peer/peerpb"
)

// hopReserve is taken off the deadline at each hop, so that the reply of the
// next process arrives while the caller still waits.
const hopReserve = time.Millisecond

// States of an outgoing message.
const (
	stateQueued uint32 = iota
	stateWritten
	stateCancelled
)

// outgoing is a message in a send queue.
type outgoing struct {
	envelope *peerpb.Envelope
	deadline time.Time // Zero when the message has none.
	state    atomic.Uint32
}

// cancel withdraws the message and reports whether it was still unsent.
func (o *outgoing) cancel() bool {
	return o.state.CompareAndSwap(stateQueued, stateCancelled)
}

// prepare fills in the time left just before writing. It returns false when the
// message was withdrawn or its time is over.
func (o *outgoing) prepare(now time.Time) (ready bool) {
	if !o.deadline.IsZero() {
		left := o.deadline.Sub(now) - hopReserve
		if left < time.Millisecond {
			o.cancel()
			return false
		}
		o.envelope.DeadlineMs = uint32(min(left.Milliseconds(), int64(^uint32(0))))
	}
	return o.state.CompareAndSwap(stateQueued, stateWritten)
}
