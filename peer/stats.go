package peer

import (
	"sync/atomic"

	"peridotcrank.dev/eventlog/wire"
)

// ClassStats counts the messages and bytes of one traffic class. Bytes are
// those of the frames, before yamux and TLS.
type ClassStats struct {
	MessagesSent, BytesSent         uint64
	MessagesReceived, BytesReceived uint64
}

// Stats is a snapshot of a node's counters.
type Stats struct {
	Control, Claims ClassStats
	// Wire are the bytes of all sessions, with yamux and TLS.
	Wire wire.Totals

	RepliesUnmatched     uint64 // Late, duplicate or unknown replies, dropped.
	RepliesDropped       uint64 // Replies not sent because the queue was full.
	NotificationsDropped uint64 // Received notifications whose handler queue was full.
	RequestsRefused      uint64 // Received requests over the in-flight limit.
	QueueFull            uint64 // Calls and notifications refused locally.
	Expired              uint64 // Requests dropped before sending, their deadline passed.
	SessionsRefused      uint64 // Incoming sessions refused in Hello or TLS.
	SessionsStarted      uint64 // Outgoing sessions established.
}

type classCounters struct {
	messagesSent, bytesSent         atomic.Uint64
	messagesReceived, bytesReceived atomic.Uint64
}

func (c *classCounters) snapshot() ClassStats {
	return ClassStats{
		MessagesSent: c.messagesSent.Load(), BytesSent: c.bytesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(), BytesReceived: c.bytesReceived.Load(),
	}
}

type counters struct {
	classes                              [classCount]classCounters
	wire                                 wire.Counter
	repliesUnmatched, repliesDropped     atomic.Uint64
	notificationsDropped                 atomic.Uint64
	requestsRefused, queueFull, expired  atomic.Uint64
	sessionsRefused, sessionsEstablished atomic.Uint64
}

// Stats returns the counters since the node started.
func (n *Node) Stats() Stats {
	c := &n.counts
	return Stats{
		Control:              c.classes[ClassControl].snapshot(),
		Claims:               c.classes[ClassClaims].snapshot(),
		Wire:                 c.wire.Totals(),
		RepliesUnmatched:     c.repliesUnmatched.Load(),
		RepliesDropped:       c.repliesDropped.Load(),
		NotificationsDropped: c.notificationsDropped.Load(),
		RequestsRefused:      c.requestsRefused.Load(),
		QueueFull:            c.queueFull.Load(),
		Expired:              c.expired.Load(),
		SessionsRefused:      c.sessionsRefused.Load(),
		SessionsStarted:      c.sessionsEstablished.Load(),
	}
}
