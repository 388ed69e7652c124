package peer

import (
	"context"
	"net"
	"time"

	"peridotcrank.dev/peer/peerpb"
)

// stream is the stream of one traffic class in a session.
type stream struct {
	node   *Node
	class  Class
	conn   net.Conn
	reader *frameReader
	writer *frameWriter
	queue  chan *outgoingMessage
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newStream(ctx context.Context, node *Node, class Class, conn net.Conn) *stream {
	counts := &node.counts.classes[class]
	s := &stream{
		node: node, class: class, conn: conn,
		reader: newFrameReader(conn, node.config.MaxFrame, counts),
		writer: newFrameWriter(conn, counts),
		queue:  make(chan *outgoingMessage, node.config.QueueLength),
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// enqueue adds a message to the send queue without blocking. It returns false
// and counts the message when the queue is full.
func (s *stream) enqueue(o *outgoingMessage) bool {
	select {
	case s.queue <- o:
		return true
	default:
		s.node.counts.queueFull.Add(1)
		return false
	}
}

// readEnvelope reads one frame and advances the clock to its logical time.
func (s *stream) readEnvelope() (*peerpb.Envelope, error) {
	envelope, err := s.reader.read()
	if err == nil {
		s.node.config.Clock.Observe(envelope.GetLogicalTime())
	}
	return envelope, err
}

// writeLoop writes queued messages until the stream ends.
func (s *stream) writeLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case o := <-s.queue:
			if err := s.writeBatch(o); err != nil {
				s.cancel(err)
				return
			}
		}
	}
}

// maxBatch bounds the messages written under one write deadline.
const maxBatch = 64

// writeBatch writes first and further queued messages, and then flushes.
func (s *stream) writeBatch(first *outgoingMessage) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.node.config.WriteTimeout)); err != nil {
		return err
	}
	o := first
	for range maxBatch {
		if err := s.writeOne(o); err != nil {
			return err
		}
		select {
		case o = <-s.queue:
		default:
			return s.writer.flush()
		}
	}
	if err := s.writeOne(o); err != nil {
		return err
	}
	return s.writer.flush()
}

// writeOne writes a message, unless it was cancelled or its deadline has passed.
func (s *stream) writeOne(o *outgoingMessage) error {
	if !o.beginWrite(time.Now()) {
		s.node.counts.expired.Add(1)
		return nil
	}
	o.envelope.LogicalTime = s.node.config.Clock.Now()
	return s.writer.write(o.envelope)
}
