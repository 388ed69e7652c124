package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Listener wraps a listener and rejects requests with ambiguous framing on its
// connections.
type Listener struct {
	net.Listener
	extraHeader []byte // Header lines that are added to responses of net/http itself.
}

// NewListener returns a listener whose connections reject ambiguous framing.
// The header is added to responses that net/http writes without a handler.
func NewListener(l net.Listener, header http.Header) *Listener {
	var lines bytes.Buffer
	if err := header.Write(&lines); err != nil {
		panic(err) // Writing to a bytes.Buffer cannot fail.
	}
	return &Listener{Listener: l, extraHeader: lines.Bytes()}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, extraHeader: l.extraHeader}, nil
}

// conn checks the framing of the bytes read from a caller. It needs no lock for
// Read, since net/http never reads concurrently.
type conn struct {
	net.Conn
	extraHeader []byte
	scanner     scanner
	err         error
	// handlerActive is true from the start of a handler until its response has
	// been written.
	handlerActive atomic.Bool
}

// NetConn returns the connection whose bytes are checked.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read returns the bytes before the first invalid line, and then the framing
// error.
func (c *conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	validBytes, scanErr := c.scanner.scan(p[:n])
	if scanErr == nil {
		return n, err
	}
	c.err = scanErr
	if validBytes > 0 {
		return validBytes, nil
	}
	return 0, scanErr
}

var (
	statusLine = []byte("HTTP/1.")
	crlf       = []byte("\r\n")
)

// Write adds the extra header lines to a response that no handler wrote.
func (c *conn) Write(p []byte) (int, error) {
	if c.handlerActive.Load() || !bytes.HasPrefix(p, statusLine) {
		return c.Conn.Write(p)
	}
	end := bytes.Index(p, crlf)
	if end < 0 {
		return c.Conn.Write(p)
	}
	end += len(crlf)
	response := make([]byte, 0, len(p)+len(c.extraHeader))
	response = append(append(append(response, p[:end]...), c.extraHeader...), p[end:]...)
	if n, err := c.Conn.Write(response); err != nil {
		return min(n, len(p)), err
	}
	return len(p), nil
}

// CloseWrite allows net/http to close a rejected connection without a reset, which
// would discard the response.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

type contextKey struct{}

// ConnContext is the ConnContext hook of the http.Server. It makes the connection
// available to Handler.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, c)
	}
	return ctx
}

// ConnState is the ConnState hook of the http.Server. It marks the handler of an
// idle connection as finished.
func ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.handlerActive.Store(false)
	}
}

// Handler wraps the handler of the http.Server. Responses that the handler writes
// do not get the additional header lines.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			c.handlerActive.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}
