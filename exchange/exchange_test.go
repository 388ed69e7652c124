package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedConn is a connection whose reads return a fixed text and which accepts
// a limited number of written bytes.
type scriptedConn struct {
	net.Conn
	in      io.Reader
	accepts int
	out     bytes.Buffer
	closed  bool
}

func (s *scriptedConn) Read(p []byte) (int, error)  { return s.in.Read(p) }
func (s *scriptedConn) Close() error                { s.closed = true; return nil }
func (s *scriptedConn) SetDeadline(time.Time) error { return nil }
func (s *scriptedConn) Write(p []byte) (n int, e error) {
	n = min(len(p), s.accepts)
	s.accepts -= n
	s.out.Write(p[:n])
	if n < len(p) {
		return n, syscall.EPIPE
	}
	return n, nil
}

// newScriptedConn returns a connection that reads text and accepts all writes.
func newScriptedConn(text string) *scriptedConn {
	return &scriptedConn{in: strings.NewReader(text), accepts: 1 << 20}
}

// newTestClient returns a client that dials the connections in order.
func newTestClient(t *testing.T, conns ...net.Conn) *PooledClient {
	c, err := New(Options{ConnectionsPerAddress: 2, MaxHeaderBytes: 1000, ResponseBufferSize: 100,
		Dial: func(context.Context, string) (net.Conn, error) {
			if len(conns) == 0 {
				return nil, syscall.ECONNREFUSED
			}
			next := conns[0]
			conns = conns[1:]
			return next, nil
		}})
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func getRequest() *Request { return &Request{Method: "GET", Target: "/x", Host: "h"} }

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against accepting a response that is incomplete, too long or not the
// response to the request.
func TestAnswers(t *testing.T) {
	long := strings.Repeat("z", 150)
	for _, c := range []struct {
		name, method, answer, body string
		err                        error
	}{
		{name: "complete", answer: okResponse, body: "ok"},
		{name: "after interim", answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse, body: "ok"},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2\r\nok\r\n0\r\nT: v\r\n\r\n", body: "ok"},
		{name: "without body", answer: "HTTP/1.1 204 No Content\r\n\r\n"},
		{name: "to HEAD", method: "HEAD", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"},
		{name: "long", answer: "HTTP/1.1 200 OK\r\nContent-Length: 150\r\n\r\n" + long, body: long},
		{name: "long chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n96\r\n" + long + "\r\n0\r\n\r\n", body: long},
		{name: "nothing", err: io.ErrUnexpectedEOF},
		{name: "truncated", answer: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", err: io.ErrUnexpectedEOF},
		{name: "truncated chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", err: io.ErrUnexpectedEOF},
		{name: "truncated long", answer: "HTTP/1.1 200 OK\r\nContent-Length: 150\r\n\r\n" + long[1:], err: io.ErrUnexpectedEOF},
		{name: "too long", answer: okResponse + "x", err: ErrResponseTooLong},
		{name: "long too long", answer: "HTTP/1.1 200 OK\r\nContent-Length: 150\r\n\r\n" + long + "x", err: ErrResponseTooLong},
		{name: "body to HEAD", method: "HEAD", answer: okResponse, err: ErrResponseTooLong},
		{name: "two answers", answer: okResponse + okResponse, err: ErrResponseTooLong},
		{name: "undelimited", answer: "HTTP/1.1 200 OK\r\n\r\nok", err: ErrNoResponseLength},
		{name: "switch of protocols", answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n", err: ErrUnexpectedInterim},
		{name: "endless interim", answer: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20) + okResponse, err: ErrUnexpectedInterim},
		{name: "large header", answer: "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 1000) + "\r\n\r\n", err: ErrHeaderTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			nc := newScriptedConn(c.answer)
			req := getRequest()
			if c.method != "" {
				req.Method = c.method
			}
			body, err := readAllBody(newTestClient(t, nc).Do(t.Context(), "a:1", req))
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, nc.closed, c.err != nil)
			if c.err != nil {
				assert.Equal(t, ProgressOf(err), Written)
				assert.ErrorContains(t, err, "a:1: read response")
				return
			}
			assert.Equal(t, body, c.body)
		})
	}
}

func readAllBody(resp *Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	if resp.RemainingBody == nil {
		return string(resp.Body), nil
	}
	defer resp.RemainingBody.Close()
	more, err := io.ReadAll(resp.RemainingBody)
	return string(resp.Body) + string(more), err
}

// Guards against forwarding hop-by-hop fields in requests and responses, and
// against other changes of the request.
func TestHeadersOfBothDirections(t *testing.T) {
	nc := newScriptedConn("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-End: 2\r\n\r\n")
	resp, err := newTestClient(t, nc).Do(t.Context(), "a:1", &Request{Method: "POST", Target: "//x/%2f?q", Host: "h", Body: []byte("b"),
		Header: http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Upgrade": {"h2c"}, "Te": {"trailers"}, "X-End": {"2"}}})
	assert.NilError(t, err)
	assert.Equal(t, nc.out.String(), "POST //x/%2f?q HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nX-End: 2\r\n\r\nb")
	assert.DeepEqual(t, resp.Header, http.Header{"Content-Length": {"0"}, "X-End": {"2"}})
}

// Guards against an error whose step or progress doesn't match the bytes written.
func TestProgress(t *testing.T) {
	refused := errors.New("refused")
	recheck := getRequest()
	recheck.BeforeWrite = func() error { return refused }
	invalid := getRequest()
	invalid.Target = "/x y"
	for _, c := range []struct {
		conn     *scriptedConn
		req      *Request
		step     Step
		progress Progress
	}{
		{newScriptedConn(okResponse), invalid, StepPrepare, NotWritten},
		{newScriptedConn(okResponse), &Request{Method: "G T", Target: "/"}, StepPrepare, NotWritten},
		{newScriptedConn(okResponse), recheck, StepBeforeWrite, NotWritten},
		{&scriptedConn{in: strings.NewReader("")}, getRequest(), StepWrite, NotWritten},
		{&scriptedConn{in: strings.NewReader(""), accepts: 1}, getRequest(), StepWrite, Written},
		{newScriptedConn(""), getRequest(), StepReadHeader, Written},
		{newScriptedConn(okResponse[:len(okResponse)-1]), getRequest(), StepReadBody, Written},
	} {
		_, err := newTestClient(t, c.conn).Do(t.Context(), "a:1", c.req)
		e, is := errors.AsType[*Error](err)
		assert.Assert(t, is)
		assert.Equal(t, e.Step, c.step)
		assert.Equal(t, e.Progress, c.progress)
		assert.Equal(t, c.conn.out.Len() > 0, c.progress == Written)
	}
	_, err := newTestClient(t).Do(t.Context(), "a:1", getRequest())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, ProgressOf(err), NotWritten)
}

// Guards against sending a request again after some of it was written to a reused
// connection, and against failing when none of it was written.
func TestReusedConnectionThatRefusesTheWrite(t *testing.T) {
	for accepts, want := range map[int]error{0: nil, 1: syscall.EPIPE} {
		first, second := newScriptedConn(okResponse), newScriptedConn(okResponse)
		c := newTestClient(t, first, second)
		_, err := c.Do(t.Context(), "a:1", getRequest())
		assert.NilError(t, err)
		first.accepts = accepts
		_, err = c.Do(t.Context(), "a:1", getRequest())
		assert.ErrorIs(t, err, want)
		assert.Equal(t, second.out.Len() > 0, want == nil)
	}
}

// Guards against losing the response of a server that did not read the whole
// request, and against accepting a 408 that was meant for the idle connection.
func TestEarlyAndUnsolicitedAnswers(t *testing.T) {
	early := &scriptedConn{in: strings.NewReader("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"), accepts: 10}
	resp, err := newTestClient(t, early).Do(t.Context(), "a:1", getRequest())
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, 413)
	assert.Assert(t, early.closed)

	late := &scriptedConn{in: io.MultiReader(strings.NewReader(okResponse), strings.NewReader("HTTP/1.1 408 Late\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")), accepts: 1 << 20}
	c := newTestClient(t, late)
	_, err = c.Do(t.Context(), "a:1", getRequest())
	assert.NilError(t, err)
	_, err = c.Do(t.Context(), "a:1", getRequest())
	assert.ErrorIs(t, err, ErrUnsolicited)
}

// Guards against reusing a connection on which unsolicited bytes have arrived.
func TestUnsolicitedBytesPreventReuse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for range 2 {
			nc, _ := l.Accept()
			io.WriteString(nc, okResponse)
			accepted <- nc
		}
	}()
	c, err := New(Options{})
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Do(t.Context(), l.Addr().String(), getRequest())
	assert.NilError(t, err)
	io.WriteString(<-accepted, okResponse)
	resp, err := c.Do(t.Context(), l.Addr().String(), getRequest())
	assert.NilError(t, err)
	assert.Equal(t, string(resp.Body), "ok")
	assert.Equal(t, len(accepted), 1, "the response must come from a new connection")
}

