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

// sendHello opens a stream of the class and checks the peer's answer.
func (l *link) sendHello(s *stream) error {
	if err := s.conn.SetDeadline(time.Now().Add(l.node.config.HelloTimeout)); err != nil {
		return err
	}
	self, view := l.node.identity()
	err := writeNow(s, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
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

// writeNow writes one frame outside the send queue.
func writeNow(s *stream, envelope *peerpb.Envelope) error {
	envelope.LogicalTime = s.node.config.Clock.Now()
	if err := s.writer.write(envelope); err != nil {
		return err
	}
	return s.writer.flush()
}

// receiveHello reads the Hello of an incoming stream and answers it.
func (s *session) receiveHello(conn net.Conn) (*stream, error) {
	if err := conn.SetDeadline(time.Now().Add(s.node.config.HelloTimeout)); err != nil {
		return nil, err
	}
	// The class is known only after Hello, whose bytes count as control.
	st := newStream(s.ctx, s.node, ClassControl, conn)
	envelope, err := st.readEnvelope()
	if err != nil {
		return nil, err
	}
	hello := envelope.GetHello()
	if err := s.accept(hello); err != nil {
		s.node.counts.sessionsRefused.Add(1)
		st.refuse(err)
		return nil, err
	}
	st.class = Class(hello.GetTrafficClass())
	self, view := s.node.identity()
	answer := &peerpb.Hello{Member: string(self.ID), Incarnation: self.Incarnation, ViewVersion: view}
	if err := writeNow(st, &peerpb.Envelope{Reply: true, Body: &peerpb.Envelope_Hello{Hello: answer}}); err != nil {
		return nil, err
	}
	counts := &s.node.counts.classes[st.class]
	st.reader.counts, st.writer.counts = counts, counts
	return st, conn.SetDeadline(time.Time{})
}

// refuse tells the dialling side the reason and lets it close the session first:
// yamux may report a session closed by its peer before the data it received. The
// deadline of Hello bounds the wait.
func (s *stream) refuse(reason error) {
	if writeNow(s, &peerpb.Envelope{Reply: true, Error: reason.Error()}) == nil {
		_, _ = io.Copy(io.Discard, s.conn)
	}
}

// accept checks the identity in hello and binds the session to it.
func (s *session) accept(hello *peerpb.Hello) error {
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
	return s.bind(sender, hello.GetTrafficClass())
}

// checkHello refuses a wrong target and senders that are not in the view or
// have an older incarnation than the view.
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

// checkSender is called with n.mu held. A member that this process does not
// know may have joined in a newer view than this process holds.
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
