package inbound

import (
	"cmp"
	"context"
	"net"
	"net/http"
)

// Configure wraps the handler and the hooks of a server whose listener is bounded by the limiter. Limits that
// the server does not have are set to the defaults.
func (l *Limiter) Configure(s *http.Server) {
	s.MaxHeaderBytes = cmp.Or(s.MaxHeaderBytes, DefaultHeaderBytes)
	s.ReadHeaderTimeout = cmp.Or(s.ReadHeaderTimeout, DefaultHeaderTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultIdleTimeout)
	s.WriteTimeout = cmp.Or(s.WriteTimeout, DefaultWriteTimeout)
	s.Handler = handler(s.Handler)
	s.ConnContext = connContext(s.ConnContext)
	s.ConnState = connState(s.ConnState)
}

type contextKey struct{}

// FromContext returns the connection of a request, or nil if it is not bounded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// boundedConn returns the bounded connection that a connection is or wraps, or nil.
func boundedConn(nc net.Conn) *Conn {
	for {
		if c, ok := nc.(*Conn); ok {
			return c
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapper.NetConn()
	}
}

func connContext(next func(context.Context, net.Conn) context.Context) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		if c := boundedConn(nc); c != nil {
			ctx = context.WithValue(ctx, contextKey{}, c)
		}
		return ctx
	}
}

func connState(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(nc net.Conn, state http.ConnState) {
		if c := boundedConn(nc); c != nil {
			switch state {
			case http.StateNew:
				c.head.begin()
			case http.StateIdle:
				c.endRequest()
			}
		}
		if next != nil {
			next(nc, state)
		}
	}
}

// handler ends the head of each request. A request without a body is received in full then.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := FromContext(r.Context()); c != nil {
			c.head.end()
			if r.Body == nil || r.Body == http.NoBody {
				c.BeginServing()
			}
		}
		next.ServeHTTP(w, r)
	})
}
