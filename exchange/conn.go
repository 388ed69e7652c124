package exchange

import (
	"bufio"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"time"
)

const (
	readBufferSize  = 4 << 10 // Bytes.
	writeBufferSize = 8 << 10 // Bytes.
)

// conn is a connection to a backend server. One exchange uses it at a time.
type conn struct {
	pool   *pool
	nc     net.Conn
	prober prober
	br     *bufio.Reader
	bw     *bufio.Writer

	reused    bool
	idleSince time.Time

	// State of the exchange in progress.
	beforeWrite func() error
	recheckErr  error // Error of beforeWrite.
	writeFailed bool  // The connection refused a write.
	written     int64 // Bytes that the kernel accepted.
	headLeft    int64 // Bytes that may still be read before the response header ends.
	readFull    bool  // The last read filled its buffer, so more may have arrived.
}

func newConn(p *pool, nc net.Conn) *conn {
	cn := &conn{pool: p, nc: nc, headLeft: math.MaxInt64}
	cn.prober.init(nc)
	cn.br = bufio.NewReaderSize(connReader{cn}, readBufferSize)
	cn.bw = bufio.NewWriterSize(connWriter{cn}, writeBufferSize)
	return cn
}

// usable reports whether an idle connection may carry another exchange. Bytes
// that nobody asked for make it unusable.
func (cn *conn) usable() bool {
	return time.Since(cn.idleSince) < cn.pool.client.options.IdleTimeout && cn.prober.probe() == arrivalNone
}

// staleBeforeWrite reports whether err means that a reused connection was
// closed by the peer before the first byte was written.
func (cn *conn) staleBeforeWrite(err error) bool {
	return cn.reused && cn.writeFailed && cn.written == 0 &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// exchange writes the request and reads the response. It gives the connection
// back to the pool or closes it.
func (cn *conn) exchange(ctx context.Context, out *outgoing, req *Request) (*Response, error) {
	watch := watchContext(ctx, cn.nc)
	resp, err := cn.roundTrip(ctx, watch, out, req)
	if err != nil {
		watch.stop()
		cn.pool.drop(cn)
		return nil, err
	}
	return resp, nil
}

func (cn *conn) roundTrip(ctx context.Context, watch watch, out *outgoing, req *Request) (*Response, error) {
	writeErr := cn.writeRequest(out, req)
	if writeErr != nil && cn.written == 0 {
		return nil, cn.fail(ctx, cn.unwrittenStep(), writeErr)
	}
	// A server may answer and close before it has read the whole request. Its
	// answer counts even though the write failed.
	head, err := cn.readHead(&out.request)
	if writeErr != nil {
		if err != nil {
			return nil, cn.fail(ctx, StepWrite, writeErr)
		}
		head.Close = true
	}
	if err != nil {
		return nil, cn.fail(ctx, StepReadHead, err)
	}
	resp, err := cn.readBody(ctx, watch, head)
	if err != nil {
		return nil, cn.fail(ctx, StepReadBody, err)
	}
	return resp, nil
}

// unwrittenStep names the step that failed before the first byte was written.
func (cn *conn) unwrittenStep() Step {
	switch {
	case cn.recheckErr != nil:
		return StepRecheck
	case cn.writeFailed:
		return StepWrite
	}
	return StepPrepare
}

func (cn *conn) fail(ctx context.Context, step Step, err error) error {
	progress := NotWritten
	if cn.written > 0 {
		progress = Written
	}
	return &Error{Step: step, Peer: cn.pool.addr, Progress: progress, Err: withContext(ctx, err)}
}

// finish ends an exchange whose response was read to its declared end. It
// reports ErrOverlong when more bytes have arrived.
func (cn *conn) finish(watch watch, head *http.Response) error {
	undisturbed := watch.stop()
	more := arrivalNone
	if cn.readFull {
		more = cn.prober.probe()
	}
	if cn.br.Buffered() > 0 || more == arrivalData {
		return ErrOverlong
	}
	if head.Close || !undisturbed || more == arrivalClosed {
		cn.pool.drop(cn)
		return nil
	}
	cn.pool.put(cn)
	return nil
}

// connReader reads from the connection and enforces the header limit.
type connReader struct{ cn *conn }

func (r connReader) Read(p []byte) (int, error) {
	cn := r.cn
	if cn.headLeft <= 0 {
		return 0, ErrHeaderTooLarge
	}
	if int64(len(p)) > cn.headLeft {
		p = p[:cn.headLeft]
	}
	n, err := cn.nc.Read(p)
	cn.headLeft -= int64(n)
	cn.readFull = n == len(p)
	return n, err
}

// connWriter writes to the connection and counts the bytes.
type connWriter struct{ cn *conn }

func (w connWriter) Write(p []byte) (int, error) {
	cn := w.cn
	if cn.written == 0 && cn.beforeWrite != nil {
		if cn.recheckErr = cn.beforeWrite(); cn.recheckErr != nil {
			return 0, cn.recheckErr
		}
	}
	n, err := cn.nc.Write(p)
	cn.written += int64(n)
	cn.writeFailed = cn.writeFailed || err != nil
	return n, err
}

// expired is a deadline in the past; it makes pending reads and writes return.
var expired = time.Unix(1, 0)

// watch interrupts a connection when a context ends.
type watch struct{ unregister func() bool }

func watchContext(ctx context.Context, nc net.Conn) watch {
	if ctx.Done() == nil {
		return watch{}
	}
	return watch{context.AfterFunc(ctx, func() { nc.SetDeadline(expired) })}
}

// stop reports whether the connection was left undisturbed.
func (w watch) stop() bool { return w.unregister == nil || w.unregister() }
