package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Listener wraps the connections of another listener.
type Listener struct {
	net.Listener
	extra []byte // Header lines for responses of net/http itself.
}

// NewListener returns a listener whose connections reject ambiguous framing.
// The header is added to responses that net/http writes without a handler.
func NewListener(l net.Listener, header http.Header) *Listener {
	var lines bytes.Buffer
	if err := header.Write(&lines); err != nil {
		panic(err) // A bytes.Buffer does not fail.
	}
	return &Listener{Listener: l, extra: lines.Bytes()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, extra: l.extra}, nil
}

// conn checks the bytes read from a caller. net/http never reads concurrently.
type conn struct {
	net.Conn
	extra   []byte
	scanner scanner
	err     error
	// handled is true from the start of a handler until its response was written.
	handled atomic.Bool
}

// Read delivers bytes up to the first offending line.
func (c *conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	good, violation := c.scanner.scan(p[:n])
	if violation == nil {
		return n, err
	}
	c.err = violation
	if good > 0 {
		return good, nil
	}
	return 0, violation
}

var (
	statusLine = []byte("HTTP/1.")
	lineEnd    = []byte("\r\n")
)

// Write adds the extra header lines to a response that no handler wrote.
func (c *conn) Write(p []byte) (int, error) {
	if c.handled.Load() || !bytes.HasPrefix(p, statusLine) {
		return c.Conn.Write(p)
	}
	end := bytes.Index(p, lineEnd)
	if end < 0 {
		return c.Conn.Write(p)
	}
	end += len(lineEnd)
	response := make([]byte, 0, len(p)+len(c.extra))
	response = append(append(append(response, p[:end]...), c.extra...), p[end:]...)
	if n, err := c.Conn.Write(response); err != nil {
		return min(n, len(p)), err
	}
	return len(p), nil
}

// CloseWrite lets net/http close a rejected connection without a reset that
// would discard the answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

type contextKey struct{}

// ConnContext is the ConnContext hook of the http.Server.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// ConnState is the ConnState hook of the http.Server.
func ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.handled.Store(false)
	}
}

// Handler wraps the handler of the http.Server.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			c.handled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}
