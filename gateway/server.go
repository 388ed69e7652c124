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
)

// Defaults of ServerOptions.
const (
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultWriteTimeout      = 60 * time.Second
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultListenerOpen      = 5 * time.Second
)

// ServerOptions configures a server. Zero values select the defaults.
type ServerOptions struct {
	// ReadHeaderTimeout bounds the time in which a request header must arrive. Default 5 s.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the time that a caller's connection stays idle. Default 60 s.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time from a request header to the end of what
	// net/http itself writes. The gateway sets its own limits for answers. Default 60 s.
	WriteTimeout time.Duration
	// MaxHeaderBytes bounds a request header, in bytes. Default 64 KiB.
	MaxHeaderBytes int
	// ListenerOpen is the time from turning readiness off to closing the
	// listener, in which load balancers notice. Default 5 s.
	ListenerOpen time.Duration
	// BeforeDrain is called between the two, for example to hand claims over.
	// Default: nothing.
	BeforeDrain func(context.Context) error
	// ErrorLog receives the messages of net/http. Default: discarded.
	ErrorLog *log.Logger
}

// Validate reports every option that is out of range.
func (o ServerOptions) Validate() error {
	return errors.Join(
		notNegative("ReadHeaderTimeout", o.ReadHeaderTimeout),
		notNegative("IdleTimeout", o.IdleTimeout),
		notNegative("WriteTimeout", o.WriteTimeout),
		notNegative("MaxHeaderBytes", o.MaxHeaderBytes),
		notNegative("ListenerOpen", o.ListenerOpen),
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
		// "OPTIONS *" goes through the gateway, which sets the outcome header.
		DisableGeneralOptionsHandler: true,
	}
	return s, nil
}

// Serve accepts connections until Shutdown. It returns nil as soon as the
// listener is closed; only the return of Shutdown ends the requests in progress.
func (s *Server) Serve(l net.Listener) error {
	guarded := framing.NewListener(l, http.Header{HeaderOutcome: {string(OutcomeNotRun)}})
	if err := s.http.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("gateway: serve %s: %w", l.Addr(), err)
	}
	return nil
}

// Shutdown turns readiness off, keeps the listener open for
// ServerOptions.ListenerOpen, calls BeforeDrain, closes the listener and waits for
// the requests in progress. When ctx ends first, the remaining requests are
// cut off and its error is returned.
func (s *Server) Shutdown(ctx context.Context) error {
	s.gateway.Stop()
	open := time.NewTimer(s.options.ListenerOpen)
	defer open.Stop()
	select {
	case <-open.C:
	case <-ctx.Done():
	}
	handOver := s.options.BeforeDrain(ctx)
	drain := s.http.Shutdown(ctx)
	if drain != nil {
		drain = errors.Join(fmt.Errorf("gateway: drain: %w", drain), s.http.Close())
	}
	return errors.Join(handOver, drain)
}
