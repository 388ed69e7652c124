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
	// DefaultMaxFrame bounds one message. The largest ones are pages of claim
	// records and the configuration document.
	DefaultMaxFrame = 1 << 20 // bytes
	// DefaultQueueLength bounds the messages waiting for one peer and class. It
	// equals the requests that the peer runs at once.
	DefaultQueueLength = 1024
	// DefaultMaxInFlight bounds the requests of one peer and class that run at once.
	DefaultMaxInFlight = 1024
	// DefaultHelloTimeout bounds dialling, the TLS handshake and Hello, each.
	DefaultHelloTimeout = time.Second
	// DefaultWriteTimeout ends a session whose peer accepts no data. It is half
	// of the suspicion timeout, so that a stuck session is replaced before the
	// peer is suspected.
	DefaultWriteTimeout = time.Second
	// DefaultMinBackoff and DefaultMaxBackoff bound the pause before a new dial.
	// The upper bound is a quarter of the suspicion timeout.
	DefaultMinBackoff = 20 * time.Millisecond
	DefaultMaxBackoff = 500 * time.Millisecond
)

// Clock is the hybrid logical clock of the process.
type Clock interface {
	// Now returns the time for an outgoing message.
	Now() uint64
	// Observe takes in the time of a received message.
	Observe(uint64)
}

// TLSSupplier returns the TLS configuration for one connection. It is asked for
// each connection, so that renewed certificates take effect without a restart.
// Certificates name the member as a DNS name. Both sides must present one.
type TLSSupplier func() (*tls.Config, error)

// SessionEvent reports a change of the session that this process dialled.
type SessionEvent struct {
	Member    fleet.MemberID
	Connected bool
	Err       error // Why the session ended or could not be established.
}

// Config holds the settings of a Node.
type Config struct {
	// Self names this process. PeerAddress is the IP:port to listen on.
	Self  fleet.Member
	Clock Clock
	// TLS is nil for plain TCP.
	TLS TLSSupplier
	// Listener replaces listening on Self.PeerAddress, when set.
	Listener net.Listener
	// OnSession is called when an outgoing session starts or ends. It must not block.
	OnSession func(SessionEvent)

	MaxFrame     int           // bytes; default DefaultMaxFrame
	QueueLength  int           // messages; default DefaultQueueLength
	MaxInFlight  int           // requests; default DefaultMaxInFlight
	HelloTimeout time.Duration // default DefaultHelloTimeout
	WriteTimeout time.Duration // default DefaultWriteTimeout
	MinBackoff   time.Duration // default DefaultMinBackoff
	MaxBackoff   time.Duration // default DefaultMaxBackoff
}

// Validate reports the first missing or impossible setting.
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
