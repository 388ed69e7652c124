package peer

import (
	"sync/atomic"
	"time"

	"peridotcrank.dev/peer/peerpb"
)

// hopReserve is subtracted from the remaining time at each hop, so that the
// reply of the next process arrives before the caller's deadline.
const hopReserve = time.Millisecond

// States of an outgoingMessage.
const (
	stateQueued uint32 = iota
	stateWritten
	stateCancelled
)

// outgoingMessage is a message in a send queue.
type outgoingMessage struct {
	envelope *peerpb.Envelope
	deadline time.Time // Zero when the message has none.
	state    atomic.Uint32
}

// cancel prevents a queued message from being sent. It returns false when the
// message was already written or cancelled.
func (o *outgoingMessage) cancel() bool {
	return o.state.CompareAndSwap(stateQueued, stateCancelled)
}

// beginWrite sets the remaining time in the envelope and marks the message as
// written. It is called immediately before writing. It returns false when the
// message was cancelled or its deadline has passed.
func (o *outgoingMessage) beginWrite(now time.Time) (ready bool) {
	if !o.deadline.IsZero() {
		remaining := o.deadline.Sub(now) - hopReserve
		if remaining < time.Millisecond {
			o.cancel()
			return false
		}
		o.envelope.DeadlineMs = uint32(min(remaining.Milliseconds(), int64(^uint32(0))))
	}
	return o.state.CompareAndSwap(stateQueued, stateWritten)
}
