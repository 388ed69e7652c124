package exchange

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
)

// maxInterimResponses bounds the number of 1xx responses before the final response.
const maxInterimResponses = 8

// readHeader reads the status line and header of the final response. It skips
// interim responses.
func (cn *conn) readHeader(req *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		cn.headerBytesLeft = int64(cn.pool.client.options.MaxHeaderBytes)
		head, err := http.ReadResponse(cn.br, req)
		cn.headerBytesLeft = math.MaxInt64
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, cn.checkHeader(head)
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, ErrUnexpectedInterim
}

// checkHeader rejects a response that may not belong to the request, or whose end
// cannot be determined.
func (cn *conn) checkHeader(head *http.Response) error {
	if cn.reused && head.Close && head.StatusCode == http.StatusRequestTimeout {
		return fmt.Errorf("%w: status %d on a reused connection", ErrUnsolicited, head.StatusCode)
	}
	if head.Body != http.NoBody && head.ContentLength < 0 && len(head.TransferEncoding) == 0 {
		return ErrNoResponseLength
	}
	return nil
}

// readBody reads the body up to the limit. The rest of a longer body is left to
// Response.RemainingBody.
func (cn *conn) readBody(ctx context.Context, watch contextWatch, head *http.Response) (*Response, error) {
	limit := int64(cn.pool.client.options.ResponseBufferSize)
	RemoveHopByHop(head.Header)
	resp := &Response{Status: head.StatusCode, Header: head.Header}
	var err error
	switch {
	case head.Body == http.NoBody:
	case head.ContentLength >= 0:
		resp.Body = make([]byte, min(head.ContentLength, limit))
		_, err = io.ReadFull(head.Body, resp.Body)
	default:
		// Reads one byte above the limit to distinguish a longer body from one that
		// has exactly the limit.
		resp.Body, err = io.ReadAll(io.LimitReader(head.Body, limit+1))
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if head.ContentLength > limit && head.Body != http.NoBody || int64(len(resp.Body)) > limit {
		resp.RemainingBody = &remainingBody{ctx: ctx, cn: cn, watch: watch, head: head}
		return resp, nil
	}
	return resp, cn.finishExchange(watch, head)
}

// unexpectedEOF replaces io.EOF, which inside a body means that the body was
// truncated.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// remainingBody implements Response.RemainingBody.
type remainingBody struct {
	ctx   context.Context
	cn    *conn
	watch contextWatch
	head  *http.Response
	err   error // Set when the exchange has ended.
}

// Read returns io.EOF only after the declared end of the body was reached and no
// bytes followed it. For a declared length, the last bytes come with io.EOF.
func (r *remainingBody) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.head.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		if err = r.cn.finishExchange(r.watch, r.head); err == nil {
			r.err = io.EOF
			return n, io.EOF
		}
	}
	r.abort(r.cn.newError(r.ctx, StepReadBody, err))
	return n, r.err
}

// Close closes the connection when the body was not read to its end.
func (r *remainingBody) Close() error {
	if r.err == nil {
		r.abort(&Error{Step: StepReadBody, Peer: r.cn.pool.addr, Progress: Written, Err: ErrClosed})
	}
	return nil
}

// abort ends the exchange with an error and closes the connection.
func (r *remainingBody) abort(err error) {
	r.err = err
	r.watch.stop()
	r.cn.pool.closeConn(r.cn)
}
