package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
)

// session is an incoming session, which another member dialled.
type session struct {
	node   *Node
	conn   net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	// onBound is called on the first Hello.
	onBound func()

	mu     sync.Mutex
	sender Sender           // Zero until the first Hello.
	opened [classCount]bool // Classes that have a stream.
}

func (n *Node) newSession(conn net.Conn) *session {
	s := &session{node: n, conn: conn, onBound: func() {}}
	s.ctx, s.cancel = context.WithCancel(n.ctx)
	return s
}

// bindSender sets the sender of the session on its first stream. It returns an
// error when a further stream has another sender or the class of an existing
// stream.
func (s *session) bindSender(sender Sender, class uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sender != (Sender{}) && s.sender != sender {
		return fmt.Errorf("the session belongs to %s incarnation %d", s.sender.Member, s.sender.Incarnation)
	}
	if s.opened[class] {
		return fmt.Errorf("the session already has a stream of class %s", Class(class))
	}
	if s.sender == (Sender{}) {
		s.onBound()
	}
	s.sender, s.opened[class] = sender, true
	return nil
}

// boundSender returns the sender of the session, or zero before the first Hello.
func (s *session) boundSender() Sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sender
}

// run accepts the streams of the session until it ends.
func (s *session) run() {
	defer s.cancel()
	mux, err := yamux.Server(s.conn, yamuxConfig(&s.node.config))
	if err != nil {
		_ = s.conn.Close()
		return
	}
	stop := context.AfterFunc(s.ctx, func() { _ = mux.Close() })
	defer stop()
	defer mux.Close()
	for {
		conn, err := mux.Accept()
		if err != nil {
			return
		}
		s.node.running.Go(func() { s.serveStream(conn) })
	}
}

// serveStream serves one stream. When the stream ends, the whole session ends, so
// that the dialling process establishes a new one.
func (s *session) serveStream(conn net.Conn) {
	defer s.cancel()
	st, err := s.receiveHello(conn)
	if err != nil {
		return
	}
	newResponder(st, s.boundSender()).run()
}
