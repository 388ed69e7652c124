package wire

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of a set of connections. The zero value is ready
// to use. It is safe for concurrent use.
type Counter struct {
	sent, received atomic.Uint64
}

// Totals holds the numbers of bytes sent and received. They include the framing
// of the protocols above TCP, but not the headers of TCP and IP.
type Totals struct {
	Sent, Received uint64
}

// Totals returns the numbers of bytes counted so far.
func (c *Counter) Totals() Totals { return Totals{c.sent.Load(), c.received.Load()} }

// Wrap returns a connection that counts the bytes of conn.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &countingConn{conn, c} }

// DialContext opens a connection like net.Dialer and counts its bytes.
func (c *Counter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.Wrap(conn), nil
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
