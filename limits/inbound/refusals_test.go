package inbound

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a refusal for want of room that blames the request: a 400 makes a caller give up, although
// the request is valid and a later attempt would be served.
func TestHeadWithoutRoomIsNotReportedAsMalformed(t *testing.T) {
	const lines = 100
	s := startServer(t, Options{Connections: 10, Memory: MemoryFor(1, lines*headLineCost/2)})
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", lines) + "\r\n"
	status := s.status(s.open(head))
	assert.Assert(t, status == 0 || status == http.StatusServiceUnavailable, "status %d", status)
}

// Guards against lines of a head that were received together with the request before it, and take
// memory that is not counted.
func TestPipelinedHeadIsCounted(t *testing.T) {
	const lines = 900 // They fit into the read buffer of net/http, which has 4 KiB.
	limiter, err := NewLimiter(Options{Connections: 10, Memory: MemoryFor(10, 16<<20)})
	assert.NilError(t, err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	idle := make(chan struct{}, 1)
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}}
	limiter.Configure(server)
	go server.Serve(limiter.Listen(inner))
	t.Cleanup(func() { server.Close() })
	s := &testServer{t: t, limiter: limiter, address: inner.Addr().String()}
	s.open("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines))
	<-idle // What the first request took has been returned.
	s.awaitUse(MemoryFor(1, lines*headLineCost), 1)
}

// Guards against clients that do not read their responses and keep everybody else out until the write timeout.
func TestUnreadResponsesLeaveRoomForOthers(t *testing.T) {
	const (
		most          = 3
		responseBytes = 32 << 20 // More than the buffers of a connection hold.
	)
	limiter, err := NewLimiter(Options{Connections: most, Memory: MemoryFor(most, 1<<20)})
	assert.NilError(t, err)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &testServer{t: t, limiter: limiter, address: inner.Addr().String(), serving: make(chan struct{}, most)}
	response := make([]byte, responseBytes)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			s.serving <- struct{}{}
			_, _ = w.Write(response) // It fails when the connection is closed.
		}
	})}
	limiter.Configure(server)
	go server.Serve(limiter.Listen(inner))
	t.Cleanup(func() { server.Close() })
	for range most {
		s.open("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for range most {
		<-s.serving
	}
	// A response may get some time to be read, as much as a body gets to arrive.
	for deadline := time.Now().Add(DefaultBodyTimeout + settleTime); ; time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // The server may have closed the connection.
		status := s.status(conn)
		conn.Close()
		if status == http.StatusOK {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "no request is answered beside responses that are not read")
	}
}

// Guards against connections that send nothing and, at the limit of connections, cut a request that is arriving.
func TestSilentConnectionsDoNotCutArrivingRequests(t *testing.T) {
	const most, length = 10, 1000
	var closed atomic.Int64
	s := startServer(t, Options{Connections: most, Memory: MemoryFor(2*most, 1<<20), Closed: func(Reason) { closed.Add(1) }})
	conn := s.open(post("/", length, length/2))
	s.awaitUse(MemoryFor(1, bodyByteCost*length), 1)
	for range 3*most - 1 {
		s.open("")
	}
	for deadline := time.Now().Add(settleTime); closed.Load() < 2*most; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d connections were closed", closed.Load())
	}
	_, _ = io.WriteString(conn, strings.Repeat("x", length-length/2)) // The server may have closed the connection.
	assert.Equal(t, s.status(conn), http.StatusOK)
}
