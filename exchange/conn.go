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
	beforeWrite      func() error
	beforeWriteErr   error // Error that beforeWrite returned.
	writeFailed      bool  // A write to the connection failed.
	written          int64 // Bytes that the kernel accepted.
	headerBytesLeft  int64 // Bytes of the response header that may still be read.
	readFilledBuffer bool  // The last read filled its buffer, so more may have arrived.
}

func newConn(p *pool, nc net.Conn) *conn {
	cn := &conn{pool: p, nc: nc, headerBytesLeft: math.MaxInt64}
	cn.prober.init(nc)
	cn.br = bufio.NewReaderSize(connReader{cn}, readBufferSize)
	cn.bw = bufio.NewWriterSize(connWriter{cn}, writeBufferSize)
	return cn
}

// usable reports whether an idle connection can carry another exchange: it must
// not have been idle for the idle timeout, must be open, and must not have
// received unsolicited bytes.
func (cn *conn) usable() bool {
	return time.Since(cn.idleSince) < cn.pool.client.options.IdleTimeout && cn.prober.probe() == receiveEmpty
}

// closedBeforeWrite reports whether err means that a reused connection was
// closed by the peer before the first byte was written.
func (cn *conn) closedBeforeWrite(err error) bool {
	return cn.reused && cn.writeFailed && cn.written == 0 &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// exchange writes the request and reads the response. Afterwards the connection is
// back in the pool, closed, or owned by the response's remaining body.
func (cn *conn) exchange(ctx context.Context, out *outgoingRequest, req *Request) (*Response, error) {
	watch := watchContext(ctx, cn.nc)
	resp, err := cn.roundTrip(ctx, watch, out, req)
	if err != nil {
		watch.stop()
		cn.pool.closeConn(cn)
		return nil, err
	}
	return resp, nil
}

// roundTrip writes the request, then reads the header and the body of the response.
func (cn *conn) roundTrip(ctx context.Context, watch contextWatch, out *outgoingRequest, req *Request) (*Response, error) {
	writeErr := cn.writeRequest(out, req)
	if writeErr != nil && cn.written == 0 {
		return nil, cn.newError(ctx, cn.stepBeforeFirstByte(), writeErr)
	}
	// A server may respond and close the connection before it has read the whole
	// request. Its response is valid even though the write failed.
	head, err := cn.readHeader(&out.request)
	if writeErr != nil {
		if err != nil {
			return nil, cn.newError(ctx, StepWrite, writeErr)
		}
		head.Close = true
	}
	if err != nil {
		return nil, cn.newError(ctx, StepReadHeader, err)
	}
	resp, err := cn.readBody(ctx, watch, head)
	if err != nil {
		return nil, cn.newError(ctx, StepReadBody, err)
	}
	return resp, nil
}

// stepBeforeFirstByte returns the step that failed before the first byte was
// written.
func (cn *conn) stepBeforeFirstByte() Step {
	switch {
	case cn.beforeWriteErr != nil:
		return StepBeforeWrite
	case cn.writeFailed:
		return StepWrite
	}
	return StepPrepare
}

// newError returns an *Error for a step, with the progress that follows from the
// bytes written.
func (cn *conn) newError(ctx context.Context, step Step, err error) error {
	progress := NotWritten
	if cn.written > 0 {
		progress = Written
	}
	return &Error{Step: step, Peer: cn.pool.addr, Progress: progress, Err: withContextError(ctx, err)}
}

// finishExchange ends an exchange whose response was read to its declared end. It
// returns the connection to the pool or closes it. It returns ErrResponseTooLong,
// and leaves the connection to the caller, when more bytes have arrived.
func (cn *conn) finishExchange(watch contextWatch, head *http.Response) error {
	uninterrupted := watch.stop()
	pending := receiveEmpty
	if cn.readFilledBuffer {
		pending = cn.prober.probe()
	}
	if cn.br.Buffered() > 0 || pending == receiveData {
		return ErrResponseTooLong
	}
	if head.Close || !uninterrupted || pending == receiveClosed {
		cn.pool.closeConn(cn)
		return nil
	}
	cn.pool.put(cn)
	return nil
}

// connReader reads from the connection and enforces the limit on the header size.
type connReader struct{ cn *conn }

func (r connReader) Read(p []byte) (int, error) {
	cn := r.cn
	if cn.headerBytesLeft <= 0 {
		return 0, ErrHeaderTooLarge
	}
	if int64(len(p)) > cn.headerBytesLeft {
		p = p[:cn.headerBytesLeft]
	}
	n, err := cn.nc.Read(p)
	cn.headerBytesLeft -= int64(n)
	cn.readFilledBuffer = n == len(p)
	return n, err
}

// connWriter calls beforeWrite before the first write to the connection and counts
// the bytes written.
type connWriter struct{ cn *conn }

func (w connWriter) Write(p []byte) (int, error) {
	cn := w.cn
	if cn.written == 0 && cn.beforeWrite != nil {
		if cn.beforeWriteErr = cn.beforeWrite(); cn.beforeWriteErr != nil {
			return 0, cn.beforeWriteErr
		}
	}
	n, err := cn.nc.Write(p)
	cn.written += int64(n)
	cn.writeFailed = cn.writeFailed || err != nil
	return n, err
}

// pastDeadline is a deadline in the past, which makes pending reads and writes return.
var pastDeadline = time.Unix(1, 0)

// contextWatch interrupts the reads and writes of a connection when a context ends.
type contextWatch struct{ unregister func() bool }

// watchContext interrupts the connection when the context ends, until stop is called.
func watchContext(ctx context.Context, nc net.Conn) contextWatch {
	if ctx.Done() == nil {
		return contextWatch{}
	}
	return contextWatch{context.AfterFunc(ctx, func() { nc.SetDeadline(pastDeadline) })}
}

// stop ends the watch. It returns false when the connection was interrupted.
func (w contextWatch) stop() bool { return w.unregister == nil || w.unregister() }
