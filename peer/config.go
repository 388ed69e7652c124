package peer

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"peridotcrank.dev/fleet"
)

// Defaults of Config.
const (
	// DefaultMaxFrame bounds the size of one message. The largest messages are
	// pages of claim records and the configuration document.
	DefaultMaxFrame = 1 << 20 // bytes
	// DefaultQueueLength bounds the queued messages to one peer in one class. It
	// equals DefaultMaxInFlight, the number of requests that the peer handles at once.
	DefaultQueueLength = 1024
	// DefaultMaxInFlight bounds the requests of one peer and class that are
	// handled at once.
	DefaultMaxInFlight = 1024
	// DefaultHelloTimeout bounds dialling together with the TLS handshake, and
	// the Hello exchange of each stream.
	DefaultHelloTimeout = time.Second
	// DefaultWriteTimeout is the time after which a session ends when its peer
	// accepts no data. It is half of the suspicion timeout, so that a blocked
	// session is replaced before the peer is suspected.
	DefaultWriteTimeout = time.Second
	// DefaultMinBackoff and DefaultMaxBackoff bound the delay before dialling
	// again. The upper bound is a quarter of the suspicion timeout.
	DefaultMinBackoff = 20 * time.Millisecond
	DefaultMaxBackoff = 500 * time.Millisecond
)

// Clock is the hybrid logical clock of the process.
type Clock interface {
	// Now advances the clock and returns the timestamp for an outgoing message.
	Now() uint64
	// Observe advances the clock to at least the timestamp of a received message.
	Observe(uint64)
}

// TLSConfigFunc returns the TLS configuration of one connection. It is called
// for each connection, so that renewed certificates take effect without a
// restart. Both sides must present a certificate that has the member ID as a
// DNS name.
type TLSConfigFunc func() (*tls.Config, error)

// SessionEvent reports that an outgoing session was established, has ended or
// could not be established.
type SessionEvent struct {
	Member    fleet.MemberID
	Connected bool
	Err       error // Why the session ended or could not be established.
}

// Config holds the settings of a Node.
type Config struct {
	// Self is the member that this process runs as. The node listens on its
	// PeerAddress, an IP:port.
	Self  fleet.Member
	Clock Clock
	// TLS is nil for plain TCP.
	TLS TLSConfigFunc
	// Listener is used instead of listening on Self.PeerAddress when it is set.
	Listener net.Listener
	// OnSession is called when an outgoing session is established or ends, and
	// after each failed attempt. It must not block.
	OnSession func(SessionEvent)

	MaxFrame     int           // bytes; default DefaultMaxFrame
	QueueLength  int           // messages; default DefaultQueueLength
	MaxInFlight  int           // requests; default DefaultMaxInFlight
	HelloTimeout time.Duration // default DefaultHelloTimeout
	WriteTimeout time.Duration // default DefaultWriteTimeout
	MinBackoff   time.Duration // default DefaultMinBackoff
	MaxBackoff   time.Duration // default DefaultMaxBackoff
}

// Validate returns an error for the first missing or invalid setting, or nil.
func (c Config) Validate() error {
	switch {
	case c.Self.ID == "":
		return errors.New("peer: Self.ID is empty")
	case c.Clock == nil:
		return errors.New("peer: Clock is nil")
	case c.MaxFrame < 0 || c.QueueLength < 0 || c.MaxInFlight < 0:
		return errors.New("peer: MaxFrame, QueueLength and MaxInFlight must not be negative")
	case c.MaxBackoff != 0 && c.MaxBackoff < c.MinBackoff:
		return fmt.Errorf("peer: MaxBackoff %v is below MinBackoff %v", c.MaxBackoff, c.MinBackoff)
	}
	if c.Listener == nil {
		if _, err := net.ResolveTCPAddr("tcp", c.Self.PeerAddress); err != nil {
			return fmt.Errorf("peer: Self.PeerAddress: %w", err)
		}
	}
	return nil
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxFrame, DefaultMaxFrame)
	setDefault(&c.QueueLength, DefaultQueueLength)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.HelloTimeout, DefaultHelloTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.MinBackoff, DefaultMinBackoff)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	if c.OnSession == nil {
		c.OnSession = func(SessionEvent) {}
	}
	return c
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
