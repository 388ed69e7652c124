package exchange

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
)

// maxInterim bounds the 1xx responses that precede a response.
const maxInterim = 8

// readHead reads the status line and header of the final response.
func (cn *conn) readHead(req *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		cn.headLeft = int64(cn.pool.client.options.MaxHeaderBytes)
		head, err := http.ReadResponse(cn.br, req)
		cn.headLeft = math.MaxInt64
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, cn.checkHead(head)
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, ErrInterim
}

func (cn *conn) checkHead(head *http.Response) error {
	if cn.reused && head.Close && head.StatusCode == http.StatusRequestTimeout {
		return fmt.Errorf("%w: status %d on a reused connection", ErrUnsolicited, head.StatusCode)
	}
	if head.Body != http.NoBody && head.ContentLength < 0 && len(head.TransferEncoding) == 0 {
		return ErrUndelimited
	}
	return nil
}

// readBody buffers the body up to the limit and leaves a longer one to Rest.
func (cn *conn) readBody(ctx context.Context, watch watch, head *http.Response) (*Response, error) {
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
		// One byte above the limit tells a longer body from one that just fits.
		resp.Body, err = io.ReadAll(io.LimitReader(head.Body, limit+1))
	}
	if err != nil {
		return nil, truncated(err)
	}
	if head.ContentLength > limit && head.Body != http.NoBody || int64(len(resp.Body)) > limit {
		resp.Rest = &rest{ctx: ctx, cn: cn, watch: watch, head: head}
		return resp, nil
	}
	return resp, cn.finish(watch, head)
}

// truncated replaces io.EOF, which inside a body means that it ended early.
func truncated(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// rest streams the remainder of a long body.
type rest struct {
	ctx   context.Context
	cn    *conn
	watch watch
	head  *http.Response
	err   error // Set when the exchange has ended.
}

// Read returns io.EOF only after the declared end was reached and nothing
// followed it. For a declared length, the last bytes come with io.EOF.
func (r *rest) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.head.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		if err = r.cn.finish(r.watch, r.head); err == nil {
			r.err = io.EOF
			return n, io.EOF
		}
	}
	r.end(r.cn.fail(r.ctx, StepReadBody, err))
	return n, r.err
}

// Close closes the connection when the body was not read to its end.
func (r *rest) Close() error {
	if r.err == nil {
		r.end(&Error{Step: StepReadBody, Peer: r.cn.pool.addr, Progress: Written, Err: ErrClosed})
	}
	return nil
}

func (r *rest) end(err error) {
	r.err = err
	r.watch.stop()
	r.cn.pool.drop(r.cn)
}
