package peer

import (
	"context"
	"net"
	"time"

	"peridotcrank.dev/peer/peerpb"
)

// stream is one traffic class of a session, after Hello.
type stream struct {
	node   *Node
	class  Class
	conn   net.Conn
	reader *frameReader
	writer *frameWriter
	queue  chan *outgoing
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newStream(ctx context.Context, node *Node, class Class, conn net.Conn) *stream {
	counts := &node.counts.classes[class]
	s := &stream{
		node: node, class: class, conn: conn,
		reader: newFrameReader(conn, node.config.MaxFrame, counts),
		writer: newFrameWriter(conn, counts),
		queue:  make(chan *outgoing, node.config.QueueLength),
	}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// enqueue never blocks; it reports whether the message was accepted.
func (s *stream) enqueue(o *outgoing) bool {
	select {
	case s.queue <- o:
		return true
	default:
		s.node.counts.queueFull.Add(1)
		return false
	}
}

// readEnvelope reads one frame and feeds its logical time to the clock.
func (s *stream) readEnvelope() (*peerpb.Envelope, error) {
	envelope, err := s.reader.read()
	if err == nil {
		s.node.config.Clock.Observe(envelope.GetLogicalTime())
	}
	return envelope, err
}

// writeLoop sends queued messages until the stream ends.
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

// writeBatch writes a message and others that are waiting, then flushes.
func (s *stream) writeBatch(first *outgoing) error {
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

func (s *stream) writeOne(o *outgoing) error {
	if !o.prepare(time.Now()) {
		s.node.counts.expired.Add(1)
		return nil
	}
	o.envelope.LogicalTime = s.node.config.Clock.Now()
	return s.writer.write(o.envelope)
}
