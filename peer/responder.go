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

// notifyQueueLength bounds the notifications of one peer and class that wait
// for their handler.
const notifyQueueLength = 256

// Sender is the member that sent a request, as established in Hello.
type Sender struct {
	Member      fleet.MemberID
	Incarnation uint64
}

// responder is the answering end of a stream.
type responder struct {
	*stream
	sender        Sender
	slots         chan struct{} // One entry per running request.
	notifications chan *peerpb.Envelope
}

func newResponder(s *stream, sender Sender) *responder {
	return &responder{
		stream: s, sender: sender,
		slots:         make(chan struct{}, s.node.config.MaxInFlight),
		notifications: make(chan *peerpb.Envelope, notifyQueueLength),
	}
}

func (r *responder) run() {
	r.node.running.Go(r.writeLoop)
	go r.notifyLoop()
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

// receive never blocks: a slow handler delays neither other requests nor the
// reading of the stream.
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
		case r.slots <- struct{}{}:
			go r.answer(envelope, time.Now())
		default:
			r.node.counts.requestsRefused.Add(1)
			r.reply(envelope, nil, errors.New("too many requests in flight"))
		}
	}
}

// notifyLoop handles notifications one at a time, in the order of arrival.
func (r *responder) notifyLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case envelope := <-r.notifications:
			// A notification has no reply, so that its error has no addressee.
			_, _ = r.handle(r.ctx, envelope)
		}
	}
}

// answer runs the handler within the time that the sender left for it.
func (r *responder) answer(envelope *peerpb.Envelope, arrived time.Time) {
	defer func() { <-r.slots }()
	ctx := r.ctx
	if ms := envelope.GetDeadlineMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, arrived.Add(time.Duration(ms)*time.Millisecond))
		defer cancel()
	}
	message, err := r.handle(ctx, envelope)
	r.reply(envelope, message, err)
}

func (r *responder) handle(ctx context.Context, envelope *peerpb.Envelope) (proto.Message, error) {
	message := body(envelope)
	if message == nil {
		return nil, ErrBodyType
	}
	handler := r.node.handler(messageType(message))
	if handler == nil {
		return nil, fmt.Errorf("no handler for %s", messageType(message))
	}
	return handler(ctx, r.sender, message)
}

func (r *responder) reply(request *peerpb.Envelope, message proto.Message, err error) {
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
	case r.queue <- &outgoing{envelope: envelope}:
	default:
		r.node.counts.repliesDropped.Add(1)
	}
}
