package inbound

import (
	"net"
	"time"
)

// Conn is a bounded connection.
type Conn struct {
	net.Conn
	limiter *Limiter
	head    headCounter

	// The fields below are guarded by the lock of the limiter.
	reserved     int64
	serving      bool      // A request is being served, so the connection is not closed for others.
	served       bool      // A request was served before.
	waitingSince time.Time // Since when it waits for a request, or for the rest of one.
	removed      bool
}

// Read implements [net.Conn]. It fails if there is no room for the head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if cost := c.head.cost(p[:n]); cost > 0 && !c.Reserve(cost) {
		return 0, ErrNoRoom
	}
	return n, err
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction, if the connection can do that, so that the last response is not lost to a reset.
func (c *Conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Reserve adds n bytes to what the connection takes. It reports false if there is no room, or the
// connection was closed for others.
func (c *Conn) Reserve(n int64) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return !c.removed && c.limiter.reserve(c, n)
}

// Release returns n reserved bytes.
func (c *Conn) Release(n int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.removed {
		return
	}
	c.limiter.used -= n
	c.reserved -= n
}

// MarkServed marks that a request was served, so that connections without one are closed first.
func (c *Conn) MarkServed() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.served = true
}

// BeginServing marks that a request was received in full. The connection is not closed for others
// until the request has been answered.
func (c *Conn) BeginServing() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.serving, c.served = true, true
}

// endRequest returns what the last request took and waits for the next one.
func (c *Conn) endRequest() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.removed {
		c.limiter.used -= c.reserved - connectionCost
		c.reserved = connectionCost
	}
	c.serving, c.waitingSince = false, time.Now()
	c.head.begin()
}

// isClosedBefore reports whether this connection is closed rather than another one.
func (c *Conn) isClosedBefore(other *Conn) bool {
	if c.reserved != other.reserved {
		return c.reserved > other.reserved
	}
	if c.served != other.served {
		return other.served
	}
	return c.waitingSince.Before(other.waitingSince)
}
