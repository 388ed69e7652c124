package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
)

// session is a session that another member dialled.
type session struct {
	node   *Node
	conn   net.Conn
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	sender Sender
	opened [classCount]bool
}

func (n *Node) newSession(conn net.Conn) *session {
	s := &session{node: n, conn: conn}
	s.ctx, s.cancel = context.WithCancel(n.ctx)
	return s
}

// bind fixes the identity of the session with its first stream. Further streams
// must carry the same identity and another class.
func (s *session) bind(sender Sender, class uint32) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sender != (Sender{}) && s.sender != sender {
		return fmt.Errorf("the session belongs to %s incarnation %d", s.sender.Member, s.sender.Incarnation)
	}
	if s.opened[class] {
		return fmt.Errorf("the session already has a stream of class %s", Class(class))
	}
	s.sender, s.opened[class] = sender, true
	return nil
}

func (s *session) identity() Sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sender
}

// run serves the session until it ends.
func (s *session) run() {
	defer s.cancel()
	multiplexed, err := yamux.Server(s.conn, yamuxConfig(&s.node.config))
	if err != nil {
		_ = s.conn.Close()
		return
	}
	stop := context.AfterFunc(s.ctx, func() { _ = multiplexed.Close() })
	defer stop()
	defer multiplexed.Close()
	for {
		conn, err := multiplexed.Accept()
		if err != nil {
			return
		}
		s.node.running.Go(func() { s.serve(conn) })
	}
}

// serve runs one stream. The end of a stream ends the session, so that the
// dialling side replaces all of it.
func (s *session) serve(conn net.Conn) {
	defer s.cancel()
	st, err := s.receiveHello(conn)
	if err != nil {
		return
	}
	newResponder(st, s.identity()).run()
}
