package peer

import (
	"context"
	"fmt"
	"sync"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// caller is the requesting end of a stream.
type caller struct {
	*stream
	member fleet.MemberID

	mu      sync.Mutex
	pending map[uint64]chan *peerpb.Envelope
}

func newCaller(s *stream, member fleet.MemberID) *caller {
	return &caller{stream: s, member: member, pending: make(map[uint64]chan *peerpb.Envelope)}
}

func (c *caller) fail(step Step, maybeSent bool, err error) error {
	return &Error{Step: step, Peer: c.member, MaybeSent: maybeSent, Err: err}
}

// call sends a request and waits for its reply.
func (c *caller) call(ctx context.Context, envelope *peerpb.Envelope) (*peerpb.Envelope, error) {
	reply := c.expect(envelope.GetRequestId())
	defer c.forget(envelope.GetRequestId())
	o := &outgoing{envelope: envelope}
	o.deadline, _ = ctx.Deadline()
	if !c.enqueue(o) {
		return nil, c.fail(StepQueue, false, ErrQueueFull)
	}
	select {
	case received := <-reply:
		return received, nil
	case <-ctx.Done():
		return nil, c.fail(stepOf(o), !o.cancel(), context.Cause(ctx))
	case <-c.ctx.Done():
	}
	select {
	case received := <-reply: // It arrived before the session ended.
		return received, nil
	default:
		return nil, c.fail(stepOf(o), !o.cancel(), fmt.Errorf("%w: %w", ErrSessionLost, context.Cause(c.ctx)))
	}
}

// notify queues a message that has no reply.
func (c *caller) notify(ctx context.Context, envelope *peerpb.Envelope) error {
	o := &outgoing{envelope: envelope}
	o.deadline, _ = ctx.Deadline()
	if !c.enqueue(o) {
		return c.fail(StepQueue, false, ErrQueueFull)
	}
	return nil
}

func stepOf(o *outgoing) Step {
	if o.state.Load() == stateWritten {
		return StepReply
	}
	return StepSend
}

func (c *caller) expect(id uint64) chan *peerpb.Envelope {
	reply := make(chan *peerpb.Envelope, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[id] = reply
	return reply
}

func (c *caller) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// readLoop hands each reply to the call that waits for it.
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

// deliver drops a reply whose caller has gone or has been answered.
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
