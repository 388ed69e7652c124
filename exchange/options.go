package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// Defaults of Options.
const (
	// DefaultConnectionsPerAddress is the number of connections that a worker accepts.
	DefaultConnectionsPerAddress = 64
	DefaultDialTimeout           = 500 * time.Millisecond
	// DefaultIdleTimeout is below the keep-alive timeout of common servers (5 s and
	// more), so that usually the client closes an idle connection first.
	DefaultIdleTimeout        = 4 * time.Second
	DefaultMaxHeaderBytes     = 64 << 10
	DefaultResponseBufferSize = 256 << 10
)

// Options configures a client. Zero values select the defaults.
type Options struct {
	// ConnectionsPerAddress bounds the open connections per address. Default 64.
	ConnectionsPerAddress int
	// DialTimeout bounds the time to establish a connection. Default 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed. Default 4 s.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the size of the status line and header of a response. Default 64 KiB.
	MaxHeaderBytes int
	// ResponseBufferSize is the number of body bytes that are read before Do returns.
	// A longer body continues in Response.RemainingBody. Default 256 KiB.
	ResponseBufferSize int
	// Dial establishes connections. Default net.Dialer over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectionsPerAddress, DefaultConnectionsPerAddress)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.ResponseBufferSize, DefaultResponseBufferSize)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Validate returns an error that lists every option that is out of range.
func (o Options) Validate() error {
	return errors.Join(
		notNegative("ConnectionsPerAddress", o.ConnectionsPerAddress),
		notNegative("DialTimeout", o.DialTimeout),
		notNegative("IdleTimeout", o.IdleTimeout),
		notNegative("MaxHeaderBytes", o.MaxHeaderBytes),
		notNegative("ResponseBufferSize", o.ResponseBufferSize),
	)
}

func notNegative[T int | time.Duration](name string, value T) error {
	if value < 0 {
		return fmt.Errorf("exchange options: %s is %v, must not be negative", name, value)
	}
	return nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
