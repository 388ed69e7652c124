package relay

import (
	"encoding/binary"
	"errors"
	"net"
	"time"
)

// errTooManyPings reports a peer that sends pings much more often than a session does.
var errTooManyPings = errors.New("too many pings on a session")

const (
	// maxPings is the number of pings that a peer may send in pingInterval. Each one that is not answered yet
	// takes a goroutine, and a session sends one in keepAliveInterval.
	maxPings     = 32
	pingInterval = time.Second
)

// Layout of the header of a frame of a session.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
	frameTypePing     = 2
)

// pingLimit is a connection that fails when its peer sends too many pings.
type pingLimit struct {
	net.Conn
	header    []byte // Of the frame that has begun.
	remaining uint32 // Bytes of its data that have not arrived.
	pings     int    // In the interval that began at since.
	since     time.Time
}

// Read implements [net.Conn].
func (c *pingLimit) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.permits(p[:n]) {
		return 0, errTooManyPings
	}
	return n, err
}

// permits follows the frames in the bytes that arrive and counts the pings.
func (c *pingLimit) permits(p []byte) bool {
	for len(p) > 0 {
		if c.remaining > 0 {
			skipped := min(uint32(len(p)), c.remaining)
			c.remaining -= skipped
			p = p[skipped:]
			continue
		}
		taken := min(frameHeaderBytes-len(c.header), len(p))
		c.header = append(c.header, p[:taken]...)
		p = p[taken:]
		if len(c.header) < frameHeaderBytes {
			return true
		}
		switch c.header[frameTypeOffset] {
		case frameTypeData:
			c.remaining = binary.BigEndian.Uint32(c.header[frameLengthOffset:])
		case frameTypePing:
			if !c.countPing(time.Now()) {
				return false
			}
		}
		c.header = c.header[:0]
	}
	return true
}

func (c *pingLimit) countPing(now time.Time) bool {
	if now.Sub(c.since) >= pingInterval {
		c.since, c.pings = now, 0
	}
	c.pings++
	return c.pings <= maxPings
}
