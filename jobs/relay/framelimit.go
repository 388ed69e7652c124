package relay

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"peridotcrank.dev/limits/inbound"
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

// frameLimit is a connection that fails when its peer sends too many pings, or there is no room for a frame:
// a session allocates the announced length when a frame begins.
type frameLimit struct {
	net.Conn
	account   account
	header    []byte // Of the frame that has begun.
	remaining int64  // Bytes of its data that have not arrived.
	reserved  int64
	pings     int // In the interval that began at since.
	since     time.Time
}

// Read implements [net.Conn].
func (c *frameLimit) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err := c.check(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// check follows the frames in the bytes that arrive.
func (c *frameLimit) check(p []byte) error {
	for len(p) > 0 {
		if c.remaining > 0 {
			p = p[c.skipData(int64(len(p))):]
			continue
		}
		taken := min(frameHeaderBytes-len(c.header), len(p))
		c.header = append(c.header, p[:taken]...)
		p = p[taken:]
		if len(c.header) < frameHeaderBytes {
			return nil
		}
		if err := c.beginFrame(int64(len(p))); err != nil {
			return err
		}
		c.header = c.header[:0]
	}
	return nil
}

// beginFrame handles a complete header. Of the data, arrived bytes are there already.
func (c *frameLimit) beginFrame(arrived int64) error {
	switch c.header[frameTypeOffset] {
	case frameTypeData:
		c.remaining = int64(binary.BigEndian.Uint32(c.header[frameLengthOffset:]))
		if c.remaining > arrived {
			if !c.account.Reserve(c.remaining) {
				return inbound.ErrNoRoom
			}
			c.reserved = c.remaining
		}
	case frameTypePing:
		if !c.countPing(time.Now()) {
			return errTooManyPings
		}
	}
	return nil
}

// skipData passes over data of the frame, of which arrived bytes are there at most, and returns its length.
func (c *frameLimit) skipData(arrived int64) int64 {
	n := min(arrived, c.remaining)
	c.remaining -= n
	if c.remaining == 0 {
		c.account.Release(c.reserved)
		c.reserved = 0
	}
	return n
}

func (c *frameLimit) countPing(now time.Time) bool {
	if now.Sub(c.since) >= pingInterval {
		c.since, c.pings = now, 0
	}
	c.pings++
	return c.pings <= maxPings
}
