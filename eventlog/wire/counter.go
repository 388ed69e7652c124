package wire

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of a set of connections. The zero value is ready
// for use. It is safe for concurrent use.
type Counter struct {
	sent, received atomic.Uint64
}

// Totals are the bytes counted so far. They include the framing of the
// protocols above TCP, but not the headers of TCP and IP.
type Totals struct {
	Sent, Received uint64
}

// Totals returns the bytes counted so far.
func (c *Counter) Totals() Totals { return Totals{c.sent.Load(), c.received.Load()} }

// Conn returns conn with its bytes counted.
func (c *Counter) Conn(conn net.Conn) net.Conn { return &counted{conn, c} }

// DialContext dials like net.Dialer and counts the bytes of the connection.
func (c *Counter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.Conn(conn), nil
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}
