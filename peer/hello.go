package peer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"peridotcrank.dev/fleet"
	"peridotcrank.dev/peer/peerpb"
)

// exchangeHello sends Hello on a new outgoing stream and checks the identity in
// the peer's reply. It returns an error that wraps ErrRefused when the peer
// refuses the stream or is another member or incarnation.
func (l *link) exchangeHello(s *stream) error {
	if err := s.conn.SetDeadline(time.Now().Add(l.node.config.HelloTimeout)); err != nil {
		return err
	}
	self, view := l.node.identity()
	err := writeUnqueued(s, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
		Member: string(self.ID), Incarnation: self.Incarnation, ViewVersion: view, TrafficClass: uint32(s.class),
		TargetMember: string(l.member.ID), TargetIncarnation: l.member.Incarnation,
	}}})
	if err != nil {
		return err
	}
	answer, err := s.readEnvelope()
	if err != nil {
		return err
	}
	if answer.GetError() != "" {
		return fmt.Errorf("%w: %s", ErrRefused, answer.GetError())
	}
	hello := answer.GetHello()
	if hello.GetMember() != string(l.member.ID) || hello.GetIncarnation() != l.member.Incarnation {
		return fmt.Errorf("%w: the address belongs to %s incarnation %d", ErrRefused, hello.GetMember(), hello.GetIncarnation())
	}
	return s.conn.SetDeadline(time.Time{})
}

// writeUnqueued writes and flushes one frame without using the send queue.
func writeUnqueued(s *stream, envelope *peerpb.Envelope) error {
	envelope.LogicalTime = s.node.config.Clock.Now()
	if err := s.writer.write(envelope); err != nil {
		return err
	}
	return s.writer.flush()
}

// receiveHello reads the Hello of an incoming stream and replies to it. It
// returns an error when the stream is refused.
func (s *session) receiveHello(conn net.Conn) (*stream, error) {
	if err := conn.SetDeadline(time.Now().Add(s.node.config.HelloTimeout)); err != nil {
		return nil, err
	}
	// The class is known only after Hello, so the bytes of Hello count as control.
	st := newStream(s.ctx, s.node, ClassControl, conn)
	envelope, err := st.readEnvelope()
	if err != nil {
		return nil, err
	}
	hello := envelope.GetHello()
	if err := s.acceptHello(hello); err != nil {
		s.node.counts.sessionsRefused.Add(1)
		st.refuse(err)
		return nil, err
	}
	st.class = Class(hello.GetTrafficClass())
	self, view := s.node.identity()
	answer := &peerpb.Hello{Member: string(self.ID), Incarnation: self.Incarnation, ViewVersion: view}
	if err := writeUnqueued(st, &peerpb.Envelope{Reply: true, Body: &peerpb.Envelope_Hello{Hello: answer}}); err != nil {
		return nil, err
	}
	counts := &s.node.counts.classes[st.class]
	st.reader.counts, st.writer.counts = counts, counts
	return st, conn.SetDeadline(time.Time{})
}

// refuse sends the reason to the dialling process and waits until that process
// closes the session, because yamux may report that its peer closed a session
// before it delivers the data received. The deadline of Hello bounds the wait.
func (s *stream) refuse(reason error) {
	if writeUnqueued(s, &peerpb.Envelope{Reply: true, Error: reason.Error()}) == nil {
		_, _ = io.Copy(io.Discard, s.conn)
	}
}

// acceptHello checks the identity in hello and binds the session to it. It
// returns an error when the stream must be refused.
func (s *session) acceptHello(hello *peerpb.Hello) error {
	if hello == nil {
		return errors.New("the first frame is not a hello")
	}
	sender := Sender{Member: fleet.MemberID(hello.GetMember()), Incarnation: hello.GetIncarnation()}
	if err := s.node.checkHello(hello); err != nil {
		return err
	}
	if err := verifyCertificate(s.conn, sender.Member); err != nil {
		return err
	}
	return s.bindSender(sender, hello.GetTrafficClass())
}

// checkHello returns an error when hello is meant for another member or
// incarnation, has an unknown traffic class or comes from a refused sender.
func (n *Node) checkHello(hello *peerpb.Hello) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.config.Self
	if hello.GetTargetMember() != string(self.ID) || hello.GetTargetIncarnation() != self.Incarnation {
		return fmt.Errorf("this is %s incarnation %d, not %s incarnation %d",
			self.ID, self.Incarnation, hello.GetTargetMember(), hello.GetTargetIncarnation())
	}
	if hello.GetTrafficClass() >= uint32(classCount) {
		return fmt.Errorf("unknown traffic class %d", hello.GetTrafficClass())
	}
	return n.checkSender(fleet.MemberID(hello.GetMember()), hello.GetIncarnation(), hello.GetViewVersion())
}

// checkSender returns an error when the sender is not in the view or has an
// older incarnation than the view. A sender that is not in this process's view
// is accepted if its own view is newer, because it may have joined in that
// view. The caller holds n.mu.
func (n *Node) checkSender(member fleet.MemberID, incarnation, view uint64) error {
	lowest, known := n.incarnations[member]
	switch {
	case member == "" || member == n.config.Self.ID:
		return fmt.Errorf("sender %q is not another member", member)
	case known && incarnation < lowest:
		return fmt.Errorf("incarnation %d of %s is older than %d", incarnation, member, lowest)
	case n.links[member] == nil && view <= n.viewVersion:
		return fmt.Errorf("%s is not a member in view %d", member, n.viewVersion)
	}
	return nil
}
