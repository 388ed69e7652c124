package inbound

import (
	"cmp"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a bounded connection.
type Conn struct {
	net.Conn
	limiter *Limiter
	head    headCounter
	// writingSince is when a write in progress began, in Unix nanoseconds; 0 if there is none.
	writingSince atomic.Int64

	// The fields below are guarded by the lock of the limiter.
	reserved     int64
	serving      bool      // A request is being served, so the connection is not closed for others.
	served       bool      // A request was served before.
	waitingSince time.Time // Since when it waits for a request, or for the rest of one.
	removed      bool
}

// unreadLimit is the time in which a part of a response must be read, if another connection needs the room.
const unreadLimit = DefaultBodyTimeout

// Read implements [net.Conn]. If there is no room for the head of a request, it fails with an error that net/http
// does not answer: the request may be sound.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if cost := c.head.note(p[:n], len(p)); cost > 0 && !c.Reserve(cost) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}
	}
	return n, err
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
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

// endRequest returns what the last request took, except for what was read last: that may be the beginning
// of the next one, for which the connection waits now.
func (c *Conn) endRequest() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if kept := connectionCost + c.head.bufferedCost; !c.removed {
		c.limiter.used += kept - c.reserved
		c.reserved = kept
	}
	c.serving, c.waitingSince = false, time.Now()
	c.head.begin()
}

// mayBeClosed reports whether the connection may be closed for another one: its request is not complete,
// or its response is not read. The caller holds the lock of the limiter.
func (c *Conn) mayBeClosed(now time.Time) bool {
	if !c.serving {
		return true
	}
	since := c.writingSince.Load()
	return since != 0 && now.UnixNano()-since > int64(unreadLimit)
}

// compare orders connections by which one is closed rather than the other.
func (c *Conn) compare(other *Conn, reason Reason) int {
	bySize := cmp.Compare(other.reserved, c.reserved)
	byUse := cmp.Or(compareBool(c.served, other.served), compareBool(c.hasSent(), other.hasSent()))
	if reason == TooManyConnections {
		return cmp.Or(byUse, bySize, c.waitingSince.Compare(other.waitingSince))
	}
	return cmp.Or(bySize, byUse, c.waitingSince.Compare(other.waitingSince))
}

// hasSent reports whether part of a request has arrived.
func (c *Conn) hasSent() bool { return c.reserved > connectionCost }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
