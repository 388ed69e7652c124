package peer

import (
	"sync/atomic"

	"peridotcrank.dev/eventlog/wire"
)

// ClassStats counts the messages and bytes of one traffic class. The bytes are
// those of the frames, without the overhead of yamux and TLS.
type ClassStats struct {
	MessagesSent, BytesSent         uint64
	MessagesReceived, BytesReceived uint64
}

// Stats is a snapshot of a node's counters.
type Stats struct {
	Control, Claims ClassStats
	// Wire counts the bytes of all sessions, including yamux and TLS.
	Wire wire.Totals

	RepliesUnmatched     uint64 // Replies dropped because no call waited for them: late, duplicate or unknown.
	RepliesDropped       uint64 // Replies not sent because the send queue was full.
	NotificationsDropped uint64 // Received notifications dropped because too many waited for their handler.
	RequestsRefused      uint64 // Received requests refused because of the in-flight limit.
	QueueFull            uint64 // Calls and notifications that failed because the send queue was full.
	Expired              uint64 // Messages not sent because they were cancelled or their deadline had passed.
	SessionsRefused      uint64 // Incoming sessions refused in TLS or Hello, or over the limit of sessions.
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

// Stats returns the counts since the node was created.
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
