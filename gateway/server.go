package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"peridotcrank.dev/gateway/framing"
	"peridotcrank.dev/limits/inbound"
)

// Defaults of ServerOptions.
const (
	DefaultReadHeaderTimeout = inbound.DefaultHeaderTimeout
	DefaultIdleTimeout       = inbound.DefaultIdleTimeout
	DefaultWriteTimeout      = inbound.DefaultWriteTimeout
	DefaultMaxHeaderBytes    = inbound.DefaultHeaderBytes
	DefaultListenerOpen      = 5 * time.Second
)

// ServerOptions configures a server. Zero values select the defaults.
type ServerOptions struct {
	// ReadHeaderTimeout bounds the time in which a request header must arrive. Default 5 s.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the idle time of a caller's connection. Default 60 s.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time from a request header to the end of a response
	// of net/http itself. The gateway sets its own write deadlines for responses
	// of backend servers. Default 60 s.
	WriteTimeout time.Duration
	// MaxHeaderBytes bounds a request header, in bytes. Default 64 KiB.
	MaxHeaderBytes int
	// ListenerOpen is the time between turning readiness off and closing the
	// listener. Load balancers detect the change in this time. Default 5 s.
	ListenerOpen time.Duration
	// BeforeDrain is called after ListenerOpen, directly before the listener is
	// closed, for example to hand claims over. Default: no call.
	BeforeDrain func(context.Context) error
	// Limiter bounds the connections of the listener that is passed to Serve. Default: no bound.
	Limiter *inbound.Limiter
	// ErrorLog receives the messages of net/http. Default: messages are discarded.
	ErrorLog *log.Logger
}

// Validate reports every option that is out of range.
func (o ServerOptions) Validate() error {
	return errors.Join(
		requireNotNegative("ReadHeaderTimeout", o.ReadHeaderTimeout),
		requireNotNegative("IdleTimeout", o.IdleTimeout),
		requireNotNegative("WriteTimeout", o.WriteTimeout),
		requireNotNegative("MaxHeaderBytes", o.MaxHeaderBytes),
		requireNotNegative("ListenerOpen", o.ListenerOpen),
	)
}

func (o ServerOptions) withDefaults() ServerOptions {
	setDefault(&o.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&o.ListenerOpen, DefaultListenerOpen)
	if o.BeforeDrain == nil {
		o.BeforeDrain = func(context.Context) error { return nil }
	}
	if o.ErrorLog == nil {
		o.ErrorLog = log.New(io.Discard, "", 0)
	}
	return o
}

// Server runs a gateway on a listener.
type Server struct {
	options ServerOptions
	gateway *Gateway
	http    http.Server
}

// NewServer returns a server, or an error when the options are invalid.
func NewServer(g *Gateway, o ServerOptions) (*Server, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o = o.withDefaults()
	s := &Server{options: o, gateway: g}
	s.http = http.Server{
		Handler:           framing.Handler(g),
		ConnContext:       framing.ConnContext,
		ConnState:         framing.ConnState,
		ReadHeaderTimeout: o.ReadHeaderTimeout,
		IdleTimeout:       o.IdleTimeout,
		WriteTimeout:      o.WriteTimeout,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ErrorLog:          o.ErrorLog,
		// The gateway handles "OPTIONS *", so that the response has the outcome header.
		DisableGeneralOptionsHandler: true,
	}
	if o.Limiter != nil {
		o.Limiter.Configure(&s.http)
	}
	return s, nil
}

// Serve accepts connections until Shutdown is called. It returns nil as soon as
// the listener is closed; requests may be in progress until Shutdown returns.
func (s *Server) Serve(l net.Listener) error {
	framingListener := framing.NewListener(l, http.Header{HeaderOutcome: {string(OutcomeNotRun)}})
	if err := s.http.Serve(framingListener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("gateway: serve %s: %w", l.Addr(), err)
	}
	return nil
}

// Shutdown turns readiness off, keeps the listener open for
// ServerOptions.ListenerOpen, calls BeforeDrain, closes the listener and waits for
// the requests in progress. When ctx ends first, Shutdown closes the remaining
// connections and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.gateway.BeginShutdown()
	listenerTimer := time.NewTimer(s.options.ListenerOpen)
	defer listenerTimer.Stop()
	select {
	case <-listenerTimer.C:
	case <-ctx.Done():
	}
	beforeDrainErr := s.options.BeforeDrain(ctx)
	drainErr := s.http.Shutdown(ctx)
	if drainErr != nil {
		drainErr = errors.Join(fmt.Errorf("gateway: drain: %w", drainErr), s.http.Close())
	}
	return errors.Join(beforeDrainErr, drainErr)
}
