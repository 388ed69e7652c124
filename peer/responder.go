package peer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// notificationQueueLength bounds the notifications of one peer and class that
// wait for their handler.
const notificationQueueLength = 256

// Sender is the member that sent a message, as verified in Hello.
type Sender struct {
	Member      fleet.MemberID
	Incarnation uint64
}

// responder handles the requests and notifications of a stream that another
// member opened, and sends the replies.
type responder struct {
	*stream
	sender        Sender
	inFlight      chan struct{} // One element per running request.
	notifications chan *peerpb.Envelope
}

func newResponder(s *stream, sender Sender) *responder {
	return &responder{
		stream: s, sender: sender,
		inFlight:      make(chan struct{}, s.node.config.MaxInFlight),
		notifications: make(chan *peerpb.Envelope, notificationQueueLength),
	}
}

// run reads messages until the stream ends.
func (r *responder) run() {
	r.node.running.Go(r.writeLoop)
	go r.notificationLoop()
	context.AfterFunc(r.ctx, func() { _ = r.conn.Close() })
	for {
		envelope, err := r.readEnvelope()
		if err != nil {
			r.cancel(err)
			return
		}
		r.receive(envelope)
	}
}

// receive starts the handling of a message. It never blocks, so that a slow
// handler delays neither other requests nor the reading of the stream.
func (r *responder) receive(envelope *peerpb.Envelope) {
	switch {
	case envelope.GetReply():
		r.node.counts.repliesUnmatched.Add(1)
	case envelope.GetRequestId() == 0:
		select {
		case r.notifications <- envelope:
		default:
			r.node.counts.notificationsDropped.Add(1)
		}
	default:
		select {
		case r.inFlight <- struct{}{}:
			go r.handleRequest(envelope, time.Now())
		default:
			r.node.counts.requestsRefused.Add(1)
			r.queueReply(envelope, nil, errors.New("too many requests in flight"))
		}
	}
}

// notificationLoop handles notifications one at a time, in the order of arrival.
func (r *responder) notificationLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case envelope := <-r.notifications:
			// The error is ignored, because a notification has no reply to send it in.
			_, _ = r.dispatch(r.ctx, envelope)
		}
	}
}

// handleRequest runs the handler of a request and queues its reply. The
// handler's context ends after the remaining time that the sender sent.
func (r *responder) handleRequest(envelope *peerpb.Envelope, receivedAt time.Time) {
	defer func() { <-r.inFlight }()
	ctx := r.ctx
	if ms := envelope.GetDeadlineMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, receivedAt.Add(time.Duration(ms)*time.Millisecond))
		defer cancel()
	}
	message, err := r.dispatch(ctx, envelope)
	r.queueReply(envelope, message, err)
}

// dispatch calls the handler registered for the type of the message.
func (r *responder) dispatch(ctx context.Context, envelope *peerpb.Envelope) (proto.Message, error) {
	message := body(envelope)
	if message == nil {
		return nil, ErrBodyType
	}
	handler := r.node.handlerFor(messageType(message))
	if handler == nil {
		return nil, fmt.Errorf("no handler for %s", messageType(message))
	}
	return handler(ctx, r.sender, message)
}

// queueReply queues a reply with the message, or with the text of err. It drops
// and counts the reply when the send queue is full.
func (r *responder) queueReply(request *peerpb.Envelope, message proto.Message, err error) {
	envelope := &peerpb.Envelope{RequestId: request.GetRequestId(), Reply: true}
	if err == nil && message != nil {
		if err = setBody(envelope, message); err == nil {
			err = checkSize(envelope, r.node.config.MaxFrame)
		}
	}
	if err != nil {
		envelope.Body = nil
		envelope.Error = err.Error()
	}
	select {
	case r.queue <- &outgoingMessage{envelope: envelope}:
	default:
		r.node.counts.repliesDropped.Add(1)
	}
}
