package peer

import (
	"context"
	"net"
	"time"
)

// maxSessions bounds incoming sessions, including those that have not yet said
// Hello: twice the largest number of members, 60, and room for reconnects.
const maxSessions = 256

// acceptPause keeps a persistent accept error from occupying a processor.
const acceptPause = 50 * time.Millisecond

func (n *Node) acceptLoop() {
	for {
		conn, err := n.listener.Accept()
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		n.running.Go(func() { n.accept(n.counts.wire.Wrap(conn)) })
	}
}

// accept secures an incoming connection and serves its session.
func (n *Node) accept(conn net.Conn) {
	ctx, cancel := context.WithTimeout(n.ctx, n.config.HelloTimeout)
	secured, err := n.secureAccept(ctx, conn)
	cancel()
	if err != nil {
		n.counts.sessionsRefused.Add(1)
		_ = conn.Close()
		return
	}
	s := n.newSession(secured)
	if !n.addSession(s) {
		n.counts.sessionsRefused.Add(1)
		s.cancel()
		_ = conn.Close()
		return
	}
	defer n.removeSession(s)
	silent := time.AfterFunc(n.config.HelloTimeout, func() {
		if s.identity() == (Sender{}) {
			s.cancel()
		}
	})
	defer silent.Stop()
	s.run()
}

func (n *Node) addSession(s *session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.sessions) >= maxSessions {
		return false
	}
	n.sessions[s] = struct{}{}
	return true
}

func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
}
