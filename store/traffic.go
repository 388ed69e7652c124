package store

import (
	"sync/atomic"

	"peridotcrank.dev/eventlog/wire"
)

// Traffic counts the bytes and requests between a process and the platform.
// Each retry counts as a request.
type Traffic struct {
	wire.Totals
	Reads, Writes uint64 // Requests to the table service.
	Lists         uint64 // Reads of the VM list.
}

// Plus returns the sum of t and other.
func (t Traffic) Plus(other Traffic) Traffic {
	return Traffic{
		Totals: wire.Totals{Sent: t.Sent + other.Sent, Received: t.Received + other.Received},
		Reads:  t.Reads + other.Reads, Writes: t.Writes + other.Writes, Lists: t.Lists + other.Lists,
	}
}

type counters struct {
	wire                 wire.Counter
	reads, writes, lists atomic.Uint64
}

// Traffic returns the counts since the transport was created.
func (t *HTTPTransport) Traffic() Traffic {
	c := &t.counters
	return Traffic{Totals: c.wire.Totals(), Reads: c.reads.Load(), Writes: c.writes.Load(), Lists: c.lists.Load()}
}

// Traffic returns the counts of the client's transport, or zero when the
// transport does not count.
func (c *Client) Traffic() Traffic {
	if t, ok := c.transport.(interface{ Traffic() Traffic }); ok {
		return t.Traffic()
	}
	return Traffic{}
}

// Traffic returns the counts of the requests for the VM list and for reboots.
func (p *HTTPPlatform) Traffic() Traffic { return p.transport.Traffic() }
