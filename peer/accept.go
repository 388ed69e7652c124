package peer

import (
	"context"
	"net"
	"time"
)

// maxSessions bounds incoming sessions, including those that have not completed
// Hello. It is twice the largest number of members, 60, plus a reserve for
// reconnects.
const maxSessions = 256

// acceptRetryDelay is the pause after an accept error, so that a persistent
// error does not keep a CPU busy.
const acceptRetryDelay = 50 * time.Millisecond

// acceptLoop accepts connections until the node is closed.
func (n *Node) acceptLoop() {
	for {
		conn, err := n.listener.Accept()
		if n.ctx.Err() != nil {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.running.Go(func() { n.serveConn(n.counts.wire.Wrap(conn)) })
	}
}

// serveConn performs the TLS handshake of an incoming connection and serves its
// session. It ends the session if Hello does not complete within HelloTimeout.
func (n *Node) serveConn(conn net.Conn) {
	ctx, cancel := context.WithTimeout(n.ctx, n.config.HelloTimeout)
	secured, err := n.secureIncoming(ctx, conn)
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
	helloTimer := time.AfterFunc(n.config.HelloTimeout, func() {
		if s.boundSender() == (Sender{}) {
			s.cancel()
		}
	})
	defer helloTimer.Stop()
	s.run()
}

// addSession registers an incoming session. It returns false when there are
// already maxSessions.
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