// Guards against an exchange that continues after its context has ended, in any step.
func TestContextEndsEachStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reading := func(nc net.Conn) { io.Copy(io.Discard, nc) }
		for step, serve := range map[Step]func(net.Conn){
			StepWrite:      func(net.Conn) {},
			StepReadHeader: reading,
			StepReadBody:   func(nc net.Conn) { go reading(nc); io.WriteString(nc, okResponse[:len(okResponse)-1]) },
		} {
			client, server := net.Pipe()
			c := newTestClient(t, client)
			go serve(server)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := c.Do(ctx, "a:1", getRequest())
			cancel()
			server.Close()
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assert.ErrorContains(t, err, string(step))
			assert.Equal(t, ProgressOf(err) == NotWritten, step == StepWrite)
		}
	})
}

// countedConn decrements open when it is closed, which must happen once.
type countedConn struct {
	net.Conn
	open *atomic.Int64
}

func (c countedConn) Close() error { c.open.Add(-1); return c.Conn.Close() }

// Guards against more connections than the limit, waiters that never get a
// connection, and idle connections that are kept too long.
func TestPoolLimitWaitersAndIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open, peak atomic.Int64
		c, err := New(Options{ConnectionsPerAddress: 2, Dial: func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			now := open.Add(1)
			for old := peak.Load(); now > old && !peak.CompareAndSwap(old, now); old = peak.Load() {
			}
			go func() {
				defer server.Close()
				for buf := make([]byte, 1000); ; {
					if _, err := server.Read(buf); err != nil {
						return
					}
					time.Sleep(time.Second) // In fake time: the duration of the request at the server.
					io.WriteString(server, okResponse)
				}
			}()
			return countedConn{client, &open}, nil
		}})
		assert.NilError(t, err)
		run := func(timeouts ...time.Duration) (answered, notWritten int) {
			errs := make(chan error, len(timeouts))
			for _, timeout := range timeouts {
				synctest.Wait() // Keeps the order of arrival.
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					_, err := c.Do(ctx, "a:1", getRequest())
					errs <- err
				}()
			}
			for range timeouts {
				if err := <-errs; err == nil {
					answered++
				} else if ProgressOf(err) == NotWritten {
					notWritten++
				}
			}
			return answered, notWritten
		}
		short, medium, long := 500*time.Millisecond, 1500*time.Millisecond, 2500*time.Millisecond
		for _, step := range []struct {
			limit, raise         int
			timeouts             []time.Duration
			answered, notWritten int
		}{
			{2, 2, []time.Duration{long, long, short, short, short}, 2, 3}, // Waiters give up.
			{2, 2, []time.Duration{short, short, long, long}, 2, 0},        // Waiters replace broken connections.
			{4, 4, []time.Duration{long, long, long, long, long, long, long, long}, 8, 0},
			{1, 2, []time.Duration{medium, medium}, 2, 0}, // A waiter dials when the limit is raised.
		} {
			c.SetConnectionLimit(step.limit)
			synctest.Wait()
			peak.Store(open.Load())
			raised := time.AfterFunc(time.Millisecond, func() { c.SetConnectionLimit(step.raise) })
			answered, notWritten := run(step.timeouts...)
			raised.Stop()
			assert.Check(t, answered == step.answered && notWritten == step.notWritten, "%+v: %d, %d", step, answered, notWritten)
			assert.Check(t, peak.Load() == int64(step.raise), "%+v: %d connections", step, peak.Load())
		}
		time.Sleep(DefaultIdleTimeout)
		synctest.Wait()
		assert.Check(t, open.Load() == 0)
		c.Close()
	})
}
