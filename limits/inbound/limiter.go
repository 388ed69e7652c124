package inbound

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrNoRoom reports that a limit leaves no room for a connection or a request.
var ErrNoRoom = errors.New("no room within the limits of open connections")

const (
	// connectionCost is the memory of an open connection: its goroutine, its buffers and its state.
	connectionCost = 24 << 10
	// handshakeCost is the memory of a TLS handshake, of which a message is buffered until it is
	// complete. It is returned with the first request.
	handshakeCost = 64 << 10
)

// admissionCost returns what a new connection takes.
func admissionCost(nc net.Conn) int64 {
	if _, ok := nc.(*tls.Conn); ok {
		return connectionCost + handshakeCost
	}
	return connectionCost
}

// MemoryFor returns the memory of a number of open connections and of the requests on them.
func MemoryFor(connections int, requests int64) int64 {
	return int64(connections)*connectionCost + requests
}

// Limiter bounds the connections of a listener. It is safe for concurrent use.
type Limiter struct {
	options Options

	mu    sync.Mutex
	used  int64
	conns map[*Conn]struct{}
}

// NewLimiter returns a limiter, or an error if the options are invalid.
func NewLimiter(o Options) (*Limiter, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	if o.Closed == nil {
		o.Closed = func(Reason) {}
	}
	return &Limiter{options: o, conns: map[*Conn]struct{}{}}, nil
}

// Listen returns a listener whose connections are bounded. A connection for which there is no room
// is closed at once: a connection that is not accepted takes memory as well.
func (l *Limiter) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(nc); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// admit returns the bounded connection, or nil if there is no room for it.
func (l *Limiter) admit(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, limiter: l, waitingSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.options.Connections && !l.closeOne(c, 0, TooManyConnections) {
		l.options.Closed(TooManyConnections)
		return nil
	}
	if !l.reserve(c, admissionCost(nc)) {
		return nil
	}
	l.conns[c] = struct{}{}
	return c
}

// reserve adds n bytes to what a connection takes, for which it may close others. It reports false
// if there is no room. The caller holds the lock.
func (l *Limiter) reserve(c *Conn, n int64) bool {
	for l.used+n > l.options.Memory {
		if !l.closeOne(c, c.reserved+n, TooMuchMemory) {
			l.options.Closed(TooMuchMemory)
			return false
		}
	}
	l.used += n
	c.reserved += n
	return true
}

// closeOne closes a connection that takes at least as much as the requester needs, for a reason. It
// reports false if there is none. The caller holds the lock.
func (l *Limiter) closeOne(requester *Conn, needed int64, reason Reason) bool {
	var chosen *Conn
	now := time.Now()
	for c := range l.conns {
		if c != requester && c.reserved >= needed && c.mayBeClosed(now) && (chosen == nil || c.compare(chosen, reason) < 0) {
			chosen = c
		}
	}
	if chosen == nil {
		return false
	}
	l.remove(chosen)
	l.options.Closed(reason)
	if _, ok := chosen.Conn.(*tls.Conn); ok {
		go chosen.Conn.Close() // It may take time.
	} else {
		chosen.Conn.Close()
	}
	return true
}

// remove ends the accounting of a connection. The caller holds the lock.
func (l *Limiter) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	l.used -= c.reserved
	c.reserved = 0
	delete(l.conns, c)
}

// Used returns the memory that connections take, in bytes, and their number.
func (l *Limiter) Used() (memory int64, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, len(l.conns)
}
