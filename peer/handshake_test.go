package peer

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// openCounter is a listener that counts its open connections.
type openCounter struct {
	net.Listener
	accepted, open, most atomic.Int64
}

func (l *openCounter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	if open := l.open.Add(1); open > l.most.Load() {
		l.most.Store(open) // Accept is not called concurrently.
	}
	return &countedConn{Conn: conn, counter: l}, nil
}

type countedConn struct {
	net.Conn
	counter *openCounter
	closed  atomic.Bool
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.counter.open.Add(-1)
	}
	return c.Conn.Close()
}

// Guards against clients that do not complete the TLS handshake and take descriptors beyond the limit of sessions.
func TestUnfinishedHandshakesAreBounded(t *testing.T) {
	const clients = 2 * maxSessions
	authority := certificate(t, "authority", nil)
	var name atomic.Value
	name.Store("a")
	var counter openCounter
	_, member := startNode(t, "a", func(c *Config) {
		counter.Listener, c.Listener = c.Listener, &counter
		c.TLS = tlsConfigFor(t, &name, &authority)
		c.HelloTimeout = time.Minute // All clients connect within it.
	})
	for range clients {
		conn, err := net.Dial("tcp", member.PeerAddress)
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	waitUntil(t, testContext(t), func() bool { return counter.accepted.Load() == clients })
	assert.Assert(t, counter.most.Load() <= maxSessions, "%d connections were open, the limit is %d", counter.most.Load(), maxSessions)
}
