package peer

import (
	"context"
	"net"
	"time"

	"peridotcrank.dev/limits/inbound"
)

// maxSessions bounds incoming connections, including those that have not completed
// the TLS handshake or Hello and the one that is being accepted. It is twice the
// largest number of members, 60, plus a reserve for reconnects.
const maxSessions = 256

// acceptRetryDelay is the pause after an accept error, so that a persistent
// error does not keep a CPU busy.
const acceptRetryDelay = 50 * time.Millisecond

// newLimiter returns the limit of incoming connections. When there are too many,
// one that has not completed Hello is closed for a new one.
func (n *Node) newLimiter() (*inbound.Limiter, error) {
	const accepted = maxSessions - 1
	return inbound.NewLimiter(inbound.Options{
		Connections: accepted, Memory: inbound.MemoryFor(accepted, 0),
		Closed: func(inbound.Reason) { n.counts.sessionsRefused.Add(1) },
	})
}

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
		n.running.Go(func() { n.serveConn(conn) })
	}
}

// serveConn performs the TLS handshake of an incoming connection and serves its
// session. It ends the session if Hello does not complete within HelloTimeout.
func (n *Node) serveConn(conn net.Conn) {
	ctx, cancel := context.WithTimeout(n.ctx, n.config.HelloTimeout)
	secured, err := n.secureIncoming(ctx, n.counts.wire.Wrap(conn))
	cancel()
	if err != nil {
		n.counts.sessionsRefused.Add(1)
		_ = conn.Close()
		return
	}
	s := n.newSession(secured)
	if bounded, ok := conn.(*inbound.Conn); ok {
		s.onBound = bounded.BeginServing // From here on, it is not closed for others.
	}
	n.addSession(s)
	defer n.removeSession(s)
	helloTimer := time.AfterFunc(n.config.HelloTimeout, func() {
		if s.boundSender() == (Sender{}) {
			s.cancel()
		}
	})
	defer helloTimer.Stop()
	s.run()
}

func (n *Node) addSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sessions[s] = struct{}{}
}

func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
}
