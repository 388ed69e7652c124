package peer

import (
	"context"
	"fmt"
	"sync"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// caller sends requests and notifications on a stream of a session that this
// process dialled, and matches the replies.
type caller struct {
	*stream
	member fleet.MemberID

	mu      sync.Mutex
	pending map[uint64]chan *peerpb.Envelope // Waiting calls by request ID.
}

func newCaller(s *stream, member fleet.MemberID) *caller {
	return &caller{stream: s, member: member, pending: make(map[uint64]chan *peerpb.Envelope)}
}

func (c *caller) errorAt(step Step, maybeSent bool, err error) error {
	return &Error{Step: step, Peer: c.member, MaybeSent: maybeSent, Err: err}
}

// call sends a request and waits for its reply.
func (c *caller) call(ctx context.Context, envelope *peerpb.Envelope) (*peerpb.Envelope, error) {
	reply := c.addPending(envelope.GetRequestId())
	defer c.removePending(envelope.GetRequestId())
	o := &outgoingMessage{envelope: envelope}
	o.deadline, _ = ctx.Deadline()
	if !c.enqueue(o) {
		return nil, c.errorAt(StepQueue, false, ErrQueueFull)
	}
	select {
	case received := <-reply:
		return received, nil
	case <-ctx.Done():
		return nil, c.errorAt(stepReached(o), !o.cancel(), context.Cause(ctx))
	case <-c.ctx.Done():
	}
	select {
	case received := <-reply: // The reply arrived before the session ended.
		return received, nil
	default:
		return nil, c.errorAt(stepReached(o), !o.cancel(), fmt.Errorf("%w: %w", ErrSessionLost, context.Cause(c.ctx)))
	}
}

// notify queues a message that has no reply.
func (c *caller) notify(ctx context.Context, envelope *peerpb.Envelope) error {
	o := &outgoingMessage{envelope: envelope}
	o.deadline, _ = ctx.Deadline()
	if !c.enqueue(o) {
		return c.errorAt(StepQueue, false, ErrQueueFull)
	}
	return nil
}

// stepReached returns StepReply when the message was written and StepSend when
// it was not.
func stepReached(o *outgoingMessage) Step {
	if o.state.Load() == stateWritten {
		return StepReply
	}
	return StepSend
}

// addPending registers a call and returns the channel that receives its reply.
func (c *caller) addPending(id uint64) chan *peerpb.Envelope {
	reply := make(chan *peerpb.Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = reply
	return reply
}

func (c *caller) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// readLoop reads replies and delivers each to its call until the stream ends.
func (c *caller) readLoop() {
	for {
		envelope, err := c.readEnvelope()
		if err != nil {
			c.cancel(err)
			return
		}
		c.deliver(envelope)
	}
}

// deliver passes a reply to the call that waits for it. It drops and counts
// replies whose call was cancelled or already has a reply.
func (c *caller) deliver(envelope *peerpb.Envelope) {
	c.mu.Lock()
	reply, waiting := c.pending[envelope.GetRequestId()]
	if waiting = waiting && envelope.GetReply(); waiting {
		delete(c.pending, envelope.GetRequestId())
	}
	c.mu.Unlock()
	if !waiting {
		c.node.counts.repliesUnmatched.Add(1)
		return
	}
	reply <- envelope
}
